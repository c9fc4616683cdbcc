#pragma once

#include "filbert_core/filbert_core.h"

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace filbert {

/** An ordered map of which a snapshot can be read in chunks while the map goes on changing.

    Use it for the large containers of a replicated state: reading one as a whole would block the
    event loop for too long. A change of an entry that the snapshot has not read yet saves a copy of
    the old value (copy on write for each entry). So the cost of a snapshot is spread over time, and
    the extra memory is bounded by what changes meanwhile.

    Only one snapshot can be read at a time.

    @see startSnapshot, readEntries
*/
template <typename Key, typename Value>
class snapshot_map
{
public:
    using entries_map = std::map<Key, Value>;
    using const_iterator = typename entries_map::const_iterator;

    const_iterator begin() const { return entries.begin(); }
    const_iterator end() const { return entries.end(); }
    const_iterator find(const Key &key) const { return entries.find(key); }
    const Value &at(const Key &key) const { return entries.at(key); }
    bool contains(const Key &key) const { return entries.contains(key); }
    bool empty() const { return entries.empty(); }
    std::size_t size() const { return entries.size(); }

    /** @param key must exist @return the value, to be changed */
    Value &edit(const Key &key)
    {
        auto &value = entries.at(key);
        saveIfUnread(key, value);
        return value;
    }

    /** Adds an entry; an existing one stays as it is. @return the value in the map */
    Value &add(const Key &key, Value value)
    {
        const auto [it, isNew] = entries.emplace(key, std::move(value));
        if (isNew && isUnread(key)) {
            skippedKeys.insert(key); // it was added after the snapshot was started
        }
        return it->second;
    }

    /** Removes an entry. @param key must exist @return the removed value */
    Value remove(const Key &key)
    {
        const auto it = entries.find(key);
        FILBERT_INVARIANT(it != entries.end(), "a removed entry exists");
        saveIfUnread(key, it->second);
        auto value = std::move(it->second);
        entries.erase(it);
        return value;
    }

    /** Starts a snapshot of the present entries, which readEntries() then reads. */
    void startSnapshot()
    {
        endSnapshot();
        isSnapshotActive = true;
    }

    /** Ends the snapshot, whether it was read completely or not. */
    void endSnapshot()
    {
        isSnapshotActive = false;
        hasCursor = false;
        savedEntries.clear();
        skippedKeys.clear();
    }

    /** Reads some entries of the snapshot, as they were at startSnapshot().

        @param maxCount  number of entries
        @param visit     called with key and value of each entry, in no particular order
        @return whether all entries have been read; the snapshot has ended then
    */
    template <typename Visitor>
    bool readEntries(std::size_t maxCount, Visitor visit)
    {
        if (!isSnapshotActive) {
            return true;
        }
        std::size_t count = 0;
        for (; count < maxCount && !savedEntries.empty(); ++count) {
            visit(savedEntries.back().first, savedEntries.back().second);
            savedEntries.pop_back();
        }
        auto it = hasCursor ? entries.upper_bound(cursor) : entries.begin();
        for (; count < maxCount && it != entries.end(); ++count, ++it) {
            if (skippedKeys.erase(it->first) == 0) {
                visit(it->first, it->second);
            }
            cursor = it->first;
            hasCursor = true;
        }
        if (it != entries.end() || !savedEntries.empty()) {
            return false;
        }
        endSnapshot();
        return true;
    }

private:
    bool isUnread(const Key &key) const { return isSnapshotActive && (!hasCursor || cursor < key); }

    void saveIfUnread(const Key &key, const Value &value)
    {
        if (isUnread(key) && skippedKeys.insert(key).second) {
            savedEntries.emplace_back(key, value);
        }
    }

    entries_map entries;
    std::vector<std::pair<Key, Value>> savedEntries; // old values of entries changed before a read
    std::set<Key> skippedKeys; // keys beyond the cursor that are not to be read from the map
    Key cursor {};
    bool hasCursor = false;
    bool isSnapshotActive = false;
};

} // namespace filbert

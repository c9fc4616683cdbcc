#pragma once

#include "filbert_core/filbert_core.h"

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace filbert {

/** An ordered map that can be read as of one moment, a part at a time, while it goes on changing.

    Use it for the large parts of a replicated state: reading all of them at once would stall the
    loop. Until reading has passed an entry, a change of it keeps a copy of what it was (copy on
    write for each entry), so the cost of a snapshot is spread and its extra memory is bounded by
    what changes meanwhile.

    @see startReading, readSome
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

    /** @param key of an entry that is held @return the entry, to be changed */
    Value &edit(const Key &key)
    {
        auto &value = entries.at(key);
        keepIfUnread(key, value);
        return value;
    }

    /** Adds an entry; one that is held already stays as it is. @return the entry */
    Value &add(const Key &key, Value value)
    {
        const auto [at, isNew] = entries.emplace(key, std::move(value));
        if (isNew && isUnread(key)) {
            passed.insert(key); // it is younger than the moment that is read
        }
        return at->second;
    }

    /** Takes an entry out. @param key of an entry that is held @return what it was */
    Value take(const Key &key)
    {
        const auto at = entries.find(key);
        FILBERT_INVARIANT(at != entries.end(), "what is taken out is held");
        keepIfUnread(key, at->second);
        auto value = std::move(at->second);
        entries.erase(at);
        return value;
    }

    /** Fixes the present moment as the one that readSome() reads. */
    void startReading()
    {
        stopReading();
        isReading = true;
    }

    /** Forgets the moment that was being read. */
    void stopReading()
    {
        isReading = false;
        hasCursor = false;
        kept.clear();
        passed.clear();
    }

    /** Reads some entries as they were at startReading().

        @param most   how many at the most
        @param visit  called with key and value of each, in no order that means anything
        @return whether everything has been read; reading has ended then
    */
    template <typename Visitor>
    bool readSome(std::size_t most, Visitor visit)
    {
        if (!isReading) {
            return true;
        }
        std::size_t count = 0;
        for (; count < most && !kept.empty(); ++count) {
            visit(kept.back().first, kept.back().second);
            kept.pop_back();
        }
        auto at = hasCursor ? entries.upper_bound(cursor) : entries.begin();
        for (; count < most && at != entries.end(); ++count, ++at) {
            if (passed.erase(at->first) == 0) {
                visit(at->first, at->second);
            }
            cursor = at->first;
            hasCursor = true;
        }
        if (at != entries.end() || !kept.empty()) {
            return false;
        }
        stopReading();
        return true;
    }

private:
    bool isUnread(const Key &key) const { return isReading && (!hasCursor || cursor < key); }

    void keepIfUnread(const Key &key, const Value &value)
    {
        if (isUnread(key) && passed.insert(key).second) {
            kept.emplace_back(key, value);
        }
    }

    entries_map entries;
    std::vector<std::pair<Key, Value>>
        kept; // as they were, of entries that changed before their turn
    std::set<Key> passed; // beyond the cursor, but not to be read there any more
    Key cursor {};
    bool hasCursor = false;
    bool isReading = false;
};

} // namespace filbert

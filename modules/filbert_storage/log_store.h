#pragma once

#include "filbert_messages/filbert_messages.h"
#include "file_system.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace filbert {

/** What a controller must not forget, as read at start. */
struct stored_state
{
    std::string identity;
    std::uint64_t term = 0;
    std::string votedFor;
    messages::snapshot_header snapshot;
    std::string snapshotData;
    std::vector<messages::log_entry> entries; // those after the snapshot
    std::uint64_t truncatedBytes = 0; // of a torn last frame, dropped at start
};

/** Where stored data was found damaged; a process must not start on it. */
struct storage_damage
{
    std::string file;
    std::uint64_t offset = 0;
    std::string what;
};

/** Term, vote, log and snapshot of one member, in the files of its data folder.

    The log is a row of segment files of frames. One call of append() is one frame with one
    checksum and one sync, so only the very last frame can be torn: a bad frame with a good one
    behind it was synced once, and is damage. A failed write or sync is final: the caller must stop.

    @see file_system, replicated_log_state
*/
class log_store
{
public:
    /** @param files  of the data folder; outlives the store */
    explicit log_store(file_system &files);

    /** Makes an empty folder a member's folder. @param identity unique for ever
        @return Conflict if it was one already, or why it could not be written */
    std::error_code initialise(const std::string &identity);

    /** Reads everything back.

        @param state   filled in on success
        @param damage  filled in for StorageDamaged
        @return NotFound if the folder was never initialised, StorageDamaged, StorageFailed
    */
    std::error_code open(stored_state *state, storage_damage *damage);

    /** Writes and syncs one frame. An entry replaces any stored one at its index and beyond.

        @param term, votedFor  as of now
        @param entries         in order; may be empty
        @return DiskFull if nothing was written for want of room (and nothing changed), or
                StorageFailed, after which the process must stop
    */
    std::error_code append(std::uint64_t term, const std::string &votedFor,
                           const std::vector<messages::log_entry> &entries);

    /** Makes all stored entries behind an index void, as one synced frame. @param index the last
       kept
        @return as append() */
    std::error_code dropAfter(std::uint64_t index);

    /** Writes and syncs a whole snapshot, then drops the segments that it covers.

        @param header  index, term and members at the snapshot
        @param data    the state there
        @return DiskFull if nothing changed for want of room, or StorageFailed
        @see startSnapshot for one that is written while work goes on
    */
    std::error_code saveSnapshot(const messages::snapshot_header &header, std::string_view data);

    /** Starts to write a snapshot; one that was not finished is given up.
        @param header  index, term and members at the snapshot @return as saveSnapshot() */
    std::error_code startSnapshot(const messages::snapshot_header &header);

    /** Writes and syncs the next part of it. @return as saveSnapshot() */
    std::error_code addSnapshotPart(std::string_view part);

    /** Makes the snapshot the one that open() reads, then drops the segments that it covers.
        @return as saveSnapshot() */
    std::error_code finishSnapshot();

    /** @return bytes in all live segments */
    std::uint64_t logBytes() const;

private:
    struct segment
    {
        std::string name;
        std::uint64_t number = 0;
        std::uint64_t lastIndex = 0;
        std::uint64_t bytes = 0;
    };

    std::error_code readSegment(segment &which, bool isLast, stored_state *state,
                                storage_damage *damage);
    std::error_code readSnapshot(stored_state *state, storage_damage *damage);
    std::error_code startSegment();
    std::error_code writeFrame(const messages::stored_frame &message);
    std::error_code writeSnapshotFrame(std::uint64_t number, std::string_view payload);
    std::error_code removeCoveredSegments(std::uint64_t index);

    file_system &files;
    std::vector<segment> segments;
    std::uint64_t nextFrame = 1;
    std::uint64_t term = 0;
    std::string votedFor;
    std::uint64_t snapshotIndex = 0; // of the snapshot that is being written
    std::uint64_t snapshotParts = 0; // of it so far
};

} // namespace filbert

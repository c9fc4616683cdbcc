#pragma once

#include "filbert_messages/filbert_messages.h"
#include "file_system.h"
#include "sync_thread.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace filbert {

/** The durable state of a member, as read at start. */
struct stored_state
{
    std::string identity;
    std::uint64_t term = 0;
    std::string votedFor;
    messages::snapshot_header snapshot;
    std::string snapshotData;
    std::vector<messages::log_entry> entries; // after the snapshot
    std::uint64_t truncatedBytes = 0; // of a torn last frame, cut off at start
};

/** Where stored data is damaged. A process must not start with damaged data. */
struct storage_damage
{
    std::string file;
    std::uint64_t offset = 0;
    std::string description;
};

/** Term, vote, log and snapshot of one member, in the files of its data folder.

    The log is a sequence of segment files, and each segment is a sequence of frames. One call of
    append() writes one frame with one checksum and one sync, so only the last frame can be torn. An
    invalid frame before a valid one has been synced, so it is damaged. After any error of a write
    other than DiskFull the caller must stop, because what the disk holds is unknown.

    @see file_system, replicated_log_state
*/
class log_store
{
public:
    /** @param files       the files of the data folder; they outlive the store
        @param background  runs the syncs of startAppend(), and outlives the store; nullptr = the
                           store is used with append() only */
    explicit log_store(file_system &files, sync_thread *background = nullptr);

    /** Initialises an empty data folder.

        @param identity  the identity of the new member, which no other member has ever had
        @return Conflict if the folder is initialised already, or the error of the write
    */
    std::error_code initialise(const std::string &identity);

    /** Reads the identity, the newest snapshot and the log. Cuts off a torn last frame.

        @param state   set on success
        @param damage  set if the result is StorageDamaged
        @return NotFound if the folder was never initialised, StorageDamaged, StorageFailed
    */
    std::error_code open(stored_state *state, storage_damage *damage);

    /** Writes and syncs one frame. An entry replaces all stored entries from its index on.

        @param term, votedFor  the current term and the vote in it
        @param entries         in the order of their indexes; may be empty
        @return DiskFull if there was no room and nothing changed, or StorageFailed, after which the
                process must stop
    */
    std::error_code append(std::uint64_t term, const std::string &votedFor,
                           const std::vector<messages::log_entry> &entries);

    /** Writes one frame and starts to sync it in the background. Until takeSyncResult() returns the
        result, no other function may be called that writes.

        @param term, votedFor, entries  as for append()
        @return as append(); what was written is durable only once the sync has succeeded
    */
    std::error_code startAppend(std::uint64_t term, const std::string &votedFor,
                                const std::vector<messages::log_entry> &entries);

    /** @return the result of the sync that startAppend() started, once it has ended: StorageFailed
                if the process must stop */
    std::optional<std::error_code> takeSyncResult();

    /** Whether the store can sync in the background. */
    bool syncsInBackground() const { return background != nullptr; }

    /** Writes and syncs a frame that invalidates all stored entries after an index.

        @param index  the last entry that is kept
        @return as append()
    */
    std::error_code truncateAfter(std::uint64_t index);

    /** Writes and syncs a whole snapshot, then removes the segments that it covers.

        @param header  index, term and membership of the snapshot
        @param data    the serialized state at that index
        @return DiskFull if there was no room and nothing changed, or StorageFailed
        @see startSnapshot for a snapshot that is written in chunks between other writes
    */
    std::error_code saveSnapshot(const messages::snapshot_header &header, std::string_view data);

    /** Starts to write a snapshot. Discards a snapshot that was started before and not finished.

        @param header  index, term and membership of the snapshot
        @return as saveSnapshot()
    */
    std::error_code startSnapshot(const messages::snapshot_header &header);

    /** Writes and syncs the next chunk of the started snapshot. @return as saveSnapshot() */
    std::error_code addSnapshotChunk(std::string_view chunk);

    /** Completes the started snapshot, so that open() reads it, and removes the segments that it
        covers. @return as saveSnapshot() */
    std::error_code finishSnapshot();

    /** @return the size of all segments of the log */
    std::uint64_t logBytes() const;

private:
    struct segment
    {
        std::string name;
        std::uint64_t number = 0;
        std::uint64_t lastIndex = 0; // the highest index of its entries
        std::uint64_t bytes = 0;
    };

    std::error_code readSegment(segment &source, bool isLast, stored_state *state,
                                storage_damage *damage);
    std::error_code readSnapshot(stored_state *state, storage_damage *damage);
    std::error_code startSegment();
    std::error_code writeFrame(const messages::stored_frame &message);
    std::error_code syncLog();
    std::error_code writeAndSync(const messages::stored_frame &message);
    std::error_code writeSnapshotFrame(std::uint64_t number, std::string_view payload);
    std::error_code removeCoveredSegments(std::uint64_t index);

    file_system &files;
    sync_thread *background;
    std::vector<segment> segments;
    bool mustSyncFolder = false; // a segment was created since the last sync
    std::uint64_t nextFrame = 1; // number of the next frame of the log
    std::uint64_t term = 0;
    std::string votedFor;
    std::uint64_t snapshotIndex = 0; // of the started snapshot
    std::uint64_t snapshotChunks = 0; // written of the started snapshot
};

} // namespace filbert

#pragma once

#include "replicated_log.h"

#include <functional>
#include <map>
#include <optional>

namespace filbert {

/** Callbacks through which a log_member sends messages and changes the replicated state. */
struct log_member_hooks
{
    /** Sends a message to a member; the protocol repeats messages that are lost. */
    std::function<void(const messages::member &, const messages::replication_message &)> send;
    /** Applies a committed entry to the replicated state. */
    std::function<void(const messages::log_entry &)> apply;
    /** Replaces the replicated state by a snapshot. */
    std::function<void(const std::string &)> restore;
    /** @return the serialized replicated state */
    std::function<std::string()> makeSnapshot;
};

/** When a log_member takes a snapshot. */
struct snapshot_settings
{
    std::uint64_t entries = 1'500; // of 20 commands each, read back in 250 ms at a restart
    std::uint64_t bytes = 24 << 20; // of the log; twice this and a snapshot fit a disk of 128 MB
    milliseconds retryDelay {10'000}; // after a snapshot that found the disk full
};

/** Maximum number of entries that one flush applies, which is about 30 ms of work. A member that
    has many entries to apply answers the other members between flushes; otherwise a leader would
    lose its quorum after a restart of all members. */
constexpr std::size_t maxEntriesPerFlush = 256;

/** One member of a replicated log with its disk.

    Pass in what happens with handleMessage(), tick() and propose(), then call flush() once for all
    of it, so that it needs only one sync. flush() carries out the effects in the only safe order:
    send the messages that may leave before the sync, write and sync, send the other messages, apply
    committed entries.

    With a store that syncs in the background, flush() does not wait for the disk: it returns while
    the sync is in progress, and a later call sends the messages that rely on it. What happens
    meanwhile goes into the next write.
*/
class log_member
{
public:
    /** Restores the replicated state from the stored snapshot, if there is one.

        @param settings   timeouts and limits of the log
        @param snapshots  when to take a snapshot
        @param stored     what the store held at start
        @param seed       for the random part of election timeouts
        @param store      already open; outlives the member
        @param hooks      called from flush() and applyReadyEntries() only, except for restore() of
                          the stored snapshot
        @param now        from monotonicNow(), which includes time in which the host is suspended
    */
    log_member(const replication_settings &settings, const snapshot_settings &snapshots,
               const stored_state &stored, std::uint64_t seed, log_store &store,
               log_member_hooks hooks, time_point now);

    void handleMessage(const messages::replication_message &message, time_point now);

    /** Handles all timeouts; call it every 10 to 20 ms. */
    void tick(time_point now);

    /** Sends the messages that need not wait for a write, such as heartbeats. flush() does so too;
        call this before work that takes long. */
    void sendReadyMessages() { sendMessages(&effects.messagesBeforeSync); }

    /** Appends an entry to the log, if this member leads.

        @param index  set to the index of the entry, or to 0 on an error
        @return as filbert::propose()
    */
    std::error_code propose(std::string payload, time_point now, std::uint64_t *index);

    /** Adds or removes a member. @return as filbert::changeMembership() */
    std::error_code proposeMembershipChange(bool add, const messages::member &member,
                                            time_point now);

    /** Sets which learners may be promoted while this member leads, the preferred ones first.
        Without this call, all are promoted when they have caught up. */
    void setPromotionOrder(std::vector<std::string> identities)
    {
        log.promotionOrder = std::move(identities);
    }

    /** Transfers leadership to another member, as before a planned stop. */
    void transferLeadership(time_point now);

    /** Writes and syncs, or continues a sync in the background, sends messages, applies committed
       entries, and takes a snapshot if one is due. A full disk is no error: the write is repeated
       at the next flush.

        @return StorageFailed if the process must stop
    */
    std::error_code flush(time_point now);

    /** Applies entries that have been committed since the last flush(), without starting a write.
        flush() does so too; call this before work that depends on what is applied.

        @return StorageFailed if the process must stop
    */
    std::error_code applyReadyEntries(time_point now);

    /** Whether this member leads, has committed an entry of its own term, and its lease holds. */
    bool isServing(time_point now) const;

    /** Whether this member leads and has applied every entry of its log. A committed entry may
        still wait to be applied, and a leader that decided before that would not know all tasks
        that run. */
    bool hasAppliedAll() const;

    /** @return when the last message came from a member, or a zero time if none did */
    time_point lastContactWith(const std::string &identity) const;

    bool isDiskFull() const { return hasFullDisk; }
    const replicated_log_state &state() const { return log; }

private:
    /** A write whose sync is in progress. */
    struct pending_sync
    {
        std::uint64_t lastIndex = 0; // of the log at the time of the write
        std::uint64_t lastTerm = 0; // of that entry
        std::vector<messages::replication_message> messages; // to send after the sync
    };

    bool hasWork(std::size_t remainingEntries) const;
    std::error_code persist(time_point now);
    std::error_code finishSync(time_point now);
    void sendMessages(std::vector<messages::replication_message> *messages);
    std::size_t applyCommitted(std::size_t maxEntries);
    std::error_code compact(time_point now);

    replicated_log_state log;
    replication_effects effects;
    snapshot_settings snapshots;
    log_store &store;
    log_member_hooks hooks;
    std::map<std::string, time_point> lastContactAt;
    std::optional<pending_sync> syncing;
    time_point nextSnapshotAttempt;
    bool hasFullDisk = false;
};

} // namespace filbert

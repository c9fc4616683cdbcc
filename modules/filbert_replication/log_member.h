#pragma once

#include "replicated_log.h"

#include <functional>
#include <map>

namespace filbert {

/** What a log_member needs from the program around it. */
struct log_member_hooks
{
    /** Sends to a member; what is lost is sent again by the protocol. */
    std::function<void(const messages::member &, const messages::replication_message &)> send;
    /** Applies a committed entry to the replicated state. */
    std::function<void(const messages::log_entry &)> apply;
    /** Replaces the replicated state by a snapshot. */
    std::function<void(const std::string &)> restore;
    /** @return the replicated state as bytes */
    std::function<std::string()> write;
};

/** When a log_member writes a snapshot. */
struct snapshot_settings
{
    std::uint64_t entries = 1'500; // of 20 commands each: read back in a quarter of a second
    std::uint64_t bytes = 24 << 20; // two of these and a snapshot fit a disk of 128 MB
    milliseconds pause {10'000}; // after one that the disk had no room for
};

/** Most entries that one flush applies: a member with many to catch up with answers others
    between, or a leader would lose its quorum after a restart of all. 30 ms of work. */
constexpr std::size_t entriesPerFlush = 256;

/** One member of a replicated log with its disk: carries out effects in the one safe order.

    Early messages, one synced write, other messages, then apply. Feed it with takeMessage(),
    takeTime() and propose(), then call flush() once for everything that came in: one sync for all.
*/
class log_member
{
public:
    /** @param settings   times and sizes of the log
        @param snapshots  when to compact
        @param stored     what the store held at start
        @param seed       for elections
        @param store      open; outlives the member
        @param hooks      called from flush() only
        @param now        of the clock that counts sleep
    */
    log_member(const replication_settings &settings, const snapshot_settings &snapshots,
               const stored_state &stored, std::uint64_t seed, log_store &store,
               log_member_hooks hooks, time_point now);

    void takeMessage(const messages::replication_message &message, time_point now);

    /** Lets time pass; call it every 10 to 20 ms. */
    void takeTime(time_point now);

    /** Appends an entry, as the leader. @param index filled in with its index
        @return as filbert::propose() */
    std::error_code propose(std::string payload, time_point now, std::uint64_t *index);

    /** Adds or removes a member. @return as filbert::changeMembership() */
    std::error_code change(bool add, const messages::member &which, time_point now);

    /** Hands leadership to another member before a planned stop. */
    void handOverLeadership(time_point now);

    /** Syncs, sends and applies. @return StorageFailed if the process must stop */
    std::error_code flush(time_point now);

    /** Whether this member leads, has applied all that came before, and its lease holds. */
    bool isServing(time_point now) const;

    /** Whether it leads and hooks have been given every entry of its log. What is committed is
       handed out before it is applied: a leader that decided in between would not know what runs.
     */
    bool isSettled() const;

    /** @return when anything last came from a member; the start of time if nothing did */
    time_point heardFrom(const std::string &identity) const;

    bool isDiskFull() const { return hasFullDisk; }
    const replicated_log_state &view() const { return log; }

private:
    void sendAll(std::vector<messages::replication_message> *messages);
    std::size_t applyCommitted(std::size_t most);
    std::error_code compact(time_point now);

    replicated_log_state log;
    replication_effects effects;
    snapshot_settings snapshots;
    log_store &store;
    log_member_hooks hooks;
    std::map<std::string, time_point> heardAt;
    time_point snapshotNotBefore;
    bool hasFullDisk = false;
};

} // namespace filbert

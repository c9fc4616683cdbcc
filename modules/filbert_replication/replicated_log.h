#pragma once

#include "filbert_core/filbert_core.h"
#include "filbert_messages/filbert_messages.h"
#include "filbert_storage/filbert_storage.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace filbert {

/** Timeouts and limits of the replicated log. */
struct replication_settings
{
    milliseconds electionTimeout {500}; // the minimum; a random time up to half of it is added
    milliseconds heartbeatPeriod {100};
    std::size_t maxAppendBytes = 1 << 20;
    std::size_t snapshotChunkBytes = 256 << 10;
    std::size_t maxUncommittedEntries = 20'000; // entries of a leader that no quorum holds yet
};

enum class replica_role { Follower, PreCandidate, Candidate, Leader };

/** @return the name of a role in log lines, for instance "leader" */
std::string_view roleName(replica_role role);

/** What a leader knows about the log of another member. */
struct follower_progress
{
    std::uint64_t matchIndex = 0; // the last entry known to be durable there
    std::uint64_t nextIndex = 1; // the next entry to send
    std::uint64_t ackedRound = 0; // the last heartbeat round that it replied to
    bool isProbing = true; // sends one append at a time until the logs match
    bool isAwaitingReply = false; // to a probe or a snapshot chunk
    std::uint64_t snapshotOffset = 0; // of the next snapshot chunk to send
    bool isReceivingSnapshot = false;
    time_point lastSent;
    int rejections = 0; // in a row, of entries that it had acknowledged
    std::uint64_t rejectedRound = 0; // the heartbeat round of the last rejection
};

/** The state of one member of a replicated log.

    The algorithm is Raft (Ongaro and Ousterhout 2014) with pre-vote, leadership transfer and
    membership changes of one member at a time (all from Ongaro's dissertation), and with
    check-quorum and a leader lease. The state is changed only by the free functions below, which do
    no I/O and read no clock: the caller passes the time and carries out the replication_effects.
*/
struct replicated_log_state
{
    std::string self; // identity of this member, created with the data folder
    replication_settings settings;
    std::uint64_t randomState = 1; // of the generator for election timeouts

    std::uint64_t term = 0;
    std::string votedFor;
    replica_role role = replica_role::Follower;
    std::string leader; // identity; empty if unknown

    messages::snapshot_header snapshot;
    std::shared_ptr<const std::string> snapshotData;
    std::deque<messages::log_entry> entries; // those after the snapshot
    std::uint64_t durableIndex = 0; // index of the last entry synced on this member
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0; // index of the last entry passed to the caller to apply

    messages::membership membership; // the newest in the log, in force as soon as it is appended
    std::uint64_t membershipIndex = 0; // index of the entry with this membership
    // As a leader: the learners that may be promoted, the first one that has caught up. Without a
    // value, all may be.
    std::optional<std::vector<std::string>> promotionOrder;

    std::map<std::string, bool> votes; // received as a candidate
    std::map<std::string, follower_progress> followerProgress; // as a leader, by identity
    std::uint64_t heartbeatRound = 0; // number of the last heartbeat to all followers
    std::map<std::uint64_t, time_point> roundSendTimes; // of rounds not yet answered by a quorum
    time_point leaseExpiresAt; // as a leader
    // When the last message from a leader came; also set at start and when this leader steps down.
    time_point lastLeaderContactAt;
    // As a leader: when the last round that a quorum has answered was sent.
    time_point lastQuorumContactAt;
    time_point electionDeadline;
    time_point nextHeartbeatAt;
    time_point lastTickAt; // the last call of tickLog()
    time_point catchUpUntil; // no election before: messages queued in a stall come first
    std::optional<time_point> transferDeadline; // set during a leadership transfer
    std::string transferee; // identity of the member that leadership is transferred to
    std::string incomingSnapshot; // the part of a snapshot that was received so far
    messages::snapshot_header incomingSnapshotHeader;
    // The leader that sends it and its term. Snapshots of one index differ in their bytes, although
    // they hold the same state, so that parts of two members' do not fit together.
    std::string incomingSnapshotFrom;
    std::uint64_t incomingSnapshotTerm = 0;

    std::uint64_t digestIndex = 0; // the index at which the digest was computed
    std::uint64_t digest = 0; // of the applied state; followers compare theirs with the leader's
};

/** What the caller must do after it has called the functions below, in the order of the fields:
    send messages, persist, send more messages, install a snapshot, apply entries. */
struct replication_effects
{
    std::vector<messages::replication_message> messagesBeforeSync; // do not depend on the sync
    bool mustPersist = false; // term, vote and entriesToPersist, in one synced write
    std::vector<messages::log_entry> entriesToPersist;
    std::vector<messages::replication_message> messagesAfterSync; // rely on what is synced
    bool mustInstall = false; // replace the applied state by the snapshot in replicated_log_state
    bool mustTruncateTail = false; // with mustInstall: invalidate stored entries after the snapshot
    std::vector<messages::log_entry> entriesToApply; // newly committed ones, in order
    bool hasRoleChanged = false;
};

/** Creates the state of a member from what its disk holds.

    @param stored    as read by log_store::open()
    @param settings  timeouts and limits
    @param seed      for the random part of election timeouts
    @param now       the time of monotonicNow()
*/
replicated_log_state makeReplicatedLog(const stored_state &stored,
                                       const replication_settings &settings, std::uint64_t seed,
                                       time_point now);

/** Handles all timeouts: elections, heartbeats, check-quorum. Call it at least every 20 ms. */
void tickLog(replicated_log_state &state, time_point now, replication_effects *effects);

/** Handles a message from another member. A message for another identity is ignored. */
void handleReplicationMessage(replicated_log_state &state,
                              const messages::replication_message &message, time_point now,
                              replication_effects *effects);

/** Reports that the entries up to an index, the term and the vote are synced on this member. */
void handlePersisted(replicated_log_state &state, std::uint64_t index, time_point now,
                     replication_effects *effects);

/** Appends entries to the log of the leader and replicates them.

    @param payloads  one for each entry
    @return NoLeader if this member does not lead or transfers its leadership; Overloaded if
            too many entries are not committed yet
*/
std::error_code propose(replicated_log_state &state, const std::vector<std::string> &payloads,
                        time_point now, replication_effects *effects);

/** Adds a member as a learner, or removes a member. A learner is promoted to a voter automatically
    once it has caught up.

    @param add     whether to add the member or to remove it
    @param member  the member; only its identity is used to remove it
    @return NoLeader if this member does not lead yet; Conflict while another change is pending, if
            the member to add exists, or if no voter would be left; NotFound if the member to remove
            does not exist
*/
std::error_code changeMembership(replicated_log_state &state, bool add,
                                 const messages::member &member, time_point now,
                                 replication_effects *effects);

/** @return the header of a snapshot at an index, which must be applied and still in the log */
messages::snapshot_header snapshotHeaderAt(const replicated_log_state &state, std::uint64_t index);

/** Replaces the snapshot by a newer one and removes the entries that it covers.

    @param index  the last index that the snapshot includes; it must be applied
    @param data   the serialized state at that index
*/
void compactLog(replicated_log_state &state, std::uint64_t index, std::string data);

/** Starts to transfer leadership to the voter with the longest log (Ongaro's dissertation, section
    3.10).

    @return false if this member does not lead, or no voter has acknowledged an entry
*/
bool startLeadershipTransfer(replicated_log_state &state, time_point now,
                             replication_effects *effects);

/** Whether this member leads and its lease holds, so that no other member can have been elected. */
bool hasLease(const replicated_log_state &state, time_point now);

/** Whether this member leads, transfers its leadership to nobody, and has committed an entry of its
    own term, and thereby all entries of earlier terms. */
bool isReadyLeader(const replicated_log_state &state);

/** Whether a member keeps rejecting entries that it had acknowledged, because its disk lost synced
    data. */
bool hasLostEntries(const follower_progress &progress);

/** @return the index of the last entry */
std::uint64_t lastIndex(const replicated_log_state &state);

/** @return the term of the entry at an index, or nothing if the snapshot covers the entry or it is
    not in the log yet */
std::optional<std::uint64_t> termAt(const replicated_log_state &state, std::uint64_t index);

/** @return the member with an identity, or nullptr */
const messages::member *findMember(const messages::membership &membership,
                                   const std::string &identity);

/** @return the first entry of a new log: a membership with this member alone. Used once in the
    lifetime of a cell. */
messages::log_entry makeBootstrapEntry(const messages::member &self);

} // namespace filbert

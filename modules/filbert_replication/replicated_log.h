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

/** Times and sizes of the replicated log. */
struct replication_settings
{
    milliseconds electionTimeout {500}; // the shortest; each try adds up to as much again at random
    milliseconds heartbeat {100};
    std::size_t appendBytes = 1 << 20;
    std::size_t snapshotChunkBytes = 256 << 10;
    std::size_t maxUncommitted = 20'000; // entries of a leader that wait for a quorum
};

enum class replica_role { Follower, PreCandidate, Candidate, Leader };

/** @param role any @return its name for logs, e.g. "leader" */
std::string_view roleName(replica_role role);

/** What a leader knows of one other member. */
struct follower_progress
{
    std::uint64_t match = 0; // durable there
    std::uint64_t next = 1; // to send
    std::uint64_t ackedRound = 0;
    bool isProbing = true; // one append at a time until logs match
    bool isWaiting = false; // for an answer to a probe or a snapshot chunk
    std::uint64_t snapshotOffset = 0;
    bool isTakingSnapshot = false;
    time_point lastSent;
    int refusals = 0; // in a row, of what it had acknowledged
    std::uint64_t refusedRound = 0; // the round in which the last refusal came
};

/** One member of a replicated log: consensus as plain state.

    Raft (Ongaro and Ousterhout 2014; pre-vote, leadership transfer and one-at-a-time membership
   from Ongaro's dissertation) with check-quorum and a leader lease. All change goes through the
   free functions below; they do no I/O and read no clock.
*/
struct replicated_log_state
{
    std::string self; // identity, made with the data folder
    replication_settings settings;
    std::uint64_t randomState = 1;

    std::uint64_t term = 0;
    std::string votedFor;
    replica_role role = replica_role::Follower;
    std::string leader; // identity; empty = unknown

    messages::snapshot_header snapshot;
    std::shared_ptr<const std::string> snapshotData;
    std::deque<messages::log_entry> entries; // those after the snapshot
    std::uint64_t durable = 0; // last index synced here
    std::uint64_t commit = 0;
    std::uint64_t applied = 0; // handed out as committed

    messages::membership members; // the newest in the log counts from when it is appended
    std::uint64_t membersIndex = 0;

    std::map<std::string, bool> votes;
    std::map<std::string, follower_progress> followers;
    std::uint64_t round = 0;
    std::map<std::uint64_t, time_point> roundsSent;
    time_point leaseUntil;
    time_point lastHeard; // of a leader, as a follower
    time_point lastQuorum; // as a leader
    time_point electionAt;
    time_point heartbeatAt;
    time_point steppedAt; // the last stepTime()
    time_point catchUpUntil; // after a stall of its own: what others sent meanwhile is read first
    std::optional<time_point> handOverUntil; // proposals stop, leadership goes to another member
    std::string handOverMember;
    std::string incoming; // a snapshot on its way
    messages::snapshot_header incomingHeader;

    std::uint64_t digestIndex = 0; // of the applied state, compared between members
    std::uint64_t digest = 0;
};

/** What must be done after a step, in this order: send early, persist, send, install, apply. */
struct replication_effects
{
    std::vector<messages::replication_message> early; // may leave before the sync
    bool mustPersist = false; // term, vote and these entries, in one synced write
    std::vector<messages::log_entry> persist;
    std::vector<messages::replication_message> send; // only after the sync
    bool mustInstall = false; // replace the state by the snapshot in replicated_log_state
    bool mustDropTail = false; // with mustInstall: stored entries behind the snapshot are void
    std::vector<messages::log_entry> committed; // to apply, in order
    bool hasRoleChanged = false;
};

/** Makes the state of a member from what its disk holds.

    @param stored    as log_store::open() gave it
    @param settings  times and sizes
    @param seed      for the random part of election timeouts
    @param now       monotonic, milliseconds
*/
replicated_log_state makeReplicatedLog(const stored_state &stored,
                                       const replication_settings &settings, std::uint64_t seed,
                                       time_point now);

/** Lets time pass: elections, heartbeats, check-quorum. Call it at least every 20 ms. */
void stepTime(replicated_log_state &state, time_point now, replication_effects *effects);

/** Takes a message of another member; those for another identity are dropped. */
void stepMessage(replicated_log_state &state, const messages::replication_message &message,
                 time_point now, replication_effects *effects);

/** Says that everything in the last effects' persist is synced. */
void stepPersisted(replicated_log_state &state, std::uint64_t index, time_point now,
                   replication_effects *effects);

/** Appends entries, as the leader.

    @param payloads  one for each entry
    @return NoLeader if this member does not lead or is handing over; Overloaded if too many wait
*/
std::error_code propose(replicated_log_state &state, const std::vector<std::string> &payloads,
                        time_point now, replication_effects *effects);

/** Adds a learner, which becomes a voter by itself once it has caught up, or removes a member.

    @param add      whether to add; the identity alone counts when removing
    @return NoLeader, Conflict while another change is under way, NotFound, or no error
*/
std::error_code changeMembership(replicated_log_state &state, bool add,
                                 const messages::member &which, time_point now,
                                 replication_effects *effects);

/** What describes a snapshot of the state at an index. @param index applied and still held */
messages::snapshot_header snapshotHeaderAt(const replicated_log_state &state, std::uint64_t index);

/** Takes over a new snapshot of the applied state and drops the entries that it covers.

    @param index  the last applied index that it holds
    @param data   the state
*/
void compactLog(replicated_log_state &state, std::uint64_t index, std::string data);

/** Hands leadership to the member that is furthest on. @return false if there is none */
bool handOver(replicated_log_state &state, time_point now, replication_effects *effects);

/** Whether this member leads and its lease holds, so that no other can have been elected. */
bool hasLease(const replicated_log_state &state, time_point now);

/** Whether it leads and has applied everything of earlier terms. */
bool isReadyLeader(const replicated_log_state &state);

/** Whether a member refuses what it had acknowledged: its disk lost synced data. */
bool hasLostEntries(const follower_progress &progress);

/** @return index of the last entry */
std::uint64_t lastIndex(const replicated_log_state &state);

/** @return the term of an entry, or nothing if it is not held any more or not yet */
std::optional<std::uint64_t> termAt(const replicated_log_state &state, std::uint64_t index);

/** @return the member with an identity, or nullptr */
const messages::member *findMember(const messages::membership &members,
                                   const std::string &identity);

/** Writes the first membership into an empty log: this member alone. Used once in a cell's life. */
messages::log_entry makeFirstEntry(const messages::member &self);

} // namespace filbert

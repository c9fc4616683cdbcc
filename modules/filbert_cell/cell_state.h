#pragma once

#include "filbert_configuration/filbert_configuration.h"
#include "filbert_policy/resource_amounts.h"
#include "snapshot_map.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace filbert {

/** Bounds on what the replicated state keeps. They are part of the replicated logic: all members
    must use the same values.
*/
struct retention_limits
{
    std::size_t maxIdempotencyRecords = 1'000'000;
    std::int64_t idempotencyRetentionMs = 24LL * 3'600 * 1'000;
    std::size_t maxEndedJobs = 20'000;
    std::size_t maxAuditRecords = 10'000;
    std::size_t maxDeltas = 512;
    std::size_t maxStoredAnswerBytes = 64 << 10;
};

enum class task_state { Waiting, Running, Succeeded, Failed, Cancelled, Unknown };

/** One task of a job. Its index is its position in the job's list of tasks. */
struct task_record
{
    task_state state = task_state::Waiting;
    std::int32_t failures = 0;
    std::uint64_t placement = 0; // id; 0 = not running
};

/** An accepted job. Of the ended jobs, only the latest are kept. @see retention_limits */
struct job_record
{
    messages::job_submission submission;
    std::vector<task_record> tasks;
    std::int64_t submittedMs = 0; // wall clock of the leader
    std::int64_t endedMs = 0; // 0 = some task is waiting or running
    std::string holdReason; // empty = not held; a held job starts no tasks until it is released
    std::set<std::string> failedTargets; // since the job was last released from a hold
    bool isCancelled = false;
};

/** One start of a task on a target, from its commit to its end. */
struct placement_record
{
    std::uint64_t id = 0;
    std::uint64_t jobId = 0; // 0 = a synchronous request
    std::int64_t targetEpoch = 0;
    std::int64_t startBy = 0; // latest start, in ms of the target's own clock
    std::string target;
    std::string team;
    std::string service;
    std::string idempotencyRecordKey; // key of the idempotency record; empty = none
    resource_amounts need;
    std::int32_t taskIndex = 0;
    bool isIdempotent = false;
};

/** A registered target. */
struct target_record
{
    messages::target_registration registration;
    resource_amounts used;
    std::unordered_set<std::uint64_t> placements; // ids
};

/** Number of tasks of jobs in each state. The states add up to all tasks that were accepted. */
struct task_counts
{
    std::int64_t accepted = 0;
    std::int64_t byState[6] = {}; // indexed by task_state
};

/** The replicated state: the same on every member at the same log index.

    Only applyCommand() changes it. That is deterministic, so it depends on nothing but the state,
    the command and the wall clock time in the log.
*/
struct cell_state
{
    retention_limits limits;
    cell_configuration configuration;
    std::deque<messages::configuration_delta> deltas; // the latest changes, oldest first
    std::deque<messages::audit_record> audit; // oldest first
    std::map<std::string, target_record> targets;
    snapshot_map<std::uint64_t, placement_record> placements;
    snapshot_map<std::uint64_t, job_record> jobs;
    // Idempotency records by number, the oldest first, and the numbers by key of the record.
    snapshot_map<std::uint64_t, messages::idempotency_record> idempotencyRecords;
    std::unordered_map<std::string, std::uint64_t> idempotencyNumbers;
    std::uint64_t lastIdempotencyNumber = 0;
    std::deque<std::uint64_t> endedJobIds;
    std::unordered_map<std::string, resource_amounts> usedByTeam;
    task_counts taskCounts;
    std::uint64_t nextJobId = 1;
    std::uint64_t commandsApplied = 0;
    std::uint64_t digest = 0; // over the effects of all commands; equal on all members
};

/** A placement that a command ended, so that the leader can release its resources. */
struct ended_placement
{
    placement_record placement;
    messages::task_result result = messages::NOT_RUN;
    bool isTaskRequeued = false; // the job's task waits again
    std::string reason; // for the job's owner
};

/** The result of applying a command. It is not replicated itself, but equal on every member. */
struct apply_outcome
{
    error_kind error = error_kind::None;
    std::string detail; // for a person
    std::uint64_t jobId = 0;
    bool isDuplicate = false; // an earlier request had the same key or request id
    messages::idempotency_record storedRecord; // of the earlier request
    std::int64_t version = 0; // of the configuration
    std::string digest; // of the configuration
    std::vector<ended_placement> ended;
};

/** Applies one committed command. A command that would violate a limit or an invariant is rejected
    here, whatever the leader checked before it proposed the command.

    @param state    of this member
    @param command  from the log
    @param wallMs   wall clock time of the leader when it proposed the command; from the log
    @return the result, which is the same on every member
*/
apply_outcome applyCommand(cell_state &state, const messages::command &command,
                           std::int64_t wallMs);

/** Finds an idempotency record.

    @param key  key of the record, from idempotencyRecordKey()
    @return the record, or nullptr
*/
const messages::idempotency_record *findIdempotencyRecord(const cell_state &state,
                                                          const std::string &key);

/** Starts a snapshot of the present state. Commands may be applied while it is read.

    @param state  of this member; a snapshot that has not been read to its end is abandoned
    @return the first chunk: configuration, audit trail, targets and counts
    @see readSnapshotChunk
*/
std::string startSnapshot(cell_state &state);

/** Reads the next chunk of the snapshot that startSnapshot() started. restoreCell() reads the
    concatenation of all chunks.

    @param state       of this member
    @param maxRecords  of each kind in this chunk
    @param chunk       is appended to
    @return whether this was the last chunk
*/
bool readSnapshotChunk(cell_state &state, std::size_t maxRecords, std::string *chunk);

/** @return a snapshot of the whole state at once, to be read by restoreCell(); for tests and
            benchmarks
*/
std::string serializeCell(cell_state state);

/** Restores the state from a snapshot.

    @param data   all chunks, concatenated
    @param state  is replaced, except for its limits; stays as it is on an error
    @return StorageDamaged if the data cannot be parsed
*/
std::error_code restoreCell(const std::string &data, cell_state *state);

/** @return whether no task of a job is waiting or running */
bool hasEnded(const job_record &job);

/** @return the number of a job's tasks in each state; byState is indexed by task_state */
task_counts countTasks(const job_record &job);

/** Builds the key of an idempotency record.

    @param team   of the caller
    @param scope  "service/NAME" or "queue/NAME"
    @param key    idempotency key that the caller sent
*/
std::string idempotencyRecordKey(const std::string &team, const std::string &scope,
                                 const std::string &key);

/** Checks that all totals match the records they are derived from. It visits the whole state, so it
    is for tests and after a restore only.
*/
void checkCellInvariants(const cell_state &state);

} // namespace filbert

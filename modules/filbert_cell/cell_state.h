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

/** Bounds on what the replicated state keeps. */
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

/** One task of a job. */
struct task_record
{
    task_state state = task_state::Waiting;
    std::int32_t failures = 0;
    std::uint64_t placement = 0;
};

/** A job that was accepted, until it is forgotten some time after its end. */
struct job_record
{
    messages::job_submission submission;
    std::vector<task_record> tasks;
    std::int64_t submittedMs = 0; // wall clock
    std::int64_t endedMs = 0; // 0 = some task has not ended
    std::string holdReason; // not empty = held
    std::set<std::string> failedTargets;
    bool isCancelled = false;
};

/** A task that runs or is about to. */
struct placement_record
{
    std::uint64_t id = 0;
    std::uint64_t jobId = 0; // 0 for a synchronous request
    std::int64_t targetEpoch = 0;
    std::int64_t startBy = 0; // target's clock, ms
    std::string target;
    std::string team;
    std::string service;
    std::string idempotencyRecordKey; // full key of the record; empty = none
    resource_amounts need;
    std::int32_t taskIndex = 0;
    bool isIdempotent = false;
};

/** A target that has announced itself. */
struct target_record
{
    messages::target_registration registration;
    resource_amounts used;
    std::unordered_set<std::uint64_t> placements;
};

/** How many tasks of jobs are in each state; they add up to all that were accepted. */
struct task_counts
{
    std::int64_t accepted = 0;
    std::int64_t byState[6] = {};
};

/** Everything that is replicated: the same on every member at the same log index.

    Changed by applyCommand() alone, which is deterministic.
*/
struct cell_state
{
    retention_limits limits;
    cell_configuration configuration;
    std::deque<messages::configuration_delta> deltas; // the latest changes, oldest first
    std::deque<messages::audit_record> audit;
    std::map<std::string, target_record> targets;
    snapshot_map<std::uint64_t, placement_record> placements;
    snapshot_map<std::uint64_t, job_record> jobs;
    snapshot_map<std::uint64_t, messages::idempotency_record> idempotencyRecords; // by age
    std::unordered_map<std::string, std::uint64_t> idempotencyNumbers; // by the record's key
    std::uint64_t lastIdempotencyNumber = 0;
    std::deque<std::uint64_t> endedJobIds;
    std::unordered_map<std::string, resource_amounts> usedByTeam;
    task_counts taskCounts;
    std::uint64_t nextJobId = 1;
    std::uint64_t commandsApplied = 0;
    std::uint64_t digest = 0;
};

/** A placement that has ended, for those who keep track of room. */
struct ended_placement
{
    placement_record placement;
    messages::task_result result = messages::NOT_RUN;
    bool isTaskRequeued = false;
    std::string reason;
};

/** What a command came to. */
struct apply_outcome
{
    error_kind error = error_kind::None;
    std::string detail;
    std::uint64_t jobId = 0;
    bool isDuplicate = false; // the answer of an earlier, equal request
    messages::idempotency_record storedRecord;
    std::int64_t version = 0;
    std::string digest;
    std::vector<ended_placement> ended;
};

/** Applies one committed command. It refuses what would break a promise, whatever was proposed.

    @param state    of this member
    @param command  from the log
    @param wallMs   wall clock of the leader that proposed it; from the log
    @return what it came to; the same on every member
*/
apply_outcome applyCommand(cell_state &state, const messages::command &command,
                           std::int64_t wallMs);

/** @param key full name of it, see idempotencyRecordKey() @return the record, or nullptr */
const messages::idempotency_record *findIdempotencyRecord(const cell_state &state,
                                                          const std::string &key);

/** Starts a snapshot of the present moment; commands may go on.

    @param state  of this member; one snapshot at a time, an unfinished one is given up
    @return the first part: configuration, audit trail, targets and counts
    @see readSnapshotChunk
*/
std::string startSnapshot(cell_state &state);

/** Reads the next part of the snapshot that startSnapshot() began. The parts in a row are what
    restoreCell() reads.

    @param state  of this member
    @param most   records at the most
    @param part   to append to
    @return whether that was the last part
*/
bool readSnapshotChunk(cell_state &state, std::size_t most, std::string *part);

/** @return the whole state at once, to be read back by restoreCell(); for tests and trials */
std::string serializeCell(cell_state state);

/** @param data all parts of a snapshot @param state replaced @return StorageDamaged if it cannot be
 * read */
std::error_code restoreCell(const std::string &data, cell_state *state);

/** Whether every task of a job has ended. */
bool hasEnded(const job_record &job);

/** @return counts of a job's tasks by state, in the order of task_state */
task_counts countTasks(const job_record &job);

/** The full name of an idempotency record. @param scope "service/NAME" or "queue/NAME" */
std::string idempotencyRecordKey(const std::string &team, const std::string &scope,
                                 const std::string &key);

/** Checks that all sums agree with each other; costly, for tests and after a restore. */
void checkCellInvariants(const cell_state &state);

} // namespace filbert

#include "cell_state.h"

#include <algorithm>

namespace filbert {

namespace {

void writePlacement(const placement_record &placement, messages::placement *serialized)
{
    serialized->set_id(placement.id);
    serialized->set_job_id(placement.jobId);
    serialized->set_target_epoch(placement.targetEpoch);
    serialized->set_start_by(placement.startBy);
    serialized->set_target(placement.target);
    serialized->set_team(placement.team);
    serialized->set_service(placement.service);
    serialized->set_idempotency_key(placement.idempotencyRecordKey);
    *serialized->mutable_task() = messageOf(placement.need);
    serialized->set_task_index(placement.taskIndex);
    serialized->set_idempotent(placement.isIdempotent);
}

placement_record readPlacement(const messages::placement &serialized)
{
    return {serialized.id(),         serialized.job_id(),          serialized.target_epoch(),
            serialized.start_by(),   serialized.target(),          serialized.team(),
            serialized.service(),    serialized.idempotency_key(), amountsOf(serialized.task()),
            serialized.task_index(), serialized.idempotent()};
}

void writeJob(const job_record &job, messages::job_snapshot *snapshot)
{
    *snapshot->mutable_submission() = job.submission;
    for (const auto &task : job.tasks) {
        auto *taskSnapshot = snapshot->add_tasks();
        taskSnapshot->set_state(static_cast<int>(task.state));
        taskSnapshot->set_placement_id(task.placement);
        taskSnapshot->set_failures(task.failures);
    }
    snapshot->set_submitted_ms(job.submittedMs);
    snapshot->set_ended_ms(job.endedMs);
    snapshot->set_hold_reason(job.holdReason);
    snapshot->mutable_failed_targets()->Assign(job.failedTargets.begin(), job.failedTargets.end());
    snapshot->set_state(job.isCancelled ? 1 : 0);
}

job_record readJob(const messages::job_snapshot &snapshot)
{
    job_record job;
    job.submission = snapshot.submission();
    for (const auto &task : snapshot.tasks()) {
        job.tasks.push_back(
            {static_cast<task_state>(task.state()), task.failures(), task.placement_id()});
    }
    job.submittedMs = snapshot.submitted_ms();
    job.endedMs = snapshot.ended_ms();
    job.holdReason = snapshot.hold_reason();
    job.failedTargets.insert(snapshot.failed_targets().begin(), snapshot.failed_targets().end());
    job.isCancelled = snapshot.state() == 1;
    return job;
}

/** Reads the idempotency records. */
void readIdempotencyRecords(const messages::cell_snapshot &snapshot, cell_state *state)
{
    for (const auto &record : snapshot.idempotency()) {
        // Records of older snapshots have no numbers; there the order of the records is their age.
        const auto number =
            record.number() != 0 ? record.number() : state->idempotencyRecords.size() + 1;
        state->idempotencyRecords.add(number, record).set_number(number);
        state->idempotencyNumbers[record.key()] = number;
    }
    state->lastIdempotencyNumber = std::max<std::uint64_t>(snapshot.last_idempotency_number(),
                                                           state->idempotencyRecords.size());
}

/** Recomputes the totals that a snapshot does not hold from the placements. */
void rebuildUsage(cell_state *state)
{
    for (const auto &[id, placement] : state->placements) {
        auto &target = state->targets[placement.target];
        target.used += placement.need;
        target.placements.insert(id);
        state->usedByTeam[placement.team] += placement.need;
    }
}

} // namespace

std::string startSnapshot(cell_state &state)
{
    state.placements.startSnapshot();
    state.jobs.startSnapshot();
    state.idempotencyRecords.startSnapshot();
    messages::cell_snapshot snapshot;
    snapshot.set_version(1);
    snapshot.set_configuration_version(state.configuration.version());
    for (const auto &[key, value] : state.configuration.items()) {
        auto *item = snapshot.add_items();
        item->set_key(key);
        item->set_value(value);
    }
    snapshot.mutable_deltas()->Assign(state.deltas.begin(), state.deltas.end());
    snapshot.mutable_audit()->Assign(state.audit.begin(), state.audit.end());
    for (const auto &[name, target] : state.targets) {
        *snapshot.add_targets() = target.registration;
    }
    snapshot.mutable_ended_jobs()->Assign(state.endedJobIds.begin(), state.endedJobIds.end());
    snapshot.mutable_ended_counts()->Assign(std::begin(state.taskCounts.byState),
                                            std::end(state.taskCounts.byState));
    snapshot.set_accepted(state.taskCounts.accepted);
    snapshot.set_next_job_id(state.nextJobId);
    snapshot.set_commands_applied(state.commandsApplied);
    snapshot.set_digest(state.digest);
    snapshot.set_last_idempotency_number(state.lastIdempotencyNumber);
    return snapshot.SerializeAsString();
}

bool readSnapshotChunk(cell_state &state, std::size_t maxRecords, std::string *chunk)
{
    messages::cell_snapshot snapshot;
    const bool isComplete =
        state.placements.readEntries(maxRecords,
                                     [&](std::uint64_t, const auto &placement) {
                                         writePlacement(placement, snapshot.add_placements());
                                     })
        && state.jobs.readEntries(
            maxRecords, [&](std::uint64_t, const auto &job) { writeJob(job, snapshot.add_jobs()); })
        && state.idempotencyRecords.readEntries(maxRecords, [&](std::uint64_t, const auto &record) {
               *snapshot.add_idempotency() = record;
           });
    snapshot.AppendToString(chunk);
    return isComplete;
}

std::string serializeCell(cell_state state)
{
    constexpr std::size_t unlimited = SIZE_MAX;
    auto data = startSnapshot(state);
    readSnapshotChunk(state, unlimited, &data);
    return data;
}

std::error_code restoreCell(const std::string &data, cell_state *state)
{
    messages::cell_snapshot snapshot;
    if (!snapshot.ParseFromString(data)) {
        return error_kind::StorageDamaged;
    }
    cell_state fresh;
    fresh.limits = state->limits;
    fresh.configuration.applyChanges(snapshot.items(), snapshot.configuration_version());
    fresh.deltas.assign(snapshot.deltas().begin(), snapshot.deltas().end());
    fresh.audit.assign(snapshot.audit().begin(), snapshot.audit().end());
    for (const auto &target : snapshot.targets()) {
        fresh.targets[target.name()].registration = target;
    }
    for (const auto &placement : snapshot.placements()) {
        fresh.placements.add(placement.id(), readPlacement(placement));
    }
    for (const auto &job : snapshot.jobs()) {
        fresh.jobs.add(job.submission().id(), readJob(job));
    }
    fresh.endedJobIds.assign(snapshot.ended_jobs().begin(), snapshot.ended_jobs().end());
    readIdempotencyRecords(snapshot, &fresh);
    rebuildUsage(&fresh);
    fresh.taskCounts.accepted = snapshot.accepted();
    std::copy(snapshot.ended_counts().begin(), snapshot.ended_counts().end(),
              std::begin(fresh.taskCounts.byState));
    fresh.nextJobId = snapshot.next_job_id();
    fresh.commandsApplied = snapshot.commands_applied();
    fresh.digest = snapshot.digest();
    checkCellInvariants(fresh);
    *state = std::move(fresh);
    return {};
}

} // namespace filbert

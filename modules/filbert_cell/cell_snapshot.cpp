#include "cell_state.h"

#include <algorithm>

namespace filbert {

namespace {

void writePlacement(const placement_record &from, messages::placement *to)
{
    to->set_id(from.id);
    to->set_job_id(from.jobId);
    to->set_target_epoch(from.targetEpoch);
    to->set_start_by(from.startBy);
    to->set_target(from.target);
    to->set_team(from.team);
    to->set_service(from.service);
    to->set_idempotency_key(from.idempotencyRecordKey);
    *to->mutable_task() = messageOf(from.need);
    to->set_task_index(from.taskIndex);
    to->set_idempotent(from.isIdempotent);
}

placement_record readPlacement(const messages::placement &from)
{
    return {from.id(),         from.job_id(),          from.target_epoch(),
            from.start_by(),   from.target(),          from.team(),
            from.service(),    from.idempotency_key(), amountsOf(from.task()),
            from.task_index(), from.idempotent()};
}

void writeJob(const job_record &from, messages::job_snapshot *to)
{
    *to->mutable_submission() = from.submission;
    for (const auto &task : from.tasks) {
        auto *written = to->add_tasks();
        written->set_state(static_cast<int>(task.state));
        written->set_placement_id(task.placement);
        written->set_failures(task.failures);
    }
    to->set_submitted_ms(from.submittedMs);
    to->set_ended_ms(from.endedMs);
    to->set_hold_reason(from.holdReason);
    to->mutable_failed_targets()->Assign(from.failedTargets.begin(), from.failedTargets.end());
    to->set_state(from.isCancelled ? 1 : 0);
}

job_record readJob(const messages::job_snapshot &from)
{
    job_record job;
    job.submission = from.submission();
    for (const auto &task : from.tasks()) {
        job.tasks.push_back(
            {static_cast<task_state>(task.state()), task.failures(), task.placement_id()});
    }
    job.submittedMs = from.submitted_ms();
    job.endedMs = from.ended_ms();
    job.holdReason = from.hold_reason();
    job.failedTargets.insert(from.failed_targets().begin(), from.failed_targets().end());
    job.isCancelled = from.state() == 1;
    return job;
}

void readIdempotency(const messages::cell_snapshot &snapshot, cell_state *state)
{
    for (const auto &record : snapshot.idempotency()) {
        // Before records had numbers, their order in the snapshot was their age.
        const auto number =
            record.number() != 0 ? record.number() : state->idempotencyRecords.size() + 1;
        state->idempotencyRecords.add(number, record).set_number(number);
        state->idempotencyNumbers[record.key()] = number;
    }
    state->lastIdempotencyNumber = std::max<std::uint64_t>(snapshot.last_idempotency_number(),
                                                           state->idempotencyRecords.size());
}

void readSums(cell_state *state)
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
    state.placements.startReading();
    state.jobs.startReading();
    state.idempotencyRecords.startReading();
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

bool readSnapshotChunk(cell_state &state, std::size_t most, std::string *part)
{
    messages::cell_snapshot snapshot;
    const bool isWhole = state.placements.readSome(most, [&](std::uint64_t, const auto &placement) {
        writePlacement(placement, snapshot.add_placements());
    }) && state.jobs.readSome(most, [&](std::uint64_t, const auto &job) {
        writeJob(job, snapshot.add_jobs());
    }) && state.idempotencyRecords.readSome(most, [&](std::uint64_t, const auto &record) {
        *snapshot.add_idempotency() = record;
    });
    snapshot.AppendToString(part);
    return isWhole;
}

std::string serializeCell(cell_state state)
{
    constexpr std::size_t all = SIZE_MAX;
    auto data = startSnapshot(state);
    readSnapshotChunk(state, all, &data);
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
    readIdempotency(snapshot, &fresh);
    readSums(&fresh);
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

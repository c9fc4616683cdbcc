#include "target_leases.h"

#include "leadership.h"

#include <algorithm>

namespace filbert {

namespace {

constexpr int maxTargetServices = 64;

bool isValidRegistration(const messages::target_registration &registration)
{
    const auto capacity = amountsOf(registration.capacity());
    return !registration.name().empty() && isEndpoint(registration.address())
        && fitsWithin({}, capacity) && capacity.slots > 0 && registration.services_size() > 0
        && registration.services_size() <= maxTargetServices && registration.epoch() > 0;
}

messages::task_result resultOf(const messages::finished_task &task,
                               const placement_record &placement)
{
    // A request with an idempotency key has run, but its answer was lost with its gateway.
    if (task.stopped() || !placement.idempotencyRecordKey.empty()) {
        return messages::UNKNOWN;
    }
    return task.succeeded() ? messages::SUCCEEDED : messages::FAILED;
}

/** @return whether the gateway of a synchronous request that has run had enough time to deliver its
    answer. A request with an idempotency key gets longer, since without the answer only the fact
    that it ran can be stored.
*/
bool isAnswerOverdue(const controller_state &state, const placement_record &placement,
                     const messages::target_heartbeat &heartbeat)
{
    const auto gracePeriodMs =
        placement.idempotencyRecordKey.empty() ? 0 : state.settings.targetLease.count;
    return placement.startBy + gracePeriodMs < heartbeat.clock_ms();
}

/** Proposes the end of placements that the target does not run any more, each with the result that
    is certain.
*/
void reconcilePlacements(controller_state &state, const target_record &target,
                         const messages::target_heartbeat &heartbeat)
{
    std::unordered_set<std::uint64_t> reported;
    for (const auto &task : heartbeat.running()) {
        reported.insert(task.placement_id());
    }
    for (const auto &task : heartbeat.finished()) {
        reported.insert(task.placement_id());
        const auto found = state.cell.placements.find(task.placement_id());
        if (found == state.cell.placements.end()) {
            continue;
        }
        messages::placement_end end;
        end.set_placement_id(task.placement_id());
        end.set_result(resultOf(task, found->second));
        end.set_reason(task.detail());
        if (found->second.jobId != 0 || isAnswerOverdue(state, found->second, heartbeat)) {
            proposeEnd(state, std::move(end)); // otherwise its gateway may still deliver the answer
        }
    }
    for (const auto id : target.placements) {
        const auto &placement = state.cell.placements.at(id);
        const bool isOfEarlierEpoch = placement.targetEpoch < heartbeat.epoch();
        if (reported.contains(id)
            || (!isOfEarlierEpoch && placement.startBy >= heartbeat.clock_ms())) {
            continue;
        }
        messages::placement_end end;
        end.set_placement_id(id);
        // A target reports each task that it ran until that is acknowledged, so this one never
        // started.
        end.set_result(isOfEarlierEpoch ? messages::UNKNOWN : messages::NOT_RUN);
        end.set_reason(isOfEarlierEpoch ? "the target restarted" : "the start came too late");
        proposeEnd(state, std::move(end));
    }
}

/** @return whether a target has no placements, neither committed ones nor scheduled ones */
bool hasNoWork(const controller_state &state, const target_record &target)
{
    const auto index = state.scheduler.index.byName.at(target.registration.name());
    return target.placements.empty() && state.scheduler.runningOnTarget[index].empty();
}

/** Throttles or stops idempotent batch tasks of a target whose tasks use more than its capacity.
    Tasks are stopped if memory is short, since throttling frees none, or if processor time is still
    short after the throttle timeout.
*/
void throttleOvercommitted(controller_state &state, const target_record &target,
                           const messages::target_heartbeat &heartbeat, time_point now,
                           messages::heartbeat_reply *answer)
{
    resource_amounts used;
    for (const auto &task : heartbeat.running()) {
        used += amountsOf(task.used());
    }
    const auto capacity = amountsOf(target.registration.capacity());
    for (const auto &task : heartbeat.running()) {
        const auto id = task.placement_id();
        const bool hasMemory = used.memoryMb <= capacity.memoryMb;
        if (hasMemory && used.milliCores <= capacity.milliCores) {
            state.throttledSince.erase(id);
            continue;
        }
        const auto found = state.scheduler.running.find(id);
        if (found == state.scheduler.running.end() || found->second.kind != work_class::Batch
            || !found->second.isIdempotent) {
            continue;
        }
        const auto throttledAt = state.throttledSince.emplace(id, now).first->second;
        used -= amountsOf(task.used());
        if (hasMemory && now - throttledAt < state.settings.throttleTimeout) {
            answer->add_throttle(id);
        } else {
            answer->add_stop(id);
        }
    }
}

} // namespace

void handleAnnouncement(controller_state &state, const reply_address &from,
                        const messages::target_registration &registration)
{
    if (!isValidRegistration(registration)) {
        refuse(state, from, error_kind::Malformed,
               "a target needs name, address (IP:port), epoch, services and a capacity with slots");
        return;
    }
    messages::command command;
    *command.mutable_target() = registration;
    proposeCommand(state, std::move(command), from);
}

void handleHeartbeat(controller_state &state, const reply_address &from,
                     const messages::target_heartbeat &heartbeat, time_point now)
{
    messages::envelope envelope;
    auto *answer = envelope.mutable_heartbeat_reply();
    const auto found = state.cell.targets.find(heartbeat.name());
    if (found == state.cell.targets.end()
        || found->second.registration.epoch() != heartbeat.epoch()) {
        answer->set_announce_again(true);
        reply(state, from, std::move(envelope));
        return;
    }
    const auto &target = found->second;
    auto &live = state.liveness[heartbeat.name()];
    if (live.isRemovalProposed) {
        // Its tasks are being replaced: with a renewed lease they would run beside their
        // replacements.
        answer->set_announce_again(true);
        reply(state, from, std::move(envelope));
        return;
    }
    if (heartbeat.clock_ms() < live.clockMs) {
        refuse(state, from, error_kind::Malformed, "the clock of a target must not go backwards");
        return;
    }
    const auto lease = state.settings.targetLease;
    live.gateway = from.gateway;
    live.clockMs = heartbeat.clock_ms();
    live.lastContactAt = now;
    live.leaseExpiresAt = now + withClockRateMargin(lease);
    if (!live.hasHeartbeat || live.isLeaving != heartbeat.leaving()) {
        live.hasHeartbeat = true;
        live.isLeaving = heartbeat.leaving();
        updateTarget(state.scheduler, targetEntryOf(target), !live.isLeaving);
    }
    reconcilePlacements(state, target, heartbeat);
    for (const auto &task : heartbeat.running()) {
        if (state.cell.placements.contains(task.placement_id())) {
            recordUsage(state.scheduler, task.placement_id(), amountsOf(task.used()));
            if (state.stoppingPlacements.contains(task.placement_id())) {
                answer->add_stop(task.placement_id());
            }
        } else {
            answer->add_stop(task.placement_id());
        }
    }
    for (const auto &task : heartbeat.finished()) {
        if (!state.cell.placements.contains(task.placement_id())) {
            answer->add_acknowledged(task.placement_id());
        }
    }
    throttleOvercommitted(state, target, heartbeat, now, answer);
    answer->set_lease_until(heartbeat.clock_ms() + lease.count);
    answer->set_drained(live.isLeaving && hasNoWork(state, target));
    reply(state, from, std::move(envelope));
}

void expireTargets(controller_state &state, time_point now)
{
    for (auto &[name, live] : state.liveness) {
        if (live.isRemovalProposed || now < live.leaseExpiresAt
            || !state.cell.targets.contains(name)) {
            continue;
        }
        live.isRemovalProposed = true;
        log_line {"target_lost", log_line::severity::Warning}.with("target", name);
        updateTarget(state.scheduler, targetEntryOf(state.cell.targets.at(name)), false);
        messages::command command;
        command.set_remove_target(name);
        proposeCommand(state, std::move(command));
    }
}

} // namespace filbert

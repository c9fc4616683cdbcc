#include "work_requests.h"

#include "leadership.h"

#include <algorithm>

namespace filbert {

namespace {

constexpr std::uint64_t requestIdBit = 1ULL << 63;
constexpr milliseconds overloadRetryDelay {1'000};
constexpr std::size_t minUnreachableReporters = 2; // gateways, if there are as many
constexpr int maxTasksPerJob = 100'000;

bool answerFromRecord(controller_state &state, const reply_address &from,
                      const messages::dispatch_request &request)
{
    if (request.idempotency_key().empty()) {
        return false;
    }
    const auto name = idempotencyRecordKey(request.team(), "service/" + request.service(),
                                           request.idempotency_key());
    const auto *found = findIdempotencyRecord(state.cell, name);
    if (found == nullptr) {
        return false;
    }
    const auto &record = *found;
    if (record.request_digest() != request.request_digest()) {
        refuse(state, from, error_kind::KeyReused, "");
    } else if (record.placement_id() != 0) {
        refuse(state, from, error_kind::OutcomeUnknown, "the first request is still in progress",
               overloadRetryDelay);
    } else if (record.result() == messages::UNKNOWN) {
        refuse(state, from, error_kind::OutcomeUnknown, "");
    } else {
        messages::envelope envelope;
        *envelope.mutable_dispatched()->mutable_stored() = record;
        reply(state, from, std::move(envelope));
    }
    return true;
}

/** @return the latest start, by the target's clock. A start order that got lost is known to be lost
    only after that time, so it is early for synchronous requests, whose callers wait. It is never
    after the end of the target's lease.
*/
std::int64_t startByOf(const controller_state &state, const target_liveness &live, bool isRequest,
                       time_point now)
{
    const auto leaseEnd = live.clockMs + state.settings.targetLease.count;
    const auto requestDeadline =
        live.clockMs + (now - live.lastContactAt + state.settings.requestStartTimeout).count;
    return isRequest ? std::min(leaseEnd, requestDeadline) : leaseEnd;
}

messages::placement placementOf(const controller_state &state, const placement_decision &decision,
                                const running_task &task, time_point now)
{
    const auto &target = state.scheduler.index.targets[decision.target];
    const auto &live = state.liveness.at(target.name);
    messages::placement place;
    place.set_id(decision.placementId);
    place.set_target(target.name);
    place.set_target_epoch(state.cell.targets.at(target.name).registration.epoch());
    place.set_team(task.team);
    place.set_service(task.service);
    *place.mutable_task() = messageOf(task.need);
    const bool isRequest = state.dispatches.contains(decision.workId);
    place.set_start_by(startByOf(state, live, isRequest, now));
    place.set_idempotent(task.isIdempotent);
    return place;
}

void proposePlacement(controller_state &state, const placement_decision &decision, time_point now)
{
    const auto &task = state.scheduler.running.at(decision.placementId);
    messages::command command;
    auto *place = command.mutable_place();
    *place = placementOf(state, decision, task, now);
    const auto dispatch = state.dispatches.find(decision.workId);
    if (dispatch != state.dispatches.end()) {
        const auto &request = dispatch->second.request;
        place->set_idempotency_key(request.idempotency_key());
        place->set_request_digest(request.request_digest());
        state.dispatchByPlacement[decision.placementId] = decision.workId;
    } else {
        place->set_job_id(decision.workId);
        place->set_task_index(decision.taskIndex);
    }
    proposeCommand(state, std::move(command));
}

void proposeGang(controller_state &state, const std::vector<placement_decision> &decisions,
                 time_point now)
{
    messages::command command;
    for (const auto &decision : decisions) {
        const auto &task = state.scheduler.running.at(decision.placementId);
        auto *place = command.mutable_place_gang()->add_placements();
        *place = placementOf(state, decision, task, now);
        place->set_job_id(decision.workId);
        place->set_task_index(decision.taskIndex);
    }
    proposeCommand(state, std::move(command));
}

} // namespace

void sendStop(controller_state &state, std::uint64_t placement, const char *action)
{
    const auto found = state.cell.placements.find(placement);
    if (found == state.cell.placements.end()) {
        return;
    }
    state.stoppingPlacements.insert(placement);
    const auto live = state.liveness.find(found->second.target);
    if (live == state.liveness.end()) {
        return;
    }
    messages::envelope envelope;
    auto *stop = envelope.mutable_stop();
    stop->set_placement_id(placement);
    stop->set_target(found->second.target);
    stop->set_address(state.cell.targets.at(found->second.target).registration.address());
    stop->set_action(action);
    state.outbox.push_back({live->second.gateway, std::move(envelope)});
}

void handleDispatch(controller_state &state, const reply_address &from,
                    const messages::dispatch_request &request, time_point now)
{
    const auto &configuration = state.cell.configuration;
    const auto *service = configuration.service(request.service());
    if (service == nullptr) {
        refuse(state, from, error_kind::NotFound, "no service " + request.service());
        return;
    }
    const auto *queue = configuration.queue(service->queue());
    const bool isOpen = queue != nullptr && queue->open_to_all() && queue->team() == request.team()
        && request.key_id().empty();
    if (!isOpen && !configuration.hasTeamKey(request.team(), request.key_id())) {
        refuse(state, from, error_kind::Unauthorized, "");
        return;
    }
    if (answerFromRecord(state, from, request)) {
        return;
    }
    work_item item;
    item.workId = requestIdBit | ++state.lastWorkId;
    item.kind = queue != nullptr && queue->policy() == messages::URGENT ? work_class::Urgent
                                                                        : work_class::Batch;
    item.team = request.team();
    item.service = request.service();
    item.queue = service->queue();
    item.declaredNeed = taskNeedOf(service->task());
    item.tasks = {0};
    item.excludedTargets = {request.avoid().begin(), request.avoid().end()};
    item.startDeadline = now + milliseconds {request.wait_ms()};
    const auto workId = item.workId;
    if (const auto error = addWork(state.scheduler, std::move(item), now)) {
        refuse(state, from, errorKindOf(error), "", overloadRetryDelay);
        return;
    }
    state.dispatches.emplace(
        workId, pending_dispatch {from, request, now + milliseconds {request.wait_ms()}});
}

void handleEnd(controller_state &state, const reply_address &from,
               const messages::placement_end &end, time_point now)
{
    if (!end.unreachable_target().empty()) {
        // A single gateway that is cut off must not make targets unavailable to all others.
        const auto requiredReporters =
            std::min<std::size_t>(state.gateways.size(), minUnreachableReporters);
        recordUnreachable(
            state.scheduler,
            {end.unreachable_target(), end.placement_id(), from.gateway, requiredReporters}, now);
    }
    const auto found = state.cell.placements.find(end.placement_id());
    if (found == state.cell.placements.end()) {
        messages::envelope done;
        done.set_done(true);
        reply(state, from, std::move(done));
        return;
    }
    auto copy = end;
    proposeEnd(state, std::move(copy), from);
}

void handleSubmission(controller_state &state, const reply_address &from,
                      const messages::job_submission &submission)
{
    const auto &configuration = state.cell.configuration;
    const auto *queue = configuration.queue(submission.queue());
    const auto *team = configuration.team(submission.team());
    if (queue == nullptr || configuration.service(submission.service()) == nullptr
        || team == nullptr) {
        refuse(state, from, error_kind::NotFound, "no such queue, service or team");
        return;
    }
    const auto need = taskNeedOf(submission.task());
    if (submission.tasks() < 0 || submission.tasks() > maxTasksPerJob || !fitsWithin({}, need)) {
        refuse(state, from, error_kind::Malformed,
               "the number or the size of the tasks is out of range");
        return;
    }
    const auto maxWaiting = queue->max_waiting() > 0
        ? static_cast<std::size_t>(queue->max_waiting())
        : state.settings.policy.maxJobsWaiting;
    const auto found = state.scheduler.teams.find(submission.team());
    if (found != state.scheduler.teams.end()) {
        const auto &counts = found->second.waitingCount;
        if (counts[0] + counts[1] + counts[2] >= maxWaiting) {
            refuse(state, from, error_kind::Overloaded, "too many jobs of the team are waiting",
                   overloadRetryDelay);
            return;
        }
    }
    const bool isGang = queue->policy() == messages::GANG;
    const auto simultaneousTasks =
        isGang ? static_cast<std::size_t>(std::max(submission.tasks(), 1)) : 1;
    if (!fitsWithin(scaledBy(need, simultaneousTasks), limitOf(*team))) {
        refuse(state, from, error_kind::LimitReached, "the job alone exceeds the team's limit");
        return;
    }
    messages::command command;
    *command.mutable_submit() = submission;
    proposeCommand(state, std::move(command), from);
}

void handleJobChange(controller_state &state, const reply_address &from,
                     const messages::job_change &change)
{
    if (!state.cell.jobs.contains(change.id())) {
        refuse(state, from, error_kind::NotFound, "no such job");
        return;
    }
    if (change.action() != messages::RELEASE) {
        removeWork(state.scheduler, change.id()); // at once, so that no more of its tasks start
    }
    if (change.action() == messages::CANCEL) {
        for (const auto &task : state.cell.jobs.at(change.id()).tasks) {
            if (task.placement != 0) {
                sendStop(state, task.placement, "stop");
            }
        }
    }
    messages::command command;
    *command.mutable_change() = change;
    proposeCommand(state, std::move(command), from);
}

void redirectWaitingRequests(controller_state &state)
{
    std::erase_if(state.dispatches, [&](const auto &entry) {
        const bool isWaiting = state.scheduler.waiting.contains(entry.first);
        if (isWaiting) {
            redirectToLeader(state, entry.second.replyTo);
            removeWork(state.scheduler, entry.first);
        }
        return isWaiting;
    });
}

void runScheduler(controller_state &state, time_point now)
{
    if (state.isDiskFull || state.pending.size() >= state.settings.maxPendingCommands
        || lastIndex(state.log) - state.log.commitIndex
            >= state.log.settings.maxUncommittedEntries) {
        return;
    }
    const auto result = schedule(state.scheduler, now);
    for (std::size_t i = 0; i < result.placements.size();) {
        const auto &first = result.placements[i];
        std::vector<placement_decision> gang;
        const bool isGang = state.scheduler.running.at(first.placementId).kind == work_class::Gang;
        while (isGang && i < result.placements.size()
               && result.placements[i].workId == first.workId) {
            gang.push_back(result.placements[i++]);
        }
        if (isGang) {
            proposeGang(state, gang, now);
        } else {
            proposePlacement(state, first, now);
            ++i;
        }
    }
    for (const auto &refusal : result.refusals) {
        const auto dispatch = state.dispatches.find(refusal.workId);
        if (dispatch != state.dispatches.end()) {
            refuse(state, dispatch->second.replyTo, refusal.kind, "", overloadRetryDelay);
            state.dispatches.erase(dispatch);
        }
    }
    for (const auto &stop : result.stops) {
        sendStop(state, stop.placementId, "checkpoint");
    }
}

} // namespace filbert

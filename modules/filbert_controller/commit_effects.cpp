#include "commit_effects.h"

#include "leadership.h"
#include "work_requests.h"

#include <algorithm>

namespace filbert {

namespace {

void answerDone(controller_state &state, const reply_address &to)
{
    messages::envelope envelope;
    envelope.set_done(true);
    reply(state, to, std::move(envelope));
}

void afterConfiguration(controller_state &state, const messages::configuration_change &change,
                        const apply_outcome &outcome, const reply_address &to)
{
    log_line {"configuration_change"}
        .with("author", change.author())
        .with("version", outcome.version)
        .with("digest", outcome.digest)
        .with("outcome", errorInfo(outcome.error).name)
        .with("summary", change.summary());
    if (outcome.error != error_kind::None) {
        refuse(state, to, outcome.error, outcome.detail);
        return;
    }
    configureScheduler(state);
    messages::envelope envelope;
    auto *answer = envelope.mutable_applied();
    answer->set_version(outcome.version);
    answer->set_digest(outcome.digest);
    answer->set_summary(outcome.isDuplicate ? outcome.detail : change.summary());
    reply(state, to, std::move(envelope));
}

void afterTarget(controller_state &state, const messages::target_registration &registration,
                 const apply_outcome &outcome, const reply_address &to, time_point now)
{
    if (outcome.error != error_kind::None) {
        refuse(state, to, outcome.error, outcome.detail);
        return;
    }
    const auto &target = state.cell.targets.at(registration.name());
    auto &live = state.liveness[registration.name()];
    const bool isNewStart =
        live.clockMs == 0 || live.isRemovalProposed || live.epoch != registration.epoch();
    if (isNewStart) {
        // Nothing starts there before its first heartbeat, which reports its clock and its tasks.
        clearUnreachable(state.scheduler, registration.name());
        live = {};
        live.epoch = registration.epoch();
        live.gateway = to.gateway;
        live.leaseExpiresAt = now + withClockRateMargin(state.settings.targetLease);
    }
    updateTarget(state.scheduler, targetEntryOf(target), live.hasHeartbeat && !live.isLeaving);
    log_line {"target_announced"}
        .with("target", registration.name())
        .with("epoch", registration.epoch())
        .with("address", registration.address())
        .with("failure_domain", registration.failure_domain());
    answerDone(state, to);
}

void sendStart(controller_state &state, const messages::placement &place)
{
    const auto &target = state.cell.targets.at(place.target()).registration;
    const auto &job = state.cell.jobs.at(place.job_id());
    messages::envelope envelope;
    auto *start = envelope.mutable_start();
    start->set_placement_id(place.id());
    start->set_target_epoch(place.target_epoch());
    start->set_start_by(place.start_by());
    start->set_service(place.service());
    *start->mutable_task() = place.task();
    start->set_job_id(place.job_id());
    start->set_task_index(place.task_index());
    start->set_job_tasks(static_cast<int>(job.tasks.size()));
    start->set_payload(job.submission.payload());
    start->set_target(place.target());
    start->set_address(target.address());
    state.outbox.push_back({state.liveness[place.target()].gateway, std::move(envelope)});
}

void answerDispatch(controller_state &state, const messages::placement &place,
                    const apply_outcome &outcome, const pending_dispatch &dispatch)
{
    if (outcome.error != error_kind::None) {
        refuse(state, dispatch.replyTo, outcome.error, outcome.detail);
        return;
    }
    messages::envelope envelope;
    auto *answer = envelope.mutable_dispatched();
    answer->set_placement_id(place.id());
    answer->set_target(place.target());
    answer->set_address(state.cell.targets.at(place.target()).registration.address());
    answer->set_target_epoch(place.target_epoch());
    answer->set_start_by(place.start_by());
    reply(state, dispatch.replyTo, std::move(envelope));
}

void afterPlacement(controller_state &state, const messages::placement &place,
                    const apply_outcome &outcome, time_point now)
{
    const bool isRefused = outcome.error != error_kind::None;
    if (isRefused) {
        releaseTask(state.scheduler, place.id(), now);
    }
    if (const auto found = state.dispatchByPlacement.find(place.id());
        found != state.dispatchByPlacement.end()) {
        const auto dispatch = state.dispatches.extract(found->second).mapped();
        state.dispatchByPlacement.erase(found);
        const bool canKeepWaiting =
            outcome.error == error_kind::NoCapacity && now < dispatch.deadline;
        if (canKeepWaiting) {
            // The target changed between the decision and its commit. Another target may have free
            // capacity.
            auto retry = dispatch.request;
            retry.set_wait_ms((dispatch.deadline - now).count);
            handleDispatch(state, dispatch.replyTo, retry, now);
        } else {
            answerDispatch(state, place, outcome, dispatch);
        }
        return;
    }
    if (!isRefused) {
        sendStart(state, place);
        return;
    }
    const auto job = state.cell.jobs.find(place.job_id());
    if (outcome.error != error_kind::Conflict && job != state.cell.jobs.end()) {
        requeueTask(state.scheduler, workItemOf(state, job->second), place.task_index(), now);
    }
}

void afterGang(controller_state &state, const messages::gang_placement &gang,
               const apply_outcome &outcome, time_point now)
{
    for (const auto &place : gang.placements()) {
        afterPlacement(state, place, outcome, now);
    }
}

/** Notifies all gateways, any of which may wait for this synchronous request, that no answer will
    come.
*/
void notifyGateways(controller_state &state, const ended_placement &ended)
{
    for (const auto &[name, gateway] : state.gateways) {
        messages::envelope envelope;
        envelope.mutable_notice()->set_placement_id(ended.placement.id);
        envelope.mutable_notice()->set_result(ended.result);
        state.outbox.push_back({name, std::move(envelope)});
    }
}

void afterEnds(controller_state &state, const apply_outcome &outcome, const reply_address &to,
               time_point now)
{
    for (const auto &ended : outcome.ended) {
        const auto &placement = ended.placement;
        if (placement.jobId == 0 && to.exchange == 0) {
            notifyGateways(state, ended);
        }
        state.proposedEnds.erase(placement.id);
        state.stoppingPlacements.erase(placement.id);
        state.throttledSince.erase(placement.id);
        if (ended.result == messages::SUCCEEDED || ended.result == messages::FAILED) {
            recordTaskResult(state.scheduler, placement.id, ended.result == messages::SUCCEEDED,
                             now);
        }
        releaseTask(state.scheduler, placement.id, now);
        const auto job = state.cell.jobs.find(placement.jobId);
        if (job == state.cell.jobs.end()) {
            continue;
        }
        if (!job->second.holdReason.empty()) {
            removeWork(state.scheduler, placement.jobId);
        } else if (ended.isTaskRequeued) {
            auto item = workItemOf(state, job->second);
            item.failures = ended.result == messages::FAILED ? 1 : 0;
            item.excludedTargets = {job->second.failedTargets.begin(),
                                    job->second.failedTargets.end()};
            requeueTask(state.scheduler, std::move(item), placement.taskIndex, now);
        }
        regroupGang(state, job->second);
    }
}

void enqueueWaitingTasks(controller_state &state, std::uint64_t id, time_point now)
{
    const auto &job = state.cell.jobs.at(id);
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        if (job.tasks[i].state == task_state::Waiting) {
            requeueTask(state.scheduler, workItemOf(state, job), static_cast<std::int32_t>(i), now);
        }
    }
}

void answerJob(controller_state &state, const apply_outcome &outcome, const reply_address &to)
{
    messages::envelope envelope;
    auto *answer = envelope.mutable_job();
    answer->set_created(!outcome.isDuplicate);
    answer->mutable_job()->set_id(outcome.jobId);
    const auto job = state.cell.jobs.find(outcome.jobId);
    if (job != state.cell.jobs.end()) {
        answer->mutable_job()->set_team(job->second.submission.team());
        answer->mutable_job()->set_state(hasEnded(job->second) ? "ended" : "waiting");
    }
    reply(state, to, std::move(envelope));
}

void afterSubmission(controller_state &state, const apply_outcome &outcome, const reply_address &to,
                     time_point now)
{
    if (outcome.error != error_kind::None) {
        refuse(state, to, outcome.error, outcome.detail);
        return;
    }
    if (!outcome.isDuplicate) {
        enqueueWaitingTasks(state, outcome.jobId, now);
    }
    answerJob(state, outcome, to);
}

void afterJobChange(controller_state &state, const messages::job_change &change,
                    const apply_outcome &outcome, const reply_address &to, time_point now)
{
    if (outcome.error != error_kind::None) {
        refuse(state, to, outcome.error, outcome.detail);
        return;
    }
    removeWork(state.scheduler, change.id());
    if (change.action() == messages::RELEASE) {
        enqueueWaitingTasks(state, change.id(), now);
    }
    answerJob(state, outcome, to);
}

void handleCommittedCommand(controller_state &state, const messages::command &command,
                            const apply_outcome &outcome, const reply_address &to, time_point now)
{
    using body = messages::command::BodyCase;
    switch (command.body_case()) {
    case body::kConfiguration:
        afterConfiguration(state, command.configuration(), outcome, to);
        break;
    case body::kTarget:
        afterTarget(state, command.target(), outcome, to, now);
        break;
    case body::kPlace:
        afterPlacement(state, command.place(), outcome, now);
        break;
    case body::kPlaceGang:
        afterGang(state, command.place_gang(), outcome, now);
        break;
    case body::kSubmit:
        afterSubmission(state, outcome, to, now);
        break;
    case body::kChange:
        afterJobChange(state, command.change(), outcome, to, now);
        break;
    case body::kEnd:
        state.proposedEnds.erase(command.end().placement_id());
        afterEnds(state, outcome, to, now);
        answerDone(state, to);
        break;
    case body::kRemoveTarget:
        afterEnds(state, outcome, to, now);
        unregisterTarget(state.scheduler, command.remove_target());
        state.liveness.erase(command.remove_target());
        break;
    case body::kNote:
    case body::BODY_NOT_SET:
        answerDone(state, to);
        break;
    }
}

/** Skips a committed entry that cannot be parsed. Whether it can depends on its bytes alone, so
   that all controllers skip the same ones, also when they start again. */
void skipEntry(controller_state &state, const messages::log_entry &entry, time_point now)
{
    ++state.unreadable.entries;
    if (const auto leftOut = state.unreadable.entryLimit.admit(now)) {
        log_line {"entry_skipped", log_line::severity::Error}
            .with("index", entry.index())
            .with("term", entry.term())
            .with("bytes", entry.payload().size())
            .with("left_out", *leftOut);
    }
    const auto proposed = state.inFlight.extract(entry.index());
    if (proposed.empty()) {
        return;
    }
    for (const auto &to : proposed.mapped()) {
        redirectToLeader(state, to); // nothing was done; it may be sent again
    }
    stopLeading(state); // the scheduler holds reservations for the entry: start over
}

} // namespace

void refuseCommand(controller_state &state, const messages::command &command,
                   const reply_address &to, time_point now)
{
    ++state.unreadable.commands;
    if (const auto leftOut = state.unreadable.commandLimit.admit(now)) {
        log_line {"command_refused", log_line::severity::Warning}
            .with("from", to.gateway)
            .with("left_out", *leftOut);
    }
    apply_outcome outcome;
    outcome.error = error_kind::Malformed;
    outcome.detail = "a text of the request is not valid UTF-8";
    if (command.has_place()) {
        afterPlacement(state, command.place(), outcome, now); // releases what it has reserved
        return;
    }
    if (command.has_place_gang()) {
        afterGang(state, command.place_gang(), outcome, now);
        return;
    }
    if (command.has_end()) {
        state.proposedEnds.erase(command.end().placement_id());
    }
    refuse(state, to, outcome.error, outcome.detail);
}

void applyEntry(controller_state &state, const messages::log_entry &entry, time_point now)
{
    if (entry.kind() != messages::COMMANDS) {
        return;
    }
    messages::command_batch batch;
    if (!batch.ParseFromString(entry.payload())) {
        skipEntry(state, entry, now);
        return;
    }
    std::vector<reply_address> replies;
    if (const auto found = state.inFlight.find(entry.index()); found != state.inFlight.end()) {
        replies = std::move(found->second);
        state.inFlight.erase(found);
    }
    replies.resize(static_cast<std::size_t>(batch.commands_size()));
    for (int i = 0; i < batch.commands_size(); ++i) {
        const auto outcome = applyCommand(state.cell, batch.commands(i), batch.wall_ms());
        if (state.isLeading) {
            handleCommittedCommand(state, batch.commands(i), outcome,
                                   replies[static_cast<std::size_t>(i)], now);
        }
    }
}

} // namespace filbert

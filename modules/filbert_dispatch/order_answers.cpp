#include "interference.h"
#include "pending_jobs.h"
#include "speed_tracking.h"
#include "target_orders.h"
#include "target_tracking.h"

#include <algorithm>
#include <utility>

namespace filbert {

namespace {

// Four polls a second to a target that may be unavailable; a lease outlasts twenty of them.
constexpr milliseconds failedPollDelay {250};
// Nothing waits for a stop; a lease outlasts several tries.
constexpr milliseconds stopRetryDelay {400};
// A run that is still listed as running this long after the confirmation of its stop is stopped
// again: a stop takes less than a second.
constexpr milliseconds stopDuration {1'000};
// Between the last end that was taken and the next one. A target lists those that are not
// acknowledged in the order of their numbers.
constexpr std::uint64_t maxEndGap = 1'000'000;

/** Records that an answer of a target got lost, although the target is available. */
void recordLostAnswer(dispatch_state &state, const std::string &target, time_point now)
{
    const bool wasLossy = isLosingAnswers(state);
    state.lostAnswers[target] = now;
    if (!wasLossy && isLosingAnswers(state)) {
        log_line {"answers_get_lost", log_line::severity::Warning}
            .with("targets", state.lostAnswers.size())
            .with("last", target);
        for (const auto &[id, each] : state.targets) {
            state.changedTargets.insert(id); // the shorter timeouts apply to pending polls too
        }
    }
}

/** Whether the network may be the reason for a missing answer. */
bool mayBeNetworkLoss(const dispatch_state &state, order_result result)
{
    return result == order_result::Unanswered && isLosingAnswers(state);
}

bool isTargetFault(order_result result)
{
    return result == order_result::Unhealthy || result == order_result::Unreachable
        || result == order_result::Unanswered;
}

void recordFailure(dispatch_state &state, tracked_target &target, const task_name &task,
                   const std::string &reason, time_point now)
{
    target.failedJobs.insert(task.job);
    const auto threshold = static_cast<std::size_t>(state.settings.failuresBeforeQuarantine);
    if (now >= target.quarantinedUntil && target.failedJobs.size() >= threshold) {
        quarantineTarget(state, target, reason, now);
    }
}

void recordSuccess(tracked_target &target)
{
    target.failedJobs.clear();
    target.quarantinePeriod = {};
}

/** Handles an order without an answer: either the answer got lost, or the target is silent. */
void handleMissingAnswer(dispatch_state &state, tracked_target &target, const target_order &order,
                         order_result result, time_point now)
{
    if (target.lastAnswerAt >= order.sentAt) {
        if (result == order_result::Unanswered) {
            recordLostAnswer(state, target.id, now);
        }
        return;
    }
    const bool isTolerated =
        isLosingAnswers(state) && now - target.lastAnswerAt < lossyPollTimeout(state);
    if (isTolerated || std::exchange(target.isSuspect, true)) {
        return;
    }
    // No new work until it answers: usually its process has ended, or its host is disconnected.
    target.isInventoryStale = true;
    log_line {"target_suspect", log_line::severity::Warning}
        .with("target", target.id)
        .with("result", resultName(result))
        .with("heard_ms_ago", (now - target.lastContactAt).count);
}

/** Whether a target may have carried out an order, or may still do so. */
bool mayHaveArrived(order_result result)
{
    return result == order_result::Done || result == order_result::Superseded
        || result == order_result::Unanswered || result == order_result::RelayLost;
}

void handleStartAnswer(dispatch_state &state, tracked_target &target, const target_order &order,
                       order_result result, run_view &run, time_point now)
{
    run.isOrderPending = false;
    if (result == order_result::Done || result == order_result::Superseded) {
        run.confirmedAt = now;
        run.mayHaveReachedTarget = true;
        if (result == order_result::Done) { // else it was stopped before it could begin
            noteBegun(state, order.task.job);
        }
        addSample(state.startAnswerTime, now - order.sentAt);
        if (run.placedAt.ms > 0) {
            addSample(state.placementTime, now - run.placedAt);
        }
        if (run.phase == run_phase::Ordered) {
            run.phase = run_phase::Started;
            run.startedAt = now;
            run.lastProgressAt = now;
        }
        target.nextPollAt = std::min(target.nextPollAt, now);
        return;
    }
    log_line {"start_not_taken", log_line::severity::Warning}
        .with("task", toString(order.task))
        .with("run", order.run)
        .with("target", target.id)
        .with("result", resultName(result))
        .with("waited_ms", (now - run.orderedAt).count);
    if (isTargetFault(result) && !mayBeNetworkLoss(state, result)) {
        recordFailure(state, target, order.task, "starts fail there", now);
    }
    run.mayHaveReachedTarget = run.mayHaveReachedTarget || mayHaveArrived(result);
    const bool canRetry = (result == order_result::Unanswered || result == order_result::Unreachable
                           || result == order_result::RelayLost)
        && now - run.orderedAt < state.settings.startRetryPeriod;
    if (canRetry) {
        const bool isRetriedSoon =
            (isLosingAnswers(state) || run.startAttempts == 1) && takeRetryToken(state);
        run.retryAt =
            now + (isRetriedSoon ? state.settings.initialRetryDelay : state.settings.retryDelay);
        return;
    }
    if (run.mayHaveReachedTarget) {
        requestStop(state, order.task, "its start was not clearly answered", now);
        return;
    }
    proposeAbandonment(state, order.task, run, target.id, std::string {resultName(result)});
}

void handleStopAnswer(tracked_target &target, const target_order &order, order_result result,
                      time_point now)
{
    const auto orphan = target.orphanRuns.find(order.task);
    if (orphan != target.orphanRuns.end() && orphan->second.run == order.run
        && result == order_result::Done) {
        orphan->second.confirmedAt = now; // a later poll shows whether it has ended
        target.nextPollAt = std::min(target.nextPollAt, now);
    }
    const auto found = target.runs.find(order.task);
    if (found == target.runs.end() || found->second.run != order.run) {
        return;
    }
    auto &run = found->second;
    run.isOrderPending = false;
    if (result != order_result::Done && result != order_result::Superseded) {
        log_line {"stop_not_taken", log_line::severity::Warning}
            .with("task", toString(order.task))
            .with("run", order.run)
            .with("target", target.id)
            .with("result", resultName(result))
            .with("waited_ms", (now - order.sentAt).count);
        run.retryAt = now + stopRetryDelay;
        return;
    }
    run.confirmedAt = now; // a later poll lists its end, or shows that it is not there
    target.nextPollAt = std::min(target.nextPollAt, now);
}

void updateRun(const reported_run &report, bool isLatencySensitive, run_view &run, time_point now)
{
    run.mayHaveReachedTarget = true;
    if (run.phase == run_phase::Ordered) {
        run.phase = run_phase::Started;
        run.startedAt = now;
        run.lastProgressAt = now;
    }
    const bool hasNewCheckpoint = !report.checkpoint.empty() && report.checkpoint != run.checkpoint;
    if (report.percentDone != run.percentDone || hasNewCheckpoint) {
        run.lastProgressAt = now;
    }
    run.lastListedAt = now;
    run.percentDone = report.percentDone;
    if (!report.checkpoint.empty()) {
        run.checkpoint = report.checkpoint;
    }
    (isLatencySensitive ? run.tailLatencyMs : run.milliCoresInUse) = report.gauge;
}

/** Whether a run that a poll lists as running should have been stopped before. */
bool hasOutlivedStop(time_point confirmedAt, const target_order &poll)
{
    return confirmedAt.ms > 0 && poll.sentAt - confirmedAt >= stopDuration;
}

void logOutlivedStop(const tracked_target &target, const reported_run &report,
                     time_point confirmedAt, time_point now)
{
    log_line {"run_outlived_stop", log_line::severity::Warning}
        .with("task", toString(report.task))
        .with("run", report.run)
        .with("target", target.id)
        .with("confirmed_ms_ago", (now - confirmedAt).count);
}

void noteOrphan(tracked_target &target, const target_order &poll, const reported_run &report,
                time_point now)
{
    auto &orphan = target.orphanRuns[report.task];
    if (orphan.run < report.run) {
        orphan = {report.run, now};
    } else if (hasOutlivedStop(orphan.confirmedAt, poll)) {
        logOutlivedStop(target, report, orphan.confirmedAt, now);
        orphan.confirmedAt = {};
        orphan.nextStopAt = now;
    }
    if (!std::exchange(orphan.isListed, true)) {
        log_line {"stray_run", log_line::severity::Warning}
            .with("task", toString(report.task))
            .with("run", report.run)
            .with("target", target.id);
    }
}

/** Forgets orphan runs that were stopped before a poll which does not list them any more. */
void eraseStoppedOrphans(tracked_target &target, const target_order &poll,
                         const order_answer &answer)
{
    std::erase_if(target.orphanRuns, [&](const auto &each) {
        const auto &orphan = each.second;
        return orphan.confirmedAt.ms > 0 && orphan.confirmedAt < poll.sentAt
            && std::none_of(answer.runs.begin(), answer.runs.end(),
                            [&](const auto &run) { return run.task == each.first; });
    });
}

void handleReportedRuns(dispatch_state &state, tracked_target &target, const target_order &poll,
                        const order_answer &answer, std::set<task_name> *listed, time_point now)
{
    for (const auto &report : answer.runs) {
        noteBegun(state, report.task.job);
        const auto found = target.runs.find(report.task);
        if (found == target.runs.end() || found->second.run != report.run) {
            noteOrphan(target, poll, report, now);
            continue;
        }
        listed->insert(report.task);
        auto &run = found->second;
        if (run.phase == run_phase::Stopping && hasOutlivedStop(run.confirmedAt, poll)) {
            logOutlivedStop(target, report, run.confirmedAt, now);
            run.confirmedAt = {};
            run.retryAt = now;
        }
        const auto job = state.work->jobs.find(report.task.job);
        const bool isLatencySensitive = job != state.work->jobs.end()
            && stepSpecOf(job->second, report.task.step).latency_target_ms() > 0;
        updateRun(report, isLatencySensitive, run, now);
        run.hadNotEndedAt = std::max(run.hadNotEndedAt, poll.sentAt);
    }
}

void handleReportedEnds(dispatch_state &state, tracked_target &target,
                        const registered_target &registered, const order_answer &answer,
                        std::set<task_name> *listed, time_point now)
{
    messages::work_command command;
    auto *batch = command.mutable_end();
    const auto lastKnownEnd = std::max(target.lastProposedEnd, registered.lastAppliedEnd);
    for (const auto &end : answer.ends) {
        if (end.number > lastKnownEnd + maxEndGap) {
            log_line {"end_implausible", log_line::severity::Warning}
                .with("target", target.id)
                .with("task", toString(end.task))
                .with("number", end.number)
                .with("last", lastKnownEnd);
            break; // its acknowledgement would cover ends that have not occurred yet
        }
        listed->insert(end.task);
        if (end.number <= lastKnownEnd) {
            continue;
        }
        batch->set_last_seen(std::max(batch->last_seen(), end.number));
        auto *entry = batch->add_ends();
        *entry->mutable_task() = toTaskReference(end.task);
        entry->set_run(end.run);
        entry->set_kind(end.kind);
        entry->set_checkpoint(end.checkpoint);
        if (end.kind == messages::END_FAILED) {
            recordFailure(state, target, end.task, "tasks fail there", now);
        } else if (end.kind == messages::END_DONE) {
            recordSuccess(target);
        }
    }
    if (batch->ends_size() > 0) {
        batch->set_target(target.id);
        batch->set_born(target.incarnation);
        target.lastProposedEnd = batch->last_seen();
        propose(state, std::move(command));
    }
}

/** Updates the time until which all ends of a target have been listed.

    A list of ends may be cut short, but ends are listed in the order in which they occurred. So one
    without any end lists all, and the end of a run that was running at a certain time comes after
    all ends that occurred before that time.
*/
void updateListedEnds(tracked_target &target, const target_order &poll, const order_answer &answer)
{
    auto &listedUntil = target.allEndsListedUntil;
    if (answer.ends.empty()) {
        listedUntil = std::max(listedUntil, poll.sentAt);
    }
    for (const auto &end : answer.ends) {
        const auto run = target.runs.find(end.task);
        if (run != target.runs.end() && run->second.run == end.run) {
            listedUntil = std::max(listedUntil, run->second.hadNotEndedAt);
        }
    }
}

/** Handles runs that a target lists neither as running nor as ended, once it is certain that it
    does not have them: until then they may have ended. */
void reviewUnlistedRuns(dispatch_state &state, tracked_target &target, const target_order &poll,
                        const order_answer &answer, const std::set<task_name> &listed,
                        time_point now)
{
    for (auto &[task, run] : target.runs) {
        if (listed.contains(task)) {
            run.unlistedSince = {};
            continue;
        }
        if (run.isOrderPending || run.isAbandonmentProposed || run.phase == run_phase::Ordered) {
            continue;
        }
        const bool wasConfirmedBeforePoll = run.confirmedAt < poll.sentAt && run.confirmedAt.ms > 0;
        const bool isStopping = run.phase == run_phase::Stopping;
        const bool isNeverConfirmed = !isStopping && run.confirmedAt.ms == 0;
        if (!wasConfirmedBeforePoll && !isNeverConfirmed) {
            continue; // it may have begun or ended since the poll was sent
        }
        if (run.unlistedSince <= run.confirmedAt) {
            run.unlistedSince = now;
        }
        if (!answer.ends.empty() && run.unlistedSince > target.allEndsListedUntil) {
            continue; // its end may be among those that the answer does not list
        }
        if (isStopping) {
            proposeAbandonment(state, task, run, target.id, "stopped or never started");
        } else {
            // A start order of the previous leader may still arrive; a stop makes it void.
            requestStop(state, task, "the target does not list it", now);
        }
    }
}

void handlePollAnswer(dispatch_state &state, tracked_target &target,
                      const registered_target &registered, const target_order &order,
                      const order_answer &answer, time_point now)
{
    const bool isLatestPoll = order.sentAt == target.pollSentAt;
    if (isLatestPoll) {
        target.isPollPending = false;
        const bool isPolledAgainAtOnce =
            answer.result == order_result::Done || mayBeNetworkLoss(state, answer.result);
        target.nextPollAt = isPolledAgainAtOnce ? now : now + failedPollDelay;
    }
    target.pollAnsweredAt = answer.result == order_result::Done ? now : time_point {};
    if (answer.result != order_result::Done) {
        log_line {"look_failed", log_line::severity::Warning}
            .with("target", target.id)
            .with("result", resultName(answer.result))
            .with("heard_ms_ago", (now - target.lastContactAt).count);
        return;
    }
    if (answer.incarnation) { // it has this order's fencing token
        limitOtherLeases(state, target, now);
    }
    target.isInventoryStale = false;
    target.lostRuns.clear(); // it is the same incarnation: it was only silent
    target.lastAcknowledgedEnd = std::max(target.lastAcknowledgedEnd, order.lastAppliedEnd);
    std::set<task_name> listed;
    handleReportedRuns(state, target, order, answer, &listed, now);
    learnFromEnds(state, target, registered, answer, now);
    handleReportedEnds(state, target, registered, answer, &listed, now);
    if (!answer.hasUnreadableRows) { // else nothing follows from what is not listed
        eraseStoppedOrphans(target, order, answer);
        updateListedEnds(target, order, answer);
        reviewUnlistedRuns(state, target, order, answer, listed, now);
    }
    reviewInterference(state, target, now);
}

} // namespace

void handleOrderAnswer(dispatch_state &state, const target_order &order, const order_answer &answer,
                       time_point now)
{
    const auto found = state.targets.find(order.target);
    const auto *registered = findRegisteredTarget(state, order.target);
    if (order.term != state.term || found == state.targets.end() || registered == nullptr) {
        return; // from an earlier term, or from a target that has been removed
    }
    auto &target = found->second;
    if (order.kind == order_kind::Start
        && (answer.result == order_result::Unanswered
            || answer.result == order_result::RelayLost)) {
        recordUnansweredStart(state, target, order, now);
    }
    const bool isOfThisIncarnation = order.incarnation == target.incarnation
        && (!answer.incarnation || *answer.incarnation == target.incarnation);
    if (!isOfThisIncarnation) {
        if (order.kind == order_kind::Poll && order.incarnation == target.incarnation) {
            target.isPollPending = false;
            target.pollAnsweredAt = {};
            target.nextPollAt = now + failedPollDelay;
        }
        if (answer.incarnation && *answer.incarnation > target.incarnation) {
            handleUnregisteredIncarnation(state, target, now);
        }
        return;
    }
    state.changedTargets.insert(order.target);
    const bool isOutcomeKnown = answer.result != order_result::RelayLost;
    const bool hasAnswered = isOutcomeKnown && answer.result != order_result::Unanswered
        && answer.result != order_result::Unreachable
        && answer.result != order_result::WrongIncarnation;
    if (hasAnswered) {
        if (target.isSuspect) {
            recordLostAnswer(state, target.id, now); // it was available all the time
        }
        target.lastContactAt = now;
        target.lastAnswerAt = now;
        state.isPassDue = state.isPassDue || target.isSuspect;
        target.isSuspect = false;
    } else if (isOutcomeKnown) {
        handleMissingAnswer(state, target, order, answer.result, now);
    }
    if (answer.clockMs) {
        updateClock(target, *answer.clockMs, now);
    }
    switch (order.kind) {
    case order_kind::Start: {
        const auto run = target.runs.find(order.task);
        if (run != target.runs.end() && run->second.run == order.run) {
            if (run->second.phase == run_phase::Ordered) {
                handleStartAnswer(state, target, order, answer.result, run->second, now);
            } else {
                run->second.isOrderPending = false;
                run->second.mayHaveReachedTarget =
                    run->second.mayHaveReachedTarget || mayHaveArrived(answer.result);
            }
        }
        break;
    }
    case order_kind::Stop:
        handleStopAnswer(target, order, answer.result, now);
        break;
    case order_kind::Poll:
        handlePollAnswer(state, target, *registered, order, answer, now);
        break;
    case order_kind::SetWorkRate:
        break; // the next poll shows the effect
    }
}

} // namespace filbert

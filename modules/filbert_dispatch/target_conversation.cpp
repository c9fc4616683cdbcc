#include "target_conversation.h"

#include "target_orders.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace filbert {

namespace {

// The previous leader may have counted from a clock reading that was up to 3.3 s old, of a clock
// that is up to 2 % slow.
constexpr milliseconds leaseSlack {100};
constexpr milliseconds checkpointSpan {
    700}; // for a stop with a checkpoint before the target leaves
constexpr std::int64_t targetsPerMillisecond = 15; // that a tick of all targets handles in a ms

bool needsLook(const dispatch_state &state, const tracked_target &target,
               const registered_target &life, time_point now)
{
    if (target.lastProposedEnd > life.lastAppliedEnd) {
        return false; // until the proposed ends are committed
    }
    const bool isHeard = now - target.lastContactAt < state.settings.contactTimeout;
    return !target.runs.empty()
        || (isHeard
            && (life.lastAppliedEnd > target.lastAcknowledgedEnd || target.isInventoryStale));
}

bool hasLapsed(const tracked_target &target, time_point now)
{
    // Leases of earlier terms are bounded by time alone: the first reading of a clock may have been
    // long on its way, so that no expiry can be derived from it.
    return now > target.previousLeasesExpireBy
        && (!target.clockMs || clockLowerBound(target, now) > target.leaseExpiresAt);
}

void stepRuns(dispatch_state &state, tracked_target &target, const registered_target &life,
              time_point now)
{
    for (auto &[task, run] : target.runs) {
        const auto &job = state.work->jobs.at(task.job);
        const auto *record = findTask(*state.work, task);
        const bool isOfOldLife = record != nullptr && record->incarnation != target.incarnation;
        if (run.phase != run_phase::Stopping && (job.hasEnded() || isOfOldLife)) {
            run.phase = run_phase::Stopping;
            run.confirmedAt = {};
            run.retryAt = now;
        }
        if (run.isOrderPending || run.isAbandonmentProposed || now < run.retryAt) {
            continue;
        }
        if (run.phase == run_phase::Ordered) {
            sendStart(state, target, life, task, run, now);
        } else if (run.phase == run_phase::Stopping && run.confirmedAt.ms == 0) {
            run.isOrderPending = true;
            sendStop(state, target, life, task, run.run, now);
        }
    }
    for (const auto &[task, run] : target.orphanRuns) {
        if (now >= target.pollSentAt + state.settings.retryDelay) {
            sendStop(state, target, life, task, run, now);
        }
    }
}

/** Whether no late order can start a run of the target any more. */
bool mayNothingLinger(const tracked_target &target, time_point now)
{
    return std::all_of(target.runs.begin(), target.runs.end(),
                       [&](const auto &each) { return now >= each.second.mayStartLateUntil; });
}

/** Abandons the runs of a target whose lease has expired, unless a late order may still start them.
 */
void giveUpLapsed(dispatch_state &state, tracked_target &target, time_point now)
{
    target.isInventoryStale = true;
    for (auto &[task, run] : target.runs) {
        if (now >= run.mayStartLateUntil) {
            proposeAbandonment(state, task, run, target.id, "the lease of its target has expired");
        }
    }
}

/** Stops runs that polls have listed for long without any progress, since they may hang. A time
    without polls says nothing about a run and does not count. */
void reviewProgress(dispatch_state &state, tracked_target &target, time_point now)
{
    for (auto &[task, run] : target.runs) {
        const auto &spec = stepSpecOf(state.work->jobs.at(task.job), task.step);
        const bool isWatched = run.phase == run_phase::Started && !spec.lasts()
            && !spec.fills_gaps() && run.workRate == 100;
        const auto stalled = run.lastListedAt - std::max(run.lastProgressAt, run.startedAt);
        if (isWatched && stalled > state.settings.stallTimeout) {
            requestStop(state, task, "it makes no progress", now);
            if (now >= target.quarantinedUntil) {
                avoid(state, target, "a task there makes no progress", now);
            }
        }
    }
}

/** Stops runs on a draining target so that they continue elsewhere: long-running ones at once,
    others if they cannot end in time and can save a checkpoint. */
void reviewDrain(dispatch_state &state, tracked_target &target, time_point now)
{
    for (auto &[task, run] : target.runs) {
        if (run.phase != run_phase::Started) {
            continue;
        }
        const auto &spec = stepSpecOf(state.work->jobs.at(task.job), task.step);
        if (spec.lasts()) {
            requestStop(state, task, "its target is leaving", now);
            continue;
        }
        const auto since = std::max<std::int64_t>((now - run.startedAt).count, 1);
        const double left = run.percentDone > 0
            ? static_cast<double>(since) * (100.0 - run.percentDone) / run.percentDone
            : static_cast<double>(spec.estimate_ms());
        const bool canFinish = now + milliseconds {std::llround(left)} <= target.leavesAt;
        if (!canFinish && spec.checkpoints() && now + checkpointSpan >= target.leavesAt) {
            requestStop(state, task, "its target leaves before it can complete", now);
        }
    }
}

} // namespace

bool acceptsWork(const dispatch_state &state, const tracked_target &target,
                 const registered_target &life, time_point now)
{
    return !life.hasEnded && !life.registration.is_draining()
        && life.registration.born() == target.incarnation && target.clockMs && !target.leavingSince
        && !target.isSuspect && now >= target.quarantinedUntil
        && now - target.lastContactAt < state.settings.contactTimeout;
}

void syncTarget(dispatch_state &state, const std::string &id, time_point now)
{
    const auto *life = findRegisteredTarget(state, id);
    if (life == nullptr) {
        return;
    }
    if (life->hasEnded) {
        state.targets.erase(id);
        return;
    }
    state.changedTargets.insert(id);
    auto &target = state.targets[id];
    if (target.incarnation != life->registration.born()) {
        const auto before = std::move(target);
        target = {};
        target.runs = before.runs; // stopped in the new incarnation too, see tickRuns()
        // Orders to the previous incarnation name an expiry on its clock, which means nothing on
        // the clock of this one. This incarnation bounds such a lease by its own maximum, counted
        // from the arrival of the order.
        const auto lingerUntil =
            now + state.settings.maxOrderDelay + withClockRateMargin(state.settings.maxTargetLease);
        for (auto &[task, run] : target.runs) {
            run.isOrderPending = false; // its answer would come from the previous incarnation
            run.mayStartLateUntil = lingerUntil;
        }
        target.reservedResources = before.reservedResources;
        target.reservedBestEffortCores = before.reservedBestEffortCores;
        target.id = id;
        target.incarnation = life->registration.born();
        target.lastContactAt = now;
        target.previousLeasesExpireBy = state.leadingSince
            + withClockRateMargin(std::min(state.settings.targetLease,
                                           state.settings.maxTargetLease))
            + leaseSlack;
    }
    target.lastProposedEnd = std::max(target.lastProposedEnd, life->lastAppliedEnd);
    std::erase_if(target.runs, [&](const auto &each) { return !life->runs.contains(each.first); });
    for (const auto &task : life->runs) {
        auto &run = target.runs[task];
        const auto *record = findTask(*state.work, task);
        if (run.run == record->run) {
            continue;
        }
        run = {};
        run.run = record->run;
        run.startedAt = now;
        run.lastProgressAt = now;
        run.checkpoint = record->checkpoint;
    }
}

bool handleTargetReport(dispatch_state &state, const messages::target_life &life, time_point now)
{
    const auto *known = findRegisteredTarget(state, life.id());
    const bool isOldNews = known != nullptr
        && (known->registration.born() > life.born()
            || (known->hasEnded && known->registration.born() == life.born()));
    if (isOldNews) {
        log_line {"late_report"}.with("target", life.id()).with("born", life.born());
        return false;
    }
    const auto found = state.targets.find(life.id());
    const bool isSameLife = known != nullptr && known->registration.born() == life.born();
    if (isSameLife && found != state.targets.end()) {
        auto &target = found->second;
        const auto sequence = static_cast<std::uint64_t>(life.sequence());
        if (sequence <= target.reportSequence) {
            return false; // a later report has overtaken it
        }
        target.reportSequence = sequence;
        target.lastContactAt = now;
        updateClock(target, life.clock_ms(), now);
        if (life.is_draining() && target.leavesAt.ms == 0) {
            target.leavesAt = now + milliseconds {life.remaining_ms()};
        }
    }
    auto comparable = life;
    comparable.clear_clock_ms();
    comparable.clear_sequence();
    comparable.clear_remaining_ms();
    comparable.clear_cold_ms();
    const bool isUnchanged =
        isSameLife && known->registration.SerializeAsString() == comparable.SerializeAsString();
    if (isUnchanged) {
        return false;
    }
    messages::work_command command;
    *command.mutable_target() = comparable;
    propose(state, std::move(command));
    return true;
}

void handleTargetLeaving(dispatch_state &state, const std::string &id, time_point now)
{
    const auto found = state.targets.find(id);
    if (found == state.targets.end() || found->second.leavingSince) {
        return;
    }
    found->second.leavingSince = now;
    log_line {"target_left"}.with("target", id).with("runs", found->second.runs.size());
}

void requestStop(dispatch_state &state, const task_name &task, const std::string &reason,
                 time_point now)
{
    const auto *record = findTask(*state.work, task);
    if (record == nullptr || record->status != task_status::Running) {
        return;
    }
    const auto target = state.targets.find(record->target);
    if (target == state.targets.end()) {
        return;
    }
    const auto found = target->second.runs.find(task);
    if (found == target->second.runs.end() || found->second.phase == run_phase::Stopping) {
        return;
    }
    auto &run = found->second;
    state.changedTargets.insert(record->target);
    log_line {"run_stopping"}
        .with("task", toString(task))
        .with("run", run.run)
        .with("target", record->target)
        .with("percent", run.percentDone)
        .with("reason", reason);
    run.phase = run_phase::Stopping;
    run.confirmedAt = {};
    run.retryAt = now;
}

void orderStart(dispatch_state &state, const messages::start_run_command &start,
                const std::string &ticket, time_point now)
{
    const auto *life = findRegisteredTarget(state, start.target());
    const auto found = state.targets.find(start.target());
    if (life == nullptr || found == state.targets.end()) {
        return;
    }
    const auto task = toTaskName(start.task());
    auto &run = found->second.runs[task];
    run = {};
    run.run = start.run();
    run.phase = run_phase::Ordered;
    run.mayHaveReachedTarget = false;
    run.orderedAt = now;
    run.checkpoint = start.checkpoint();
    run.ticket = ticket;
    sendStart(state, found->second, *life, task, run, now);
}

namespace {

void stepTarget(dispatch_state &state, tracked_target &target, time_point now)
{
    const auto &id = target.id;
    const auto *life = findRegisteredTarget(state, id);
    if (life == nullptr || life->registration.born() != target.incarnation) {
        return;
    }
    // A target that reported its end without getting an acknowledgement runs on for seconds. Only
    // the expiry of its lease, which is not renewed any more, ensures that its runs are over.
    const bool hasEnded = hasLapsed(target, now) && mayNothingLinger(target, now);
    if (target.leavingSince && (target.runs.empty() || hasEnded)) {
        if (!std::exchange(target.isLeaveProposed, true)) {
            messages::work_command command;
            command.set_target_left(id);
            propose(state, std::move(command));
        }
        return;
    }
    if (!target.runs.empty() && hasLapsed(target, now)) {
        giveUpLapsed(state, target, now);
        if (hasEnded) {
            return;
        }
    }
    if (life->registration.is_draining()) {
        reviewDrain(state, target, now);
    }
    reviewProgress(state, target, now);
    stepRuns(state, target, *life, now);
    const bool isLookLost =
        isLosingAnswers(state) && now - target.pollSentAt > lossyPollTimeout(state.settings);
    if ((!target.isPollPending || isLookLost) && now >= target.nextPollAt
        && needsLook(state, target, *life, now)) {
        sendPoll(state, target, *life, now);
    }
}

} // namespace

void tickTargets(dispatch_state &state, time_point now)
{
    std::erase_if(state.lostAnswers, [&](const auto &each) {
        return now - each.second >= state.settings.answerLossWindow;
    });
    const auto changed = std::exchange(state.changedTargets, {});
    if (now >= state.nextTargetTickAt) {
        const auto count = static_cast<std::int64_t>(state.targets.size());
        state.nextTargetTickAt =
            now + state.settings.targetTickPeriod + milliseconds {count / targetsPerMillisecond};
        for (auto &[id, target] : state.targets) {
            stepTarget(state, target, now);
        }
        return;
    }
    for (const auto &id : changed) {
        const auto found = state.targets.find(id);
        if (found != state.targets.end()) {
            stepTarget(state, found->second, now);
        }
    }
}

} // namespace filbert

#include "target_tracking.h"

#include "cold_reports.h"
#include "crash_suspects.h"
#include "speed_tracking.h"
#include "start_checks.h"
#include "target_orders.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace filbert {

namespace {

// The previous leader may have counted from a clock reading that was up to 3.3 s old, of a clock
// that is up to 2 % slow.
constexpr milliseconds leaseMargin {100};
// For a stop with a checkpoint before the target leaves.
constexpr milliseconds checkpointTimeout {700};
constexpr int allWorkDone = 100; // progress of a run in percent
// Of a run against its estimate: on a slow target, far from its data.
constexpr std::int64_t maxSlowdown = 10;
constexpr std::int64_t maxDoublings = 5; // of the time that a run may go on without progress
// A report may be this long on its way, so that a reading of a clock may be too low by as much.
constexpr milliseconds maxReportDelay {60'000};
// Between ticks of a draining target: a small fraction of the time that is left for a stop.
constexpr milliseconds drainingTickPeriod {50};

bool isInContact(const dispatch_state &state, const tracked_target &target, time_point now)
{
    return now - target.lastContactAt < state.settings.contactTimeout;
}

bool needsPoll(const dispatch_state &state, const tracked_target &target,
               const registered_target &registered, time_point now)
{
    if (target.lastProposedEnd > registered.lastAppliedEnd) {
        return false; // until the proposed ends are committed
    }
    return !target.runs.empty()
        || (isInContact(state, target, now)
            && (registered.lastAppliedEnd > target.lastAcknowledgedEnd || target.isInventoryStale
                || mayHaveOrphans(target, now)));
}

bool hasLeaseExpired(const tracked_target &target, time_point now)
{
    // Other leases are bounded by time alone: the first reading of a clock may have been long on
    // its way, and an expiry on the clock of an earlier incarnation means nothing on this one's.
    return now > target.otherLeasesExpireBy
        && (!target.clockMs || clockLowerBound(target, now) > target.leaseExpiresAt);
}

std::size_t countPendingStarts(const tracked_target &target)
{
    return static_cast<std::size_t>(
        std::count_if(target.runs.begin(), target.runs.end(), [](const auto &each) {
            return each.second.phase == run_phase::Ordered && each.second.isOrderPending;
        }));
}

void tickRuns(dispatch_state &state, tracked_target &target, const registered_target &registered,
              time_point now)
{
    auto pendingStarts = countPendingStarts(target);
    std::vector<std::pair<std::uint64_t, task_name>> dueStarts;
    for (auto &[task, run] : target.runs) {
        const auto &job = state.work->jobs.at(task.job);
        const auto *record = findTask(*state.work, task);
        const bool isOfPreviousIncarnation =
            record != nullptr && record->incarnation != target.incarnation;
        if (run.phase != run_phase::Stopping && (job.hasEnded() || isOfPreviousIncarnation)) {
            log_line {"run_stopping"}
                .with("task", toString(task))
                .with("run", run.run)
                .with("target", target.id)
                .with("percent", run.percentDone)
                .with("reason",
                      job.hasEnded() ? "its job has ended" : "its target has a new incarnation");
            run.phase = run_phase::Stopping;
            run.confirmedAt = {};
            run.retryAt = now;
        }
        if (run.isOrderPending || run.isAbandonmentProposed) {
            continue;
        }
        if (run.phase == run_phase::Ordered) {
            const auto obstacle = findStartObstacle(state, target, registered, task, run, now);
            if (obstacle) {
                withdrawStart(state, target, task, *obstacle, now);
            } else if (now >= run.retryAt) {
                dueStarts.emplace_back(run.startNumber, task);
            }
        } else if (run.phase == run_phase::Stopping && !run.mayHaveReachedTarget) {
            proposeAbandonment(state, task, run, target.id, "its start was never sent");
        } else if (run.phase == run_phase::Stopping && run.confirmedAt.ms == 0
                   && now >= run.retryAt) {
            run.isOrderPending = true;
            sendStop(state, target, registered, task, run.run, now);
        }
    }
    std::sort(dueStarts.begin(), dueStarts.end());
    for (const auto &[number, task] : dueStarts) {
        if (pendingStarts++ >= state.settings.maxPendingStarts) {
            break;
        }
        sendStart(state, target, registered, task, target.runs.at(task), now);
    }
    if (!isInContact(state, target, now)) {
        return;
    }
    for (auto &[task, orphan] : target.orphanRuns) {
        if (orphan.confirmedAt.ms == 0 && now >= orphan.nextStopAt) {
            orphan.nextStopAt = now + state.settings.orderTimeout;
            sendStop(state, target, registered, task, orphan.run, now);
        }
    }
}

/** Abandons the runs of a target whose lease has expired. */
void abandonExpiredRuns(dispatch_state &state, tracked_target &target, time_point now)
{
    target.isInventoryStale = true;
    for (auto &[task, run] : target.runs) {
        if (!run.isAbandonmentProposed) {
            noteLostRun(state, target, task, run);
        }
        if (run.isOrderPending || target.unansweredStarts.contains(task)) {
            target.orphanRuns.emplace(task, orphan_run {run.run, now});
        }
        proposeAbandonment(state, task, run, target.id, "the lease of its target has expired");
    }
}

/** Whether a run has done its work and waits for other members of its gang, which end together. */
bool isWaitingForGang(const dispatch_state &state, const task_name &task, const run_view &run)
{
    if (run.percentDone < allWorkDone
        || !stepSpecOf(state.work->jobs.at(task.job), task.step).is_gang()) {
        return false;
    }
    const auto &members = findStep(*state.work, stepNameOf(task))->tasks;
    auto name = task;
    for (name.index = 0; name.index < members.size(); ++name.index) {
        const auto target = state.targets.find(members[name.index].target);
        if (target == state.targets.end()) {
            continue;
        }
        const auto member = target->second.runs.find(name);
        if (member != target->second.runs.end() && member->second.percentDone < allWorkDone) {
            return true;
        }
    }
    return false;
}

/** @return how long a run may go on without visible progress

    Progress is known in whole percent, so that sound runs of long tasks show none for seconds. An
    estimate may be far too low; then each run after the second may take longer than the one before,
    until one is long enough. */
milliseconds stallTimeoutOf(const dispatch_state &state, const messages::step_spec &spec,
                            const run_view &run)
{
    const milliseconds perPercent {spec.estimate_ms() / allWorkDone};
    const auto timeout = std::max(state.settings.stallTimeout, perPercent * maxSlowdown);
    const auto doublings = std::clamp<std::int64_t>(std::int64_t {run.run} - 2, 0, maxDoublings);
    return timeout * (std::int64_t {1} << doublings);
}

/** Stops runs that polls have listed for long without any progress, since they may hang. A time
    without polls says nothing about a run and does not count. */
void reviewProgress(dispatch_state &state, tracked_target &target, time_point now)
{
    for (auto &[task, run] : target.runs) {
        const auto &spec = stepSpecOf(state.work->jobs.at(task.job), task.step);
        const bool isMonitored = run.phase == run_phase::Started && !spec.lasts()
            && !spec.fills_gaps() && run.workRate == 100;
        const auto stalledFor = run.lastListedAt - std::max(run.lastProgressAt, run.startedAt);
        if (isMonitored && stalledFor > stallTimeoutOf(state, spec, run)
            && !isWaitingForGang(state, task, run)) {
            requestStop(state, task, "it makes no progress", now);
            if (now >= target.quarantinedUntil) {
                quarantineTarget(state, target, "a task there makes no progress", now);
            }
        }
    }
}

/** Stops runs on a draining target so that they continue elsewhere: long-running ones at once,
    others if they cannot end in time and can save a checkpoint. */
void reviewDraining(dispatch_state &state, tracked_target &target, time_point now)
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
        const auto elapsed = std::max<std::int64_t>((now - run.startedAt).count, 1);
        const double remaining = run.percentDone > 0
            ? static_cast<double>(elapsed) * (100.0 - run.percentDone) / run.percentDone
            : static_cast<double>(spec.estimate_ms());
        const bool canFinish = now + milliseconds {std::llround(remaining)} <= target.drainDeadline;
        if (!canFinish && spec.checkpoints() && now + checkpointTimeout >= target.drainDeadline) {
            requestStop(state, task, "its target leaves before it can complete", now);
        }
    }
}

/** Has the starts stopped that a previous incarnation did not answer and that this one may still
    carry out. Those of runs in the log are stopped with these. */
void stopLateStarts(tracked_target &target, time_point now)
{
    for (const auto &[task, start] : target.unansweredStarts) {
        if (now >= start.mayArriveUntil || target.runs.contains(task)
            || !target.orphanRuns.emplace(task, orphan_run {start.run, now}).second) {
            continue;
        }
        log_line {"late_start_stopped"}
            .with("task", toString(task))
            .with("run", start.run)
            .with("target", target.id);
    }
}

/** Replaces what is known about a target, or begins to track it. What was ordered from a previous
    incarnation may reach this one. */
void beginIncarnation(dispatch_state &state, tracked_target &target,
                      const registered_target &registered, time_point now)
{
    state.dueTargets.erase({target.dueAt, registered.registration.id()});
    const auto previous = std::move(target);
    target = {};
    target.id = registered.registration.id();
    target.incarnation = registered.registration.born();
    target.lastContactAt = now;
    target.registeredAt = now;
    takeAnnouncedColdPeriod(state, target, now);
    target.otherLeasesExpireBy = state.leadingSince
        + withClockRateMargin(std::min(state.settings.targetLease, state.settings.maxTargetLease))
        + leaseMargin;
    if (previous.incarnation == 0) {
        return;
    }
    target.otherLeasesExpireBy = std::max(target.otherLeasesExpireBy, previous.otherLeasesExpireBy);
    expectLateOrders(state, target, std::max(previous.lastLeaseSentAt, state.leadingSince), now);
    target.reservedResources = previous.reservedResources;
    target.reservedBestEffortCores = previous.reservedBestEffortCores;
    target.runs = previous.runs; // stopped in the new incarnation too, see tickRuns()
    for (auto &[task, run] : target.runs) {
        run.mayHaveReachedTarget = run.mayHaveReachedTarget || run.isOrderPending;
        run.isOrderPending = false; // its answer would come from the previous incarnation
        run.confirmedAt = {}; // by the previous incarnation
        run.retryAt = now;
    }
    target.unansweredStarts = previous.unansweredStarts;
    stopLateStarts(target, now);
}

} // namespace

bool acceptsWork(const dispatch_state &state, const tracked_target &target,
                 const registered_target &registered, time_point now)
{
    return !registered.hasEnded && !registered.registration.is_draining()
        && !isEvacuated(*state.work, registered)
        && registered.registration.born() == target.incarnation && target.clockMs
        && !target.leavingSince && !target.isSuspect && now >= target.quarantinedUntil
        && now - target.lastContactAt < state.settings.contactTimeout;
}

void syncTarget(dispatch_state &state, const std::string &id, time_point now)
{
    const auto *registered = findRegisteredTarget(state, id);
    if (registered == nullptr) {
        return;
    }
    if (registered->hasEnded) {
        state.targetsByService.clear();
        if (const auto removed = state.targets.extract(id)) {
            state.dueTargets.erase({removed.mapped().dueAt, id});
        }
        return;
    }
    state.changedTargets.insert(id);
    if (!state.targets.contains(id)) {
        state.targetsByService.clear();
    }
    auto &target = state.targets[id];
    if (target.incarnation != registered->registration.born()) {
        beginIncarnation(state, target, *registered, now);
    }
    target.lastProposedEnd = std::max(target.lastProposedEnd, registered->lastAppliedEnd);
    std::erase_if(target.runs,
                  [&](const auto &each) { return !registered->runs.contains(each.first); });
    for (const auto &task : registered->runs) {
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
        if (record->incarnation != target.incarnation) {
            expectLateOrders(state, target, now, now);
        }
    }
}

void expectLateOrders(const dispatch_state &state, tracked_target &target, time_point lastSentAt,
                      time_point now)
{
    const auto &settings = state.settings;
    const auto arriveUntil = lastSentAt + settings.maxOrderDelay;
    target.lateOrdersUntil = std::max(target.lateOrdersUntil, arriveUntil);
    const auto leasesExpireBy =
        arriveUntil + withClockRateMargin(settings.maxTargetLease) + leaseMargin;
    if (leasesExpireBy <= std::max(target.otherLeasesExpireBy, now)) {
        return;
    }
    target.otherLeasesExpireBy = leasesExpireBy;
    log_line {"late_orders_expected"}
        .with("target", target.id)
        .with("sent_ms_ago", (now - lastSentAt).count)
        .with("leases_expire_in_ms", (leasesExpireBy - now).count);
}

void limitOtherLeases(const dispatch_state &state, tracked_target &target, time_point now)
{
    const auto expireBy = now + withClockRateMargin(state.settings.maxTargetLease) + leaseMargin;
    target.otherLeasesExpireBy = std::min(target.otherLeasesExpireBy, expireBy);
}

void recordUnansweredStart(dispatch_state &state, tracked_target &target, const target_order &order,
                           time_point now)
{
    std::erase_if(target.unansweredStarts,
                  [&](const auto &each) { return now >= each.second.mayArriveUntil; });
    auto &start = target.unansweredStarts[order.task];
    start.run = std::max(start.run, order.run);
    start.mayArriveUntil =
        std::max(start.mayArriveUntil, order.sentAt + state.settings.maxOrderDelay);
    if (order.incarnation != target.incarnation) {
        stopLateStarts(target, now);
        state.changedTargets.insert(target.id);
    }
}

void handleUnregisteredIncarnation(dispatch_state &state, tracked_target &target, time_point now)
{
    target.isSuspect = true;
    target.isInventoryStale = true;
    expectLateOrders(state, target, now, now);
}

namespace {

/** Proposes to record the crashes that a report proves: of an earlier incarnation of the same
   target, or of another target at its address. One that was about to end has not crashed. */
void proposeCrashes(dispatch_state &state, const messages::target_life &report)
{
    for (const auto &[id, registered] : state.work->targets) {
        const auto &earlier = registered.registration;
        const bool isReplaced = !registered.hasEnded && earlier.born() < report.born()
            && (id == report.id() || earlier.address() == report.address());
        const auto target = isReplaced ? state.targets.find(id) : state.targets.end();
        if (target == state.targets.end() || target->second.incarnation != earlier.born()
            || target->second.leavingSince || earlier.is_draining()) {
            continue;
        }
        auto command =
            crashCommand(state, target->second, milliseconds {report.born() - earlier.born()});
        if (command.crashed().runs_size() > 0) {
            propose(state, std::move(command));
        }
    }
}

} // namespace

namespace {

/** Whether a later report of the same incarnation has arrived before this one.

    A report whose reading of the target's clock is newer than all others is the latest, whatever
   its number: a wrong number that arrived before does not silence the target.
*/
bool isOvertaken(const tracked_target &target, const messages::target_life &report, time_point now)
{
    const bool hasLatestClock = target.clockMs && report.clock_ms() > clockLowerBound(target, now);
    return static_cast<std::uint64_t>(report.sequence()) <= target.reportSequence
        && !hasLatestClock;
}

/** Takes over the reading of a target's clock from a report, unless the clock cannot have come that
    far. Then the target is asked, since leases are granted and judged by its clock. */
void updateClockFromReport(tracked_target &target, std::int64_t clockMs, time_point now)
{
    if (!target.clockMs || clockMs <= clockUpperBound(target, now) + maxReportDelay.count) {
        updateClock(target, clockMs, now);
        return;
    }
    target.isInventoryStale = true;
    log_line {"clock_implausible", log_line::severity::Warning}
        .with("target", target.id)
        .with("clock_ms", clockMs)
        .with("expected_ms", clockUpperBound(target, now));
}

} // namespace

bool handleTargetReport(dispatch_state &state, const messages::target_life &report, time_point now)
{
    const auto *registered = findRegisteredTarget(state, report.id());
    const bool isOutdated = registered != nullptr
        && (registered->registration.born() > report.born()
            || (registered->hasEnded && registered->registration.born() == report.born()));
    if (isOutdated) {
        log_line {"late_report"}.with("target", report.id()).with("born", report.born());
        return false;
    }
    const auto found = state.targets.find(report.id());
    const bool isSameIncarnation =
        registered != nullptr && registered->registration.born() == report.born();
    if (isSameIncarnation && found != state.targets.end()) {
        auto &target = found->second;
        if (isOvertaken(target, report, now)) {
            return false;
        }
        target.reportSequence = static_cast<std::uint64_t>(report.sequence());
        noteColdTime(target, report.cold_ms(), now);
        if (now - target.lastContactAt >= state.settings.contactTimeout) {
            state.changedTargets.insert(report.id()); // a poll may be due again
        }
        target.lastContactAt = now;
        updateClockFromReport(target, report.clock_ms(), now);
        updateColdPeriod(target.cold, {report.cold_ms()}, now);
        if (!report.is_draining() && !target.isRemovalProposed) {
            target.leavingSince.reset(); // the sign-off came from a previous incarnation
        }
        if (report.is_draining() && target.drainDeadline.ms == 0) {
            target.drainDeadline = now + milliseconds {report.remaining_ms()};
        }
    }
    auto comparable = report;
    comparable.clear_clock_ms();
    comparable.clear_sequence();
    comparable.clear_remaining_ms();
    comparable.clear_cold_ms();
    const bool isUnchanged = isSameIncarnation
        && registered->registration.SerializeAsString() == comparable.SerializeAsString();
    if (isUnchanged) {
        return false;
    }
    if (!isSameIncarnation) {
        proposeCrashes(state, report);
        announceColdPeriod(state, report, now);
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
                const reserved_ticket &ticket, time_point now)
{
    const auto *registered = findRegisteredTarget(state, start.target());
    const auto found = state.targets.find(start.target());
    if (registered == nullptr || found == state.targets.end()) {
        return;
    }
    const auto task = toTaskName(start.task());
    auto &run = found->second.runs[task];
    run = {};
    run.run = start.run();
    run.phase = run_phase::Ordered;
    run.mayHaveReachedTarget = false;
    run.startNumber = ++state.lastStartNumber;
    run.checkpoint = start.checkpoint();
    run.ticket = ticket.text;
    run.ticketExpiresAt = ticket.expiresAt;
    run.placedAt = ticket.placedAt;
    // One that may not be sent is withdrawn with the next tick, when all of its gang is committed.
    if (countPendingStarts(found->second) < state.settings.maxPendingStarts
        && !findStartObstacle(state, found->second, *registered, task, run, now)) {
        sendStart(state, found->second, *registered, task, run, now);
    }
}

namespace {

void tickTarget(dispatch_state &state, tracked_target &target, time_point now)
{
    const auto &id = target.id;
    const auto *registered = findRegisteredTarget(state, id);
    if (registered == nullptr || registered->registration.born() != target.incarnation) {
        return;
    }
    // A target that reported its end without getting an acknowledgement runs on for seconds. Only
    // the expiry of its lease, which is not renewed any more, ensures that its runs have ended.
    const bool haveRunsEnded = hasLeaseExpired(target, now);
    // A sign-off names no incarnation: only that of a draining target is certain at once.
    const bool isLeaving = target.leavingSince
        && (registered->registration.is_draining()
            || now - *target.leavingSince >= state.settings.contactTimeout);
    if (isLeaving && (target.runs.empty() || haveRunsEnded)) {
        if (!std::exchange(target.isRemovalProposed, true)) {
            messages::work_command command;
            command.set_target_left(id);
            propose(state, std::move(command));
        }
        return;
    }
    if (!target.runs.empty() && haveRunsEnded) {
        abandonExpiredRuns(state, target, now);
        return;
    }
    if (registered->registration.is_draining()) {
        reviewDraining(state, target, now);
    }
    reviewProgress(state, target, now);
    tickRuns(state, target, *registered, now);
    const bool isPollLost = isLosingAnswers(state) && !isPolledForOrphans(target, now)
        && now - target.pollSentAt > lossyPollTimeout(state);
    if (now >= target.nextPollAt && needsPoll(state, target, *registered, now)
        && (!target.isPollPending || (isPollLost && takeRetryToken(state)))) {
        sendPoll(state, target, *registered, now);
    }
}

/** @return when the lease of a target may have expired, if it has not yet */
time_point leaseReviewTime(const tracked_target &target, time_point now)
{
    constexpr milliseconds step {1};
    if (!target.clockMs) {
        return target.otherLeasesExpireBy + step;
    }
    const auto remaining =
        std::max<std::int64_t>(target.leaseExpiresAt - clockLowerBound(target, now), 0);
    return std::max(target.otherLeasesExpireBy, now + milliseconds {remaining}) + step;
}

/** @return when a target must be ticked next, if nothing about it changes before */
time_point nextTickTime(const dispatch_state &state, const tracked_target &target, time_point now)
{
    const auto latest = now + state.settings.maxTargetPause;
    const auto *registered = findRegisteredTarget(state, target.id);
    if (registered == nullptr) {
        return latest;
    }
    auto due = latest;
    const auto consider = [&](time_point at) { due = at > now ? std::min(due, at) : due; };
    if (registered->registration.is_draining()) {
        consider(now + drainingTickPeriod);
    }
    if (!target.runs.empty()) {
        consider(leaseReviewTime(target, now));
    }
    if (!target.isPollPending) {
        consider(target.nextPollAt);
    } else if (isLosingAnswers(state)) {
        consider(target.pollSentAt + lossyPollTimeout(state) + milliseconds {1});
    }
    for (const auto &[task, orphan] : target.orphanRuns) {
        if (orphan.confirmedAt.ms == 0) {
            consider(orphan.nextStopAt);
        }
    }
    for (const auto &[task, run] : target.runs) {
        if (!run.isOrderPending) {
            consider(run.retryAt);
        }
    }
    return due;
}

} // namespace

namespace {

void countTargetsInContact(dispatch_state &state, time_point now)
{
    if (now < state.nextContactCountAt) {
        return;
    }
    state.nextContactCountAt = now + state.settings.maxTargetPause;
    state.targetsInContact = static_cast<std::size_t>(
        std::count_if(state.targets.begin(), state.targets.end(),
                      [&](const auto &each) { return isInContact(state, each.second, now); }));
}

} // namespace

void tickTargets(dispatch_state &state, time_point now)
{
    countTargetsInContact(state, now);
    std::erase_if(state.lostAnswers, [&](const auto &each) {
        return now - each.second >= state.settings.answerLossWindow;
    });
    auto ids = std::exchange(state.changedTargets, {});
    for (auto due = state.dueTargets.begin(); due != state.dueTargets.end() && due->first <= now;
         ++due) {
        ids.insert(due->second);
    }
    for (const auto &id : ids) {
        const auto found = state.targets.find(id);
        if (found == state.targets.end()) {
            continue;
        }
        auto &target = found->second;
        ++state.targetTicks;
        tickTarget(state, target, now);
        state.dueTargets.erase({target.dueAt, id});
        target.dueAt = nextTickTime(state, target, now);
        state.dueTargets.emplace(target.dueAt, id);
    }
}

} // namespace filbert

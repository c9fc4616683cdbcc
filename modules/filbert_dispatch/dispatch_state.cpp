#include "dispatch_state.h"

#include "admission_requests.h"
#include "capacity_claims.h"
#include "job_acceptance.h"
#include "pending_jobs.h"
#include "scheduling.h"
#include "speed_tracking.h"
#include "target_tracking.h"

#include <algorithm>
#include <utility>

namespace filbert {

namespace {

constexpr milliseconds cleanupPeriod {5'000}; // far below the retention of jobs
constexpr std::size_t stepsPerMillisecond = 4; // pending steps that a pass goes through in a ms
constexpr std::size_t targetsPerMillisecond = 50; // that a pass collects in a ms, each once
// The first polls of a term are spread, since the answers to all of them at once would make the
// first turns of a new leader longer than its lease.
constexpr std::size_t firstPollsPerMillisecond = 4;
constexpr milliseconds maxPassPause {40}; // a small fraction of the shortest latency objective
constexpr int requestIdBits = 32; // leaves 2^32 request ids per term
constexpr int maxJobsPerCleanup = 500; // keeps the entry of the log at some 10 kB
// Fifty cleanups forget all; an entry takes some 100 kB at most.
constexpr int maxCancelsPerCleanup = static_cast<int>(maxEarlyCancels / 50);

void handleCommittedStart(dispatch_state &state, const messages::start_run_command &start,
                          bool refused, time_point now)
{
    const auto task = toTaskName(start.task());
    releaseStart(state, task);
    reserved_ticket ticket;
    if (const auto heldTicket = state.reservedTickets.extract(task)) {
        ticket = heldTicket.mapped();
    }
    refreshJob(state, task.job, now);
    if (!refused) {
        const auto target = state.targets.find(start.target());
        if (target == state.targets.end() || target->second.incarnation != start.born()) {
            syncTarget(state, start.target(), now);
        }
        state.changedTargets.insert(start.target());
        recordStartedRun(state, task, now);
        orderStart(state, start, ticket, now);
        return;
    }
    log_line {"start_refused", log_line::severity::Warning}
        .with("task", toString(task))
        .with("run", start.run())
        .with("target", start.target());
}

/** Counts the capacity that ended runs release. */
void countReleases(dispatch_state &state, const messages::end_runs_command &ends, time_point now)
{
    const auto target = state.work->targets.find(ends.target());
    if (target == state.work->targets.end()) {
        return;
    }
    const auto &service = target->second.registration.service();
    for (const auto &end : ends.ends()) {
        const auto job = state.work->jobs.find(end.task().job());
        if (job == state.work->jobs.end()) {
            continue;
        }
        const auto released = targetReservation(stepSpecOf(job->second, end.task().step()));
        addRelease(state.releases[{service, released.accelerators > 0}], released, now);
    }
}

/** Removes the ended runs from the view of their target, except those that another run replaced. */
void removeEndedRuns(dispatch_state &state, const messages::end_runs_command &ends)
{
    const auto registered = state.work->targets.find(ends.target());
    const auto target = state.targets.find(ends.target());
    if (registered == state.work->targets.end() || target == state.targets.end()) {
        return;
    }
    state.changedTargets.insert(ends.target());
    target->second.lastProposedEnd =
        std::max(target->second.lastProposedEnd, registered->second.lastAppliedEnd);
    for (const auto &end : ends.ends()) {
        const auto task = toTaskName(end.task());
        if (!registered->second.runs.contains(task)) {
            target->second.runs.erase(task);
        }
    }
}

void handleCommittedEnds(dispatch_state &state, const messages::end_runs_command &ends,
                         time_point now)
{
    removeEndedRuns(state, ends);
    countReleases(state, ends, now);
    const auto target = state.targets.find(ends.target());
    if (target != state.targets.end()) {
        target->second.nextPollAt = now;
    }
    std::set<std::string> jobs;
    for (const auto &end : ends.ends()) {
        jobs.insert(end.task().job());
        if (end.kind() == messages::END_DONE) {
            recordEndedRun(state, toTaskName(end.task()), now);
        }
        log_line {"run_ended"}
            .with("task", toString(toTaskName(end.task())))
            .with("run", end.run())
            .with("target", ends.target())
            .with("end", messages::end_kind_Name(end.kind()));
    }
    for (const auto &job : jobs) {
        refreshJob(state, job, now);
    }
}

/** Updates the view of a target from its record, and the jobs of its runs: if its incarnation has
    ended, their tasks wait again. */
void syncTargetAndJobs(dispatch_state &state, const std::string &id, time_point now)
{
    std::set<std::string> jobs;
    const auto target = state.targets.find(id);
    if (target != state.targets.end()) {
        for (const auto &[task, run] : target->second.runs) {
            jobs.insert(task.job);
        }
    }
    syncTarget(state, id, now);
    for (const auto &job : jobs) {
        refreshJob(state, job, now);
    }
}

void handleCommittedTarget(dispatch_state &state, const messages::target_life &registration,
                           time_point now)
{
    state.targetsByService.clear(); // its service and labels may be others
    const bool wasTracked = state.targets.contains(registration.id());
    syncTargetAndJobs(state, registration.id(), now);
    const auto target = state.targets.find(registration.id());
    const bool isBack = !wasTracked && target != state.targets.end()
        && state.work->targets.at(registration.id()).restartedWallMs > 0;
    if (isBack) { // the record of its earlier incarnation had ended
        expectLateOrders(state, target->second, now, now);
    }
    // A new registration may have ended another target at the same address.
    for (const auto &[id, other] : state.work->targets) {
        if (other.hasEnded && other.registration.address() == registration.address()) {
            syncTargetAndJobs(state, id, now);
        }
    }
}

/** Updates the view of the target that had an abandoned run, and the run's job. */
void handleCommittedAbandonment(dispatch_state &state, const messages::drop_run_command &drop,
                                time_point now)
{
    const auto task = toTaskName(drop.task());
    if (const auto target = state.abandonments.extract(task)) {
        syncTarget(state, target.mapped(), now);
    }
    refreshJob(state, task.job, now);
}

/** Charges the reservations of proposed starts to the teams that their jobs have now. */
void chargeReservationsAnew(dispatch_state &state)
{
    state.teamReserved.clear();
    for (const auto &[task, target] : state.reservedStarts) {
        const auto job = state.work->jobs.find(task.job);
        if (job != state.work->jobs.end()) {
            state.teamReserved[job->second.job.team()] +=
                taskDemand(stepSpecOf(job->second, task.step));
        }
    }
}

void beginDueOccurrences(dispatch_state &state, std::int64_t wallMs)
{
    for (const auto &id : state.repeatingJobs) {
        const auto &job = state.work->jobs.at(id);
        const auto count = static_cast<std::uint32_t>(std::max(job.job.repeat_count(), 0));
        for (std::uint32_t k = static_cast<std::uint32_t>(job.occurrences.size()); k < count; ++k) {
            const auto due = job.job.first_due_wall_ms() + job.job.interval_ms() * k;
            if (wallMs < due) {
                break;
            }
            if (!state.proposedOccurrences.emplace(id, k).second) {
                continue;
            }
            messages::work_command command;
            command.mutable_begin()->set_job(id);
            command.mutable_begin()->set_occurrence(k);
            state.effects.commands.push_back(std::move(command));
        }
    }
}

/** @return the latest time that a past reading of another host's wall clock may stand for
    @param wallMs  the wall clock of this host now */
time_point latestTimeOf(std::int64_t reading, const dispatch_settings &settings, time_point now,
                        std::int64_t wallMs)
{
    const milliseconds age {wallMs - std::clamp<std::int64_t>(reading, 0, wallMs)};
    return std::min(now, now + settings.maxWallClockError - age);
}

/** Expects late orders of earlier leaders to earlier incarnations of a target. They were sent
    before the present incarnation was registered. */
void expectOrdersOfEarlierLeaders(const dispatch_state &state, tracked_target &target,
                                  const registered_target &registered, time_point now,
                                  std::int64_t wallMs)
{
    const auto registeredWallMs = std::max(target.incarnation, registered.restartedWallMs);
    const auto lastSentAt = latestTimeOf(registeredWallMs, state.settings, now, wallMs);
    target.lateOrdersUntil = lastSentAt + state.settings.maxOrderDelay;
    if (registered.restartedWallMs > 0) {
        expectLateOrders(state, target, lastSentAt, now);
    }
}

/** Refreshes the job if it was known, else remembers when the cancel may be forgotten. */
void handleCommittedEarlyCancel(dispatch_state &state, const early_cancel &cancel, time_point now)
{
    if (state.work->jobs.contains(cancel.job)) {
        refreshJob(state, cancel.job, now);
    } else if (isRemembered(*state.work, cancel)) {
        state.earlyCancels.emplace_back(now + state.settings.jobRetention, cancel);
    }
}

/** Forgets early cancels after the time for which cancelled jobs are retained. It is measured by
    this leader's monotonic clock: a step of the wall clock must not end it. */
void removeEarlyCancels(dispatch_state &state, time_point now)
{
    messages::work_command command;
    auto *forget = command.mutable_forget_cancels();
    auto &cancels = state.earlyCancels;
    while (!cancels.empty() && now >= cancels.front().first
           && forget->cancels_size() < maxCancelsPerCleanup) {
        *forget->add_cancels() = toMessage(cancels.front().second);
        cancels.pop_front();
    }
    if (forget->cancels_size() > 0) {
        state.effects.commands.push_back(std::move(command));
    }
}

void removeEndedJobs(dispatch_state &state, time_point now, std::int64_t wallMs)
{
    if (now < state.nextCleanupAt) {
        return;
    }
    state.nextCleanupAt = now + cleanupPeriod;
    removeLoggedBeginnings(state);
    messages::work_command command;
    auto *forget = command.mutable_forget();
    for (const auto &[id, job] : state.work->jobs) {
        const bool isDue = job.hasEnded() && job.runningTasks == 0
            && wallMs - job.endedWallMs > state.settings.jobRetention.count;
        if (isDue && forget->jobs_size() < maxJobsPerCleanup) {
            forget->add_jobs(id);
        }
    }
    if (forget->jobs_size() > 0) {
        state.effects.commands.push_back(std::move(command));
    }
    removeEarlyCancels(state, now);
}

} // namespace

void reserveStart(dispatch_state &state, const task_name &task, tracked_target &target)
{
    const auto &job = state.work->jobs.at(task.job);
    const auto &spec = stepSpecOf(job, task.step);
    state.reservedStarts[task] = target.id;
    state.teamReserved[job.job.team()] += taskDemand(spec);
    target.reservedResources += targetReservation(spec);
    target.reservedBestEffortCores += bestEffortCoresOf(spec);
}

void releaseStart(dispatch_state &state, const task_name &task)
{
    const auto reservation = state.reservedStarts.find(task);
    if (reservation == state.reservedStarts.end()) {
        return;
    }
    const auto job = state.work->jobs.find(task.job);
    const auto target = state.targets.find(reservation->second);
    state.reservedStarts.erase(reservation);
    if (job == state.work->jobs.end()) {
        return;
    }
    const auto &spec = stepSpecOf(job->second, task.step);
    state.teamReserved[job->second.job.team()] -= taskDemand(spec);
    if (target != state.targets.end()) {
        target->second.reservedResources -= targetReservation(spec);
        target->second.reservedBestEffortCores -= bestEffortCoresOf(spec);
    }
}

dispatch_state startDispatch(const work_state &work, const dispatch_settings &settings,
                             std::uint64_t term, time_point now, std::int64_t wallMs)
{
    dispatch_state state;
    state.settings = settings;
    state.work = &work;
    state.term = term;
    state.lastAdmissionId = term << requestIdBits; // answers of earlier terms match no request
    state.leadingSince = now;
    state.retryTokens = settings.maxRetryTokens;
    state.nextCleanupAt = now + cleanupPeriod;
    removeLoggedBeginnings(state);
    for (const auto &cancel : work.earlyCancels) {
        state.earlyCancels.emplace_back(now + settings.jobRetention, cancel);
    }
    for (const auto &[id, registered] : work.targets) {
        syncTarget(state, id, now);
    }
    state.targetsInContact = state.targets.size();
    std::size_t polled = 0;
    for (auto &[id, target] : state.targets) {
        expectOrdersOfEarlierLeaders(state, target, work.targets.at(id), now, wallMs);
        const auto delay = polled++ / firstPollsPerMillisecond;
        target.nextPollAt = now + milliseconds {static_cast<std::int64_t>(delay)};
    }
    for (const auto &[id, job] : work.jobs) {
        if (!job.hasEnded()) {
            refreshJob(state, id, now);
            const auto age = std::clamp<std::int64_t>(wallMs - job.job.accepted_wall_ms(), 0,
                                                      settings.jobRetention.count);
            for (auto &[number, begunAt] : state.jobs[id].occurrenceBegunAt) {
                begunAt = job.job.repeat_count() == 0 ? now - milliseconds {age} : now;
            }
        }
    }
    state.seenOwnerChanges = work.ownerChanges;
    restoreShares(state, now, wallMs);
    for (const auto &[id, target] : state.targets) {
        for (const auto &[task, run] : target.runs) {
            if (needsTrial(*findTask(work, task))) {
                state.suspectStarts[task] = id;
            }
        }
    }
    return state;
}

void handleCommittedCommand(dispatch_state &state, const messages::work_command &command,
                            bool refused, time_point now)
{
    using body = messages::work_command::BodyCase;
    state.isPassDue = true;
    switch (command.body_case()) {
    case body::kAccept:
        if (refused) {
            forgetSubmission(state.jobAdmission, command.accept().id());
            break;
        }
        refreshJob(state, command.accept().id(), now);
        handleAcceptedJob(state, command.accept().id(), now);
        break;
    case body::kCancel:
        refreshJob(state, command.cancel(), now);
        break;
    case body::kStart:
        handleCommittedStart(state, command.start(), refused, now);
        break;
    case body::kEnd:
        handleCommittedEnds(state, command.end(), now);
        break;
    case body::kDrop:
        handleCommittedAbandonment(state, command.drop(), now);
        break;
    case body::kTarget:
        handleCommittedTarget(state, command.target(), now);
        break;
    case body::kTargetLeft:
        syncTargetAndJobs(state, command.target_left(), now);
        break;
    case body::kBegin:
        refreshJob(state, command.begin().job(), now);
        break;
    case body::kCrashed:
        for (const auto &run : command.crashed().runs()) {
            refreshJob(state, run.task().job(), now); // it may have failed
        }
        break;
    case body::kConfigure:
        chargeReservationsAnew(state); // teams may have other names
        break;
    case body::kEvacuate:
        // The next tick withdraws the starts that wait for these targets.
        for (const auto &id : targetsInDomain(*state.work, command.evacuate().failure_domain())) {
            state.changedTargets.insert(id);
        }
        break;
    case body::kCancelEarly:
        handleCommittedEarlyCancel(state, toEarlyCancel(command.cancel_early()), now);
        break;
    case body::kForget:
    case body::kForgetCancels:
    case body::BODY_NOT_SET:
        break;
    }
}

void tickTracking(dispatch_state &state, time_point now, std::int64_t wallMs)
{
    tickTargets(state, now);
    reviewTargetSpeeds(state, now);
    if (state.seenOwnerChanges != state.work->ownerChanges) {
        state.seenOwnerChanges = state.work->ownerChanges;
        state.teamShares = {}; // what was charged to a team follows its jobs
        restoreShares(state, now, wallMs);
    }
    beginDueOccurrences(state, wallMs);
    removeEndedJobs(state, now, wallMs);
}

void tickPlacement(dispatch_state &state, time_point now)
{
    const bool isDue = (state.isPassDue && now >= state.earliestPassAt) || now >= state.nextPassAt;
    if (isDue) {
        state.isPassDue = false;
        state.nextPassAt = now + state.settings.passPeriod;
        reviewWaitingJobs(state, now);
        placeWaitingTasks(state, now);
        const auto pause =
            static_cast<std::int64_t>(state.pendingStepCount / stepsPerMillisecond
                                      + state.targets.size() / targetsPerMillisecond);
        state.earliestPassAt = now + milliseconds {std::min(pause, maxPassPause.count)};
    }
    tickAdmissions(state, now);
}

void tickDispatch(dispatch_state &state, time_point now, std::int64_t wallMs)
{
    tickTracking(state, now, wallMs);
    tickPlacement(state, now);
}

} // namespace filbert

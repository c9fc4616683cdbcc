#include "work_commands.h"

#include "early_cancels.h"
#include "evacuation.h"
#include "queue_lookup.h"
#include "task_name.h"
#include "team_succession.h"

#include <algorithm>

namespace filbert {

namespace {

void removeFromPending(work_state &state, work_job &job)
{
    if (job.hasBegun) {
        return;
    }
    const auto pending = state.pendingByQueue.find(acceptingQueueOf(job.job));
    if (pending != state.pendingByQueue.end() && --pending->second == 0) {
        state.pendingByQueue.erase(pending);
    }
}

/** Notes that a task of a job runs or ran on a target. */
void markBegun(work_state &state, work_job &job)
{
    if (job.hasBegun) {
        return;
    }
    removeFromPending(state, job);
    job.hasBegun = true;
    job.status = job_status::Active;
}

void endJob(work_state &state, work_job &job, job_status status, std::int64_t wallMs)
{
    removeFromPending(state, job);
    job.hasBegun = true; // so that it no longer counts as pending
    job.status = status;
    job.endedWallMs = wallMs;
}

/** Discards the tasks and the specification of a job that has ended and has no running task.

    Only what queries about the job need is kept: ended jobs are retained for minutes, and their
    tasks would make up most of a snapshot. */
void discardDetailsOfEndedJob(work_job &job)
{
    if (job.hasEnded() && job.runningTasks == 0) {
        job.occurrences.clear();
        job.job.clear_spec();
    }
}

/** @return the number of times that the job's steps run in all */
std::uint32_t occurrenceCount(const work_job &job)
{
    return static_cast<std::uint32_t>(std::max(job.job.repeat_count(), 1));
}

bool isJobComplete(const work_job &job)
{
    if (job.occurrences.size() < occurrenceCount(job)) {
        return false;
    }
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
            if (!isStepDone(stepSpecOf(job, s), occurrence.steps[s])) {
                return false;
            }
        }
    }
    return true;
}

std::uint32_t maxAttemptsOf(const work_state &state, const work_job &job)
{
    return static_cast<std::uint32_t>(std::max(queueOf(state, job).max_attempts(), 1));
}

command_outcome applyConfiguration(work_state &state,
                                   const messages::work_configuration &configuration)
{
    if (configuration.version() > state.configuration.version()) {
        moveJobsToOwners(state, configuration);
        state.configuration = configuration;
    }
    return {};
}

command_outcome acceptJob(work_state &state, const messages::staged_job &job)
{
    if (state.jobs.contains(job.id())) {
        return {}; // a repetition of the same request
    }
    if (isCancelledEarly(state, job.id(), accessOf(job))) {
        return {error_kind::Conflict, "the job was cancelled before it was submitted"};
    }
    // The configuration may have changed since the leader proposed the job.
    const auto owner = ownerOnAcceptance(state.configuration, job);
    if (!owner) {
        return {error_kind::Unauthorized, "the key of the caller was withdrawn"};
    }
    auto &record = state.jobs[job.id()];
    record.job = job;
    record.job.set_team(*owner);
    if (job.repeat_count() == 0) {
        beginOccurrence(record, 0);
    }
    ++state.pendingByQueue[acceptingQueueOf(job)];
    return {};
}

command_outcome cancelJob(work_state &state, const std::string &id, std::int64_t wallMs)
{
    const auto job = state.jobs.find(id);
    if (job == state.jobs.end()) {
        return {error_kind::NotFound, "no such job"};
    }
    if (!job->second.hasEnded()) {
        endJob(state, job->second, job_status::Cancelled, wallMs);
        discardDetailsOfEndedJob(job->second);
    }
    return {};
}

command_outcome startRun(work_state &state, const messages::start_run_command &command)
{
    const auto name = toTaskName(command.task());
    const auto foundJob = state.jobs.find(name.job);
    if (foundJob != state.jobs.end() && foundJob->second.hasEnded()) {
        return {error_kind::Conflict, "the job has ended"};
    }
    auto *task = findTask(state, name);
    const auto registered = state.targets.find(command.target());
    if (task == nullptr || registered == state.targets.end()) {
        return {error_kind::NotFound, "no such task or target"};
    }
    auto &job = foundJob->second;
    auto &occurrence = job.occurrences.at(name.occurrence);
    auto &step = occurrence.steps[name.step];
    const auto &spec = stepSpecOf(job, name.step);
    const bool isStepDue =
        !(spec.is_gang() && step.isGangDone) && isStepReady(job, occurrence, name.step);
    if (task->status != task_status::Waiting || command.run() <= task->run || !isStepDue) {
        return {error_kind::Conflict, "the task is running or done, or its step is not ready"};
    }
    if (registered->second.hasEnded || registered->second.registration.born() != command.born()) {
        return {error_kind::Conflict, "this incarnation of the target has ended"};
    }
    if (isEvacuated(state, registered->second)) {
        return {error_kind::Conflict, "the failure domain of the target is evacuated"};
    }
    const auto freeCapacity =
        amountsOf(registered->second.registration.capacity()) - registered->second.used;
    const auto reservation = targetReservation(spec);
    if (reservation.milliCores > freeCapacity.milliCores
        || reservation.memoryMb > freeCapacity.memoryMb
        || reservation.accelerators > freeCapacity.accelerators) {
        return {error_kind::NoCapacity, "the target has not enough free resources"};
    }
    task->status = task_status::Running;
    task->run = command.run();
    task->target = command.target();
    task->incarnation = command.born();
    ++step.runningTasks;
    job.hasStarted = true;
    updateReservations(state, name, task->target, 1);
    return {};
}

/** Releases the resources of a task's run; the task waits again. */
void releaseRun(work_state &state, const task_name &name, work_task &task, step_record &step)
{
    updateReservations(state, name, task.target, -1);
    --step.runningTasks;
    task.status = task_status::Waiting;
    task.target.clear();
}

void countFailure(work_state &state, const task_name &name, work_task &task, step_record &step,
                  std::int64_t wallMs)
{
    auto &job = state.jobs.at(name.job);
    const auto &spec = stepSpecOf(job, name.step);
    ++task.failures;
    auto failures = task.failures;
    if (spec.is_gang()) {
        if (step.failedRun != task.run) {
            step.failedRun = task.run;
            ++step.gangFailures;
        }
        failures = step.gangFailures;
    }
    const bool hasNoAttemptsLeft = !spec.lasts() && failures >= maxAttemptsOf(state, job);
    if (hasNoAttemptsLeft && !job.hasEnded()) {
        endJob(state, job, job_status::Failed, wallMs);
    }
}

void markDone(work_state &state, const task_name &name, work_task &task, step_record &step,
              std::int64_t wallMs)
{
    auto &job = state.jobs.at(name.job);
    task.status = task_status::Done;
    ++step.doneTasks;
    if (stepSpecOf(job, name.step).is_gang()) {
        step.isGangDone = true;
    }
    if (!job.hasEnded() && isJobComplete(job)) {
        endJob(state, job, job_status::Completed, wallMs);
    }
}

void endRun(work_state &state, const std::string &target, std::int64_t incarnation,
            const messages::run_end &end, std::int64_t wallMs)
{
    const auto name = toTaskName(end.task());
    if (const auto job = state.jobs.find(name.job); job != state.jobs.end()) {
        markBegun(state, job->second);
    }
    auto *task = findTask(state, name);
    // A start order that was sent to an earlier incarnation may have been executed by this one.
    const bool isCurrent = task != nullptr && task->status == task_status::Running
        && task->run == end.run() && task->target == target && task->incarnation <= incarnation;
    if (!isCurrent) {
        return;
    }
    auto &job = state.jobs.at(name.job);
    auto &step = job.occurrences.at(name.occurrence).steps[name.step];
    releaseRun(state, name, *task, step);
    if (!end.checkpoint().empty()) {
        task->checkpoint = end.checkpoint();
    }
    const bool isLongRunning = stepSpecOf(job, name.step).lasts();
    if (end.kind() == messages::END_FAILED) {
        countFailure(state, name, *task, step, wallMs);
    } else if (end.kind() == messages::END_DONE && !isLongRunning) {
        markDone(state, name, *task, step, wallMs);
    }
    discardDetailsOfEndedJob(job);
}

command_outcome endRuns(work_state &state, const messages::end_runs_command &command,
                        std::int64_t wallMs)
{
    const auto registered = state.targets.find(command.target());
    if (registered == state.targets.end()
        || registered->second.registration.born() != command.born()) {
        return {error_kind::NotFound, "no such incarnation of the target"};
    }
    for (const auto &each : command.ends()) {
        endRun(state, command.target(), command.born(), each, wallMs);
    }
    auto &lastAppliedEnd = state.targets.at(command.target()).lastAppliedEnd;
    lastAppliedEnd = std::max(lastAppliedEnd, command.last_seen());
    return {};
}

command_outcome abandonRun(work_state &state, const messages::drop_run_command &command)
{
    const auto name = toTaskName(command.task());
    auto *task = findTask(state, name);
    if (task == nullptr || task->status != task_status::Running || task->run != command.run()) {
        return {};
    }
    auto &job = state.jobs.at(name.job);
    if (command.has_begun()) {
        markBegun(state, job);
    }
    releaseRun(state, name, *task, job.occurrences.at(name.occurrence).steps[name.step]);
    if (!command.checkpoint().empty()) {
        task->checkpoint = command.checkpoint();
    }
    discardDetailsOfEndedJob(job);
    return {};
}

void abandonAllRuns(work_state &state, registered_target &target)
{
    const auto runs = target.runs;
    for (const auto &name : runs) {
        auto &job = state.jobs.at(name.job);
        auto &step = job.occurrences.at(name.occurrence).steps[name.step];
        releaseRun(state, name, step.tasks[name.index], step);
        discardDetailsOfEndedJob(job);
    }
}

command_outcome registerTarget(work_state &state, const messages::target_life &registration,
                               std::int64_t wallMs)
{
    for (auto &[id, other] : state.targets) {
        // Only one process can listen at an address at a time, so that a later incarnation there
        // proves that the earlier one has ended.
        if (id != registration.id() && !other.hasEnded
            && other.registration.address() == registration.address()) {
            if (other.registration.born() > registration.born()) {
                return {error_kind::Conflict, "a newer target is registered with this address"};
            }
            abandonAllRuns(state, other);
            other.hasEnded = true;
        }
    }
    auto &registered = state.targets[registration.id()];
    if (registered.registration.born() > registration.born()
        || (registered.hasEnded && registered.registration.born() == registration.born())) {
        return {error_kind::Conflict, "this incarnation of the target has ended"};
    }
    const bool isNewIncarnation = registered.registration.born() != registration.born();
    if (isNewIncarnation) {
        const bool isRestart = registered.registration.born() != 0;
        registered.restartedWallMs = isRestart ? wallMs : 0;
        registered.restarts += isRestart ? 1 : 0;
        registered.lastAppliedEnd = 0;
        registered.hasEnded = false;
    }
    registered.registration = registration;
    return {};
}

command_outcome unregisterTarget(work_state &state, const std::string &id)
{
    const auto registered = state.targets.find(id);
    if (registered != state.targets.end() && !registered->second.hasEnded) {
        abandonAllRuns(state, registered->second);
        registered->second.hasEnded = true;
    }
    return {};
}

/** Counts the crash of an incarnation against the tasks that ran on it. Jobs with a task that
    surely crashes its targets fail. */
command_outcome recordCrash(work_state &state, const messages::target_crashed_command &command,
                            std::int64_t wallMs)
{
    const auto registered = state.targets.find(command.target());
    if (registered == state.targets.end() || registered->second.hasEnded
        || registered->second.registration.born() != command.born()) {
        return {error_kind::Conflict, "this crash is recorded, or the target ended otherwise"};
    }
    for (const auto &run : command.runs()) {
        const auto name = toTaskName(run.task());
        auto *task = findTask(state, name);
        if (task == nullptr || task->status == task_status::Done || run.run() > task->run) {
            continue; // also a run that was abandoned before the crash was noticed counts
        }
        auto &job = state.jobs.at(name.job);
        if (run.was_running()) {
            markBegun(state, job);
        }
        if (addSuspicion(*task, run) && !job.hasEnded()) {
            endJob(state, job, job_status::Failed, wallMs);
            discardDetailsOfEndedJob(job);
        }
    }
    return {};
}

command_outcome startOccurrence(work_state &state,
                                const messages::begin_occurrence_command &command)
{
    const auto job = state.jobs.find(command.job());
    if (job == state.jobs.end() || job->second.hasEnded()) {
        return {error_kind::NotFound, "no such job"};
    }
    if (command.occurrence() >= occurrenceCount(job->second)
        || job->second.occurrences.contains(command.occurrence())) {
        return {error_kind::Conflict, "no such occurrence, or it has begun already"};
    }
    beginOccurrence(job->second, command.occurrence());
    return {};
}

command_outcome removeJobs(work_state &state, const messages::forget_jobs_command &command)
{
    for (const auto &id : command.jobs()) {
        const auto job = state.jobs.find(id);
        if (job != state.jobs.end() && job->second.hasEnded() && job->second.runningTasks == 0) {
            state.jobs.erase(job);
        }
    }
    return {};
}

} // namespace

void beginOccurrence(work_job &job, std::uint32_t number)
{
    auto &occurrence = job.occurrences[number];
    for (const auto &spec : job.job.steps()) {
        occurrence.steps.emplace_back().tasks.resize(static_cast<std::size_t>(spec.count()));
    }
}

command_outcome applyCommand(work_state &state, const messages::work_command &command,
                             std::int64_t wallMs)
{
    using body = messages::work_command::BodyCase;
    switch (command.body_case()) {
    case body::kConfigure:
        return applyConfiguration(state, command.configure());
    case body::kAccept:
        return acceptJob(state, command.accept());
    case body::kCancel:
        return cancelJob(state, command.cancel(), wallMs);
    case body::kStart:
        return startRun(state, command.start());
    case body::kEnd:
        return endRuns(state, command.end(), wallMs);
    case body::kDrop:
        return abandonRun(state, command.drop());
    case body::kTarget:
        return registerTarget(state, command.target(), wallMs);
    case body::kTargetLeft:
        return unregisterTarget(state, command.target_left());
    case body::kBegin:
        return startOccurrence(state, command.begin());
    case body::kForget:
        return removeJobs(state, command.forget());
    case body::kCrashed:
        return recordCrash(state, command.crashed(), wallMs);
    case body::kEvacuate:
        return applyEvacuation(state, *readEvacuation(command));
    case body::kCancelEarly:
        return applyEarlyCancel(state, toEarlyCancel(command.cancel_early()), wallMs);
    case body::kForgetCancels:
        forgetCancels(state, command.forget_cancels());
        return {};
    case body::BODY_NOT_SET:
        break;
    }
    return {error_kind::Malformed, "this version does not support the command"};
}

} // namespace filbert

#include "crash_suspects.h"

#include <algorithm>

namespace filbert {

namespace {

// Suspected tasks of at most one job for so many targets are tried at a time; the other targets go
// on working.
constexpr std::size_t targetsPerTrialJob = 4;

// Terms of trialCost(), in the unit of fitCost().
constexpr double neighbourCost = 1.0; // its work is lost with a crash
constexpr double newIncarnationCost = 10.0; // a crash there would prove little
constexpr double silentSecondCost = 20.0; // it may have crashed, and then looks empty
constexpr double newRunsCost = 30.0; // these would be suspected as well
constexpr double lastingNeighbourCost = 20.0; // it serves users, or a whole gang ends with it

messages::suspected_run suspectedRun(const task_name &task, const run_view &run,
                                     messages::suspicion_kind kind)
{
    messages::suspected_run suspected;
    *suspected.mutable_task() = toTaskReference(task);
    suspected.set_run(run.run);
    suspected.set_kind(kind);
    suspected.set_was_running(run.phase == run_phase::Started
                              && (run.confirmedAt.ms > 0 || run.lastListedAt.ms > 0));
    return suspected;
}

/** Whether all runs belong to one job, which fails whichever of its tasks is at fault. */
bool haveSameJob(const google::protobuf::RepeatedPtrField<messages::suspected_run> &runs)
{
    return std::all_of(runs.begin(), runs.end(), [&](const auto &run) {
        return run.task().job() == runs.Get(0).task().job();
    });
}

/** Whether the end of its target says nothing against a run: it had been at work for a while, and
   its task lasts. Sooner or later each target of such a task ends. */
bool isAboveSuspicion(const dispatch_state &state, const tracked_target &target,
                      const task_name &task, const run_view &run)
{
    return stepSpecOf(state.work->jobs.at(task.job), task.step).lasts()
        && hasProvenItself(state, target, run);
}

bool mayHaveStarted(const run_view &run)
{
    return run.phase != run_phase::Ordered || run.mayHaveReachedTarget || run.isOrderPending;
}

bool hasNewRuns(const dispatch_state &state, const tracked_target &target)
{
    const bool hasReservations = target.reservedResources.milliCores > 0
        || target.reservedResources.memoryMb > 0 || target.reservedBestEffortCores > 0;
    return hasReservations
        || std::any_of(target.runs.begin(), target.runs.end(), [&](const auto &each) {
               return !hasProvenItself(state, target, each.second);
           });
}

/** Whether a suspected task that was started on a target is still on trial there. */
bool isOnTrial(const dispatch_state &state, const task_name &task, const std::string &target)
{
    if (state.reservedStarts.contains(task)) {
        return true;
    }
    const auto tracked = state.targets.find(target);
    if (tracked == state.targets.end()) {
        return false;
    }
    const auto run = tracked->second.runs.find(task);
    return run != tracked->second.runs.end()
        && !hasProvenItself(state, tracked->second, run->second);
}

} // namespace

bool hasProvenItself(const dispatch_state &state, const tracked_target &target, const run_view &run)
{
    return run.phase != run_phase::Ordered
        && target.lastContactAt - run.startedAt >= state.settings.crashWindow;
}

messages::work_command crashCommand(const dispatch_state &state, const tracked_target &target,
                                    milliseconds lifetime)
{
    messages::work_command command;
    auto *crash = command.mutable_crashed();
    crash->set_target(target.id);
    crash->set_born(target.incarnation);
    std::vector<messages::suspected_run> weak;
    for (const auto &[task, run] : target.lostRuns) {
        if (run.kind() == messages::SUSPICION_WEAK) {
            weak.push_back(run);
        } else {
            *crash->add_runs() = run;
        }
    }
    for (const auto &[task, run] : target.runs) {
        const auto *record = findTask(*state.work, task);
        const bool isOfThisIncarnation =
            record != nullptr && record->incarnation == target.incarnation;
        if (!isOfThisIncarnation || !mayHaveStarted(run) || target.lostRuns.contains(task)
            || isAboveSuspicion(state, target, task, run)) {
            continue;
        }
        if (hasProvenItself(state, target, run)) {
            weak.push_back(suspectedRun(task, run, messages::SUSPICION_WEAK));
        } else {
            *crash->add_runs() = suspectedRun(task, run, messages::SUSPICION_SHARED);
        }
    }
    if (crash->runs_size() == 0) {
        crash->mutable_runs()->Add(weak.begin(), weak.end());
    } else if (haveSameJob(crash->runs())) {
        for (auto &run : *crash->mutable_runs()) {
            run.set_kind(messages::SUSPICION_SOLE);
        }
    }
    if (lifetime < state.settings.minSoundLifetime) {
        for (auto &run : *crash->mutable_runs()) {
            run.set_kind(messages::SUSPICION_WEAK);
        }
    }
    return command;
}

void noteLostRun(const dispatch_state &state, tracked_target &target, const task_name &task,
                 const run_view &run)
{
    if (mayHaveStarted(run) && !isAboveSuspicion(state, target, task, run)) {
        target.lostRuns[task] =
            suspectedRun(task, run,
                         hasProvenItself(state, target, run) ? messages::SUSPICION_WEAK
                                                             : messages::SUSPICION_SHARED);
    }
}

void startTrial(service_view &service, placement_candidate &candidate, const std::string &job)
{
    candidate.trialJob = job;
    service.trialJobs.insert(job);
}

void findTrials(placement_pass &pass, service_view &service)
{
    std::erase_if(pass.state.suspectStarts, [&](const auto &each) {
        return !isOnTrial(pass.state, each.first, each.second);
    });
    for (const auto &[task, target] : pass.state.suspectStarts) {
        if (const auto index = candidateIndexOf(service, target)) {
            startTrial(service, service.candidates[*index], task.job);
        }
    }
}

void cancelTrials(placement_pass &pass, service_view &service, const std::string &job)
{
    if (service.trialJobs.erase(job) == 0) {
        return;
    }
    for (auto &candidate : service.candidates) {
        if (candidate.trialJob == job) {
            candidate.trialJob.clear();
        }
    }
    findTrials(pass, service); // those of earlier passes go on
}

bool mayBeTried(const pending_step &step, const service_view &service,
                const placement_candidate &candidate)
{
    if (!step.isSuspect) {
        return candidate.trialJob.empty();
    }
    const auto maxTrialJobs = service.availableCandidates / targetsPerTrialJob + 1;
    const bool isWithinLimit =
        service.trialJobs.size() < maxTrialJobs || service.trialJobs.contains(step.name.job);
    return isWithinLimit && (candidate.trialJob.empty() || candidate.trialJob == step.name.job);
}

double trialCost(const placement_pass &pass, const placement_candidate &candidate)
{
    const auto &target = *candidate.target;
    const bool isNew = target.registeredAt > pass.state.leadingSince
        && pass.now - target.registeredAt < pass.state.settings.minSoundLifetime;
    double cost = (isNew ? newIncarnationCost : 0.0)
        + (hasNewRuns(pass.state, target) && candidate.trialJob.empty() ? newRunsCost : 0.0);
    constexpr double secondsPerMillisecond = 1e-3;
    cost += silentSecondCost * secondsPerMillisecond
        * static_cast<double>((pass.now - target.lastContactAt).count);
    for (const auto &[task, run] : target.runs) {
        const auto &spec = stepSpecOf(pass.state.work->jobs.at(task.job), task.step);
        cost += spec.lasts() || spec.is_gang() ? lastingNeighbourCost : neighbourCost;
    }
    return cost;
}

} // namespace filbert

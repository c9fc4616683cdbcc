#include "work_state.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace filbert {

std::string_view statusName(job_status status)
{
    constexpr std::string_view names[] = {"queued", "active", "completed", "failed", "cancelled"};
    return names[static_cast<std::size_t>(status)];
}

std::uint32_t suspicionWeight(messages::suspicion_kind kind)
{
    switch (kind) {
    case messages::SUSPICION_WEAK:
        return 3;
    case messages::SUSPICION_SHARED:
        return 4;
    case messages::SUSPICION_SOLE:
        return 6;
    default:
        return 0;
    }
}

bool needsTrial(const work_task &task)
{
    return task.suspicion > suspicionWeight(messages::SUSPICION_WEAK);
}

bool addSuspicion(work_task &task, const messages::suspected_run &run)
{
    task.crashes += run.was_running() ? 1 : 0;
    ++task.possibleCrashes;
    task.suspicion += suspicionWeight(run.kind());
    return task.suspicion >= convictingSuspicion
        && (task.crashes >= minConvictingCrashes
            || task.possibleCrashes >= minConvictingPossibleCrashes);
}

const messages::step_spec &stepSpecOf(const work_job &job, std::uint32_t step)
{
    return job.job.steps(static_cast<int>(step));
}

const step_record *findStep(const work_state &state, const task_name &name)
{
    const auto job = state.jobs.find(name.job);
    if (job == state.jobs.end()) {
        return nullptr;
    }
    const auto occurrence = job->second.occurrences.find(name.occurrence);
    if (occurrence == job->second.occurrences.end()
        || name.step >= occurrence->second.steps.size()) {
        return nullptr;
    }
    return &occurrence->second.steps[name.step];
}

const work_task *findTask(const work_state &state, const task_name &name)
{
    const auto *step = findStep(state, name);
    return step != nullptr && name.index < step->tasks.size() ? &step->tasks[name.index] : nullptr;
}

work_task *findTask(work_state &state, const task_name &name)
{
    return const_cast<work_task *>(findTask(std::as_const(state), name));
}

resource_amounts taskDemand(const messages::step_spec &spec)
{
    auto demand = amountsOf(spec.need());
    demand.slots = 0; // slots limit a target's requests, not its staged tasks
    return demand;
}

resource_amounts targetReservation(const messages::step_spec &spec)
{
    auto reservation = taskDemand(spec);
    if (spec.fills_gaps()) {
        reservation.milliCores = 0;
    }
    return reservation;
}

std::int64_t bestEffortCoresOf(const messages::step_spec &spec)
{
    return spec.fills_gaps() ? spec.need().milli_cores() : 0;
}

bool isStepDone(const messages::step_spec &spec, const step_record &step)
{
    return (spec.is_gang() && step.isGangDone) || step.doneTasks == step.tasks.size();
}

bool isStepReady(const work_job &job, const occurrence_record &occurrence, std::uint32_t step)
{
    const auto &dependencies = stepSpecOf(job, step).depends_on();
    return std::all_of(dependencies.begin(), dependencies.end(), [&](std::int32_t each) {
        const auto index = static_cast<std::uint32_t>(each);
        return isStepDone(stepSpecOf(job, index), occurrence.steps[index]);
    });
}

const messages::work_team *findTeam(const messages::work_configuration &configuration,
                                    const std::string &name)
{
    const auto &teams = configuration.teams();
    const auto found = std::find_if(teams.begin(), teams.end(),
                                    [&](const auto &each) { return each.name() == name; });
    return found == teams.end() ? nullptr : &*found;
}

std::size_t queue_place_hash::operator()(const queue_place &place) const
{
    constexpr std::size_t factor = 31;
    const std::hash<std::string_view> hash;
    return hash(place.host) * factor + hash(place.pathPrefix);
}

queue_place placeOf(const messages::work_queue &queue)
{
    return {queue.host(), queue.path_prefix()};
}

accepting_queue acceptingQueueOf(const messages::staged_job &job)
{
    const auto &queue = job.taken_under();
    return {queue.host(), queue.path_prefix(), queue.name()};
}

const messages::work_queue *findQueue(const messages::work_configuration &configuration,
                                      const std::string &name)
{
    const auto &queues = configuration.queues();
    const auto found = std::find_if(queues.begin(), queues.end(),
                                    [&](const auto &each) { return each.name() == name; });
    return found == queues.end() ? nullptr : &*found;
}

const messages::work_queue *findQueueAt(const messages::work_configuration &configuration,
                                        const queue_place &place)
{
    const auto &queues = configuration.queues();
    const auto found = std::find_if(queues.begin(), queues.end(),
                                    [&](const auto &each) { return placeOf(each) == place; });
    return found == queues.end() ? nullptr : &*found;
}

const messages::work_queue &queueOf(const work_state &state, const work_job &job)
{
    const auto *queue = findQueueAt(state.configuration, placeOf(job.job.taken_under()));
    return queue != nullptr ? *queue : job.job.taken_under();
}

const messages::work_queue &queueOf(const queue_index &queues, const work_job &job)
{
    const auto configured = queues.find(placeOf(job.job.taken_under()));
    return configured == queues.end() ? job.job.taken_under() : *configured->second;
}

bool hasJobsOf(const messages::work_configuration &configuration, const messages::work_queue &queue,
               const accepting_queue &accepting)
{
    const queue_place place {accepting.host, accepting.pathPrefix};
    return placeOf(queue) == place
        || (queue.name() == accepting.name && findQueueAt(configuration, place) == nullptr);
}

bool isWithinCap(const resource_amounts &usage, const messages::resources &cap)
{
    const auto within = [](std::int64_t used, std::int64_t limit) {
        return limit == 0 || used <= limit;
    };
    return within(usage.milliCores, cap.milli_cores()) && within(usage.memoryMb, cap.memory_mb())
        && within(usage.accelerators, cap.accelerators());
}

void updateReservations(work_state &state, const task_name &name, const std::string &target,
                        int sign)
{
    auto &job = state.jobs.at(name.job);
    const auto &spec = stepSpecOf(job, name.step);
    const auto reserved = targetReservation(spec);
    const auto demand = taskDemand(spec);
    auto &registered = state.targets.at(target);
    auto &team = state.teamUsage[job.job.team()];
    const auto bestEffortCores = bestEffortCoresOf(spec);
    if (sign > 0) {
        registered.runs.insert(name);
        registered.used += reserved;
        registered.bestEffortCores += bestEffortCores;
        registered.latencySensitiveRuns += spec.latency_target_ms() > 0 ? 1 : 0;
        team += demand;
        ++job.runningTasks;
        return;
    }
    registered.runs.erase(name);
    registered.used -= reserved;
    registered.bestEffortCores -= bestEffortCores;
    registered.latencySensitiveRuns -= spec.latency_target_ms() > 0 ? 1 : 0;
    team -= demand;
    --job.runningTasks;
}

void rebuildDerivedState(work_state &state)
{
    state.teamUsage.clear();
    state.pendingByQueue.clear();
    state.earlyCancelsByTeam.clear();
    for (const auto &cancel : state.earlyCancels) {
        ++state.earlyCancelsByTeam[cancel.caller.team];
    }
    for (auto &[id, registered] : state.targets) {
        registered.runs.clear();
        registered.used = {};
        registered.bestEffortCores = 0;
        registered.latencySensitiveRuns = 0;
    }
    for (auto &[id, job] : state.jobs) {
        job.runningTasks = 0;
        for (auto &[number, occurrence] : job.occurrences) {
            for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
                auto &step = occurrence.steps[s];
                step.doneTasks = 0;
                step.runningTasks = 0;
                for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
                    const auto &task = step.tasks[i];
                    step.doneTasks += task.status == task_status::Done ? 1 : 0;
                    if (task.status == task_status::Running) {
                        ++step.runningTasks;
                        updateReservations(state, {id, number, s, i}, task.target, 1);
                    }
                }
            }
        }
        if (!job.hasBegun && !job.hasEnded()) {
            ++state.pendingByQueue[acceptingQueueOf(job.job)];
        }
    }
}

} // namespace filbert

#include "step_order.h"

#include "job_acceptance.h"
#include "scheduling.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace filbert {

namespace {

// A result that comes later than this many times its objective is of no use to its caller any more.
constexpr std::int64_t maxUsefulObjectives = 3;
// Of long-running steps with a task that has lost its target: it is to be back soon, also where the
// cell is full of more urgent work.
constexpr int lostServiceRank = -1;

bool isPending(const work_job &job, const occurrence_record &occurrence, std::uint32_t step)
{
    const auto &record = occurrence.steps[step];
    const auto &spec = stepSpecOf(job, step);
    if (isStepDone(spec, record) || !isStepReady(job, occurrence, step)) {
        return false;
    }
    return record.doneTasks + record.runningTasks < record.tasks.size();
}

/** Whether all tasks of the steps that a step depends on have started and half of them are done. */
bool isUpcoming(const work_job &job, const occurrence_record &occurrence, std::uint32_t step)
{
    const auto &dependencies = stepSpecOf(job, step).depends_on();
    return !isStepReady(job, occurrence, step)
        && std::all_of(dependencies.begin(), dependencies.end(), [&](std::int32_t each) {
               const auto index = static_cast<std::uint32_t>(each);
               const auto &record = occurrence.steps[index];
               return isStepDone(stepSpecOf(job, index), record)
                   || (record.doneTasks + record.runningTasks == record.tasks.size()
                       && record.doneTasks * 2 >= record.tasks.size());
           });
}

/** How urgent a step is. */
struct step_urgency
{
    int rank = 0; // see pending_step::rank
    std::int64_t slackMs = 0;
    bool isBeyondShare = false; // see step_key
    bool isBehind = false; // see step_key
};

/** @return startAndEndTime(), but at most half of the slack that the job had in the beginning */
milliseconds overheadOf(const dispatch_state &state, milliseconds initialSlack)
{
    return std::max(std::min(startAndEndTime(state), milliseconds {initialSlack.count / 2}),
                    milliseconds {});
}

bool hasLostTasks(const step_record &record)
{
    return std::any_of(record.tasks.begin(), record.tasks.end(), [](const auto &task) {
        return task.status == task_status::Waiting && task.run > 0;
    });
}

step_urgency urgencyOf(const dispatch_state &state, const messages::work_queue &queue,
                       const work_job &job, const step_record &record, const job_view &view,
                       time_point begunAt, std::uint32_t step, time_point now)
{
    const auto &spec = stepSpecOf(job, step);
    const auto objective = objectiveOf(queue, view.criticalPath);
    const auto remaining = view.criticalPathFrom[step];
    step_urgency urgency;
    urgency.slackMs = (begunAt + objective - now - remaining).count;
    urgency.rank = spec.lasts() && hasLostTasks(record) ? lostServiceRank : queue.priority();
    urgency.isBehind =
        !spec.lasts() && urgency.slackMs < overheadOf(state, objective - view.criticalPath).count;
    if (const auto limit = heldBackTo(state, view, queue.service(), job.job.team())) {
        urgency.isBeyondShare = true;
        urgency.rank = std::max(urgency.rank, std::min(*limit, lateRankOffset - 1));
    }
    if (spec.lasts() || !isLateRank(milliseconds {urgency.slackMs}, remaining)) {
        return urgency;
    }
    const bool isOfNoUse = urgency.slackMs < -objective.count * (maxUsefulObjectives - 1);
    urgency.rank += isOfNoUse ? lateRankOffset * 2 : lateRankOffset;
    return urgency;
}

/** Adds the tasks of a step that have not started. */
void addWaiting(waiting_work &waiting, const work_job &job, const occurrence_record &occurrence,
                std::uint32_t step)
{
    const auto &spec = stepSpecOf(job, step);
    const auto &record = occurrence.steps[step];
    if (spec.lasts() || isStepDone(spec, record)) {
        return;
    }
    const auto tasks = record.tasks.size() - record.doneTasks - record.runningTasks;
    const auto cores = countedCores(spec) * static_cast<std::int64_t>(tasks);
    waiting.unstarted += cores;
    waiting.ready += isStepReady(job, occurrence, step) ? cores : 0;
}

/** Puts the steps of jobs that have begun before others that can be in time, in each rank in which
    there is work that cannot. */
void preferBegunJobs(const dispatch_state &state, std::vector<step_key> &steps)
{
    std::set<int> shortRanks;
    for (const auto &step : steps) {
        if (step.isBehind) {
            shortRanks.insert(step.rank);
        }
    }
    for (auto &step : steps) {
        step.isPreferred = !step.isBehind && shortRanks.contains(step.rank)
            && state.work->jobs.at(*step.job).hasStarted;
    }
}

/** Has the targets that run tasks of a job ticked, since these are to be stopped. */
void markTargetsOfRuns(dispatch_state &state, const work_job &job)
{
    for (const auto &[number, occurrence] : job.occurrences) {
        for (const auto &step : occurrence.steps) {
            for (const auto &task : step.tasks) {
                if (task.status == task_status::Running) {
                    state.changedTargets.insert(task.target);
                }
            }
        }
    }
}

} // namespace

pending_step pendingStepOf(const dispatch_state &state, const queue_index &queues,
                           const task_name &name, const job_view &view, time_point now)
{
    pending_step pending;
    const auto &job = state.work->jobs.at(name.job);
    pending.name = name;
    pending.job = &job;
    pending.spec = &stepSpecOf(job, name.step);
    pending.queue = &queueOf(queues, job);
    pending.need = targetReservation(*pending.spec);
    const auto &record = job.occurrences.at(name.occurrence).steps[name.step];
    const auto urgency = urgencyOf(state, *pending.queue, job, record, view,
                                   view.occurrenceBegunAt.at(name.occurrence), name.step, now);
    pending.slackMs = urgency.slackMs;
    pending.rank = urgency.rank;
    pending.isBeyondShare = urgency.isBeyondShare;
    return pending;
}

queue_index queuesOf(const dispatch_state &state)
{
    queue_index queues;
    for (const auto &queue : state.work->configuration.queues()) {
        queues.emplace(placeOf(queue), &queue);
    }
    return queues;
}

std::vector<step_key> pendingStepsInOrder(const dispatch_state &state, const queue_index &queues,
                                          time_point now)
{
    std::vector<step_key> steps;
    steps.reserve(state.pendingStepCount);
    for (const auto &[id, view] : state.jobs) {
        if (view.pendingSteps.empty()) {
            continue;
        }
        const auto &job = *view.record;
        const auto &queue = queueOf(queues, job);
        for (const auto &[occurrence, step] : view.pendingSteps) {
            const auto &record = job.occurrences.at(occurrence).steps[step];
            const auto urgency = urgencyOf(state, queue, job, record, view,
                                           view.occurrenceBegunAt.at(occurrence), step, now);
            steps.push_back({urgency.rank, urgency.isBeyondShare, queue.priority(),
                             urgency.isBehind, false,
                             urgency.isBehind ? -urgency.slackMs : urgency.slackMs, &id, &job,
                             &queue, &view, occurrence, step});
        }
    }
    preferBegunJobs(state, steps);
    std::sort(steps.begin(), steps.end(), [](const step_key &a, const step_key &b) {
        return std::tie(a.rank, a.isBeyondShare, a.priority, a.isBehind, b.isPreferred, a.order)
            < std::tie(b.rank, b.isBeyondShare, b.priority, b.isBehind, a.isPreferred, b.order);
    });
    return steps;
}

bool isLateRank(milliseconds slack, milliseconds remaining)
{
    return slack.count < -remaining.count / 2;
}

milliseconds startAndEndTime(const dispatch_state &state)
{
    return {std::llround(2 * state.placementTime.meanMs)};
}

milliseconds objectiveOf(const messages::work_queue &queue, milliseconds criticalPath)
{
    const auto stretched = static_cast<double>(criticalPath.count) * queue.slack_factor();
    return milliseconds {std::llround(stretched)} + milliseconds {queue.latency_objective_ms()};
}

std::vector<milliseconds> criticalPathsOf(const messages::staged_job &job)
{
    std::vector<milliseconds> paths(static_cast<std::size_t>(job.steps_size()));
    for (int step = job.steps_size() - 1; step >= 0; --step) {
        auto &path = paths[static_cast<std::size_t>(step)];
        path = path + milliseconds {job.steps(step).estimate_ms()};
        for (const auto dependency : job.steps(step).depends_on()) {
            auto &dependencyPath = paths[static_cast<std::size_t>(dependency)];
            // Its own estimate is added in its own iteration.
            dependencyPath = std::max(dependencyPath, path);
        }
    }
    return paths;
}

void refreshJob(dispatch_state &state, const std::string &id, time_point now)
{
    const auto job = state.work->jobs.find(id);
    if (job == state.work->jobs.end() || job->second.hasEnded()) {
        if (job != state.work->jobs.end()) {
            markTargetsOfRuns(state, job->second);
        }
        state.jobs.erase(id);
        state.repeatingJobs.erase(id);
        forgetSubmission(state.jobAdmission, id);
        for (auto view = state.admissions.lower_bound({id, 0, 0, 0});
             view != state.admissions.end() && view->first.job == id;) {
            view =
                view->second.pendingRequests == 0 ? state.admissions.erase(view) : std::next(view);
        }
        return;
    }
    auto &view = state.jobs[id];
    view.record = &job->second;
    if (job->second.job.repeat_count() > 0) {
        state.repeatingJobs.insert(id);
    }
    if (view.criticalPathFrom.empty()) {
        view.criticalPathFrom = criticalPathsOf(job->second.job);
        view.criticalPath =
            *std::max_element(view.criticalPathFrom.begin(), view.criticalPathFrom.end());
    }
    view.pendingSteps.clear();
    view.upcomingSteps.clear();
    view.waiting = {};
    for (const auto &[number, occurrence] : job->second.occurrences) {
        view.occurrenceBegunAt.emplace(number, now);
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            addWaiting(view.waiting, job->second, occurrence, step);
            if (isPending(job->second, occurrence, step)) {
                view.pendingSteps.emplace(number, step);
            } else if (isUpcoming(job->second, occurrence, step)) {
                view.upcomingSteps.emplace(number, step);
            }
        }
    }
    state.isPassDue = true;
}

} // namespace filbert

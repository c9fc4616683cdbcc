#include "step_order.h"

#include "scheduling.h"

#include <algorithm>
#include <cmath>

namespace filbert {

namespace {

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
    const auto configured = queues.find(job.job.queue());
    pending.name = name;
    pending.job = &job;
    pending.spec = &stepSpecOf(job, name.step);
    pending.queue = configured == queues.end() ? &job.job.taken_under() : configured->second;
    pending.need = targetReservation(*pending.spec);
    const auto objective = milliseconds {std::llround(static_cast<double>(view.criticalPath.count)
                                                      * pending.queue->slack_factor())}
        + milliseconds {pending.queue->latency_objective_ms()};
    const auto remaining = view.criticalPathFrom[name.step];
    pending.slackMs =
        (view.occurrenceBegunAt.at(name.occurrence) + objective - now - remaining).count;
    const bool isLate = !pending.spec->lasts() && pending.slackMs < -remaining.count / 2;
    pending.rank = pending.queue->priority() + (isLate ? lateRankOffset : 0);
    return pending;
}

queue_index queuesOf(const dispatch_state &state)
{
    queue_index queues;
    for (const auto &queue : state.work->configuration.queues()) {
        queues.emplace(queue.name(), &queue);
    }
    return queues;
}

std::vector<pending_step> pendingStepsInOrder(const dispatch_state &state,
                                              const queue_index &queues, time_point now)
{
    std::vector<pending_step> steps;
    for (const auto &[id, view] : state.jobs) {
        for (const auto &[occurrence, step] : view.pendingSteps) {
            steps.push_back(pendingStepOf(state, queues, {id, occurrence, step, 0}, view, now));
        }
    }
    std::sort(steps.begin(), steps.end(), [](const pending_step &a, const pending_step &b) {
        return std::tie(a.rank, a.slackMs) < std::tie(b.rank, b.slackMs);
    });
    return steps;
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
        for (auto view = state.admissions.lower_bound({id, 0, 0, 0});
             view != state.admissions.end() && view->first.job == id;) {
            view =
                view->second.pendingRequests == 0 ? state.admissions.erase(view) : std::next(view);
        }
        return;
    }
    auto &view = state.jobs[id];
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
    for (const auto &[number, occurrence] : job->second.occurrences) {
        view.occurrenceBegunAt.emplace(number, now);
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
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

#include "leadership.h"

#include "work_requests.h"

#include <algorithm>

namespace filbert {

namespace {

constexpr int placementBitsBelowTerm = 36;

work_class classOf(messages::queue_policy policy)
{
    switch (policy) {
    case messages::URGENT:
        return work_class::Urgent;
    case messages::GANG:
        return work_class::Gang;
    default:
        return work_class::Batch;
    }
}

/** @return whether the tasks of a job run all or none for its whole time: an idempotent gang */
bool isIdempotentGang(const controller_state &state, const messages::job_submission &submission)
{
    const auto *queue = state.cell.configuration.queue(submission.queue());
    return submission.idempotent() && queue != nullptr && queue->policy() == messages::GANG;
}

/** @return the number of tasks that have not ended */
std::int32_t countUnfinished(const task_counts &counts)
{
    return static_cast<std::int32_t>(counts.byState[static_cast<int>(task_state::Waiting)]
                                     + counts.byState[static_cast<int>(task_state::Running)]);
}

void restoreTargets(controller_state &state, time_point now)
{
    for (const auto &[name, target] : state.cell.targets) {
        updateTarget(state.scheduler, targetEntryOf(target), false);
        // The previous leader may have renewed this lease until its own expired.
        auto &live = state.liveness[name];
        live.leaseExpiresAt = now + withClockRateMargin(state.settings.targetLease);
    }
}

void restoreRunningTasks(controller_state &state, time_point now)
{
    for (const auto &[id, placement] : state.cell.placements) {
        running_task task;
        task.target = state.scheduler.index.byName.at(placement.target);
        task.workId = placement.jobId;
        task.taskIndex = placement.taskIndex;
        task.team = placement.team;
        task.service = placement.service;
        task.estimateKey = placement.team + "/" + placement.service;
        task.need = placement.need;
        task.startedAt = now;
        task.isIdempotent = placement.isIdempotent;
        const auto job = state.cell.jobs.find(placement.jobId);
        task.kind =
            job == state.cell.jobs.end() ? work_class::Urgent : workItemOf(state, job->second).kind;
        addRunningTask(state.scheduler, id, std::move(task));
    }
}

void restoreWaitingTasks(controller_state &state, time_point now)
{
    std::vector<std::uint64_t> ids;
    for (const auto &[id, job] : state.cell.jobs) {
        if (job.endedMs == 0 && !job.isCancelled && job.holdReason.empty()) {
            ids.push_back(id);
        }
    }
    std::sort(ids.begin(), ids.end()); // ids follow the order of submission
    for (const auto id : ids) {
        const auto &job = state.cell.jobs.at(id);
        for (std::size_t i = 0; i < job.tasks.size(); ++i) {
            if (job.tasks[i].state == task_state::Waiting) {
                requeueTask(state.scheduler, workItemOf(state, job), static_cast<std::int32_t>(i),
                            now);
            }
        }
    }
}

} // namespace

target_entry targetEntryOf(const target_record &target)
{
    const auto &registration = target.registration;
    target_entry entry;
    entry.name = registration.name();
    entry.failureDomain = registration.failure_domain();
    entry.capacity = amountsOf(registration.capacity());
    entry.services = {registration.services().begin(), registration.services().end()};
    return entry;
}

work_item workItemOf(const controller_state &state, const job_record &job)
{
    const auto &submission = job.submission;
    work_item item;
    item.workId = submission.id();
    item.team = submission.team();
    item.service = submission.service();
    item.queue = submission.queue();
    item.name = submission.name();
    item.declaredNeed = taskNeedOf(submission.task());
    item.need = item.declaredNeed;
    item.size = static_cast<std::int32_t>(job.tasks.size());
    item.runTime = {submission.run_time_ms()};
    item.isIdempotent = submission.idempotent();
    const auto *queue = state.cell.configuration.queue(submission.queue());
    item.kind = queue == nullptr ? work_class::Batch : classOf(queue->policy());
    if (isIdempotentGang(state, submission)) {
        item.minTasksToStart = countUnfinished(countTasks(job));
    }
    return item;
}

void regroupGang(controller_state &state, const job_record &job)
{
    if (!isIdempotentGang(state, job.submission)) {
        return; // called for every end of a task, and most belong to other jobs
    }
    const auto counts = countTasks(job);
    setMinTasksToStart(state.scheduler, job.submission.id(), countUnfinished(counts));
    if (counts.byState[static_cast<int>(task_state::Waiting)] == 0) {
        return;
    }
    for (const auto &task : job.tasks) {
        if (task.placement != 0) {
            sendStop(state, task.placement, "checkpoint");
        }
    }
}

void configureScheduler(controller_state &state)
{
    const auto &configuration = state.cell.configuration;
    for (const auto &[name, team] : configuration.teams()) {
        setTeam(state.scheduler, name, team.share(), limitOf(team));
    }
    std::set<std::string> urgent;
    for (const auto &[name, service] : configuration.services()) {
        const auto *queue = configuration.queue(service.queue());
        if (queue != nullptr && queue->policy() == messages::URGENT) {
            urgent.insert(name);
        }
    }
    setUrgentServices(state.scheduler, std::move(urgent));
}

void startLeading(controller_state &state, time_point now)
{
    state.isLeading = true;
    state.leadingSince = now;
    state.scheduler = {};
    state.scheduler.settings = state.settings.policy;
    // Placement ids are unique among all leaders, since a term has only one.
    state.scheduler.nextPlacementId = (state.log.term << placementBitsBelowTerm) + 1;
    state.liveness.clear();
    state.gateways.clear();
    state.proposedEnds.clear();
    state.stoppingPlacements.clear();
    state.throttledSince.clear();
    configureScheduler(state);
    restoreTargets(state, now);
    restoreRunningTasks(state, now);
    restoreWaitingTasks(state, now);
    for (const auto &[id, job] : state.cell.jobs) {
        if (job.endedMs == 0 && !job.isCancelled) {
            regroupGang(state, job);
        }
    }
    log_line {"leading"}
        .with("term", state.log.term)
        .with("applied", state.log.appliedIndex)
        .with("placements", state.cell.placements.size())
        .with("targets", state.cell.targets.size());
}

void stopLeading(controller_state &state)
{
    // A gateway sends a request to its target only once the dispatch is answered, so that those
    // without an answer may go to the next leader. If their placements get committed, the targets'
    // heartbeats end them.
    for (const auto &[workId, dispatch] : state.dispatches) {
        redirectToLeader(state, dispatch.replyTo);
    }
    state.isLeading = false;
    state.scheduler = {};
    state.pending.clear();
    state.inFlight.clear();
    state.dispatches.clear();
    state.dispatchByPlacement.clear();
    state.liveness.clear();
    state.gateways.clear();
    state.proposedEnds.clear();
    state.stoppingPlacements.clear();
    state.throttledSince.clear();
    log_line {"not_leading"}.with("term", state.log.term).with("leader", state.log.leader);
}

} // namespace filbert

#include "leadership.h"

#include "work_intake.h"

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

/** Whether the tasks of a job run all or none for as long as it lasts: an idempotent gang. */
bool startsTogether(const controller_state &state, const messages::job_submission &submission)
{
    const auto *queue = state.cell.configuration.queue(submission.queue());
    return submission.idempotent() && queue != nullptr && queue->policy() == messages::GANG;
}

/** @return how many tasks have not ended */
std::int32_t countOpen(const task_counts &counts)
{
    return static_cast<std::int32_t>(counts.byState[static_cast<int>(task_state::Waiting)]
                                     + counts.byState[static_cast<int>(task_state::Running)]);
}

void takeTargets(controller_state &state, time_point now)
{
    for (const auto &[name, target] : state.cell.targets) {
        setTarget(state.scheduler, viewOf(target), false);
        // The leader before may have renewed a lease until the end of its own.
        auto &live = state.liveness[name];
        live.leaseEnds = now + clockRateMargin(state.settings.targetLease);
    }
}

void takeRunning(controller_state &state, time_point now)
{
    for (const auto &[id, placement] : state.cell.placements) {
        running_task task;
        task.target = state.scheduler.index.byName.at(placement.target);
        task.ticket = placement.jobId;
        task.task = placement.taskIndex;
        task.team = placement.team;
        task.service = placement.service;
        task.learnName = placement.team + "/" + placement.service;
        task.need = placement.need;
        task.since = now;
        task.isIdempotent = placement.isIdempotent;
        const auto job = state.cell.jobs.find(placement.jobId);
        task.kind =
            job == state.cell.jobs.end() ? work_class::Urgent : workOf(state, job->second).kind;
        noteRunning(state.scheduler, id, std::move(task));
    }
}

void takeWaiting(controller_state &state, time_point now)
{
    std::vector<std::uint64_t> ids;
    for (const auto &[id, job] : state.cell.jobs) {
        if (job.endedMs == 0 && !job.isCancelled && job.holdReason.empty()) {
            ids.push_back(id);
        }
    }
    std::sort(ids.begin(), ids.end()); // in the order of submission
    for (const auto id : ids) {
        const auto &job = state.cell.jobs.at(id);
        for (std::size_t i = 0; i < job.tasks.size(); ++i) {
            if (job.tasks[i].state == task_state::Waiting) {
                returnTask(state.scheduler, workOf(state, job), static_cast<std::int32_t>(i), now);
            }
        }
    }
}

} // namespace

target_view viewOf(const target_record &target)
{
    const auto &registration = target.registration;
    target_view view;
    view.name = registration.name();
    view.failureDomain = registration.failure_domain();
    view.capacity = amountsOf(registration.capacity());
    view.services = {registration.services().begin(), registration.services().end()};
    return view;
}

work_item workOf(const controller_state &state, const job_record &job)
{
    const auto &submission = job.submission;
    work_item item;
    item.ticket = submission.id();
    item.team = submission.team();
    item.service = submission.service();
    item.queue = submission.queue();
    item.name = submission.name();
    item.declared = taskNeedOf(submission.task());
    item.need = item.declared;
    item.size = static_cast<std::int32_t>(job.tasks.size());
    item.runTime = {submission.run_time_ms()};
    item.isIdempotent = submission.idempotent();
    const auto *queue = state.cell.configuration.queue(submission.queue());
    item.kind = queue == nullptr ? work_class::Batch : classOf(queue->policy());
    if (startsTogether(state, submission)) {
        item.together = countOpen(countTasks(job));
    }
    return item;
}

void regroupGang(controller_state &state, const job_record &job)
{
    if (!startsTogether(state, job.submission)) {
        return; // most ends are of other jobs, and each end comes here
    }
    const auto counts = countTasks(job);
    setTogether(state.scheduler, job.submission.id(), countOpen(counts));
    if (counts.byState[static_cast<int>(task_state::Waiting)] == 0) {
        return;
    }
    for (const auto &task : job.tasks) {
        if (task.placement != 0) {
            sendStop(state, task.placement, "checkpoint");
        }
    }
}

void takeConfiguration(controller_state &state)
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
    // Unique among all leaders, since a term has one leader.
    state.scheduler.nextPlacement = (state.log.term << placementBitsBelowTerm) + 1;
    state.liveness.clear();
    state.gateways.clear();
    state.ending.clear();
    state.stopping.clear();
    state.throttled.clear();
    takeConfiguration(state);
    takeTargets(state, now);
    takeRunning(state, now);
    takeWaiting(state, now);
    for (const auto &[id, job] : state.cell.jobs) {
        if (job.endedMs == 0 && !job.isCancelled) {
            regroupGang(state, job);
        }
    }
    log_line {"leading"}
        .with("term", state.log.term)
        .with("applied", state.log.applied)
        .with("placements", state.cell.placements.size())
        .with("targets", state.cell.targets.size());
}

void stopLeading(controller_state &state)
{
    // A dispatch that was not answered was never sent to its target by the gateway, so that it may
    // go to the next leader. What may have been placed is settled by the target's heartbeats.
    for (const auto &[ticket, open] : state.dispatches) {
        turnAway(state, open.replyTo);
    }
    state.isLeading = false;
    state.scheduler = {};
    state.pending.clear();
    state.inFlight.clear();
    state.dispatches.clear();
    state.dispatchOfPlacement.clear();
    state.liveness.clear();
    state.gateways.clear();
    state.ending.clear();
    state.stopping.clear();
    state.throttled.clear();
    log_line {"not_leading"}.with("term", state.log.term).with("leader", state.log.leader);
}

} // namespace filbert

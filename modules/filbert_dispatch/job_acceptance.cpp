#include "job_acceptance.h"

#include "scheduling.h"
#include "step_order.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace filbert {

namespace {

std::int32_t weightOf(const dispatch_state &state, const std::string &team)
{
    const auto *configured = findTeam(state.work->configuration, team);
    return configured == nullptr ? 0 : configured->weight();
}

/** A job with waiting work. */
struct waiting_job
{
    const work_job *job = nullptr;
    const job_view *view = nullptr;
    const messages::work_queue *queue = nullptr;
    milliseconds initialSlack;
    milliseconds slack; // of the first of its waiting steps; the initial one if none waits
};

waiting_job describe(const work_job &job, const job_view &view, const queue_index &queues,
                     time_point now)
{
    waiting_job waiting {&job, &view, &queueOf(queues, job), {}, {}};
    const auto objective = objectiveOf(*waiting.queue, view.criticalPath);
    waiting.initialSlack = objective - view.criticalPath;
    waiting.slack = waiting.initialSlack;
    if (!view.pendingSteps.empty()) {
        const auto [occurrence, step] = *view.pendingSteps.begin();
        waiting.slack =
            view.occurrenceBegunAt.at(occurrence) + objective - now - view.criticalPathFrom[step];
    }
    return waiting;
}

/** Whether a waiting job has used up half of its slack, and can still be in time. */
bool isPressed(const waiting_job &waiting)
{
    return waiting.slack.count >= 0 && waiting.slack.count < waiting.initialSlack.count / 2;
}

void claimShare(dispatch_state &state, const waiting_job &waiting)
{
    const auto &team = waiting.job->job.team();
    if (!waiting.view->pendingSteps.empty() && !waiting.view->isBeyondShare
        && weightOf(state, team) > 0) {
        addClaim(state.shareClaims[waiting.queue->service()], team,
                 isPressed(waiting) ? waiting.queue->priority() : share_claims::unpressed);
    }
}

work_class classOf(const dispatch_state &state, const waiting_job &waiting)
{
    if (waiting.slack.count < 0) {
        return work_class::Late;
    }
    const bool isHeldBack =
        heldBackTo(state, *waiting.view, waiting.queue->service(), waiting.job->job.team())
            .has_value();
    return isHeldBack ? work_class::BeyondShare : work_class::WithinShare;
}

/** Whether a task of a step fits into none of the targets that are known, nor into those that were
    there before. Without any there is nothing to compare it with. */
bool isTooWide(const work_state &work, const messages::step_spec &spec, const std::string &service)
{
    const auto need = targetReservation(spec);
    bool hasTarget = false;
    for (const auto &[id, target] : work.targets) {
        if (target.registration.service() != service) {
            continue;
        }
        if (fits(need, amountsOf(target.registration.capacity()))) {
            return false;
        }
        hasTarget = true;
    }
    return hasTarget;
}

} // namespace

void handleAcceptedJob(dispatch_state &state, const std::string &id, time_point now)
{
    const auto firstSubmittedAt = recordCommitted(state.jobAdmission, id);
    const auto view = state.jobs.find(id);
    if (view == state.jobs.end() || view->second.isCharged) {
        return;
    }
    const auto &job = state.work->jobs.at(id).job;
    view->second.isCharged = true;
    view->second.isBeyondShare =
        chargeJob(state.teamShares, job.team(), weightOf(state, job.team()), now)
        && !hasNoObjective(job);
    if (firstSubmittedAt && job.repeat_count() == 0) {
        for (auto &[number, begunAt] : view->second.occurrenceBegunAt) {
            begunAt = std::min(begunAt, *firstSubmittedAt);
        }
    }
}

void restoreShares(dispatch_state &state, time_point now, std::int64_t wallMs)
{
    std::vector<std::tuple<std::int64_t, std::string_view, const work_job *>> accepted;
    for (const auto &[id, job] : state.work->jobs) {
        accepted.emplace_back(job.job.accepted_wall_ms(), id, &job);
    }
    std::sort(accepted.begin(), accepted.end());
    for (const auto &[acceptedWallMs, id, job] : accepted) {
        const auto age = std::clamp<std::int64_t>(wallMs - acceptedWallMs, 0, now.ms);
        const auto &team = job->job.team();
        const bool isBeyond =
            chargeJob(state.teamShares, team, weightOf(state, team), now - milliseconds {age});
        const auto view = state.jobs.find(std::string {id});
        if (view != state.jobs.end()) {
            view->second.isCharged = true;
            view->second.isBeyondShare = isBeyond && !hasNoObjective(job->job);
        }
    }
}

void reviewWaitingJobs(dispatch_state &state, time_point now)
{
    const auto queues = queuesOf(state);
    state.shareClaims.clear();
    std::vector<waiting_job> waitingJobs;
    for (const auto &[id, view] : state.jobs) {
        if (view.waiting.unstarted > 0) {
            waitingJobs.push_back(describe(state.work->jobs.at(id), view, queues, now));
            claimShare(state, waitingJobs.back());
        }
    }
    beginReview(state.jobAdmission);
    for (const auto &waiting : waitingJobs) {
        addWaiting(state.jobAdmission, waiting.job->job.queue(), classOf(state, waiting),
                   {now + waiting.slack, waiting.view->waiting});
    }
    endReview(state.jobAdmission, now);
}

void recordStartedRun(dispatch_state &state, const task_name &task, time_point now)
{
    const auto &job = state.work->jobs.at(task.job);
    recordStarted(state.jobAdmission, job.job.queue(), task.job,
                  countedCores(stepSpecOf(job, task.step)), now);
}

void recordEndedRun(dispatch_state &state, const task_name &task, time_point now)
{
    const auto job = state.work->jobs.find(task.job);
    if (job != state.work->jobs.end()) {
        recordEnded(state.jobAdmission, job->second.job.queue(),
                    countedCores(stepSpecOf(job->second, task.step)), now);
    }
}

std::optional<int> heldBackTo(const dispatch_state &state, const job_view &view,
                              const std::string &service, const std::string &team)
{
    if (!view.isBeyondShare) {
        return std::nullopt;
    }
    const auto claims = state.shareClaims.find(service);
    return claims == state.shareClaims.end() ? std::nullopt : claimOfOthers(claims->second, team);
}

submission_decision decideSubmission(dispatch_state &state, load_shedding &shedding,
                                     const std::string &id, const messages::staged_job &job,
                                     const messages::work_queue &queue, const std::string &team,
                                     time_point now)
{
    submission submitted;
    submitted.id = &id;
    submitted.job = &job;
    submitted.queue = &queue;
    const bool isBeyond = isBeyondShare(state.teamShares, team, weightOf(state, team), now);
    const auto claims = state.shareClaims.find(queue.service());
    submitted.isBeyondShare = isBeyond && claims != state.shareClaims.end()
        && claimOfOthers(claims->second, team).has_value();
    submitted.isTooWide =
        std::any_of(job.steps().begin(), job.steps().end(), [&](const auto &spec) {
            return isTooWide(*state.work, spec, queue.service());
        });
    submitted.startAndEnd = startAndEndTime(state);
    return decideSubmission(state.jobAdmission, shedding, submitted, now);
}

} // namespace filbert

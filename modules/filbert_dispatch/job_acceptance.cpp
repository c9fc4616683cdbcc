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

/** @return the class of a job among those of its queue, by the first of its waiting steps */
work_class classOf(const dispatch_state &state, const work_job &job, const job_view &view,
                   const messages::work_queue &queue, time_point now)
{
    if (!view.pendingSteps.empty()) {
        const auto [occurrence, step] = *view.pendingSteps.begin();
        const auto objective = objectiveOf(queue, view.criticalPath);
        const auto remaining = view.criticalPathFrom[step];
        const auto slack = view.occurrenceBegunAt.at(occurrence) + objective - now - remaining;
        if (isLateRank(slack, remaining)) {
            return work_class::Late;
        }
    }
    return isHeldBack(state, view, queue.service(), job.job.team()) ? work_class::BeyondShare
                                                                    : work_class::WithinShare;
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
    for (const auto &[id, view] : state.jobs) {
        if (view.pendingSteps.empty() || view.isBeyondShare) {
            continue;
        }
        const auto &job = state.work->jobs.at(id);
        if (weightOf(state, job.job.team()) > 0) {
            addClaim(state.shareClaims[queueOf(queues, job).service()], job.job.team());
        }
    }
    beginReview(state.jobAdmission);
    for (const auto &[id, view] : state.jobs) {
        if (view.waiting.unstarted > 0) {
            const auto &job = state.work->jobs.at(id);
            addWaiting(state.jobAdmission, job.job.queue(),
                       classOf(state, job, view, queueOf(queues, job), now), view.waiting);
        }
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

bool isHeldBack(const dispatch_state &state, const job_view &view, const std::string &service,
                const std::string &team)
{
    if (!view.isBeyondShare) {
        return false;
    }
    const auto claims = state.shareClaims.find(service);
    return claims != state.shareClaims.end() && hasOtherClaim(claims->second, team);
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
    submitted.isBeyondShare =
        isBeyond && claims != state.shareClaims.end() && hasOtherClaim(claims->second, team);
    submitted.startAndEnd = startAndEndTime(state);
    return decideSubmission(state.jobAdmission, shedding, submitted, now);
}

} // namespace filbert

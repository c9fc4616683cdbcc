#include "pending_jobs.h"

#include <algorithm>

namespace filbert {

void noteBegun(dispatch_state &state, const std::string &job)
{
    const auto found = state.work->jobs.find(job);
    if (found != state.work->jobs.end() && !found->second.hasBegun) {
        state.begunJobs.insert(job);
    }
}

std::int64_t countPendingJobs(dispatch_state &state, const messages::work_queue &queue,
                              time_point now)
{
    if (now >= state.nextPendingCountAt) {
        state.nextPendingCountAt = now + state.settings.pendingCountPeriod;
        removeLoggedBeginnings(state);
        state.begunByQueue.clear();
        for (const auto &job : state.begunJobs) {
            ++state.begunByQueue[acceptingQueueOf(state.work->jobs.at(job).job)];
        }
    }
    std::int64_t count = 0;
    for (const auto &[accepting, jobs] : state.work->pendingByQueue) {
        if (hasJobsOf(state.work->configuration, queue, accepting)) {
            const auto begun = state.begunByQueue.find(accepting);
            count += jobs - (begun == state.begunByQueue.end() ? 0 : begun->second);
        }
    }
    return std::max<std::int64_t>(count, 0); // some may have ended since they were counted
}

job_status shownStatus(const dispatch_state &state, const work_job &job)
{
    const bool hasBegun =
        job.status == job_status::Queued && state.begunJobs.contains(job.job.id());
    return hasBegun ? job_status::Active : job.status;
}

void removeLoggedBeginnings(dispatch_state &state)
{
    std::erase_if(state.begunJobs, [&](const auto &id) {
        const auto job = state.work->jobs.find(id);
        return job == state.work->jobs.end() || job->second.hasBegun;
    });
}

} // namespace filbert

#pragma once

#include "dispatch_state.h"

namespace filbert {

/** Charges a job that is now in the log to its team's share, and counts its time from its first
    submission. Its view must exist already, unless the job has ended. */
void handleAcceptedJob(dispatch_state &state, const std::string &id, time_point now);

/** Has a new leader charge all jobs that are known, in the order of their acceptance: it then knows
    which of them are beyond the share of their teams. */
void restoreShares(dispatch_state &state, time_point now, std::int64_t wallMs);

/** Reviews which teams wait within their shares, and how much work waits in each queue. Call it
    before each pass. */
void reviewWaitingJobs(dispatch_state &state, time_point now);

/** Records that a run has started, or has ended well, as work that its queue has been served. */
void recordStartedRun(dispatch_state &state, const task_name &task, time_point now);
void recordEndedRun(dispatch_state &state, const task_name &task, time_point now);

/** @return nothing if a job ranks as if there were no shares; else it is beyond its team's share
    while another team waits for the same targets within its own. It then ranks after the others of
    its rank, and its rank is no more urgent than the result. */
std::optional<int> heldBackTo(const dispatch_state &state, const job_view &view,
                              const std::string &service, const std::string &team);

/** Decides about a submitted job that is not known yet.
    @param team  its name; empty = the queue is open to all, and the job has none */
submission_decision decideSubmission(dispatch_state &state, load_shedding &shedding,
                                     const std::string &id, const messages::staged_job &job,
                                     const messages::work_queue &queue, const std::string &team,
                                     time_point now);

} // namespace filbert

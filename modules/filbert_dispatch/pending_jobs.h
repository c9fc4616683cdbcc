#pragma once

#include "dispatch_state.h"

#include <string>

namespace filbert {

/** @file
    Which jobs have begun: a target has confirmed that a task of theirs runs or ran.

    The log says so once a run has ended. Until then the leader knows it from the answers of
   targets, and a new leader from their lists. An ordered start proves nothing: it may be rejected
   or lost. An entry of the log for each beginning would cost the leader time when it has least of
   it.
*/

/** Notes that a target has confirmed a run of a job. */
void noteBegun(dispatch_state &state, const std::string &job);

/** @return the number of jobs of a queue that have not begun, at most pendingCountPeriod old
    @param queue  a configured queue */
std::int64_t countPendingJobs(dispatch_state &state, const messages::work_queue &queue,
                              time_point now);

/** @return the status of a job as callers see it: Queued until it has begun */
job_status shownStatus(const dispatch_state &state, const work_job &job);

/** Forgets the jobs of which the log says that they have begun or ended. */
void removeLoggedBeginnings(dispatch_state &state);

} // namespace filbert

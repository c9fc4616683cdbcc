#pragma once

#include "controller_state.h"

namespace filbert {

/** Handles a gateway's request for a target that runs a synchronous request. */
void handleDispatch(controller_state &state, const reply_address &from,
                    const messages::dispatch_request &request, time_point now);

/** Handles a gateway's report on how a synchronous request or a start order ended. */
void handleEnd(controller_state &state, const reply_address &from,
               const messages::placement_end &end, time_point now);

/** Handles the submission of a job. The answer is sent once the job is durable. */
void handleSubmission(controller_state &state, const reply_address &from,
                      const messages::job_submission &submission);

/** Handles a request to cancel, hold or release a job. */
void handleJobChange(controller_state &state, const reply_address &from,
                     const messages::job_change &change);

/** Orders a running task to end. Answers to heartbeats repeat the order until the task has ended.
    @param action  "stop" or "checkpoint", see docs/API.md
*/
void sendStop(controller_state &state, std::uint64_t placement, const char *action);

/** Redirects requests that wait for free capacity to the next leader, at a planned stop. */
void redirectWaitingRequests(controller_state &state);

/** Runs the scheduler and turns its decisions into commands. */
void runScheduler(controller_state &state, time_point now);

} // namespace filbert

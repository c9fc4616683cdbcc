#pragma once

#include "controller_state.h"

namespace filbert {

/** A gateway asks for room for a synchronous request. */
void takeDispatch(controller_state &state, const reply_address &from,
                  const messages::dispatch_request &request, time_point now);

/** A gateway says how a synchronous request or a start order ended. */
void takeEnd(controller_state &state, const reply_address &from, const messages::placement_end &end,
             time_point now);

/** A job is handed in; answered once it is durable. */
void takeSubmission(controller_state &state, const reply_address &from,
                    const messages::job_submission &submission);

/** A job is cancelled, held or released. */
void takeJobChange(controller_state &state, const reply_address &from,
                   const messages::job_change &change);

/** Orders a running task to end. @param action "stop" or "checkpoint", see docs/API.md; heartbeats
    say it again until the task has ended */
void sendStop(controller_state &state, std::uint64_t placement, const char *action);

/** Sends requests that wait for room to the next leader, at a planned stop. */
void turnWaitingAway(controller_state &state);

/** Lets the scheduler decide and turns its decisions into commands. */
void runScheduler(controller_state &state, time_point now);

} // namespace filbert

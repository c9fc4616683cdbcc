#pragma once

#include "dispatch_state.h"

#include <optional>
#include <string_view>

namespace filbert {

/** @file
    Checks at each place where a start has waited since it was decided whether it may still be sent.

    Between the decision and the wire a start waits for its commit, for a connection of its target,
    for another attempt, for the leader's lease or for a relay. Meanwhile the target may drain, its
    failure domain be evacuated, or the job be cancelled. A start that may not be sent any more is
    withdrawn: the task waits again at once if no attempt has left, and otherwise after a stop,
    since the run may have begun.
*/

/** Checks whether a start that is not confirmed yet may be sent, for the first time or again.
    @param run  in phase Ordered, with no attempt under way
    @return why it may not, or nothing */
std::optional<std::string_view> findStartObstacle(const dispatch_state &state,
                                                  const tracked_target &target,
                                                  const registered_target &registered,
                                                  const task_name &task, const run_view &run,
                                                  time_point now);

/** Withdraws a start that is not confirmed yet, and with the member of a gang all others: without
   it they would only wait.
    @param reason  for the log */
void withdrawStart(dispatch_state &state, const tracked_target &target, const task_name &task,
                   std::string_view reason, time_point now);

/** Checks an order right before it is sent; a start that must not be sent any more is withdrawn.
    @return whether to send the order */
bool mayStillSend(dispatch_state &state, const target_order &order, time_point now);

} // namespace filbert

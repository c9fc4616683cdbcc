#pragma once

#include "dispatch_state.h"

namespace filbert {

/** @return what the log says of a target, or nullptr */
const life_record *lifeOf(const dispatch_state &state, const std::string &id);

/** Adds a command to what is to be proposed to the log. */
void propose(dispatch_state &state, messages::work_command &&command);

/** Proposes once that a run is over without an end of its own. @param reason for the log */
void proposeDrop(dispatch_state &state, const task_name &task, run_view &run,
                 const std::string &target, const std::string &reason);

/** @return an order of a kind to this life of a target; what else it says is the caller's */
target_order orderFor(const dispatch_state &state, const target_conversation &target,
                      const life_record &life, order_kind kind, time_point now);

/** @return how long a look is waited for where answers get lost */
inline milliseconds lossyLookSpan(const dispatch_settings &settings)
{
    return settings.lossyLookWait + settings.lossyLookGrace;
}

/** Sends the start of a run that the log holds. */
void sendStart(dispatch_state &state, target_conversation &target, const life_record &life,
               const task_name &task, run_view &run, time_point now);

void sendStop(dispatch_state &state, target_conversation &target, const life_record &life,
              const task_name &task, std::uint32_t run, time_point now);

/** Asks what a target runs and has ended; renews its lease and acknowledges ends that the log
    holds. */
void sendLook(dispatch_state &state, target_conversation &target, const life_record &life,
              time_point now);

/** Takes a reading of a target's clock: one that is ahead of what is known counts, one that was
    delayed says less. */
void takeClock(target_conversation &target, std::int64_t clockMs, time_point now);

/** Keeps new work away from a target for a while, longer each time. @param reason for the log */
void avoid(dispatch_state &state, target_conversation &target, const std::string &reason,
           time_point now);

} // namespace filbert

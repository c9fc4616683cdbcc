#pragma once

#include "dispatch_state.h"

namespace filbert {

/** Takes a target's report about itself.

    @param life  as it reported it
    @return whether it says something that must be in the log before it is acknowledged; the command
            is among the effects then
*/
bool takeReport(dispatch_state &state, const messages::target_life &life, time_point now);

/** A target said that it ends now; what it runs is over once its process has had time to end. */
void takeLeave(dispatch_state &state, const std::string &id, time_point now);

/** Takes the answer to an order, or that there was none. */
void takeOrderAnswer(dispatch_state &state, const target_order &order, const order_answer &answer,
                     time_point now);

/** Sends what is due to each target: starts and stops once more, looks, renewed leases; gives runs
    up whose lease has surely ended. */
void stepTargets(dispatch_state &state, time_point now);

/** Orders a committed start. @param ticket of the policy service; may be empty */
void orderStart(dispatch_state &state, const messages::start_run_command &start,
                const std::string &ticket, time_point now);

/** Asks a target to stop a run. @param reason for the log */
void requestStop(dispatch_state &state, const task_name &task, const std::string &reason,
                 time_point now);

/** Whether answers of several targets got lost lately, so that silence says little about one. */
bool losesAnswers(const dispatch_state &state);

/** Whether new work may be sent to a target. @param life of it, the newest that is known */
bool takesWork(const dispatch_state &state, const target_conversation &target,
               const life_record &life, time_point now);

/** Brings the views of targets in line with the replicated lives and their runs. */
void syncTargets(dispatch_state &state, const std::string &id, time_point now);

} // namespace filbert

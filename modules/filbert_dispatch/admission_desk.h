#pragma once

#include "dispatch_state.h"

namespace filbert {

/** A call that takes no longer is one that urgent steps can wait for. */
constexpr milliseconds quickAdmission {100};

/** Asks the policy service which targets may run a step, unless that is being asked already.

    The service takes one call at a time from each process, so that calls are spread over those that
    have said hello; a part of these is kept for policies that decide quickly.

    @param step     index 0
    @param targets  to name, the most wanted first
    @param perCall  most that one call names: further ones go into calls at the same time
*/
void requestAdmission(dispatch_state &state, const task_name &step,
                      const messages::work_queue &queue, const std::vector<std::string> &targets,
                      std::size_t perCall, time_point now);

/** A process said that it can call the policy service.
    @param name     of the process
    @param process  differs between two processes of one name: what the one before was asked goes
                    to another at once
*/
void takeCaller(dispatch_state &state, const std::string &name, std::uint64_t process,
                time_point now);

/** A process said that it calls the policy service no more: it stops. What it was asked, it
 * answers. */
void dropCaller(dispatch_state &state, const std::string &name);

/** Takes what the service said. */
void takeAdmission(dispatch_state &state, const messages::admission_answer &answer, time_point now);

/** Sends waiting requests to free processes, and those without an answer to others. */
void stepAdmissions(dispatch_state &state, time_point now);

/** @return processes that could make a call of a costly policy now */
std::size_t spareCallers(const dispatch_state &state, time_point now);

/** @return the time that the service takes for a call */
milliseconds admissionTime(const messages::admission_policy &policy, std::size_t targets);

/** Whether a ticket is good for a start that is decided now. */
bool isUsable(const dispatch_state &state, const admission_view::ticket &ticket,
              const messages::admission_policy &policy, time_point now);

/** @return the ticket for a target if it is good for a start now, else nullptr */
const std::string *usableTicket(const dispatch_state &state, const admission_view &view,
                                const messages::admission_policy &policy, const std::string &target,
                                time_point now);

} // namespace filbert

#pragma once

#include "dispatch_state.h"

namespace filbert {

/** The duration of a call of the policy service up to which urgent steps can wait for it. */
constexpr milliseconds maxQuickAdmissionTime {100};

/** Requests tickets for a step from the policy service, unless a request of it is pending.

    The service takes one call at a time from each process, so that calls are spread over the
    registered callers. Some of these are kept free for policies that decide quickly.

    @param step        index 0
    @param targets     to name in the request, the preferred ones first
    @param maxPerCall  the maximum number of targets in a call; further ones go into parallel calls
*/
void requestAdmission(dispatch_state &state, const task_name &step,
                      const messages::work_queue &queue, const std::vector<std::string> &targets,
                      std::size_t maxPerCall, time_point now);

/** Registers a process that can call the policy service, or notes that it is still there.
    @param name     of the process
    @param process  distinguishes processes of the same name: if it has changed, the requests of the
                    previous process go to other callers at once
*/
void registerCaller(dispatch_state &state, const std::string &name, std::uint64_t process,
                    time_point now);

/** Unregisters a process that stops calling the policy service. It still answers the request that
    it has. */
void unregisterCaller(dispatch_state &state, const std::string &name);

/** Handles the answer of the policy service to a request. */
void handleAdmissionAnswer(dispatch_state &state, const messages::admission_answer &answer,
                           time_point now);

/** Sends waiting requests to free callers, and overdue ones to other callers. */
void tickAdmissions(dispatch_state &state, time_point now);

/** @return how many callers are free for a call of a costly policy now */
std::size_t countSpareCallers(const dispatch_state &state, time_point now);

/** @return the expected duration of a call that names so many targets */
milliseconds admissionTime(const messages::admission_policy &policy, std::size_t targets);

/** Whether a start that is decided now can reach its target before the ticket expires. */
bool isTicketUsable(const dispatch_state &state, const admission_view::ticket &ticket,
                    const messages::admission_policy &policy, time_point now);

/** @return the ticket for a target if it can be used for a start now, else nullptr */
const std::string *findUsableTicket(const dispatch_state &state, const admission_view &view,
                                    const messages::admission_policy &policy,
                                    const std::string &target, time_point now);

} // namespace filbert

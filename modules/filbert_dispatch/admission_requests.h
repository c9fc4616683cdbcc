#pragma once

#include "capacity_claims.h"
#include "dispatch_state.h"

namespace filbert {

/** The maximum duration of a quick call of the policy service, for which urgent steps can wait. */
constexpr milliseconds maxQuickAdmissionTime {100};

/** Requests tickets for a step from the policy service, unless a request for that step is pending.

    The service takes one call at a time from each process, so calls are spread over the callers in
    contact. A request waits for a caller until a later pass withdraws it and makes those that are
    needed then. Quick calls also wait at busy callers, so that these need not wait for the leader
    between two calls.

    @param step        the step, as a task name with index 0
    @param order       decides which of the waiting requests gets a caller first
    @param targets     to name in the request, the preferred ones first
    @param maxPerCall  maximum number of targets in a call; further ones go into parallel calls
    @return whether a request was made
*/
bool requestAdmission(dispatch_state &state, const task_name &step,
                      const messages::work_queue &queue, const call_order &order,
                      call_purpose purpose, const std::vector<std::string> &targets,
                      std::size_t maxPerCall, time_point now);

/** Withdraws the requests that no caller has got since an earlier pass: the pass that begins makes
    those that are needed now. */
void withdrawUnsentRequests(dispatch_state &state, time_point now);

/** @return the calls that a pass may request now */
call_budget callBudget(const dispatch_state &state, time_point now);

/** Registers a process that can call the policy service, or notes that it is still there.
    @param name     of the process
    @param process  distinguishes processes of the same name: if it has changed, the requests of the
                    previous process go to other callers at once
*/
void registerCaller(dispatch_state &state, const std::string &name, std::uint64_t process,
                    time_point now);

/** Unregisters a process that stops calling the policy service. It still answers its
    pending request. */
void unregisterCaller(dispatch_state &state, const std::string &name);

/** Handles the answer of the policy service to a request. */
void handleAdmissionAnswer(dispatch_state &state, const messages::admission_answer &answer,
                           time_point now);

/** Sends waiting requests to free callers, and overdue ones to other callers. */
void tickAdmissions(dispatch_state &state, time_point now);

/** @return how many requests callers have got and not answered yet */
std::size_t callsUnderWay(const dispatch_state &state);

/** @return the expected duration of a call that names a number of targets */
milliseconds expectedAdmissionDuration(const messages::admission_policy &policy,
                                       std::size_t targets);

/** Whether a start that is decided now can reach its target before the ticket expires. */
bool isTicketUsable(const dispatch_state &state, const admission_view::ticket &ticket,
                    const messages::admission_policy &policy, time_point now);

/** @return the ticket for a target if it can be used for a start now, else nullptr */
const std::string *findUsableTicket(const dispatch_state &state, const admission_view &view,
                                    const messages::admission_policy &policy,
                                    const std::string &target, time_point now);

} // namespace filbert

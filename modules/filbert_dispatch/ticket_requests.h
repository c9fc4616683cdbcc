#pragma once

#include "placement_pass.h"

namespace filbert {

/** Claims capacity for the waiting tasks of a step that could not be placed. If its queue has a
    policy, it requests tickets for what the steps before it leave free, or for what is released
    before such tickets expire. A step whose turn is later makes no request and claims nothing.
    @param waiting  number of its tasks that wait */
void claimOrRequestTickets(placement_pass &pass, const pending_step &step, service_view &service,
                           std::size_t waiting);

/** Whether a request under a policy may still be made in this pass.
    @param rank  of the step */
bool mayRequest(const call_budget &calls, int rank, const messages::admission_policy &policy);

/** Whether it is known in this pass that the steps before claim all capacity that a step could
    request tickets for. */
bool isCapacityClaimed(const service_view &service, const messages::step_spec &spec,
                       const messages::admission_policy &policy);

/** Whether a step has tickets that can be used for a start now. */
bool hasUsableTickets(const placement_pass &pass, const admission_view &view,
                      const messages::admission_policy &policy);

/** @return whether tickets for the steps of a queue are requested ahead: calls of its policy are
    quick */
bool isPrefetched(const messages::work_queue &queue);

/** Requests tickets for a step that will soon be pending, if its policy decides quickly. */
void prefetchTickets(placement_pass &pass, const pending_step &step);

} // namespace filbert

#pragma once

#include "dispatch_state.h"

namespace filbert {

/** Handles a target's report about itself.

    @param report  the registration that it reported
    @return whether the report holds something new that must be in the log before it is
            acknowledged; the last command among the effects is then the one for that
*/
bool handleTargetReport(dispatch_state &state, const messages::target_life &report, time_point now);

/** Handles a target's report that it is about to end. Its runs have ended once its
    lease has expired. */
void handleTargetLeaving(dispatch_state &state, const std::string &id, time_point now);

/** Handles the answer to an order, or the failure to get one. */
void handleOrderAnswer(dispatch_state &state, const target_order &order, const order_answer &answer,
                       time_point now);

/** Records that a start got no answer, so that it can be stopped in a later incarnation. */
void recordUnansweredStart(dispatch_state &state, tracked_target &target, const target_order &order,
                           time_point now);

/** Expects that orders to earlier incarnations of a target still arrive. The present one takes them
    for its own. They grant it leases up to its own maximum, counted from their arrival, since the
    expiry that they name is a time of an earlier incarnation's clock.
    @param lastSentAt  when the last of them was sent */
void expectLateOrders(const dispatch_state &state, tracked_target &target, time_point lastSentAt,
                      time_point now);

/** Records that a target has had an order to its present incarnation. It rejects late orders of
    earlier leaders or to earlier incarnations from now on. */
void limitOtherLeases(const dispatch_state &state, tracked_target &target, time_point now);

/** Handles the answer of an incarnation that has not registered yet: it gets no work, and carries
    out what is ordered from the previous one. */
void handleUnregisteredIncarnation(dispatch_state &state, tracked_target &target, time_point now);

/** Sends what is due to targets: retries of starts and stops, polls, renewed leases. Abandons runs
    whose lease has certainly expired. */
void tickTargets(dispatch_state &state, time_point now);

/** Sends a committed start to its target.
    @param ticket  from the policy service; may be empty */
void orderStart(dispatch_state &state, const messages::start_run_command &start,
                const reserved_ticket &ticket, time_point now);

/** Requests that a run be stopped; the order is sent with the next tick.
    @param reason  for the log */
void requestStop(dispatch_state &state, const task_name &task, const std::string &reason,
                 time_point now);

/** Whether answers of several targets got lost recently, so that a missing answer says little about
    a target. */
bool isLosingAnswers(const dispatch_state &state);

/** Whether a target may get new work.
    @param registered  its record in the replicated state */
bool acceptsWork(const dispatch_state &state, const tracked_target &target,
                 const registered_target &registered, time_point now);

/** Updates the view of a target from its record and its runs in the replicated state. */
void syncTarget(dispatch_state &state, const std::string &id, time_point now);

} // namespace filbert

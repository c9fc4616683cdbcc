#pragma once

#include "dispatch_state.h"

namespace filbert {

/** @return the record of a target in the replicated state, or nullptr */
const registered_target *findRegisteredTarget(const dispatch_state &state, const std::string &id);

/** Adds a command to those that the caller proposes to the log. */
void propose(dispatch_state &state, messages::work_command &&command);

/** Proposes, once per run, that a run has ended although the target has reported no end.
    @param reason  for the log */
void proposeAbandonment(dispatch_state &state, const task_name &task, run_view &run,
                        const std::string &target, const std::string &reason);

/** @return the token by which a target recognises orders that are out of date. It is higher than
   that of any order of an earlier leader, and of any order to an earlier incarnation: once an
    incarnation has had an order of its own, it rejects those that were meant for the earlier ones.
    @param term  of the leader that sends the order */
std::uint64_t fencingTokenFor(const registered_target &registered, std::uint64_t term);

/** @return an order to the current incarnation of a target; the caller sets what its kind needs */
target_order orderFor(const dispatch_state &state, const tracked_target &target,
                      const registered_target &registered, order_kind kind, time_point now);

/** @return the time by which the answer to a poll may be late while answers get lost */
milliseconds lossyPollGracePeriod(const dispatch_state &state);

/** @return how long a target may hold a poll while answers get lost */
milliseconds lossyPollWait(const dispatch_state &state);

/** @return the timeout of a poll while answers get lost */
inline milliseconds lossyPollTimeout(const dispatch_state &state)
{
    return lossyPollWait(state) + lossyPollGracePeriod(state);
}

/** Whether a start may be retried early; takes a token of the retry budget for it. */
bool takeRetryToken(dispatch_state &state);

/** Sends the order to start a run that the log holds. Each further attempt waits longer for its
    answer. */
void sendStart(dispatch_state &state, tracked_target &target, const registered_target &registered,
               const task_name &task, run_view &run, time_point now);

void sendStop(dispatch_state &state, tracked_target &target, const registered_target &registered,
              const task_name &task, std::uint32_t run, time_point now);

/** Whether the target may have runs that the log does not have. */
inline bool mayHaveOrphans(const tracked_target &target, time_point now)
{
    return !target.orphanRuns.empty() || now < target.lateOrdersUntil;
}

/** Whether polls of a target are only to find orphan runs, and may be rare. */
inline bool isPolledForOrphans(const tracked_target &target, time_point now)
{
    return target.runs.empty() && !target.isInventoryStale && mayHaveOrphans(target, now);
}

/** Records that an order which was held leaves only now. */
void delayOrder(dispatch_state &state, target_order &order, time_point now);

/** Polls a target for its runs and for ended runs. Renews its lease and acknowledges the ends that
    the log holds. */
void sendPoll(dispatch_state &state, tracked_target &target, const registered_target &registered,
              time_point now);

/** Updates the estimate of a target's clock from a reading. A reading that was delayed on its way,
    and thus is behind the estimate, is ignored. */
void updateClock(tracked_target &target, std::int64_t clockMs, time_point now);

/** Quarantines a target: it gets no new work for a while, which doubles each time up to a maximum.
    @param reason  for the log */
void quarantineTarget(dispatch_state &state, tracked_target &target, const std::string &reason,
                      time_point now);

} // namespace filbert

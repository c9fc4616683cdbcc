#include "start_checks.h"

#include "target_orders.h"
#include "target_tracking.h"

namespace filbert {

namespace {

bool hasJobEnded(const dispatch_state &state, const task_name &task)
{
    const auto job = state.work->jobs.find(task.job);
    return job == state.work->jobs.end() || job->second.hasEnded();
}

/** Withdraws one start: by a stop if the run may have begun, else without one. */
void withdrawRun(dispatch_state &state, const task_name &task, std::uint32_t number,
                 const std::string &reason, time_point now)
{
    const auto *record = findTask(*state.work, task);
    if (record == nullptr || record->status != task_status::Running || record->run != number) {
        return;
    }
    const auto target = state.targets.find(record->target);
    if (target == state.targets.end() || !target->second.runs.contains(task)) {
        return;
    }
    auto &run = target->second.runs.at(task);
    if (run.isOrderPending || run.mayHaveReachedTarget) {
        requestStop(state, task, reason, now);
    } else {
        proposeAbandonment(state, task, run, target->first, reason);
    }
}

} // namespace

std::optional<std::string_view> findStartObstacle(const dispatch_state &state,
                                                  const tracked_target &target,
                                                  const registered_target &registered,
                                                  const task_name &task, const run_view &run,
                                                  time_point now)
{
    if (hasJobEnded(state, task)) {
        return "its job has ended";
    }
    if (registered.hasEnded || target.leavingSince) {
        return "its target has left";
    }
    if (registered.registration.is_draining()) {
        return "its target is draining";
    }
    if (isEvacuated(*state.work, registered)) {
        return "the failure domain of its target is evacuated";
    }
    if (run.mayHaveReachedTarget) {
        return std::nullopt; // it may run there, and is of more use there than stopped
    }
    if (now < target.quarantinedUntil) {
        return "its target is avoided";
    }
    if (now - target.lastContactAt >= state.settings.contactTimeout) {
        return "its target is silent";
    }
    if (run.ticketExpiresAt.ms > 0 && now >= run.ticketExpiresAt) {
        return "its ticket has expired";
    }
    return std::nullopt;
}

void withdrawStart(dispatch_state &state, const tracked_target &target, const task_name &task,
                   std::string_view reason, time_point now)
{
    const auto &run = target.runs.at(task);
    const auto number = run.run;
    log_line {"start_withdrawn"}
        .with("task", toString(task))
        .with("run", number)
        .with("target", target.id)
        .with("attempts", run.startAttempts)
        .with("may_have_arrived", run.mayHaveReachedTarget)
        .with("reason", reason);
    const auto &spec = stepSpecOf(state.work->jobs.at(task.job), task.step);
    if (!spec.is_gang()) {
        withdrawRun(state, task, number, std::string {reason}, now);
        return;
    }
    auto member = stepNameOf(task);
    for (; member.index < static_cast<std::uint32_t>(spec.count()); ++member.index) {
        withdrawRun(state, member, number, "the start of a member of its gang was withdrawn", now);
    }
}

bool mayStillSend(dispatch_state &state, const target_order &order, time_point now)
{
    if (order.kind != order_kind::Start) {
        return true;
    }
    const auto *registered = findRegisteredTarget(state, order.target);
    const auto target = state.targets.find(order.target);
    if (registered == nullptr || target == state.targets.end()) {
        return false;
    }
    const auto found = target->second.runs.find(order.task);
    if (found == target->second.runs.end() || found->second.run != order.run
        || target->second.incarnation != order.incarnation) {
        return false;
    }
    auto &run = found->second;
    const auto obstacle =
        findStartObstacle(state, target->second, *registered, order.task, run, now);
    if (run.phase == run_phase::Ordered && !obstacle) {
        return true;
    }
    run.isOrderPending = false;
    state.changedTargets.insert(order.target);
    if (run.phase == run_phase::Ordered) {
        withdrawStart(state, target->second, order.task, *obstacle, now);
    }
    return false;
}

} // namespace filbert

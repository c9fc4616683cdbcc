#include "target_orders.h"

#include "target_tracking.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace filbert {

namespace {

constexpr double minClockRate = 0.97; // a target's clock may be 2 % slow; 1 % is a margin
// Without contact for longer, no lease is renewed.
constexpr milliseconds leaseRenewalTimeout {2'000};

std::int64_t leaseExpiryFor(const dispatch_state &state, tracked_target &target, time_point now)
{
    const auto duration = std::min(state.settings.targetLease, state.settings.maxTargetLease);
    const auto expiresAt = clockUpperBound(target, now) + duration.count;
    target.leaseExpiresAt = std::max(target.leaseExpiresAt, expiresAt);
    target.lastLeaseSentAt = now;
    return expiresAt;
}

milliseconds startTimeoutFor(const dispatch_state &state, int earlierAttempts)
{
    const auto &settings = state.settings;
    auto timeout =
        answerTimeout(state.startAnswerTime,
                      isLosingAnswers(state) ? settings.lossyStartTimeout : settings.startTimeout,
                      settings.orderTimeout);
    for (int i = 0; i < earlierAttempts && timeout < settings.orderTimeout; ++i) {
        timeout = timeout * 2;
    }
    return std::min(timeout, settings.orderTimeout);
}

} // namespace

std::uint64_t fencingTokenFor(const registered_target &registered, std::uint64_t term)
{
    return term + registered.restarts;
}

target_order orderFor(const dispatch_state &state, const tracked_target &target,
                      const registered_target &registered, order_kind kind, time_point now)
{
    target_order order;
    order.kind = kind;
    order.target = target.id;
    order.incarnation = target.incarnation;
    order.address = registered.registration.address();
    order.term = state.term;
    order.fencingToken = fencingTokenFor(registered, state.term);
    order.timeout = state.settings.orderTimeout;
    order.sentAt = now;
    return order;
}

const registered_target *findRegisteredTarget(const dispatch_state &state, const std::string &id)
{
    const auto found = state.work->targets.find(id);
    return found == state.work->targets.end() ? nullptr : &found->second;
}

void propose(dispatch_state &state, messages::work_command &&command)
{
    state.effects.commands.push_back(std::move(command));
}

void proposeAbandonment(dispatch_state &state, const task_name &task, run_view &run,
                        const std::string &target, const std::string &reason)
{
    if (std::exchange(run.isAbandonmentProposed, true)) {
        return;
    }
    log_line {"run_given_up"}
        .with("task", toString(task))
        .with("run", run.run)
        .with("target", target)
        .with("reason", reason);
    state.abandonments[task] = target;
    messages::work_command command;
    auto *drop = command.mutable_drop();
    *drop->mutable_task() = toTaskReference(task);
    drop->set_run(run.run);
    drop->set_checkpoint(run.checkpoint);
    drop->set_has_begun(state.begunJobs.contains(task.job));
    propose(state, std::move(command));
}

void sendStart(dispatch_state &state, tracked_target &target, const registered_target &registered,
               const task_name &task, run_view &run, time_point now)
{
    auto order = orderFor(state, target, registered, order_kind::Start, now);
    const auto &job = state.work->jobs.at(task.job);
    order.task = task;
    order.run = run.run;
    order.spec = job.job.spec();
    order.checkpoint = run.checkpoint;
    order.ticket = run.ticket;
    order.leaseExpiresAt = leaseExpiryFor(state, target, now);
    order.timeout = startTimeoutFor(state, run.startAttempts);
    if (run.startAttempts++ == 0) {
        run.orderedAt = now;
        state.retryTokens = std::min(state.retryTokens + state.settings.retriesPerStart,
                                     state.settings.maxRetryTokens);
    }
    run.isOrderPending = true;
    ++state.totals.starts;
    state.effects.orders.push_back(std::move(order));
}

void sendStop(dispatch_state &state, tracked_target &target, const registered_target &registered,
              const task_name &task, std::uint32_t run, time_point now)
{
    auto order = orderFor(state, target, registered, order_kind::Stop, now);
    order.task = task;
    order.run = run;
    ++state.totals.stops;
    state.effects.orders.push_back(std::move(order));
}

void delayOrder(dispatch_state &state, target_order &order, time_point now)
{
    const auto target = state.targets.find(order.target);
    const bool isLatestPoll = order.kind == order_kind::Poll && target != state.targets.end()
        && target->second.pollSentAt == order.sentAt;
    if (isLatestPoll) {
        target->second.pollSentAt = now; // its answer is recognised by this time
    }
    order.sentAt = now;
}

void sendPoll(dispatch_state &state, tracked_target &target, const registered_target &registered,
              time_point now)
{
    auto order = orderFor(state, target, registered, order_kind::Poll, now);
    const bool isIdle = target.runs.empty();
    const bool isMixedLoad = registered.latencySensitiveRuns > 0 && registered.bestEffortCores > 0;
    const bool isStopping = std::any_of(target.runs.begin(), target.runs.end(),
                                        [](const auto &each) {
                                            return each.second.phase == run_phase::Stopping
                                                && each.second.confirmedAt.ms > 0;
                                        })
        || std::any_of(target.orphanRuns.begin(), target.orphanRuns.end(),
                       [](const auto &each) { return each.second.confirmedAt.ms > 0; });
    if (target.clockMs && !isIdle && !target.leavingSince
        && now - target.lastContactAt < leaseRenewalTimeout) {
        order.leaseExpiresAt = leaseExpiryFor(state, target, now);
    }
    const bool isFirst = !target.clockMs;
    const bool isLossy = isLosingAnswers(state);
    if (!isIdle && !isFirst && !isStopping) {
        order.pollWait = isLossy ? lossyPollWait(state)
            : isMixedLoad        ? state.settings.mixedLoadPollWait
                                 : state.settings.pollWait;
    } else if (isStopping) {
        order.pollWait = state.settings.retryDelay;
    } else if (isPolledForOrphans(target, now)) {
        order.pollWait = state.settings.idlePollWait;
    }
    // A new incarnation that the leader has not noticed numbers its ends from the start again. An
    // acknowledgement meant for the previous one would make it discard ends that the log lacks.
    const bool isSurelySameIncarnation = target.pollAnsweredAt.ms > 0
        && now - target.pollAnsweredAt < state.settings.sameIncarnationWindow;
    order.lastAppliedEnd = isSurelySameIncarnation ? registered.lastAppliedEnd : 0;
    order.timeout =
        order.pollWait + (isLossy ? lossyPollGracePeriod(state) : state.settings.pollGracePeriod);
    target.isPollPending = true;
    target.pollSentAt = now;
    ++state.totals.polls;
    state.effects.orders.push_back(std::move(order));
}

milliseconds lossyPollWait(const dispatch_state &state)
{
    constexpr std::int64_t millisecondsPerSecond = 1'000;
    const auto &settings = state.settings;
    const milliseconds affordable {static_cast<std::int64_t>(state.targetsInContact)
                                   * millisecondsPerSecond / settings.maxLossyPollsPerSecond};
    return std::clamp(affordable, settings.lossyPollWait, settings.pollWait);
}

milliseconds lossyPollGracePeriod(const dispatch_state &state)
{
    return answerTimeout(state.startAnswerTime, state.settings.lossyPollGracePeriod,
                         state.settings.pollGracePeriod);
}

bool takeRetryToken(dispatch_state &state)
{
    if (state.retryTokens < 1) {
        return false;
    }
    state.retryTokens -= 1;
    return true;
}

void quarantineTarget(dispatch_state &state, tracked_target &target, const std::string &reason,
                      time_point now)
{
    const auto doubled = target.quarantinePeriod + target.quarantinePeriod;
    target.quarantinePeriod =
        std::clamp(doubled, state.settings.initialQuarantine, state.settings.maxQuarantine);
    target.quarantinedUntil = now + target.quarantinePeriod;
    target.failedJobs.clear();
    forgetSpeed(target.speed);
    state.isPassDue = true;
    log_line {"target_avoided", log_line::severity::Warning}
        .with("target", target.id)
        .with("reason", reason)
        .with("for_ms", target.quarantinePeriod.count);
}

std::string_view resultName(order_result result)
{
    constexpr std::string_view names[] = {"done",     "fenced",     "old",         "late",
                                          "no_room",  "bad_ticket", "unhealthy",   "wrong_life",
                                          "rejected", "unanswered", "unreachable", "carrier_lost"};
    return names[static_cast<std::size_t>(result)];
}

std::int64_t clockUpperBound(const tracked_target &target, time_point now)
{
    return *target.clockMs + (now - target.clockReadAt).count;
}

std::int64_t clockLowerBound(const tracked_target &target, time_point now)
{
    const auto elapsed = static_cast<double>((now - target.clockReadAt).count);
    return *target.clockMs + static_cast<std::int64_t>(elapsed * minClockRate);
}

void updateClock(tracked_target &target, std::int64_t clockMs, time_point now)
{
    if (!target.clockMs || clockMs >= clockLowerBound(target, now)) {
        target.clockMs = clockMs;
        target.clockReadAt = now;
    }
}

bool isLosingAnswers(const dispatch_state &state)
{
    const auto &settings = state.settings;
    const auto fraction = static_cast<std::size_t>(
        std::llround(static_cast<double>(state.targetsInContact) * settings.lossyTargetFraction));
    return state.lostAnswers.size() >= std::max(settings.lossyTargetThreshold, fraction);
}

} // namespace filbert

#include "target_orders.h"

#include "target_conversation.h"

#include <algorithm>
#include <utility>

namespace filbert {

namespace {

constexpr double slowestRate = 0.97; // a target's clock may be 2 % slow; 1 % is a margin
constexpr milliseconds answeredSpan {2'000}; // without contact for longer, no lease is renewed

std::int64_t leaseEndFor(const dispatch_state &state, target_conversation &target, time_point now)
{
    const auto span = std::min(state.settings.targetLease, state.settings.longestLease);
    const auto until = clockAtMost(target, now) + span.count;
    target.leaseUntil = std::max(target.leaseUntil, until);
    return until;
}

} // namespace

target_order orderFor(const dispatch_state &state, const target_conversation &target,
                      const life_record &life, order_kind kind, time_point now)
{
    target_order order;
    order.kind = kind;
    order.target = target.id;
    order.born = target.born;
    order.address = life.about.address();
    order.fencingToken = state.term;
    order.timeout = state.settings.orderTimeout;
    order.sentAt = now;
    return order;
}

const life_record *lifeOf(const dispatch_state &state, const std::string &id)
{
    const auto found = state.work->lives.find(id);
    return found == state.work->lives.end() ? nullptr : &found->second;
}

void propose(dispatch_state &state, messages::work_command &&command)
{
    state.effects.commands.push_back(std::move(command));
}

void proposeDrop(dispatch_state &state, const task_name &task, run_view &run,
                 const std::string &target, const std::string &reason)
{
    if (std::exchange(run.isDropProposed, true)) {
        return;
    }
    log_line {"run_given_up"}
        .with("task", textOf(task))
        .with("run", run.run)
        .with("target", target)
        .with("reason", reason);
    messages::work_command command;
    auto *drop = command.mutable_drop();
    *drop->mutable_task() = referenceTo(task);
    drop->set_run(run.run);
    drop->set_checkpoint(run.checkpoint);
    propose(state, std::move(command));
}

void sendStart(dispatch_state &state, target_conversation &target, const life_record &life,
               const task_name &task, run_view &run, time_point now)
{
    auto order = orderFor(state, target, life, order_kind::Start, now);
    const auto &job = state.work->jobs.at(task.job);
    order.task = task;
    order.run = run.run;
    order.spec = job.job.spec();
    order.checkpoint = run.checkpoint;
    order.ticket = run.ticket;
    order.leaseUntil = leaseEndFor(state, target, now);
    order.timeout =
        losesAnswers(state) ? state.settings.lossyStartTimeout : state.settings.startTimeout;
    run.isOrderOpen = true;
    state.effects.orders.push_back(std::move(order));
}

void sendStop(dispatch_state &state, target_conversation &target, const life_record &life,
              const task_name &task, std::uint32_t run, time_point now)
{
    auto order = orderFor(state, target, life, order_kind::Stop, now);
    order.task = task;
    order.run = run;
    state.effects.orders.push_back(std::move(order));
}

void sendLook(dispatch_state &state, target_conversation &target, const life_record &life,
              time_point now)
{
    auto order = orderFor(state, target, life, order_kind::Look, now);
    const bool isIdle = target.runs.empty();
    const bool isMixed = life.serving > 0 && life.fillCores > 0;
    const bool isStopping =
        std::any_of(target.runs.begin(), target.runs.end(), [](const auto &each) {
            return each.second.phase == run_phase::Stopping && each.second.confirmedAt.ms > 0;
        });
    if (target.clockMs && !isIdle && !target.leavingSince && now - target.heardAt < answeredSpan) {
        order.leaseUntil = leaseEndFor(state, target, now);
    }
    const bool isFirst = !target.clockMs;
    const bool isLossy = losesAnswers(state);
    if (!isIdle && !isFirst && !isStopping) {
        order.wait = isLossy ? state.settings.lossyLookWait
            : isMixed        ? state.settings.busyLookWait
                             : state.settings.lookWait;
    } else if (isStopping) {
        order.wait = state.settings.retryPause;
    }
    // A new incarnation that the leader has not noticed numbers its ends from the start again. An
    // acknowledgement meant for the previous one would make it discard ends that the log lacks.
    const bool isSurelySameLife =
        target.lookedAt.ms > 0 && now - target.lookedAt < state.settings.sameLifeSpan;
    order.lastEndTaken = isSurelySameLife ? life.lastEndTaken : 0;
    order.timeout =
        order.wait + (isLossy ? state.settings.lossyLookGrace : state.settings.lookGrace);
    target.isLookOpen = true;
    target.lookSentAt = now;
    state.effects.orders.push_back(std::move(order));
}

void avoid(dispatch_state &state, target_conversation &target, const std::string &reason,
           time_point now)
{
    const auto doubled = target.avoidance + target.avoidance;
    target.avoidance =
        std::clamp(doubled, state.settings.firstAvoidance, state.settings.longestAvoidance);
    target.avoidUntil = now + target.avoidance;
    target.failedJobs.clear();
    state.isChanged = true;
    log_line {"target_avoided", log_line::severity::Warning}
        .with("target", target.id)
        .with("reason", reason)
        .with("for_ms", target.avoidance.count);
}

std::string_view resultName(order_result result)
{
    constexpr std::string_view names[] = {"done",     "fenced",     "old",         "late",
                                          "no_room",  "bad_ticket", "unhealthy",   "wrong_life",
                                          "rejected", "unanswered", "unreachable", "carrier_lost"};
    return names[static_cast<std::size_t>(result)];
}

std::int64_t clockAtMost(const target_conversation &target, time_point now)
{
    return *target.clockMs + (now - target.clockAt).count;
}

std::int64_t clockAtLeast(const target_conversation &target, time_point now)
{
    const auto elapsed = static_cast<double>((now - target.clockAt).count);
    return *target.clockMs + static_cast<std::int64_t>(elapsed * slowestRate);
}

void takeClock(target_conversation &target, std::int64_t clockMs, time_point now)
{
    if (!target.clockMs || clockMs >= clockAtLeast(target, now)) {
        target.clockMs = clockMs;
        target.clockAt = now;
    }
}

bool losesAnswers(const dispatch_state &state)
{
    return state.lostAnswers.size() >= state.settings.lossyTargets;
}

} // namespace filbert

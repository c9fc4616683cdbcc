#include "overload_model.h"

#include <algorithm>
#include <utility>

namespace filbert {

namespace {

constexpr double networkMs = 1; // between two processes, one way
constexpr double relayMs = 3; // a relay's turn and the call of a target, one way
constexpr double commitMs = 10; // of the log, on a quorum of disks
constexpr double reportPeriodMs = 1'500;
constexpr double helloPeriodMs = 300;
constexpr double submissionPeriodMs = 10;
constexpr double batchJobsPerQuickJob = 0.057;
constexpr std::int64_t quickTaskMs = 560;
constexpr std::int64_t batchTaskMs = 5'600;
constexpr std::int64_t objectiveMs = 1'500; // of a quick job of one step or two
constexpr int submissionAttempts = 5;
constexpr double resubmissionMs = 1'000; // after a refusal
constexpr std::int64_t usPerMs = 1'000;

std::int64_t microsecondsOf(double ms)
{
    return static_cast<std::int64_t>(ms * static_cast<double>(usPerMs));
}

} // namespace

overload_model::overload_model(const overload_settings &settings)
    : settings {settings}
{
    messages::work_command command;
    auto *configuration = command.mutable_configure();
    *configuration = state.configuration;
    configuration->set_version(2);
    configuration->clear_queues();
    for (const bool isQuick : {true, false}) {
        auto *queue = configuration->add_queues();
        queue->set_name(isQuick ? "quick" : "batch");
        queue->set_path_prefix(isQuick ? "/quick/" : "/batch/");
        queue->set_service("orders");
        queue->set_priority(isQuick ? 0 : 2);
        queue->set_max_attempts(4);
        queue->set_slack_factor(isQuick ? 1.5 : 4);
        queue->set_latency_objective_ms(isQuick ? 250 : 3'000);
        queue->mutable_admission()->set_decide_ms(isQuick ? 15 : 150);
        queue->mutable_admission()->set_per_target_ms(isQuick ? 0.21 : 2.1);
        queue->mutable_admission()->set_ticket_ms(2'000);
    }
    apply(command);
    for (int i = 0; i < settings.targets; ++i) {
        registerTarget("t" + std::to_string(i), 1, 32'000);
    }
    lead();
}

void overload_model::lead()
{
    inbox.clear();
    shedding = {};
    leader = startDispatch(state, dispatch_settings {}, term++, now(), wallMs());
    for (int i = 0; i < settings.callers; ++i) {
        registerCaller(*leader, "caller-" + std::to_string(i), 1, now());
    }
    for (const auto &submission : std::exchange(heldSubmissions, {})) {
        inbox.emplace_back(costs.message,
                           [this, submission] { leader->effects.commands.push_back(submission); });
    }
}

void overload_model::after(double ms, event_action action)
{
    events.emplace(nowUs + microsecondsOf(ms), std::move(action));
}

/** Has the leader handle something in the first turn after some time, unless it is replaced. */
void overload_model::atLeader(double ms, double costUs, event_action action)
{
    after(ms, [this, costUs, action = std::move(action), ofTerm = term] {
        if (ofTerm == term) {
            inbox.emplace_back(costUs, action);
        }
    });
}

void overload_model::submit(bool isQuick)
{
    const auto id = "j" + std::to_string(jobCount++);
    messages::work_command command;
    auto *job = command.mutable_accept();
    job->set_id(id);
    job->set_queue(isQuick ? "quick" : "batch");
    job->set_team("desk");
    job->set_accepted_wall_ms(wallMs());
    *job->mutable_taken_under() = *findQueue(state.configuration, job->queue());
    const int steps = isQuick ? 1 + jobCount % 2 : 2;
    for (int i = 0; i < steps; ++i) {
        auto *spec = job->add_steps();
        *spec = isQuick ? step(13, 8'400) : step(29, 9'000);
        spec->set_estimate_ms(isQuick ? quickTaskMs : batchTaskMs);
        if (i > 0) {
            spec->add_depends_on(i - 1);
        }
    }
    if (isQuick) {
        submittedAtUs[id] = nowUs;
        openJobs.insert(id);
    }
    if (!leader) {
        heldSubmissions.push_back(command);
        return;
    }
    atLeader(networkMs, costs.message, [this, command] { offer(command, submissionAttempts); });
}

/** Has the leader accept a job or refuse it. Callers try again some times. */
void overload_model::offer(const messages::work_command &submission, int attemptsLeft)
{
    const auto &job = submission.accept();
    if (!refusesJob(shedding, job.id(), job, job.taken_under(), now())) {
        leader->effects.commands.push_back(submission);
        return;
    }
    if (attemptsLeft == 1) {
        openJobs.erase(job.id());
        refusedJobs.insert(job.id());
        return;
    }
    atLeader(resubmissionMs, costs.message,
             [this, submission, attemptsLeft] { offer(submission, attemptsLeft - 1); });
}

void overload_model::submitJobs()
{
    const milliseconds elapsed {nowUs / usPerMs};
    const bool isBurst =
        elapsed >= settings.burstAt && elapsed < settings.burstAt + settings.burstDuration;
    const auto expected = settings.jobsPerSecond * submissionPeriodMs / 1e3;
    std::poisson_distribution<int> quick {expected * (isBurst ? settings.burstFactor : 1.0)};
    std::poisson_distribution<int> batch {expected * batchJobsPerQuickJob};
    for (int i = quick(random); i > 0; --i) {
        submit(true);
    }
    for (int i = batch(random); i > 0; --i) {
        submit(false);
    }
    after(submissionPeriodMs, [this] { submitJobs(); });
}

/** Has each target report itself periodically, and each process send its hellos. */
void overload_model::reportTargets()
{
    int number = 0;
    for (const auto &[id, registered] : state.targets) {
        const auto offset = reportPeriodMs * number++ / settings.targets;
        atLeader(offset, costs.message, [this, id = id] {
            auto report = state.targets.at(id).registration;
            report.set_clock_ms(now().ms);
            report.set_sequence(now().ms);
            handleTargetReport(*leader, report, now());
        });
    }
    for (int i = 0; i < settings.callers; ++i) {
        for (double offset = 0; offset < reportPeriodMs; offset += helloPeriodMs) {
            atLeader(offset, costs.message, [this, i] {
                registerCaller(*leader, "caller-" + std::to_string(i), 1, now());
            });
        }
    }
    after(reportPeriodMs, [this] { reportTargets(); });
}

void overload_model::carryOut(const target_order &order)
{
    after(relayMs, [this, order] {
        switch (order.kind) {
        case order_kind::Start:
            start(order);
            break;
        case order_kind::Poll:
            poll(order);
            break;
        default: {
            auto &target = simulatedTargets[order.target];
            if (order.kind == order_kind::Stop && target.runs.erase(order.task) > 0) {
                target.ends.push_back(
                    {++target.lastEnd, order.task, order.run, messages::END_STOPPED, {}});
            }
            atLeader(relayMs, costs.order, [this, order] {
                order_answer answer;
                answer.result = order_result::Done;
                answer.clockMs = now().ms;
                handleOrderAnswer(*leader, order, answer, now());
            });
        }
        }
    });
}

void overload_model::start(const target_order &order)
{
    auto &target = simulatedTargets[order.target];
    const auto durationMs =
        state.jobs.at(order.task.job).job.queue() == "quick" ? quickTaskMs : batchTaskMs;
    if (!target.runs.contains(order.task)) {
        target.runs[order.task] = {order.run, nowUs + durationMs * usPerMs};
        after(static_cast<double>(durationMs),
              [this, order] { endRun(order.target, order.task, order.run); });
    }
    atLeader(relayMs, costs.order, [this, order] {
        order_answer answer;
        answer.result = order_result::Done;
        answer.clockMs = now().ms;
        handleOrderAnswer(*leader, order, answer, now());
    });
}

void overload_model::endRun(const std::string &id, const task_name &task, std::uint32_t run)
{
    auto &target = simulatedTargets[id];
    const auto found = target.runs.find(task);
    if (found == target.runs.end() || found->second.run != run) {
        return;
    }
    target.runs.erase(found);
    target.ends.push_back({++target.lastEnd, task, run, messages::END_DONE, {}});
    answerPoll(id);
}

void overload_model::poll(const target_order &order)
{
    auto &target = simulatedTargets[order.target];
    answerPoll(order.target); // an earlier one
    std::erase_if(target.ends,
                  [&](const auto &each) { return each.number <= order.lastAppliedEnd; });
    target.heldPoll = order;
    const auto number = ++target.heldPolls;
    if (!target.ends.empty() || order.pollWait.count == 0) {
        answerPoll(order.target);
        return;
    }
    after(static_cast<double>(order.pollWait.count), [this, id = order.target, number] {
        if (simulatedTargets[id].heldPolls == number) {
            answerPoll(id);
        }
    });
}

void overload_model::answerPoll(const std::string &id)
{
    auto &target = simulatedTargets[id];
    const auto order = std::exchange(target.heldPoll, std::nullopt);
    if (!order) {
        return;
    }
    order_answer answer;
    answer.result = order_result::Done;
    answer.clockMs = now().ms;
    answer.incarnation = 1;
    for (const auto &[task, run] : target.runs) {
        const auto remainingMs = std::max<std::int64_t>(run.endsAtUs - nowUs, 0) / usPerMs;
        answer.runs.push_back({task, run.run, {}, static_cast<int>(99 - remainingMs / 60 % 99), 0});
    }
    answer.ends = target.ends;
    atLeader(relayMs, costs.order,
             [this, order = *order, answer] { handleOrderAnswer(*leader, order, answer, now()); });
}

void overload_model::callPolicy(const admission_call &call)
{
    const auto &queue =
        *findQueue(state.configuration, state.jobs.at(call.request.step().job()).job.queue());
    auto &busyUntil = callerBusyUntilUs[call.caller];
    busyUntil = std::max(busyUntil, nowUs + microsecondsOf(networkMs))
        + expectedAdmissionDuration(queue.admission(),
                                    static_cast<std::size_t>(call.request.targets_size()))
                .count
            * usPerMs;
    messages::admission_answer answer;
    answer.set_id(call.request.id());
    answer.set_is_answered(true);
    for (const auto &target : call.request.targets()) {
        const auto hash = std::hash<std::string> {}(call.request.step().job() + target);
        if (hash % 10 < 6) { // the policy admits some targets to each job, always the same
            auto *ticket = answer.add_admitted();
            ticket->set_target(target);
            ticket->set_ticket("ticket");
        }
    }
    const auto cost = costs.message + costs.candidate * answer.admitted_size();
    atLeader(static_cast<double>(busyUntil - nowUs) / usPerMs + networkMs, cost,
             [this, answer] { handleAdmissionAnswer(*leader, answer, now()); });
}

void overload_model::commit(std::vector<messages::work_command> commands)
{
    const auto cost = costs.command * static_cast<double>(commands.size());
    atLeader(commitMs, cost, [this, commands = std::move(commands)] {
        for (const auto &command : commands) {
            const auto outcome = applyCommand(state, command, wallMs());
            handleCommittedCommand(*leader, command, outcome.error != error_kind::None, now());
        }
    });
}

double overload_model::costSince(const dispatch_totals &before) const
{
    const auto &totals = leader->totals;
    const auto since = [&](std::uint64_t dispatch_totals::*count) {
        return static_cast<double>(totals.*count - before.*count);
    };
    return costs.pass * since(&dispatch_totals::passes)
        + costs.orderedStep * since(&dispatch_totals::orderedSteps)
        + costs.triedStep * since(&dispatch_totals::triedSteps)
        + costs.candidate
        * (since(&dispatch_totals::consideredCandidates) + since(&dispatch_totals::rankedTargets));
}

/** @return its cost, in microseconds of processor time */
double overload_model::takeTurn()
{
    double cost = costs.turn;
    recordTurn(shedding, now());
    const auto before = leader->totals;
    for (const auto &[costUs, action] : std::exchange(inbox, {})) {
        cost += costUs;
        action();
    }
    tickDispatch(*leader, now(), wallMs());
    cost += costSince(before);
    for (auto job = openJobs.begin(); job != openJobs.end();) {
        const auto found = state.jobs.find(*job);
        const bool hasEnded = found != state.jobs.end() && found->second.hasEnded();
        if (hasEnded && found->second.status == job_status::Completed) {
            completedAtUs[*job] = nowUs;
        }
        job = hasEnded ? openJobs.erase(job) : std::next(job);
    }
    return cost;
}

void overload_model::run()
{
    submitJobs();
    reportTargets();
    if (settings.newLeaderAt) {
        const auto endsAt = *settings.newLeaderAt - settings.withoutLeader;
        after(static_cast<double>(endsAt.count), [this] {
            leader.reset();
            ++term;
            inbox.clear();
        });
        after(static_cast<double>(settings.newLeaderAt->count), [this] { lead(); });
    }
    constexpr std::int64_t maxIdleUs = 10 * usPerMs; // the period of the leader's timer
    while (nowUs < settings.duration.count * usPerMs) {
        if (!leader) {
            const auto event = events.extract(events.begin());
            nowUs = event.key();
            event.mapped()();
            continue;
        }
        const auto turnEndsAt =
            nowUs + static_cast<std::int64_t>(takeTurn() / settings.processorShare);
        auto commands = std::exchange(leader->effects.commands, {});
        const auto orders = std::exchange(leader->effects.orders, {});
        const auto admissions = std::exchange(leader->effects.admissions, {});
        nowUs = turnEndsAt;
        if (!commands.empty()) {
            commit(std::move(commands));
        }
        for (const auto &order : orders) {
            carryOut(order);
        }
        for (const auto &call : admissions) {
            callPolicy(call);
        }
        // What happens during the turn is handled in the next one; an idle leader waits for it.
        const auto idleUntil = turnEndsAt + maxIdleUs;
        while (!events.empty()
               && (events.begin()->first <= turnEndsAt
                   || (inbox.empty() && events.begin()->first <= idleUntil))
               && leader) {
            const auto event = events.extract(events.begin());
            nowUs = event.key();
            event.mapped()();
        }
        if (leader) {
            nowUs = std::max(nowUs, inbox.empty() ? idleUntil : turnEndsAt);
        }
    }
}

overload_result overload_model::resultOf(milliseconds from, milliseconds until) const
{
    overload_result result;
    for (const auto &[id, submittedUs] : submittedAtUs) {
        if (submittedUs < from.count * usPerMs || submittedUs >= until.count * usPerMs) {
            continue;
        }
        ++result.submitted;
        result.refused += refusedJobs.contains(id) ? 1 : 0;
        const auto completed = completedAtUs.find(id);
        if (completed == completedAtUs.end()) {
            continue;
        }
        const auto tookMs = (completed->second - submittedUs) / usPerMs;
        result.inTime += tookMs <= objectiveMs ? 1 : 0;
        result.late += tookMs > objectiveMs && tookMs <= 3 * objectiveMs ? 1 : 0;
    }
    return result;
}

} // namespace filbert

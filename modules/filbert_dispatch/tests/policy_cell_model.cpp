#include "policy_cell_model.h"

#include "filbert_dispatch/placement_pass.h"

#include <algorithm>
#include <utility>

namespace filbert {

namespace {

constexpr std::int64_t helloPeriodMs = 300;
constexpr std::int64_t reportPeriodMs = 1'000;
constexpr std::int64_t ticketMs = 1'500;
constexpr int percent = 100;

bool fitsOn(const resource_amounts &need, const registered_target &target)
{
    return fits(need, amountsOf(target.registration.capacity()) - target.used);
}

} // namespace

policy_cell_model::policy_cell_model()
{
    messages::work_command command;
    auto *configuration = command.mutable_configure();
    *configuration = state.configuration;
    configuration->set_version(2);
    configuration->clear_queues();
    apply(command);
}

void policy_cell_model::addQueue(const std::string &name, int priority, double slackFactor,
                                 double decideMs, double perTargetMs)
{
    messages::work_command command;
    auto *configuration = command.mutable_configure();
    *configuration = state.configuration;
    configuration->set_version(configuration->version() + 1);
    auto *queue = configuration->add_queues();
    queue->set_name(name);
    queue->set_path_prefix("/" + name + "/");
    queue->set_service("orders");
    queue->set_priority(priority);
    queue->set_max_attempts(4);
    queue->set_slack_factor(slackFactor);
    queue->set_latency_objective_ms(1'000);
    if (decideMs > 0) {
        queue->mutable_admission()->set_decide_ms(decideMs);
        queue->mutable_admission()->set_per_target_ms(perTargetMs);
        queue->mutable_admission()->set_ticket_ms(ticketMs);
    }
    apply(command);
}

void policy_cell_model::addCallers(int count)
{
    for (int i = 0; i < count; ++i) {
        callerNames.push_back("caller-" + std::to_string(i));
    }
}

void policy_cell_model::addTargets(const std::string &prefix, int count, std::int32_t cores,
                                   std::int32_t accelerators)
{
    for (int i = 0; i < count; ++i) {
        targetIds.push_back(prefix + std::to_string(i));
        messages::work_command command;
        *command.mutable_target() = targetRegistration(targetIds.back(), 1, cores);
        command.mutable_target()->mutable_capacity()->set_accelerators(accelerators);
        apply(command);
    }
}

void policy_cell_model::submit(const std::string &id, const std::string &queue,
                               const std::vector<messages::step_spec> &steps)
{
    messages::work_command command;
    auto *job = command.mutable_accept();
    job->set_id(id);
    job->set_queue(queue);
    job->set_team("desk");
    job->set_accepted_wall_ms(wallMs);
    for (const auto &each : steps) {
        *job->add_steps() = each;
    }
    *job->mutable_taken_under() = *findQueue(state.configuration, queue);
    apply(command);
    submittedAt[id] = now;
    openJobs.insert(id);
    if (leader) {
        handleCommittedCommand(*leader, command, false, now);
    }
}

void policy_cell_model::lead()
{
    startLeading(++term);
    beginTurn();
}

void policy_cell_model::beginTurn()
{
    if (now.ms % helloPeriodMs == 0 || leader->callers.empty()) {
        for (const auto &name : callerNames) {
            registerCaller(*leader, name, 1, now);
        }
    }
    if (now.ms % reportPeriodMs == 0 || leader->leadingSince == now) {
        for (const auto &id : targetIds) {
            auto report = state.targets.at(id).registration;
            report.set_clock_ms(now.ms);
            report.set_sequence(now.ms);
            handleTargetReport(*leader, report, now);
        }
    }
}

void policy_cell_model::answerCall(const admission_call &call)
{
    messages::admission_answer answer;
    answer.set_id(call.request.id());
    answer.set_is_answered(true);
    for (const auto &target : call.request.targets()) {
        const auto hash = std::hash<std::string> {}(call.request.step().job() + target);
        if (static_cast<int>(hash % percent) < admittedPercent) {
            auto *ticket = answer.add_admitted();
            ticket->set_target(target);
            ticket->set_ticket("ticket");
        }
    }
    handleAdmissionAnswer(*leader, answer, now);
}

void policy_cell_model::takeCalls()
{
    for (auto &call : std::exchange(admissions, {})) {
        auto &caller = simulatedCallers[call.caller];
        if (caller.calls.size() > maxWaitingCalls) {
            ++counts.refusedCalls;
            messages::admission_answer answer;
            answer.set_id(call.request.id());
            handleAdmissionAnswer(*leader, answer, now);
            continue;
        }
        if (caller.calls.empty()) {
            caller.handledAt = now;
        }
        caller.calls.push_back(std::move(call));
        if (caller.calls.size() == 1) {
            const auto &request = caller.calls.front().request;
            const auto &job = state.jobs.at(request.step().job()).job;
            caller.handledAt = now
                + expectedAdmissionDuration(job.taken_under().admission(),
                                            static_cast<std::size_t>(request.targets_size()));
        }
    }
}

void policy_cell_model::handleCalls()
{
    for (auto &[name, caller] : simulatedCallers) {
        while (!caller.calls.empty() && caller.handledAt <= now) {
            answerCall(caller.calls.front());
            caller.calls.pop_front();
            if (!caller.calls.empty()) {
                const auto &request = caller.calls.front().request;
                const auto &job = state.jobs.at(request.step().job()).job;
                caller.handledAt = caller.handledAt
                    + expectedAdmissionDuration(job.taken_under().admission(),
                                                static_cast<std::size_t>(request.targets_size()));
            }
        }
    }
}

void policy_cell_model::start(const target_order &order)
{
    auto &target = simulatedTargets[order.target];
    const auto &spec = stepSpecOf(state.jobs.at(order.task.job), order.task.step);
    if (target.runs
            .emplace(order.task, simulated_run {order.run, now + milliseconds {spec.estimate_ms()}})
            .second) {
        ++counts.startedTasks;
        counts.startedSteps[state.jobs.at(order.task.job).job.queue()].insert(
            stepNameOf(order.task));
    }
    order_answer answer;
    answer.result = order_result::Done;
    answer.clockMs = now.ms;
    handleOrderAnswer(*leader, order, answer, now);
}

void policy_cell_model::stop(const target_order &order)
{
    auto &target = simulatedTargets[order.target];
    if (target.runs.erase(order.task) > 0) {
        target.ends.push_back(
            {++target.lastEnd, order.task, order.run, messages::END_STOPPED, "saved"});
    }
    order_answer answer;
    answer.result = order_result::Done;
    answer.clockMs = now.ms;
    handleOrderAnswer(*leader, order, answer, now);
}

void policy_cell_model::poll(const target_order &order)
{
    auto &target = simulatedTargets[order.target];
    std::erase_if(target.ends,
                  [&](const auto &each) { return each.number <= order.lastAppliedEnd; });
    target.heldPoll = order;
    target.pollEndsAt = now + order.pollWait;
}

void policy_cell_model::answerPoll(const std::string &id)
{
    auto &target = simulatedTargets[id];
    const auto order = std::exchange(target.heldPoll, std::nullopt);
    if (!order) {
        return;
    }
    order_answer answer;
    answer.result = order_result::Done;
    answer.clockMs = now.ms;
    answer.incarnation = 1;
    for (const auto &[task, run] : target.runs) {
        answer.runs.push_back({task, run.run, {}, static_cast<int>(now.ms / 100 % 100), 0});
    }
    answer.ends = target.ends;
    handleOrderAnswer(*leader, *order, answer, now);
}

void policy_cell_model::carryOut(const target_order &order)
{
    switch (order.kind) {
    case order_kind::Start:
        start(order);
        break;
    case order_kind::Stop:
        stop(order);
        break;
    case order_kind::Poll:
        poll(order);
        break;
    case order_kind::SetWorkRate: {
        order_answer answer;
        answer.result = order_result::Done;
        answer.clockMs = now.ms;
        handleOrderAnswer(*leader, order, answer, now);
        break;
    }
    }
}

void policy_cell_model::endDueRuns()
{
    for (auto &[id, target] : simulatedTargets) {
        for (auto run = target.runs.begin(); run != target.runs.end();) {
            if (run->second.endsAt > now) {
                ++run;
                continue;
            }
            target.ends.push_back(
                {++target.lastEnd, run->first, run->second.run, messages::END_DONE, {}});
            run = target.runs.erase(run);
        }
        if (target.heldPoll && (!target.ends.empty() || target.pollEndsAt <= now)) {
            answerPoll(id);
        }
    }
}

void policy_cell_model::noteEndedJobs()
{
    for (auto job = openJobs.begin(); job != openJobs.end();) {
        const auto &record = state.jobs.at(*job);
        if (record.status == job_status::Completed) {
            completedAt[*job] = now;
            if (submittedAt.at(*job) >= countedSince) {
                auto &longest = counts.longestDuration[record.job.queue()];
                longest = std::max(longest, now - submittedAt.at(*job));
            }
        }
        job = record.hasEnded() ? openJobs.erase(job) : std::next(job);
    }
}

bool policy_cell_model::hasCallableStep() const
{
    for (const auto &[id, view] : leader->jobs) {
        const auto &job = state.jobs.at(id);
        if (!job.job.taken_under().has_admission()) {
            continue;
        }
        for (const auto &[occurrence, step] : view.pendingSteps) {
            const auto found = leader->admissions.find({id, occurrence, step, 0});
            if (found != leader->admissions.end()
                && (found->second.pendingRequests > 0 || !found->second.tickets.empty())) {
                continue;
            }
            const auto need = targetReservation(stepSpecOf(job, step));
            for (const auto &[target, registered] : state.targets) {
                if (fitsOn(need, registered)) {
                    return true;
                }
            }
        }
    }
    return false;
}

void policy_cell_model::countTurn()
{
    ++counts.turns;
    counts.freeMilliCores += freeMilliCores();
    const auto idle = std::count_if(callerNames.begin(), callerNames.end(), [&](const auto &name) {
        return simulatedCallers[name].calls.empty();
    });
    counts.idleCallers += idle;
    counts.needlesslyIdleCallers += idle > 0 && hasCallableStep() ? idle : 0;
}

void policy_cell_model::run(milliseconds duration, const std::function<void()> &eachTurn)
{
    for (const auto end = now + duration; now < end;) {
        beginTurn();
        if (eachTurn) {
            eachTurn();
        }
        handleCalls();
        endDueRuns();
        tickOnce();
        takeCalls();
        for (const auto &order : std::exchange(orders, {})) {
            carryOut(order);
        }
        noteEndedJobs();
        countTurn();
        now = now + milliseconds {turnMs};
        wallMs += turnMs;
    }
}

std::size_t policy_cell_model::countWaitingSteps() const
{
    std::size_t count = 0;
    for (const auto &[id, view] : leader->jobs) {
        count += view.pendingSteps.size();
    }
    return count;
}

std::int64_t policy_cell_model::totalMilliCores() const
{
    std::int64_t total = 0;
    for (const auto &[id, target] : state.targets) {
        total += target.registration.capacity().milli_cores();
    }
    return total;
}

std::int64_t policy_cell_model::freeMilliCores() const
{
    auto free = totalMilliCores();
    for (const auto &[id, target] : state.targets) {
        free -= target.used.milliCores;
    }
    return free;
}

} // namespace filbert

#pragma once

#include "../../filbert_work/tests/work_fixture.h"
#include "filbert_dispatch/filbert_dispatch.h"

#include <optional>
#include <string>
#include <vector>

namespace filbert {

/** The dispatch of a leader over a state of staged jobs, in virtual time. The test plays the
    targets and the policy service. */
struct dispatch_fixture : work_fixture
{
    time_point now {100'000};
    std::int64_t wallMs = 1'700'000'000'000;
    std::optional<dispatch_state> leader;
    std::vector<target_order> orders; // sent and not answered yet
    std::vector<admission_call> admissions;
    std::uint64_t ends = 0;

    void startLeading(std::uint64_t term = 1)
    {
        leader = startDispatch(state, dispatch_settings {}, term, now, wallMs);
    }

    /** Delivers a report of a target. */
    void reportTarget(const std::string &id, std::int64_t incarnation = 1, bool isDraining = false)
    {
        auto report = targetRegistration(
            id, incarnation,
            state.targets.contains(id) ? state.targets.at(id).registration.capacity().milli_cores()
                                       : 8'000);
        if (state.targets.contains(id)) {
            const auto &registration = state.targets.at(id).registration;
            report.set_address(registration.address());
            report.set_failure_domain(registration.failure_domain());
        }
        report.set_clock_ms(now.ms);
        report.set_sequence(now.ms);
        report.set_is_draining(isDraining);
        handleTargetReport(*leader, report, now);
    }

    /** Accepts a job "j" of one task and places it on the only target, "t1". The start order is not
        answered. */
    void placeOneTask()
    {
        registerTarget("t1");
        accept("j", {step(1)});
        startLeading();
        reportTarget("t1");
        runFor({20});
    }

    /** Registers a target in a failure domain. */
    void registerTargetIn(const std::string &domain, const std::string &id,
                          std::int32_t cores = 8'000)
    {
        messages::work_command command;
        *command.mutable_target() = targetRegistration(id, 1, cores);
        command.mutable_target()->set_failure_domain(domain);
        apply(command);
        if (leader) {
            syncTarget(*leader, id, now);
        }
    }

    /** Commits an evacuation or its withdrawal. */
    void evacuate(const std::string &domain, bool isWithdrawn = false)
    {
        messages::work_command command;
        writeEvacuation({domain, isWithdrawn}, &command);
        const auto outcome = apply(command);
        if (leader) {
            handleCommittedCommand(*leader, command, outcome.error != error_kind::None, now);
        }
    }

    /** Lets time pass in steps of 10 ms, and commits whatever is proposed. */
    void runFor(milliseconds duration)
    {
        for (const auto end = now + duration; now < end; now = now + milliseconds {10}) {
            wallMs += 10;
            tickOnce();
        }
    }

    void tickOnce()
    {
        tickDispatch(*leader, now, wallMs);
        while (!leader->effects.commands.empty()) {
            for (const auto &command : std::exchange(leader->effects.commands, {})) {
                const auto outcome = applyCommand(state, command, wallMs);
                handleCommittedCommand(*leader, command, outcome.error != error_kind::None, now);
            }
        }
        for (auto &order : std::exchange(leader->effects.orders, {})) {
            if (mayStillSend(*leader, order, now)) {
                orders.push_back(std::move(order));
            }
        }
        for (auto &call : std::exchange(leader->effects.admissions, {})) {
            admissions.push_back(std::move(call));
        }
    }

    /** @return the pending orders of a kind, to one target or to all */
    std::vector<target_order> pendingOrders(order_kind kind, const std::string &target = {}) const
    {
        std::vector<target_order> found;
        for (const auto &order : orders) {
            if (order.kind == kind && (target.empty() || order.target == target)) {
                found.push_back(order);
            }
        }
        return found;
    }

    /** Answers all pending orders of a kind, to one target or to all. */
    void answerOrders(order_kind kind, order_result result, const std::string &target = {},
                      const order_answer &content = {})
    {
        for (const auto &order : pendingOrders(kind, target)) {
            auto answer = content;
            answer.result = result;
            if (result == order_result::Done) {
                answer.clockMs = now.ms;
            }
            handleOrderAnswer(*leader, order, answer, now);
        }
        std::erase_if(orders, [&](const auto &order) {
            return order.kind == kind && (target.empty() || order.target == target);
        });
    }

    /** Answers all orders to a target as if it carried them out, and lists its runs. */
    void executeOrders(const std::string &target)
    {
        answerOrders(order_kind::Start, order_result::Done, target);
        answerOrders(order_kind::Stop, order_result::Done, target);
        order_answer list;
        for (const auto &task : state.targets.at(target).runs) {
            reported_run run;
            run.task = task;
            run.run = findTask(state, task)->run;
            run.percentDone = static_cast<int>(now.ms / 100 % 100);
            list.runs.push_back(run);
        }
        answerOrders(order_kind::Poll, order_result::Done, target, list);
    }

    /** Lets time pass while some targets report themselves and carry out their orders. */
    void runTargets(milliseconds duration, const std::vector<std::string> &targets)
    {
        for (const auto end = now + duration; now < end;) {
            for (const auto &target : targets) {
                reportTarget(target, state.targets.at(target).registration.born());
            }
            runFor({100});
            for (const auto &target : targets) {
                executeOrders(target);
            }
        }
    }

    bool acceptsWorkAt(const std::string &target) const
    {
        return acceptsWork(*leader, leader->targets.at(target), state.targets.at(target), now);
    }

    task_status taskStatus(const task_name &task) const { return findTask(state, task)->status; }
    std::string targetOf(const task_name &task) const { return findTask(state, task)->target; }
};

} // namespace filbert

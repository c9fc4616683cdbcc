#pragma once

#include "../../filbert_work/tests/work_fixture.h"
#include "filbert_dispatch/filbert_dispatch.h"

#include <optional>
#include <string>
#include <vector>

namespace filbert {

/** A leader's dispatch over a state of staged jobs, in virtual time; targets are the test's. */
struct dispatch_fixture : work_fixture
{
    time_point now {100'000};
    std::int64_t wallMs = 1'700'000'000'000;
    std::optional<dispatch_state> leader;
    std::vector<target_order> orders; // that went out and were not answered
    std::vector<admission_call> admissions;
    std::uint64_t ends = 0;

    void lead(std::uint64_t term = 1)
    {
        leader = startDispatch(state, dispatch_settings {}, term, now, wallMs);
    }

    /** A report of a target that is alive. */
    void report(const std::string &id, std::int64_t born = 1, bool isDraining = false)
    {
        auto about = life(id, born,
                          state.targets.contains(id)
                              ? state.targets.at(id).registration.capacity().milli_cores()
                              : 8'000);
        if (state.targets.contains(id)) {
            about.set_address(state.targets.at(id).registration.address());
        }
        about.set_clock_ms(now.ms);
        about.set_sequence(now.ms);
        about.set_is_draining(isDraining);
        handleTargetReport(*leader, about, now);
    }

    /** A job "j" of one task, which is placed on the only target, "t1"; the start is not answered.
     */
    void placeOne()
    {
        target("t1");
        accept("j", {step(1)});
        lead();
        report("t1");
        run({20});
    }

    /** Lets time pass by small steps, and commits whatever is proposed. */
    void run(milliseconds span)
    {
        for (const auto end = now + span; now < end; now = now + milliseconds {10}) {
            wallMs += 10;
            stepOnce();
        }
    }

    void stepOnce()
    {
        tickDispatch(*leader, now, wallMs);
        while (!leader->effects.commands.empty()) {
            for (const auto &command : std::exchange(leader->effects.commands, {})) {
                const auto outcome = applyCommand(state, command, wallMs);
                handleCommittedCommand(*leader, command, outcome.error != error_kind::None, now);
            }
        }
        for (auto &order : std::exchange(leader->effects.orders, {})) {
            orders.push_back(std::move(order));
        }
        for (auto &call : std::exchange(leader->effects.admissions, {})) {
            admissions.push_back(std::move(call));
        }
    }

    /** @return the orders of a kind to a target that wait for an answer */
    std::vector<target_order> waiting(order_kind kind, const std::string &target = {}) const
    {
        std::vector<target_order> found;
        for (const auto &order : orders) {
            if (order.kind == kind && (target.empty() || order.target == target)) {
                found.push_back(order);
            }
        }
        return found;
    }

    /** Answers all waiting orders of a kind. */
    void answer(order_kind kind, order_result result, const std::string &target = {},
                const order_answer &content = {})
    {
        for (const auto &order : waiting(kind, target)) {
            auto what = content;
            what.result = result;
            if (result == order_result::Done) {
                what.clockMs = now.ms;
            }
            handleOrderAnswer(*leader, order, what, now);
        }
        std::erase_if(orders, [&](const auto &order) {
            return order.kind == kind && (target.empty() || order.target == target);
        });
    }

    /** A target that carries out what it is told: answers everything, lists what runs there. */
    void obey(const std::string &target)
    {
        answer(order_kind::Start, order_result::Done, target);
        answer(order_kind::Stop, order_result::Done, target);
        order_answer list;
        for (const auto &task : state.targets.at(target).runs) {
            reported_run run;
            run.task = task;
            run.run = findTask(state, task)->run;
            run.percentDone = static_cast<int>(now.ms / 100 % 100);
            list.runs.push_back(run);
        }
        answer(order_kind::Poll, order_result::Done, target, list);
    }

    /** Reports and obedience of some targets over a span. */
    void live(milliseconds span, const std::vector<std::string> &targets)
    {
        for (const auto end = now + span; now < end;) {
            for (const auto &target : targets) {
                report(target, state.targets.at(target).registration.born());
            }
            run({100});
            for (const auto &target : targets) {
                obey(target);
            }
        }
    }

    bool takesWorkAt(const std::string &target) const
    {
        return acceptsWork(*leader, leader->targets.at(target), state.targets.at(target), now);
    }

    task_status status(const task_name &task) const { return findTask(state, task)->status; }
    std::string targetOf(const task_name &task) const { return findTask(state, task)->target; }
};

} // namespace filbert

#include "policy_cell_model.h"

#include "filbert_dispatch/capacity_claims.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace filbert;

namespace {

/** Has one team submit jobs under a costly policy at a multiple of what the callers can serve, and
    jobs under a quick policy at a constant rate. */
struct burst_cell : policy_cell_model
{
    int costlyJobs = 0;
    int quickJobs = 0;

    explicit burst_cell(int callers = 16)
    {
        addQueue("quick", 0, 3, 12, 0.18);
        addQueue("costly", 1, 3, 560, 8);
        addQueue("batch", 2, 5, 560, 8);
        addCallers(callers);
        addTargets("plain-", 60, 16'000);
        addTargets("wide-", 20, 128'000, 8);
        lead();
    }

    static messages::step_spec taskStep(int count, std::int32_t cores, std::int64_t ms)
    {
        auto spec = step(count, cores);
        spec.set_estimate_ms(ms);
        return spec;
    }

    void submitCostly(int count)
    {
        for (int i = 0; i < count; ++i) {
            const auto id = "costly-" + std::to_string(costlyJobs++);
            submit(id, costlyJobs % 2 == 0 ? "costly" : "batch",
                   {taskStep(4 + costlyJobs % 6, 4'000, 1'500)});
        }
    }

    void submitQuick(int count)
    {
        for (int i = 0; i < count; ++i) {
            submit("quick-" + std::to_string(quickJobs++), "quick", {taskStep(2, 2'000, 500)});
        }
    }

    /** Lets one team submit a multiple of what the callers can serve. */
    void burst(milliseconds duration)
    {
        run(duration, [this] {
            submitUsual();
            if (now.ms % 100 == 0) {
                submitCostly(20);
            }
        });
    }

    /** Submits the usual load: a part of what callers and targets can serve. */
    void submitUsual()
    {
        if (now.ms % 100 == 0) {
            submitQuick(4);
            submitCostly(now.ms % 200 == 0 ? 1 : 0);
        }
    }
};

} // namespace

// Guards against work that waits behind policy calls while capacity and callers are idle: steps
// without tickets counted as steps without capacity, so that most steps neither tried nor asked,
// calls went to steps in the order of their age, and a third of the callers was kept free.
TEST_CASE("starts go on at the full rate while steps wait after a burst", "[dispatch]")
{
    burst_cell cell;
    cell.run({3'000}, [&] { cell.submitUsual(); });
    cell.burst({10'000});
    REQUIRE(cell.countWaitingSteps() > 500);
    SECTION("with the leader that saw the burst") { }
    SECTION("with a new leader, which has no tickets")
    {
        cell.lead();
        cell.run({2'000}, [&] { cell.submitUsual(); });
    }
    cell.resetCounts();
    cell.run({10'000}, [&] { cell.submitUsual(); });
    REQUIRE(cell.freeMilliCores() > cell.totalMilliCores() / 2);
    const auto callers = static_cast<double>(cell.callerNames.size());
    const auto turns = static_cast<double>(cell.counts.turns);
    CAPTURE(cell.countWaitingSteps(), cell.counts.startedTasks);
    CHECK(static_cast<double>(cell.counts.needlesslyIdleCallers) <= 0.05 * callers * turns);
    CHECK(cell.counts.refusedCalls == 0);
    // A call takes 720 ms at the most and serves one step.
    const auto fullRate = callers * 10'000 / 720;
    auto &started = cell.counts.startedSteps;
    CHECK(static_cast<double>(started["costly"].size() + started["batch"].size())
          >= 0.9 * fullRate);
    CHECK(started["quick"].size() > 390); // of 400
    // Quick calls stay quick: the slowest job takes twice the 500 ms of its tasks at the most.
    CHECK(cell.counts.longestDuration["quick"].count <= 1'000);
}

// Guards against quick work that waits behind slow calls where few processes can call the policy
// service, and against slow calls that are never made beside quick ones.
TEST_CASE("few callers serve quick and slow policies beside each other", "[dispatch]")
{
    const int callers = GENERATE(1, 2, 5);
    CAPTURE(callers);
    burst_cell cell {callers};
    cell.submitCostly(200);
    cell.run({1'000});
    cell.resetCounts();
    cell.run({10'000}, [&] {
        if (cell.now.ms % 250 == 0) {
            cell.submitQuick(1);
        }
    });
    auto &started = cell.counts.startedSteps;
    const auto slowSteps = started["costly"].size() + started["batch"].size();
    const auto fullRate = callers * 10'000 / 720;
    CAPTURE(slowSteps, fullRate, cell.counts.refusedCalls);
    CHECK(slowSteps * 2 >= static_cast<std::size_t>(fullRate));
    CHECK(started["quick"].size() >= 38); // of 40
    // Tasks take 500 ms. Where there are fewer callers than slow calls need to leave one free each
    // 100 ms, a quick call waits for one slow call of 720 ms at the most.
    CHECK(cell.counts.longestDuration["quick"].count <= (callers < 5 ? 1'400 : 1'000));
}

// Guards against calls whose tickets expire before the turn of their step has come.
TEST_CASE("in a full cell, a step whose turn is far off makes no call", "[dispatch]")
{
    burst_cell cell;
    constexpr int waitingJobs = 300;
    cell.addQueue("plain", 0, 3, 0, 0);
    cell.submit("filler", "plain",
                {burst_cell::taskStep(440, 8'000, 60'000)}); // all 3,520 cores of the cell
    cell.run({4'000});
    REQUIRE(cell.freeMilliCores() < 200'000);
    const auto callsOf = [&] {
        const auto &totals = cell.leader->totals;
        return totals.firstRequests + totals.furtherRequests + totals.renewals;
    };
    const auto before = callsOf();
    for (int i = 0; i < waitingJobs; ++i) {
        cell.submit("waiting-" + std::to_string(i), "batch",
                    {burst_cell::taskStep(1, 128'000, 1'000)});
    }
    cell.run({5'000});
    CHECK(callsOf() - before <= 30);
}

// Guards against a new leader that asks for all waiting steps at once: its first requests were a
// queue of seconds.
TEST_CASE("a new leader requests no more calls than its callers can take soon", "[dispatch]")
{
    burst_cell cell;
    cell.submitCostly(1'000);
    cell.run({500});
    cell.lead();
    std::size_t mostWaiting = 0;
    cell.run({1'500}, [&] {
        const auto &state = *cell.leader;
        mostWaiting = std::max(mostWaiting, state.pendingAdmissions.size() - callsUnderWay(state));
    });
    CHECK(mostWaiting <= 40); // 32, and two of each rank and speed
    cell.resetCounts();
    cell.run({1'000});
    auto &started = cell.counts.startedSteps;
    CHECK(started["costly"].size() + started["batch"].size() >= 15); // 22 a second in the long run
}

TEST_CASE("of equal rank, calls for steps beyond the share of their team are made last",
          "[dispatch]")
{
    policy_cell_model cell;
    cell.addQueue("batch", 1, 5, 560, 8);
    cell.addTargets("wide-", 1, 128'000);
    const std::vector<std::pair<std::string, call_order>> requests {
        {"late", {4, false, 0}}, {"beyond", {1, true, 1}}, {"within", {1, false, 2}}};
    for (const auto &[id, order] : requests) {
        cell.submit(id, "batch", {cell.step(1)});
    }
    cell.startLeading();
    for (const auto &[id, order] : requests) {
        requestAdmission(*cell.leader, {id, 0, 0, 0}, *findQueue(cell.state.configuration, "batch"),
                         order, call_purpose::First, {"wide-0"}, 20, cell.now);
    }
    for (int i = 0; i < 3; ++i) {
        registerCaller(*cell.leader, "caller-" + std::to_string(i), 1, cell.now);
        tickAdmissions(*cell.leader, cell.now);
    }
    const auto &calls = cell.leader->effects.admissions;
    REQUIRE(calls.size() == 3);
    CHECK(calls[0].request.step().job() == "within");
    CHECK(calls[1].request.step().job() == "beyond");
    CHECK(calls[2].request.step().job() == "late");
}

TEST_CASE("a step claims free capacity before what is released, and no more than is left",
          "[dispatch]")
{
    capacity_claims claims;
    claims.releasing[0] = {6'000, 0, 0};
    const resource_amounts need {2'000, 100, 0};
    const resource_amounts free {8'000, 0, 0};
    fitting_tasks fitting {3, 2, true, 0};
    auto tasks = claimableTasks(claims, need, 10, free, fitting, 1);
    CHECK(tasks.free == 3); // a fourth one would fit into the sum only
    CHECK(tasks.releasing == 3);
    claimCapacity(claims, need, tasks, fitting);
    tasks = claimableTasks(claims, need, 10, free, fitting, 1);
    CHECK(tasks.free == 0);
    CHECK(tasks.releasing == 0);
    CHECK(claimableTasks(claims, need, 10, free, fitting, 3).free == 3); // two more may try
}

TEST_CASE("what runs release is learned from their ends and forgotten within seconds", "[dispatch]")
{
    release_estimate estimate;
    for (int i = 0; i < 600; ++i) { // 10 cores each 100 ms
        addRelease(estimate, {10'000, 0, 1}, time_point {i * 100});
    }
    const auto released = expectedRelease(estimate, {1'000}, time_point {60'000});
    CHECK(released.milliCores > 90'000);
    CHECK(released.milliCores < 110'000);
    CHECK(expectedRelease(estimate, {1'000}, time_point {70'000}).milliCores < 1'000);
}

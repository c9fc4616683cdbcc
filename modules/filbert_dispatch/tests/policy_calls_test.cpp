#include "policy_cell_model.h"

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

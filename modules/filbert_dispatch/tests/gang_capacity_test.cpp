#include "policy_cell_model.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace filbert;

namespace {

/** Targets of 128 cores and 8 accelerators, with more small tasks of priority 2 than fit, and some
    gangs of priority 1. */
struct gang_cell : policy_cell_model
{
    static constexpr int targetCount = 24;
    static constexpr std::int64_t gangMs = 4'000;
    static constexpr std::int64_t smallMs = 6'000;

    std::vector<std::string> gangs;
    int smallJobs = 0;
    std::int64_t idleAcceleratorMs = 0; // while small tasks wait

    explicit gang_cell(bool hasPolicy)
    {
        addQueue("gangs", 1, 2, hasPolicy ? 560 : 0, 8);
        addQueue("small", 2, 8, hasPolicy ? 560 : 0, 8);
        addCallers(24);
        addTargets("wide-", targetCount, 128'000, 8);
        lead();
    }

    void submitGang()
    {
        const auto number = static_cast<int>(gangs.size());
        gangs.push_back("gang-" + std::to_string(number));
        auto gang = step(3 + number % 3, 62'000);
        gang.mutable_need()->set_accelerators(2 + number * 5 % 7); // 2 to 8
        gang.set_is_gang(true);
        gang.set_estimate_ms(gangMs);
        submit(gangs.back(), "gangs", {gang});
    }

    void submitSmall(bool checkpoints)
    {
        auto small = step(13 + smallJobs % 8, 11'000);
        small.mutable_need()->set_accelerators(1);
        small.set_estimate_ms(smallMs + smallJobs % 5 * 500);
        small.set_checkpoints(checkpoints);
        submit("small-" + std::to_string(smallJobs++), "small", {small});
    }

    /** Submits 0.7 of the accelerators' capacity in small tasks, and about 0.2 of it in gangs. */
    void submitLoad(bool checkpoints)
    {
        if (now.ms % 600 == 0) {
            submitSmall(checkpoints);
        }
        if (now.ms % 1'500 == 0) {
            submitGang();
        }
        for (const auto &[id, target] : state.targets) {
            idleAcceleratorMs += (8 - target.used.accelerators) * turnMs;
        }
    }

    int countGangsWithin(milliseconds objective, std::size_t from, std::size_t until) const
    {
        return static_cast<int>(
            std::count_if(gangs.begin() + static_cast<std::ptrdiff_t>(from),
                          gangs.begin() + static_cast<std::ptrdiff_t>(until), [&](const auto &id) {
                              const auto completed = completedAt.find(id);
                              return completed != completedAt.end()
                                  && completed->second - submittedAt.at(id) <= objective;
                          }));
    }
};

} // namespace

// Guards against gangs that never start: small tasks of lower priority took each accelerator that
// became free on the targets that a gang waited for.
TEST_CASE("gangs get their capacity beside many small tasks of lower priority", "[dispatch]")
{
    const bool hasPolicy = GENERATE(true, false);
    const bool checkpoints = GENERATE(true, false);
    CAPTURE(hasPolicy, checkpoints);
    gang_cell cell {hasPolicy};
    cell.run({4'000}, [&] {
        if (cell.now.ms % 200 == 0) {
            cell.submitSmall(checkpoints);
        }
    });
    cell.run({60'000}, [&] { cell.submitLoad(checkpoints); });
    const auto idle =
        static_cast<double>(cell.idleAcceleratorMs) / 60'000 / (8.0 * gang_cell::targetCount);
    cell.run({15'000}, [&] { cell.submitLoad(checkpoints); });
    const auto objective = milliseconds {gang_cell::gangMs * 2 + 1'000};
    const auto inTime = cell.countGangsWithin(objective, 0, 40);
    const auto done = cell.countGangsWithin({1'000'000}, 0, 40);
    CAPTURE(cell.countWaitingSteps(), cell.completedAt.size(), cell.smallJobs, done, idle);
    CHECK(inTime >= 34);
    CHECK(done >= 39);
    CHECK(idle < (hasPolicy ? 0.13 : 0.08)); // a call of the policy service takes 0.6 s
}

// Guards against capacity that is idle for a gang: work that ends before the gang can start, or
// that fits beside it, uses the targets that are reserved for it.
TEST_CASE("smaller work uses the targets that are reserved for a gang until it can start",
          "[dispatch]")
{
    policy_cell_model cell;
    cell.addQueue("gangs", 1, 2, 0, 0);
    cell.addQueue("small", 2, 8, 0, 0);
    cell.addTargets("wide-", 1, 128'000, 8);
    cell.lead();
    const auto smallStep = [&](int count, std::int64_t ms) {
        auto small = policy_cell_model::step(count, 11'000);
        small.mutable_need()->set_accelerators(1);
        small.set_estimate_ms(ms);
        return small;
    };
    const auto runningOf = [&](const std::string &job) {
        return findStep(cell.state, {job, 0, 0, 0})->runningTasks;
    };
    cell.submit("long", "small", {smallStep(4, 5'000)});
    cell.run({100});
    auto gang = policy_cell_model::step(1, 62'000);
    gang.mutable_need()->set_accelerators(6);
    gang.set_is_gang(true);
    gang.set_estimate_ms(2'000);
    cell.submit("gang", "gangs", {gang});
    cell.run({200});
    REQUIRE(cell.leader->gangReservations.size() == 1);
    const auto reservation = cell.leader->gangReservations.begin()->second;
    CHECK(reservation.maxIdleCoreMs > 0);
    cell.submit("short", "small", {smallStep(2, 2'000)}); // ends before the gang can start
    cell.submit("beside", "small", {smallStep(3, 9'000)}); // two of its tasks fit beside the gang
    cell.run({300});
    CHECK(runningOf("short") == 2);
    CHECK(runningOf("beside") == 2);
    CHECK(runningOf("gang") == 0);
    cell.run({5'000});
    CHECK(runningOf("gang") == 1);
    CHECK(cell.leader->gangReservations.empty());
}

// Guards against a reservation that outlasts its use: targets stayed idle for a gang that could
// not start.
TEST_CASE("the reservation of a gang ends when a run takes longer than estimated", "[dispatch]")
{
    policy_cell_model cell;
    cell.addQueue("gangs", 1, 2, 0, 0);
    cell.addQueue("small", 2, 8, 0, 0);
    cell.addTargets("wide-", 1, 128'000, 8);
    cell.lead();
    auto small = policy_cell_model::step(4, 11'000);
    small.mutable_need()->set_accelerators(1);
    small.set_estimate_ms(2'000);
    cell.submit("long", "small", {small});
    cell.run({100});
    for (auto &[task, run] : cell.simulatedTargets["wide-0"].runs) {
        run.endsAt = run.endsAt + milliseconds {60'000};
    }
    auto gang = policy_cell_model::step(1, 62'000);
    gang.mutable_need()->set_accelerators(8);
    gang.set_is_gang(true);
    gang.set_estimate_ms(1'000);
    cell.submit("gang", "gangs", {gang});
    cell.run({200});
    REQUIRE(cell.leader->gangReservations.size() == 1);
    cell.run({20'000});
    const auto heldMs = cell.leader->totals.gangIdleCoreMs / 128;
    CAPTURE(cell.leader->totals.gangReservations);
    CHECK(heldMs <= 1'500); // its own work of a second, and what is counted late
    auto other = policy_cell_model::step(4, 11'000);
    other.mutable_need()->set_accelerators(1);
    other.set_estimate_ms(9'000);
    cell.submit("other", "small", {other});
    cell.run({2'000});
    CHECK(findStep(cell.state, {"other", 0, 0, 0})->runningTasks == 4);
}

#include "dispatch_fixture.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

constexpr resource_amounts sixteenCores {16'000, 64'000, 0};

/** Three targets of eight cores; the test says which of them are cold. */
struct cold_cell : dispatch_fixture
{
    cold_cell()
    {
        for (const auto *id : {"t1", "t2", "t3"}) {
            registerTarget(id);
        }
        startLeading();
    }

    /** Delivers a report of a target that will be slow for some time. */
    void reportCold(const std::string &id, milliseconds left, std::int64_t incarnation = 1)
    {
        auto report = targetRegistration(id, incarnation);
        report.set_clock_ms(now.ms);
        report.set_sequence(now.ms);
        report.set_cold_ms(left.count);
        handleTargetReport(*leader, report, now);
    }

    void submit(const std::string &job, const messages::step_spec &spec)
    {
        accept(job, {spec});
        messages::work_command command;
        command.mutable_accept()->set_id(job);
        handleCommittedCommand(*leader, command, false, now);
    }

    int tasksOn(const std::string &target) const
    {
        return static_cast<int>(state.targets.at(target).runs.size());
    }
};

} // namespace

TEST_CASE("the usable part of a cold target grows until it is warm", "[cold]")
{
    cold_period cold;
    const time_point start {1'000};
    CHECK(usableFraction(cold, start) == 1.0);
    updateColdPeriod(cold, {8'000}, start);
    double last = 0;
    for (int ms = 0; ms < 8'000; ms += 500) {
        const auto fraction = usableFraction(cold, start + milliseconds {ms});
        CHECK(fraction > last);
        CHECK(fraction < 1.0);
        last = fraction;
    }
    CHECK(usableFraction(cold, start + milliseconds {8'000}) == 1.0);
    CHECK(coldTimeLeft(cold, start + milliseconds {9'000}).count == 0);
}

// Guards against a fraction that begins anew with each report.
TEST_CASE("later reports do not set the progress of a cold target back", "[cold]")
{
    cold_period cold;
    const time_point start {1'000};
    updateColdPeriod(cold, {8'000}, start);
    const auto later = start + milliseconds {4'000};
    const auto before = usableFraction(cold, later);
    updateColdPeriod(cold, {4'000}, later);
    CHECK(usableFraction(cold, later) == Approx(before));
    updateColdPeriod(cold, {0}, later);
    CHECK(usableFraction(cold, later) == 1.0);
    updateColdPeriod(cold, {2'000}, later + milliseconds {1'000}); // it became cold again
    CHECK(usableFraction(cold, later + milliseconds {1'000}) == Approx(0.25));
}

TEST_CASE("a cold target takes a part of its capacity, and one task in any case", "[cold]")
{
    const resource_amounts quarter {4'000, 100, 0};
    const resource_amounts whole {16'000, 100, 0};
    CHECK(isWithinColdLimit(sixteenCores, sixteenCores, quarter, 0.25));
    CHECK(isWithinColdLimit(sixteenCores, sixteenCores, whole, 0.25));
    CHECK_FALSE(isWithinColdLimit(sixteenCores, sixteenCores - quarter, quarter, 0.25));
    CHECK(isWithinColdLimit(sixteenCores, sixteenCores - quarter, quarter, 0.5));
    CHECK_FALSE(isWithinColdLimit(sixteenCores, sixteenCores - quarter, whole, 0.99));
}

TEST_CASE("a slow start costs more the larger the slow part, and most for urgent work", "[cold]")
{
    cold_task task;
    task.estimate = {10'000};
    CHECK(coldCost(task, {0}) == 0);
    CHECK(coldCost(task, {1'000}) < coldCost(task, {5'000}));
    CHECK(coldCost(task, {10'000}) == coldCost(task, {60'000}));
    auto urgent = task;
    urgent.isUrgent = true;
    CHECK(coldCost(urgent, {5'000}) > coldCost(task, {10'000}));
    task.isSlowStartHarmless = true;
    CHECK(coldCost(task, {5'000}) == 0);
}

TEST_CASE("a cold target takes less work than warm ones, and more as it warms up", "[cold]")
{
    cold_cell cell;
    cell.reportCold("t1", {8'000});
    cell.reportTarget("t2");
    cell.reportTarget("t3");
    cell.submit("j", cell.step(24, 1'000));
    cell.runFor({100});
    CHECK(cell.tasksOn("t1") == 2);
    CHECK(cell.tasksOn("t2") == 8);
    CHECK(cell.tasksOn("t3") == 8);
    int last = 2;
    for (int i = 0; i < 8; ++i) {
        cell.reportCold("t1", milliseconds {8'000 - i * 1'000});
        cell.reportTarget("t2");
        cell.reportTarget("t3");
        cell.runFor({500});
        cell.executeOrders("t1");
        cell.executeOrders("t2");
        cell.executeOrders("t3");
        cell.runFor({500});
        CHECK(cell.tasksOn("t1") >= last);
        last = cell.tasksOn("t1");
    }
    cell.reportTarget("t1");
    cell.runFor({200});
    CHECK(cell.tasksOn("t1") == 8);
}

TEST_CASE("work goes to warm targets first while they have capacity", "[cold]")
{
    cold_cell cell;
    auto spec = cell.step(4, 1'000);
    SECTION("urgent work") { }
    SECTION("work of a less urgent queue")
    {
        cell.state.configuration.mutable_queues(0)->set_priority(1);
    }
    cell.reportCold("t1", {8'000});
    cell.reportTarget("t2");
    cell.reportTarget("t3");
    cell.submit("j", spec);
    cell.runFor({100});
    CHECK(cell.tasksOn("t1") == 0);
    CHECK(cell.tasksOn("t2") + cell.tasksOn("t3") == 4);
}

// Guards against work that waits for a target to warm up although it would end sooner if it started
// there slowly.
TEST_CASE("work does not wait where most of the capacity is cold", "[cold]")
{
    cold_cell cell;
    cell.reportCold("t1", {8'000});
    cell.reportCold("t2", {8'000});
    cell.reportCold("t3", {8'000});
    cell.submit("j", cell.step(24, 1'000));
    cell.runFor({100});
    CHECK(cell.tasksOn("t1") + cell.tasksOn("t2") + cell.tasksOn("t3") == 24);
}

TEST_CASE("a task larger than the usable part of a cold target can start there", "[cold]")
{
    cold_cell cell;
    cell.reportCold("t1", {8'000});
    cell.reportTarget("t2");
    cell.reportTarget("t3");
    cell.submit("j", cell.step(3, 8'000));
    cell.runFor({100});
    CHECK(cell.tasksOn("t1") == 1);
}

// Guards against a target that restarted and counts as warm until its second report.
TEST_CASE("a target is cold from its registration on", "[cold]")
{
    cold_cell cell;
    for (const auto *id : {"t1", "t2", "t3"}) {
        cell.reportTarget(id);
    }
    cell.runFor({100});
    cell.now = cell.now + milliseconds {10};
    cell.reportCold("t1", {5'000}, 2);
    cell.runFor({20});
    const auto &target = cell.leader->targets.at("t1");
    REQUIRE(target.incarnation == 2);
    CHECK(coldTimeLeft(target.cold, cell.now).count > 4'900);
    CHECK(countColdTargets(*cell.leader, cell.now) == 1);
    CHECK(cell.leader->announcedColdPeriods.empty());
    CHECK(cell.state.targets.at("t1").registration.cold_ms() == 0); // not replicated
}

// Guards against tickets for cold targets only, since a request names a part of the targets.
TEST_CASE("a request for tickets names warm targets before cold ones", "[cold]")
{
    constexpr int targetsOfAKind = 15; // one request names 18 for a single task
    dispatch_fixture cell;
    auto *admission = cell.state.configuration.mutable_queues(0)->mutable_admission();
    admission->set_decide_ms(10);
    admission->set_ticket_ms(1'500);
    cell.startLeading();
    registerCaller(*cell.leader, "g1", 1, cell.now);
    for (int i = 0; i < targetsOfAKind; ++i) {
        for (const std::string kind : {"cold-", "warm-"}) {
            const auto id = kind + std::to_string(i);
            cell.registerTarget(id);
            syncTarget(*cell.leader, id, cell.now);
            auto report = work_fixture::targetRegistration(id, 1);
            report.set_clock_ms(cell.now.ms);
            report.set_sequence(1);
            report.set_cold_ms(kind == "cold-" ? 8'000 : 0);
            handleTargetReport(*cell.leader, report, cell.now);
        }
    }
    cell.accept("j", {cell.step(1, 1'000)});
    messages::work_command command;
    command.mutable_accept()->set_id("j");
    handleCommittedCommand(*cell.leader, command, false, cell.now);
    cell.runFor({20});
    REQUIRE(cell.admissions.size() == 1);
    int warm = 0;
    for (const auto &target : cell.admissions[0].request.targets()) {
        warm += target.starts_with("warm-") ? 1 : 0;
    }
    CHECK(cell.admissions[0].request.targets_size() > targetsOfAKind);
    CHECK(warm == targetsOfAKind);
}

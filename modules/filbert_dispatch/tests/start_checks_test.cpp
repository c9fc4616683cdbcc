#include "dispatch_fixture.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

constexpr int taskCount = 20;
constexpr std::size_t startsAtOnce = 4; // to one target

/** A job of many tasks on the only target, t1, which has not answered the first starts. */
struct packed_target : dispatch_fixture
{
    explicit packed_target(messages::step_spec spec = step(taskCount, 1'000))
    {
        registerTarget("t1", 1, taskCount * 1'000);
        accept("j", {std::move(spec)});
        startLeading();
        reportTarget("t1");
        runFor({20});
        REQUIRE(pendingOrders(order_kind::Start).size() == startsAtOnce);
        REQUIRE(countTasks(task_status::Running) == taskCount);
    }

    /** Has t1 report that it drains, and t2 that it takes work. */
    void drain()
    {
        registerTarget("t2", 1, taskCount * 1'000);
        syncTarget(*leader, "t2", now);
        now = now + milliseconds {10};
        reportTarget("t1", 1, true);
        reportTarget("t2");
    }

    int countTasks(task_status status) const
    {
        const auto &tasks = findStep(state, {"j", 0, 0, 0})->tasks;
        return static_cast<int>(std::count_if(
            tasks.begin(), tasks.end(), [&](const auto &task) { return task.status == status; }));
    }

    int countTasksOn(const std::string &target) const
    {
        return static_cast<int>(state.targets.at(target).runs.size());
    }
};

messages::step_spec gang()
{
    auto spec = work_fixture::step(taskCount, 1'000);
    spec.set_is_gang(true);
    return spec;
}

} // namespace

// Guards against starts that reach a target long after it began to drain: those that waited for a
// connection of the target were sent without another look at it.
TEST_CASE("starts that wait for their target go elsewhere when it drains", "[dispatch]")
{
    packed_target cell;
    cell.drain();
    cell.runFor({30});
    CHECK(cell.countTasksOn("t1") == startsAtOnce);
    cell.runFor({200});
    cell.answerOrders(order_kind::Poll, order_result::Done, "t2");
    cell.runFor({200});
    CHECK(cell.countTasksOn("t2") == taskCount - startsAtOnce);
    CHECK(cell.pendingOrders(order_kind::Stop).empty()); // none of these was ever sent
    cell.answerOrders(order_kind::Start, order_result::Done, "t1");
    cell.runFor({200});
    CHECK(cell.pendingOrders(order_kind::Start, "t1").empty());
    for (const auto &task : findStep(cell.state, {"j", 0, 0, 0})->tasks) {
        CHECK(task.failures == 0);
        CHECK(task.possibleCrashes == 0);
    }
}

// Guards against the second way to the same failure: attempts went on while the target drained.
TEST_CASE("a start without an answer is not sent again to a draining target but stopped",
          "[dispatch]")
{
    packed_target cell;
    cell.drain();
    cell.runFor({20});
    cell.answerOrders(order_kind::Start, order_result::Unanswered, "t1");
    cell.runFor({500});
    CHECK(cell.pendingOrders(order_kind::Start, "t1").empty());
    CHECK(cell.pendingOrders(order_kind::Stop, "t1").size() == startsAtOnce);
    CHECK(cell.countTasksOn("t1")
          == startsAtOnce); // they may run there until the stop is confirmed
}

TEST_CASE("a start is not sent if its target begins to drain while it is being committed",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1");
    cell.accept("j", {cell.step(1)});
    cell.startLeading();
    cell.reportTarget("t1");
    tickDispatch(*cell.leader, cell.now, cell.wallMs);
    REQUIRE(cell.leader->effects.commands.size() == 1);
    cell.now = cell.now + milliseconds {10};
    cell.reportTarget("t1", 1, true);
    cell.runFor({50});
    CHECK(cell.pendingOrders(order_kind::Start).empty());
    CHECK(cell.taskStatus({"j", 0, 0, 0}) == task_status::Waiting);
}

// Guards against members that wait in vain for one whose start was withdrawn.
TEST_CASE("a gang is withdrawn as a whole if a start of it may not be sent any more", "[dispatch]")
{
    packed_target cell {gang()};
    cell.drain();
    cell.runFor({30});
    CHECK(cell.countTasksOn("t1") == startsAtOnce);
    cell.answerOrders(order_kind::Start, order_result::Done, "t1");
    cell.runFor({20});
    CHECK(cell.pendingOrders(order_kind::Stop, "t1").size() == startsAtOnce);
}

TEST_CASE("starts that were never sent do not wait for a target that signs off, fails or is silent",
          "[dispatch]")
{
    packed_target cell;
    SECTION("it signs off")
    {
        handleTargetLeaving(*cell.leader, "t1", cell.now);
        cell.leader->changedTargets.insert("t1");
    }
    SECTION("it is in quarantine")
    {
        cell.leader->targets.at("t1").quarantinedUntil = cell.now + milliseconds {3'000};
        cell.leader->changedTargets.insert("t1");
    }
    SECTION("it is silent")
    {
        cell.runFor({4'400}); // its lease has not expired yet
    }
    cell.runFor({50});
    CHECK(cell.countTasksOn("t1") <= static_cast<int>(startsAtOnce));
    CHECK(cell.pendingOrders(order_kind::Stop).size() <= startsAtOnce);
}

TEST_CASE("a start whose ticket has expired while it waited is not sent", "[dispatch]")
{
    packed_target cell;
    for (auto &[task, run] : cell.leader->targets.at("t1").runs) {
        run.ticketExpiresAt = cell.now + milliseconds {100};
    }
    cell.runFor({1'200});
    const auto &tasks = findStep(cell.state, {"j", 0, 0, 0})->tasks;
    const auto placedAgain =
        std::count_if(tasks.begin(), tasks.end(), [](const auto &task) { return task.run == 2; });
    CHECK(placedAgain == taskCount - static_cast<int>(startsAtOnce));
}

// Guards against a stop, and the wait for its confirmation, for a run that cannot exist.
TEST_CASE("the starts of a cancelled job that were never sent need no stop", "[dispatch]")
{
    packed_target cell;
    messages::work_command cancel;
    cancel.set_cancel("j");
    cell.apply(cancel);
    handleCommittedCommand(*cell.leader, cancel, false, cell.now);
    cell.runFor({50});
    CHECK(cell.countTasksOn("t1") == startsAtOnce);
    cell.answerOrders(order_kind::Start, order_result::Done);
    cell.runFor({20});
    CHECK(cell.pendingOrders(order_kind::Stop).size() == startsAtOnce);
    CHECK(cell.pendingOrders(order_kind::Start).empty());
}

TEST_CASE("a run that was listed while its start was under way is stopped, not given up",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOneTask();
    const auto start = cell.pendingOrders(order_kind::Start).front();
    order_answer list;
    list.runs.push_back({start.task, start.run, {}, 10, 0});
    cell.answerOrders(order_kind::Poll, order_result::Done, "t1", list);
    requestStop(*cell.leader, start.task, "a test", cell.now);
    cell.runFor({10});
    cell.answerOrders(order_kind::Start, order_result::Unreachable);
    cell.runFor({20});
    CHECK(cell.pendingOrders(order_kind::Stop).size() == 1);
    CHECK(cell.taskStatus(start.task) == task_status::Running);
}

TEST_CASE("a new leader sends no starts of its predecessor to a draining target", "[dispatch]")
{
    packed_target cell;
    cell.drain();
    cell.runFor({10});
    cell.orders.clear();
    cell.startLeading(2);
    cell.runFor({300});
    cell.answerOrders(order_kind::Poll, order_result::Done);
    cell.runFor({300});
    CHECK(cell.pendingOrders(order_kind::Start, "t1").empty());
}

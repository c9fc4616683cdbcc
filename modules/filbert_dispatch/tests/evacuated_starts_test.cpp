#include "dispatch_fixture.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

constexpr int taskCount = 20;
constexpr std::size_t startsAtOnce = 4; // to one target
const task_name firstTask {"j", 0, 0, 0};

/** A job of many tasks on t1 in d1, which has not answered the first starts; t2 is in d2. */
struct evacuation_cell : dispatch_fixture
{
    explicit evacuation_cell(messages::step_spec spec = step(taskCount, 1'000))
    {
        registerTargetIn("d1", "t1", taskCount * 1'000);
        accept("j", {std::move(spec)});
        startLeading();
        reportTarget("t1");
        runFor({20});
        REQUIRE(pendingOrders(order_kind::Start).size() == startsAtOnce);
        registerTargetIn("d2", "t2", taskCount * 1'000);
        now = now + milliseconds {10};
        reportTarget("t1");
        reportTarget("t2");
    }

    int countTasksOn(const std::string &target) const
    {
        return static_cast<int>(state.targets.at(target).runs.size());
    }
};

/** A cell of one target in each of the failure domains d1 and d2, where nothing runs. */
struct idle_cell : dispatch_fixture
{
    idle_cell()
    {
        registerTargetIn("d1", "t1");
        registerTargetIn("d2", "t2");
        startLeading();
        reportTarget("t1");
        reportTarget("t2");
    }

    void submit(const std::string &job, const messages::step_spec &spec)
    {
        accept(job, {spec});
        messages::work_command command;
        command.mutable_accept()->set_id(job);
        handleCommittedCommand(*leader, command, false, now);
    }

    void submit(int tasks) { submit("j", step(tasks, 1'000)); }
};

messages::step_spec gang()
{
    auto spec = work_fixture::step(taskCount, 1'000);
    spec.set_is_gang(true);
    return spec;
}

} // namespace

TEST_CASE("waiting tasks are placed outside evacuated failure domains only", "[evacuation]")
{
    idle_cell cell;
    cell.evacuate("d1");
    CHECK_FALSE(cell.acceptsWorkAt("t1"));
    cell.submit(12); // t2 has room for eight
    cell.runTargets({1'000}, {"t1", "t2"});
    CHECK(cell.state.targets.at("t1").runs.empty());
    CHECK(cell.state.targets.at("t2").runs.size() == 8);
    cell.evacuate("d1", true);
    cell.runTargets({500}, {"t1", "t2"});
    CHECK(cell.state.targets.at("t1").runs.size() == 4);
}

TEST_CASE("with all failure domains evacuated everything waits until one is withdrawn",
          "[evacuation]")
{
    idle_cell cell;
    cell.evacuate("d1");
    cell.evacuate("d2");
    cell.submit(4);
    cell.runTargets({5'000}, {"t1", "t2"});
    CHECK(cell.leader->totals.starts == 0);
    cell.evacuate("d2", true);
    cell.runTargets({500}, {"t1", "t2"});
    CHECK(cell.state.targets.at("t1").runs.empty());
    CHECK(cell.state.targets.at("t2").runs.size() == 4);
}

TEST_CASE("a target that registers in an evacuated failure domain gets no work", "[evacuation]")
{
    idle_cell cell;
    cell.evacuate("d1");
    cell.evacuate("d2");
    cell.registerTargetIn("d1", "t3");
    cell.reportTarget("t3");
    cell.submit(4);
    cell.runTargets({1'000}, {"t1", "t2", "t3"});
    CHECK(cell.leader->totals.starts == 0);
}

// Guards against starts that waited for a connection of the target and were sent without another
// look at its failure domain.
TEST_CASE("starts that wait for their target go elsewhere when it is evacuated", "[evacuation]")
{
    evacuation_cell cell;
    cell.evacuate("d1");
    cell.runFor({30});
    CHECK(cell.countTasksOn("t1") == startsAtOnce);
    cell.runFor({200});
    cell.answerOrders(order_kind::Poll, order_result::Done, "t2");
    cell.runFor({200});
    CHECK(cell.countTasksOn("t2") == taskCount - static_cast<int>(startsAtOnce));
    CHECK(cell.pendingOrders(order_kind::Stop).empty()); // none of these was ever sent
    cell.answerOrders(order_kind::Start, order_result::Done, "t1");
    cell.runFor({200});
    CHECK(cell.pendingOrders(order_kind::Start, "t1").empty());
    CHECK(cell.pendingOrders(order_kind::Stop).empty()); // those that have begun go on
}

// Guards against attempts that go on after the evacuation.
TEST_CASE("a start without an answer is not sent again to an evacuated target but stopped",
          "[evacuation]")
{
    evacuation_cell cell;
    cell.evacuate("d1");
    cell.runFor({20});
    cell.answerOrders(order_kind::Start, order_result::Unanswered, "t1");
    cell.runFor({500});
    CHECK(cell.pendingOrders(order_kind::Start, "t1").empty());
    CHECK(cell.pendingOrders(order_kind::Stop, "t1").size() == startsAtOnce);
    CHECK(cell.countTasksOn("t1") == static_cast<int>(startsAtOnce)); // until the stop is confirmed
}

TEST_CASE("a gang is withdrawn as a whole if a start of it waits in an evacuated failure domain",
          "[evacuation]")
{
    evacuation_cell cell {gang()};
    cell.evacuate("d1");
    cell.runFor({30});
    CHECK(cell.countTasksOn("t1") == static_cast<int>(startsAtOnce));
    cell.answerOrders(order_kind::Start, order_result::Done, "t1");
    cell.runFor({20});
    CHECK(cell.pendingOrders(order_kind::Stop, "t1").size() == startsAtOnce);
}

// Guards against starts that were decided before the evacuation and reach the log after it.
TEST_CASE("a start that is proposed when the evacuation is committed takes place elsewhere",
          "[evacuation]")
{
    dispatch_fixture cell;
    cell.registerTargetIn("d1", "t1");
    cell.accept("j", {cell.step(1)});
    cell.startLeading();
    cell.reportTarget("t1");
    tickDispatch(*cell.leader, cell.now, cell.wallMs);
    REQUIRE(cell.leader->effects.commands.size() == 1);
    cell.evacuate("d1");
    cell.registerTargetIn("d2", "t2");
    cell.now = cell.now + milliseconds {10};
    cell.reportTarget("t2");
    cell.runFor({300});
    CHECK(cell.pendingOrders(order_kind::Start, "t1").empty());
    CHECK(cell.pendingOrders(order_kind::Start, "t2").size() == 1);
    CHECK(cell.leader->targets.at("t1").reservedResources.milliCores == 0);
}

// Guards against starts that waited for the leader's lease or for a relay.
TEST_CASE("a start that waits to be sent is withdrawn when its failure domain is evacuated",
          "[evacuation]")
{
    evacuation_cell cell;
    const auto waiting = cell.pendingOrders(order_kind::Start, "t1");
    REQUIRE_FALSE(waiting.empty());
    CHECK(mayStillSend(*cell.leader, waiting.front(), cell.now));
    cell.evacuate("d1");
    CHECK_FALSE(mayStillSend(*cell.leader, waiting.front(), cell.now));
}

TEST_CASE("a new leader sends no starts of its predecessor to an evacuated target", "[evacuation]")
{
    evacuation_cell cell;
    cell.evacuate("d1");
    cell.runFor({10});
    cell.orders.clear();
    cell.startLeading(2);
    cell.runFor({300});
    cell.answerOrders(order_kind::Poll, order_result::Done);
    cell.runFor({300});
    CHECK(cell.pendingOrders(order_kind::Start, "t1").empty());
}

// Guards against treating an evacuation like a drain, which stops long-running tasks.
TEST_CASE("long-running tasks and gangs go on in an evacuated failure domain", "[evacuation]")
{
    idle_cell cell;
    auto spec = work_fixture::step(2, 1'000);
    SECTION("long-running")
    {
        spec.set_lasts(true);
    }
    SECTION("gang")
    {
        spec.set_is_gang(true);
    }
    cell.submit("j", spec);
    cell.runTargets({500}, {"t1", "t2"});
    cell.evacuate("d1");
    cell.evacuate("d2");
    cell.runTargets({3'000}, {"t1", "t2"});
    CHECK(cell.leader->totals.stops == 0);
    for (const auto &task : findStep(cell.state, firstTask)->tasks) {
        CHECK(task.status == task_status::Running);
        CHECK(task.run == 1);
    }
}

TEST_CASE("a task that fails in an evacuated failure domain starts again elsewhere", "[evacuation]")
{
    dispatch_fixture cell;
    cell.registerTargetIn("d1", "t1");
    cell.accept("j", {cell.step(1)});
    cell.startLeading();
    cell.reportTarget("t1");
    cell.runTargets({300}, {"t1"});
    REQUIRE(cell.targetOf(firstTask) == "t1");
    cell.evacuate("d1");
    cell.registerTargetIn("d2", "t2");
    const auto failed = work_fixture::endCommand(firstTask, 1, "t1", messages::END_FAILED);
    cell.apply(failed);
    handleCommittedCommand(*cell.leader, failed, false, cell.now);
    cell.runTargets({500}, {"t1", "t2"});
    CHECK(cell.targetOf(firstTask) == "t2");
}

// Guards against starts that a drain and an evacuation at the same target withdraw twice.
TEST_CASE("a target can drain in an evacuated failure domain", "[evacuation]")
{
    evacuation_cell cell;
    cell.evacuate("d1");
    cell.now = cell.now + milliseconds {10};
    cell.reportTarget("t1", 1, true);
    cell.runFor({300});
    CHECK(cell.countTasksOn("t1") == static_cast<int>(startsAtOnce));
    cell.evacuate("d1", true);
    CHECK_FALSE(cell.acceptsWorkAt("t1")); // it still drains
    cell.runFor({300});
    CHECK(cell.countTasksOn("t1") == static_cast<int>(startsAtOnce));
}

TEST_CASE("a request for tickets names no target of an evacuated failure domain", "[evacuation]")
{
    dispatch_fixture cell;
    auto configuration = cell.state.configuration;
    configuration.set_version(2);
    auto *admission = configuration.mutable_queues(0)->mutable_admission();
    admission->set_decide_ms(10);
    admission->set_ticket_ms(1'500);
    messages::work_command command;
    *command.mutable_configure() = configuration;
    cell.apply(command);
    cell.registerTargetIn("d1", "t1");
    cell.registerTargetIn("d2", "t2");
    cell.evacuate("d1");
    cell.accept("j", {cell.step(4)});
    cell.startLeading();
    registerCaller(*cell.leader, "g1", 1, cell.now);
    cell.reportTarget("t1");
    cell.reportTarget("t2");
    cell.runFor({200});
    REQUIRE_FALSE(cell.admissions.empty());
    for (const auto &call : cell.admissions) {
        for (const auto &target : call.request.targets()) {
            CHECK(target == "t2");
        }
    }
}

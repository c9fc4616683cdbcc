#include "dispatch_fixture.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

const task_name first {"j", 0, 0, 0};

} // namespace

TEST_CASE("a committed start is ordered with a lease on the target's clock", "[dispatch]")
{
    dispatch_fixture cell;
    cell.target("t1");
    cell.lead(7);
    cell.report("t1");
    cell.accept("j", {cell.step(1)});
    cell.lead(7);
    cell.report("t1");
    cell.run({50});
    const auto starts = cell.waiting(order_kind::Start);
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].task == first);
    CHECK(starts[0].run == 1);
    CHECK(starts[0].fencingToken == 7);
    CHECK(starts[0].leaseExpiresAt > cell.now.ms);
    CHECK(starts[0].leaseExpiresAt <= cell.now.ms + cell.leader->settings.maxTargetLease.count);
}

TEST_CASE("a new leader does not end leases that the one before has given", "[dispatch]")
{
    dispatch_fixture cell;
    cell.target("t1");
    cell.target("t2");
    cell.accept("j", {cell.step(1)});
    cell.start(first, 1, "t1");
    cell.lead(2);
    cell.report("t1");
    cell.run({4'000}); // nothing is answered
    CHECK(cell.status(first) == task_status::Running);
    cell.run({2'500});
    CHECK(cell.status(first) == task_status::Waiting);
}

TEST_CASE("a clock reading that was long on its way does not shorten a lease of the term before",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.target("t1");
    cell.target("t2");
    cell.accept("j", {cell.step(1)});
    cell.start(first, 1, "t1");
    cell.lead(2);
    const auto tookOffice = cell.now;
    auto stale = work_fixture::life("t1", 1);
    stale.set_sequence(1);
    stale.set_clock_ms(cell.now.ms - 2'000);
    handleTargetReport(*cell.leader, stale, cell.now);
    cell.run({1'000});
    cell.report("t1");
    const auto mayEnd = tookOffice + cell.leader->settings.targetLease;
    while (cell.status(first) == task_status::Running
           && cell.now < tookOffice + milliseconds {12'000}) {
        cell.report("t2");
        cell.run({50});
    }
    CHECK(cell.status(first) != task_status::Done);
    CHECK(findTask(cell.state, first)->target != "t1");
    CHECK(cell.now > mayEnd);
}

TEST_CASE("what ran on a silent target starts elsewhere once its lease is surely over",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.target("t1");
    cell.target("t2");
    cell.accept("j", {cell.step(1)});
    cell.lead();
    cell.report("t1");
    cell.run({20});
    cell.live({3'000}, {"t1"});
    REQUIRE(cell.targetOf(first) == "t1");
    cell.live({3'000}, {"t2"});
    CHECK(cell.targetOf(first) == "t1"); // its lease may still hold
    cell.live({4'500}, {"t2"});
    CHECK(cell.targetOf(first) == "t2");
    CHECK(findTask(cell.state, first)->run == 2);
}

TEST_CASE("a start without an answer is repeated, then made void before it goes elsewhere",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOne();
    int tries = 0;
    while (cell.waiting(order_kind::Stop).empty() && tries < 20) {
        tries += static_cast<int>(cell.waiting(order_kind::Start).size());
        cell.answer(order_kind::Start, order_result::Unanswered);
        cell.run({200});
    }
    CHECK(tries >= 3);
    CHECK(cell.status(first) == task_status::Running);
    cell.answer(order_kind::Poll, order_result::Done); // sent before the stop: proves nothing
    cell.run({20});
    cell.answer(order_kind::Stop, order_result::Done);
    cell.run({20});
    cell.answer(order_kind::Poll, order_result::Done);
    cell.run({300});
    cell.answer(order_kind::Poll, order_result::Done);
    cell.run({20});
    CHECK(findTask(cell.state, first)->run >= 1);
    CHECK((cell.status(first) == task_status::Waiting || findTask(cell.state, first)->run == 2));
}

TEST_CASE("a start that never left its host is given up without a stop", "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOne();
    for (int i = 0; i < 20 && cell.status(first) == task_status::Running; ++i) {
        cell.answer(order_kind::Start, order_result::Unreachable);
        cell.run({200});
    }
    CHECK(cell.status(first) == task_status::Waiting);
    CHECK(cell.waiting(order_kind::Stop).empty());
}

TEST_CASE("a target that does not answer gets no new work until it does", "[dispatch]")
{
    dispatch_fixture cell;
    cell.target("t1");
    cell.lead();
    cell.report("t1");
    cell.run({20});
    cell.answer(order_kind::Poll, order_result::Unreachable);
    CHECK_FALSE(cell.takesWorkAt("t1"));
    cell.run({400});
    cell.answer(order_kind::Poll, order_result::Done);
    CHECK(cell.takesWorkAt("t1"));
}

TEST_CASE("an end is taken into the log before the target may forget it", "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOne();
    cell.obey("t1");
    cell.run({20});
    order_answer list;
    list.ends.push_back({4, first, 1, messages::END_DONE, ""});
    cell.answer(order_kind::Poll, order_result::Done, "t1", list);
    CHECK(cell.waiting(order_kind::Poll).empty());
    cell.run({20});
    CHECK(cell.statusOf("j") == job_status::Completed);
    const auto looks = cell.waiting(order_kind::Poll);
    REQUIRE(looks.size() == 1);
    CHECK(looks[0].lastAppliedEnd == 4);
}

TEST_CASE("ends are acknowledged only to the life that has listed them", "[dispatch]")
{
    dispatch_fixture cell;
    cell.target("t1");
    cell.accept("j", {cell.step(2)});
    cell.lead();
    cell.report("t1");
    cell.run({20});
    cell.answer(order_kind::Start, order_result::Done);
    cell.run({20});
    order_answer list;
    list.ends.push_back({7, first, 1, messages::END_DONE, {}});
    list.runs.push_back({{"j", 0, 0, 1}, 1, {}, 50, 0});
    cell.answer(order_kind::Poll, order_result::Done, "t1", list);
    cell.run({20});
    auto looks = cell.waiting(order_kind::Poll, "t1");
    REQUIRE(looks.size() == 1);
    CHECK(looks[0].lastAppliedEnd == 7);
    cell.answer(order_kind::Poll, order_result::Unanswered); // its process may have ended
    cell.run({300});
    looks = cell.waiting(order_kind::Poll, "t1");
    REQUIRE(looks.size() == 1);
    CHECK(looks[0].lastAppliedEnd == 0); // another life has ends of its own under these numbers
    list.ends.clear();
    cell.answer(order_kind::Poll, order_result::Done, "t1", list);
    cell.run({20});
    looks = cell.waiting(order_kind::Poll, "t1");
    REQUIRE(looks.size() == 1);
    CHECK(looks[0].lastAppliedEnd == 7);
}

TEST_CASE("runs of a cancelled job are stopped, and strays too", "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOne();
    cell.obey("t1");
    messages::work_command cancel;
    cancel.set_cancel("j");
    cell.apply(cancel);
    handleCommittedCommand(*cell.leader, cancel, false, cell.now);
    cell.run({20});
    REQUIRE(cell.waiting(order_kind::Stop).size() == 1);
    cell.answer(order_kind::Stop, order_result::Done);
    order_answer list;
    reported_run stray;
    stray.task = {"other", 0, 0, 0};
    stray.run = 3;
    list.runs.push_back(stray);
    cell.answer(order_kind::Poll, order_result::Done, "t1", list);
    cell.run({300});
    const auto stops = cell.waiting(order_kind::Stop);
    REQUIRE(!stops.empty());
    CHECK(stops[0].task.job == "other");
}

TEST_CASE("runs of a life before are stopped in the new one, then start again", "[dispatch]")
{
    dispatch_fixture cell;
    cell.target("t1", 1);
    cell.accept("j", {cell.step(1)});
    cell.lead();
    cell.report("t1", 1);
    cell.run({20});
    REQUIRE(cell.targetOf(first) == "t1");
    cell.orders.clear(); // whatever was sent may come to the new life
    cell.report("t1", 2);
    cell.run({30});
    const auto stops = cell.waiting(order_kind::Stop, "t1");
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].incarnation == 2);
    CHECK(cell.status(first) == task_status::Running);
    cell.answer(order_kind::Stop, order_result::Done);
    cell.report("t1", 2);
    cell.run({30});
    CHECK(findTask(cell.state, first)->run == 1); // it may be there, and take a while to stop
    cell.answer(order_kind::Poll, order_result::Done, "t1");
    cell.run({200});
    cell.answer(order_kind::Poll, order_result::Done, "t1"); // sent after the stop's answer
    cell.run({30});
    CHECK(findTask(cell.state, first)->run == 2);
    CHECK(findTask(cell.state, first)->incarnation == 2);
}

TEST_CASE("a lease of the life before is not taken for ended by the clock of the new one",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.target("t1", 1);
    cell.accept("j", {cell.step(1)});
    cell.lead();
    cell.live({8'000}, {"t1"}); // the leader is old enough to know all leases
    REQUIRE(cell.targetOf(first) == "t1");
    cell.orders.clear(); // starts and looks of now may be carried out by the new life
    cell.report("t1", 2);
    cell.run({100});
    CHECK(findTask(cell.state, first)->run == 1);
    CHECK(cell.waiting(order_kind::Stop, "t1").size() == 1);
    cell.run({10'000}); // it is silent: an order may still be carried out, with a lease of 6 s
    CHECK(findTask(cell.state, first)->run == 1);
    CHECK(cell.status(first) == task_status::Running);
    cell.run({9'000});
    CHECK(cell.status(first) == task_status::Waiting);
}

TEST_CASE("a report that was overtaken says nothing about the clock", "[dispatch]")
{
    dispatch_fixture cell;
    cell.target("t1");
    cell.lead();
    cell.report("t1");
    auto late = work_fixture::life("t1", 1);
    late.set_sequence(3);
    late.set_clock_ms(5);
    CHECK_FALSE(handleTargetReport(*cell.leader, late, cell.now));
    CHECK(cell.leader->targets.at("t1").clockMs == cell.now.ms);
}

TEST_CASE("a leaving target gets no work, and what lasts moves away from it", "[dispatch]")
{
    dispatch_fixture cell;
    cell.target("t1");
    auto spec = cell.step(1);
    spec.set_lasts(true);
    cell.accept("j", {spec});
    cell.lead();
    cell.report("t1");
    cell.run({20});
    cell.obey("t1");
    cell.target("t2");
    cell.lead();
    cell.report("t1");
    cell.report("t2");
    cell.run({10});
    cell.obey("t1");
    cell.now = cell.now + milliseconds {10};
    cell.report("t1", 1, true);
    cell.run({30});
    CHECK_FALSE(cell.takesWorkAt("t1"));
    CHECK(cell.waiting(order_kind::Stop, "t1").size() == 1);
}

TEST_CASE(
    "after its good-bye a target's runs are over once its lease has ended, which is not renewed",
    "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOne();
    handleTargetLeaving(*cell.leader, "t1", cell.now);
    const auto lease = cell.leader->settings.targetLease;
    for (const auto end = cell.now + lease; cell.now < end;) {
        cell.obey("t1"); // its good-bye was not acknowledged: it runs on
        for (const auto &order : cell.waiting(order_kind::Poll)) {
            CHECK(order.leaseExpiresAt == 0);
        }
        cell.run({100});
        CHECK(cell.status(first) == task_status::Running);
    }
    cell.run({600});
    CHECK(cell.status(first) == task_status::Waiting);
    CHECK(cell.state.targets.at("t1").hasEnded);
}

TEST_CASE("a task that makes no progress is stopped and its target is avoided", "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOne();
    for (int i = 0; i < 35 && cell.waiting(order_kind::Stop).empty(); ++i) {
        cell.report("t1");
        cell.answer(order_kind::Start, order_result::Done);
        order_answer list;
        reported_run run;
        run.task = first;
        run.run = 1;
        run.percentDone = 12;
        list.runs.push_back(run);
        cell.answer(order_kind::Poll, order_result::Done, "t1", list);
        cell.run({100});
    }
    CHECK(cell.waiting(order_kind::Stop).size() == 1);
    CHECK_FALSE(cell.takesWorkAt("t1"));
}

TEST_CASE("work is not stopped for want of progress while no look has come back", "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOne();
    cell.live({500}, {"t1"});
    REQUIRE(cell.status(first) == task_status::Running);
    for (int i = 0; i < 4; ++i) { // reports come, but the process that looked is gone
        cell.report("t1");
        cell.run({1'000});
    }
    CHECK(cell.waiting(order_kind::Stop).empty());
}

TEST_CASE("a silent target that runs nothing is not looked at until it is heard again",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.target("t1");
    cell.lead();
    cell.report("t1");
    cell.run({4'000});
    cell.answer(order_kind::Poll, order_result::Unreachable);
    cell.run({1'000});
    CHECK(cell.waiting(order_kind::Poll).empty());
    cell.report("t1");
    cell.run({100});
    CHECK(cell.waiting(order_kind::Poll).size() == 1);
}

namespace {

/** Two targets that run one task each; of both an answer has got lost. */
void loseAnswers(dispatch_fixture &cell)
{
    cell.target("t1");
    cell.target("t2");
    cell.accept("j", {cell.step(2, 8'000)});
    cell.lead();
    cell.report("t1");
    cell.report("t2");
    cell.run({20});
    cell.answer(order_kind::Start, order_result::Unanswered);
    cell.run({60});
    cell.answer(order_kind::Start, order_result::Done);
    cell.run({20});
}

} // namespace

TEST_CASE("where answers get lost, a lost look costs little: another goes out soon", "[dispatch]")
{
    dispatch_fixture cell;
    loseAnswers(cell);
    cell.obey("t1");
    cell.run({20});
    REQUIRE(cell.waiting(order_kind::Poll, "t1").size() == 1);
    cell.run({450}); // an end is listed meanwhile, and the look's answer does not come
    CHECK(cell.waiting(order_kind::Poll, "t1").size() == 2);
    order_answer late;
    late.ends.push_back({1, {"j", 0, 0, 0}, 1, messages::END_DONE, {}});
    const auto open = cell.waiting(order_kind::Poll, "t1");
    const auto where = cell.targetOf({"j", 0, 0, 0});
    late.ends[0].task.index = where == "t1" ? 0 : 1;
    late.result = order_result::Done;
    late.clockMs = cell.now.ms;
    handleOrderAnswer(*cell.leader, open[0], late, cell.now); // the older one: its word counts
    cell.run({20});
    CHECK(cell.status(late.ends[0].task) == task_status::Done);
}

TEST_CASE("where answers get lost, one without an answer does not make a target suspect",
          "[dispatch]")
{
    dispatch_fixture cell;
    loseAnswers(cell);
    cell.obey("t1");
    cell.obey("t2");
    cell.run({100});
    cell.answer(order_kind::Poll, order_result::Unanswered);
    cell.run({20});
    CHECK_FALSE(cell.leader->targets.at("t1").isSuspect);
    for (int i = 0; i < 3; ++i) { // it stays silent for longer than looks get lost in a row
        cell.run({450});
        cell.answer(order_kind::Poll, order_result::Unanswered, "t1");
    }
    CHECK(cell.leader->targets.at("t1").isSuspect);
}

TEST_CASE("one silent target does not make looks short", "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOne();
    cell.answer(order_kind::Start, order_result::Unanswered);
    cell.run({60});
    cell.answer(order_kind::Start, order_result::Done);
    cell.obey("t1");
    cell.run({20});
    const auto looks = cell.waiting(order_kind::Poll);
    REQUIRE(looks.size() == 1);
    CHECK(looks.back().pollWait == cell.leader->settings.pollWait);
}

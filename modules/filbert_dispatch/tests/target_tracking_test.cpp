#include "dispatch_fixture.h"
#include "filbert_dispatch/target_orders.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace filbert;

namespace {

const task_name firstTask {"j", 0, 0, 0};

} // namespace

TEST_CASE("a start order carries a lease that expires on the target's clock", "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1");
    cell.startLeading(7);
    cell.reportTarget("t1");
    cell.accept("j", {cell.step(1)});
    cell.startLeading(7);
    cell.reportTarget("t1");
    cell.runFor({50});
    const auto starts = cell.pendingOrders(order_kind::Start);
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].task == firstTask);
    CHECK(starts[0].run == 1);
    CHECK(starts[0].fencingToken == 7);
    CHECK(starts[0].leaseExpiresAt > cell.now.ms);
    CHECK(starts[0].leaseExpiresAt <= cell.now.ms + cell.leader->settings.maxTargetLease.count);
}

TEST_CASE("a new leader waits for the leases of the previous leader to expire", "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1");
    cell.registerTarget("t2");
    cell.accept("j", {cell.step(1)});
    cell.start(firstTask, 1, "t1");
    cell.startLeading(2);
    cell.reportTarget("t1");
    cell.runFor({4'000}); // nothing is answered
    CHECK(cell.taskStatus(firstTask) == task_status::Running);
    cell.runFor({2'500});
    CHECK(cell.taskStatus(firstTask) == task_status::Waiting);
}

TEST_CASE("a delayed clock reading does not shorten a lease of an earlier term", "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1");
    cell.registerTarget("t2");
    cell.accept("j", {cell.step(1)});
    cell.start(firstTask, 1, "t1");
    cell.startLeading(2);
    const auto leadingSince = cell.now;
    auto stale = work_fixture::targetRegistration("t1", 1);
    stale.set_sequence(1);
    stale.set_clock_ms(cell.now.ms - 2'000);
    handleTargetReport(*cell.leader, stale, cell.now);
    cell.runFor({1'000});
    cell.reportTarget("t1");
    const auto earliestExpiry = leadingSince + cell.leader->settings.targetLease;
    while (cell.taskStatus(firstTask) == task_status::Running
           && cell.now < leadingSince + milliseconds {12'000}) {
        cell.reportTarget("t2");
        cell.runFor({50});
    }
    CHECK(cell.taskStatus(firstTask) != task_status::Done);
    CHECK(findTask(cell.state, firstTask)->target != "t1");
    CHECK(cell.now > earliestExpiry);
}

TEST_CASE("runs of a silent target start elsewhere once its lease has surely expired", "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1");
    cell.registerTarget("t2");
    cell.accept("j", {cell.step(1)});
    cell.startLeading();
    cell.reportTarget("t1");
    cell.runFor({20});
    cell.runTargets({3'000}, {"t1"});
    REQUIRE(cell.targetOf(firstTask) == "t1");
    cell.runTargets({3'000}, {"t2"});
    CHECK(cell.targetOf(firstTask) == "t1"); // its lease may not have expired yet
    cell.runTargets({4'500}, {"t2"});
    CHECK(cell.targetOf(firstTask) == "t2");
    CHECK(findTask(cell.state, firstTask)->run == 2);
}

TEST_CASE("an unanswered start is retried, then stopped before the task starts elsewhere",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOneTask();
    int attempts = 0;
    while (cell.pendingOrders(order_kind::Stop).empty() && attempts < 20) {
        attempts += static_cast<int>(cell.pendingOrders(order_kind::Start).size());
        cell.answerOrders(order_kind::Start, order_result::Unanswered);
        cell.runFor({200});
    }
    CHECK(attempts >= 3);
    CHECK(cell.taskStatus(firstTask) == task_status::Running);
    cell.answerOrders(order_kind::Poll, order_result::Done); // sent before the stop: proves nothing
    cell.runFor({20});
    cell.answerOrders(order_kind::Stop, order_result::Done);
    cell.runFor({20});
    cell.answerOrders(order_kind::Poll, order_result::Done);
    cell.runFor({300});
    cell.answerOrders(order_kind::Poll, order_result::Done);
    cell.runFor({20});
    CHECK(findTask(cell.state, firstTask)->run >= 1);
    CHECK((cell.taskStatus(firstTask) == task_status::Waiting
           || findTask(cell.state, firstTask)->run == 2));
}

TEST_CASE("a run whose start order was never sent is abandoned without a stop", "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOneTask();
    for (int i = 0; i < 20 && cell.taskStatus(firstTask) == task_status::Running; ++i) {
        cell.answerOrders(order_kind::Start, order_result::Unreachable);
        cell.runFor({200});
    }
    CHECK(cell.taskStatus(firstTask) == task_status::Waiting);
    CHECK(cell.pendingOrders(order_kind::Stop).empty());
}

TEST_CASE("a target that does not answer gets no new work until it does", "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1");
    cell.startLeading();
    cell.reportTarget("t1");
    cell.runFor({20});
    cell.answerOrders(order_kind::Poll, order_result::Unreachable);
    CHECK_FALSE(cell.acceptsWorkAt("t1"));
    cell.runFor({400});
    cell.answerOrders(order_kind::Poll, order_result::Done);
    CHECK(cell.acceptsWorkAt("t1"));
}

TEST_CASE("an end is committed to the log before it is acknowledged to the target", "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOneTask();
    cell.executeOrders("t1");
    cell.runFor({20});
    order_answer list;
    list.ends.push_back({4, firstTask, 1, messages::END_DONE, ""});
    cell.answerOrders(order_kind::Poll, order_result::Done, "t1", list);
    CHECK(cell.pendingOrders(order_kind::Poll).empty());
    cell.runFor({20});
    CHECK(cell.statusOf("j") == job_status::Completed);
    const auto polls = cell.pendingOrders(order_kind::Poll);
    REQUIRE(polls.size() == 1);
    CHECK(polls[0].lastAppliedEnd == 4);
}

TEST_CASE("ends are acknowledged only to the incarnation that has listed them", "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1");
    cell.accept("j", {cell.step(2)});
    cell.startLeading();
    cell.reportTarget("t1");
    cell.runFor({20});
    cell.answerOrders(order_kind::Start, order_result::Done);
    cell.runFor({20});
    order_answer list;
    list.ends.push_back({7, firstTask, 1, messages::END_DONE, {}});
    list.runs.push_back({{"j", 0, 0, 1}, 1, {}, 50, 0});
    cell.answerOrders(order_kind::Poll, order_result::Done, "t1", list);
    cell.runFor({20});
    auto polls = cell.pendingOrders(order_kind::Poll, "t1");
    REQUIRE(polls.size() == 1);
    CHECK(polls[0].lastAppliedEnd == 7);
    cell.answerOrders(order_kind::Poll, order_result::Unanswered); // its process may have ended
    cell.runFor({300});
    polls = cell.pendingOrders(order_kind::Poll, "t1");
    REQUIRE(polls.size() == 1);
    // A new incarnation numbers its ended runs from the start again.
    CHECK(polls[0].lastAppliedEnd == 0);
    list.ends.clear();
    cell.answerOrders(order_kind::Poll, order_result::Done, "t1", list);
    cell.runFor({20});
    polls = cell.pendingOrders(order_kind::Poll, "t1");
    REQUIRE(polls.size() == 1);
    CHECK(polls[0].lastAppliedEnd == 7);
}

TEST_CASE("runs of a cancelled job and orphan runs are stopped", "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOneTask();
    cell.executeOrders("t1");
    messages::work_command cancel;
    cancel.set_cancel("j");
    cell.apply(cancel);
    handleCommittedCommand(*cell.leader, cancel, false, cell.now);
    cell.runFor({20});
    REQUIRE(cell.pendingOrders(order_kind::Stop).size() == 1);
    cell.answerOrders(order_kind::Stop, order_result::Done);
    order_answer list;
    reported_run orphan;
    orphan.task = {"other", 0, 0, 0};
    orphan.run = 3;
    list.runs.push_back(orphan);
    cell.answerOrders(order_kind::Poll, order_result::Done, "t1", list);
    cell.runFor({300});
    const auto stops = cell.pendingOrders(order_kind::Stop);
    REQUIRE(!stops.empty());
    CHECK(stops[0].task.job == "other");
}

TEST_CASE("runs of the previous incarnation are stopped in the new one, then start again",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1", 1);
    cell.accept("j", {cell.step(1)});
    cell.startLeading();
    cell.reportTarget("t1", 1);
    cell.runFor({20});
    REQUIRE(cell.targetOf(firstTask) == "t1");
    cell.orders.clear(); // what was sent may arrive at the new incarnation
    cell.reportTarget("t1", 2);
    cell.runFor({30});
    const auto stops = cell.pendingOrders(order_kind::Stop, "t1");
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].incarnation == 2);
    CHECK(cell.taskStatus(firstTask) == task_status::Running);
    cell.answerOrders(order_kind::Stop, order_result::Done);
    cell.reportTarget("t1", 2);
    cell.runFor({30});
    // It may have started there, and take a while to stop.
    CHECK(findTask(cell.state, firstTask)->run == 1);
    cell.answerOrders(order_kind::Poll, order_result::Done, "t1");
    cell.runFor({200});
    // Sent after the stop was answered.
    cell.answerOrders(order_kind::Poll, order_result::Done, "t1");
    cell.runFor({30});
    CHECK(findTask(cell.state, firstTask)->run == 2);
    CHECK(findTask(cell.state, firstTask)->incarnation == 2);
}

TEST_CASE(
    "the expiry of a lease of the previous incarnation is not judged by the clock of the new one",
    "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1", 1);
    cell.accept("j", {cell.step(1)});
    cell.startLeading();
    cell.runTargets({8'000}, {"t1"}); // longer than leases of an earlier term can last
    REQUIRE(cell.targetOf(firstTask) == "t1");
    cell.orders.clear(); // the new incarnation may still carry out starts and polls sent so far
    cell.reportTarget("t1", 2);
    cell.runFor({100});
    CHECK(findTask(cell.state, firstTask)->run == 1);
    CHECK(cell.pendingOrders(order_kind::Stop, "t1").size() == 1);
    // It is silent: a late order may still be carried out, with a lease of 6 s.
    cell.runFor({10'000});
    CHECK(findTask(cell.state, firstTask)->run == 1);
    CHECK(cell.taskStatus(firstTask) == task_status::Running);
    cell.runFor({9'000});
    CHECK(cell.taskStatus(firstTask) == task_status::Waiting);
}

namespace {

// The longest that a late order to the previous incarnation may keep the runs of the next one
// alive, and a margin below and above.
constexpr milliseconds beforeLateLeasesExpire {16'500};
constexpr milliseconds untilLateLeasesHaveExpired {3'000};
constexpr milliseconds untilLeaseHasExpired {8'000}; // where no late order may have extended it

/** Accepts a job "j" of one task while the leader leads. */
void acceptOneTask(dispatch_fixture &cell)
{
    cell.accept("j", {cell.step(1)});
    messages::work_command accepted;
    accepted.mutable_accept()->set_id("j");
    handleCommittedCommand(*cell.leader, accepted, false, cell.now);
}

/** Registers the next incarnation of a target at a certain time. */
void restartTarget(dispatch_fixture &cell, const std::string &id, std::int64_t incarnation,
                   std::int64_t wallMs)
{
    messages::work_command command;
    *command.mutable_target() = work_fixture::targetRegistration(id, incarnation);
    REQUIRE(applyCommand(cell.state, command, wallMs).error == error_kind::None);
}

/** Lets "t1" be silent, and "t2" be there to take over its task. */
void silenceFirstTarget(dispatch_fixture &cell, milliseconds duration)
{
    if (!cell.state.targets.contains("t2")) {
        cell.reportTarget("t2");
        cell.runFor({10});
    }
    cell.runTargets(duration, {"t2"});
}

/** Checks that the task of a silent "t1" goes to "t2" only when late leases have expired. */
void checkLateLeasesCount(dispatch_fixture &cell)
{
    silenceFirstTarget(cell, beforeLateLeasesExpire);
    CHECK(cell.targetOf(firstTask) == "t1");
    silenceFirstTarget(cell, untilLateLeasesHaveExpired);
    CHECK(cell.targetOf(firstTask) == "t2");
}

} // namespace

// Guards against a task that runs twice: a late order to the previous incarnation extended the
// lease of all that ran in the next one, also of a run that was started there.
TEST_CASE("a run in a new incarnation may outlive the lease that it was granted", "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1", 1);
    cell.accept("j", {cell.step(1)});
    cell.startLeading();
    cell.runTargets({8'000}, {"t1"});
    cell.orders.clear(); // the new incarnation may still carry out a poll
    cell.reportTarget("t1", 2);
    cell.runFor({30});
    cell.answerOrders(order_kind::Stop, order_result::Done);
    cell.runFor({30});
    cell.answerOrders(order_kind::Poll, order_result::Done, "t1");
    cell.runFor({200});
    cell.answerOrders(order_kind::Poll, order_result::Done, "t1");
    cell.runFor({30});
    REQUIRE(findTask(cell.state, firstTask)->incarnation == 2);
    cell.runTargets({500}, {"t1"});
    silenceFirstTarget(cell, beforeLateLeasesExpire);
    CHECK(cell.targetOf(firstTask) == "t1");
    CHECK(findTask(cell.state, firstTask)->run == 2);
    silenceFirstTarget(cell, untilLateLeasesHaveExpired);
    CHECK(cell.targetOf(firstTask) == "t2");
}

// Guards against the same after a change of leader: the new one knew of no earlier incarnation.
TEST_CASE("a new leader expects late orders to the incarnation before", "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1", 1);
    SECTION("of a target that has restarted recently")
    {
        restartTarget(cell, "t1", 2, cell.wallMs - 1'000);
        cell.accept("j", {cell.step(1)});
        cell.start(firstTask, 1, "t1", 2);
        cell.startLeading(2);
        checkLateLeasesCount(cell);
    }
    SECTION("but of no target that restarted long ago")
    {
        restartTarget(cell, "t1", 2, cell.wallMs - 60'000);
        cell.accept("j", {cell.step(1)});
        cell.start(firstTask, 1, "t1", 2);
        cell.startLeading(2);
        silenceFirstTarget(cell, untilLeaseHasExpired);
        CHECK(cell.targetOf(firstTask) == "t2");
    }
}

// Guards against the same where the leader had forgotten the target: its record had ended.
TEST_CASE("late orders are expected at a target that is back after its record has ended",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1", 1);
    cell.startLeading();
    cell.runTargets({500}, {"t1"});
    messages::work_command removal;
    removal.set_target_left("t1");
    cell.apply(removal);
    handleCommittedCommand(*cell.leader, removal, false, cell.now);
    cell.orders.clear();
    cell.reportTarget("t1", 2);
    cell.runFor({30});
    acceptOneTask(cell);
    cell.runTargets({500}, {"t1"});
    REQUIRE(cell.targetOf(firstTask) == "t1");
    checkLateLeasesCount(cell);
}

// Guards against a task that runs again although it succeeded: a late poll, meant for the previous
// incarnation, acknowledged the end of a run in the next one that the leader had not seen.
TEST_CASE("an incarnation rejects late orders to the previous one once it has had its own",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1", 1);
    const auto latestPoll = [&] {
        cell.runFor({20});
        return cell.pendingOrders(order_kind::Poll, "t1").back();
    };
    cell.startLeading(7);
    const auto first = latestPoll();
    cell.reportTarget("t1", 2);
    const auto second = latestPoll();
    CHECK(second.incarnation == 2);
    CHECK(second.fencingToken > first.fencingToken);
    cell.startLeading(8);
    const auto ofNextLeader = latestPoll();
    CHECK(ofNextLeader.fencingToken > second.fencingToken);
    cell.answerOrders(order_kind::Poll, order_result::Done, "t1");
    CHECK(cell.leader->targets.at("t1").pollAnsweredAt == cell.now); // it is of this term
}

TEST_CASE("no late order extends a lease once the new incarnation has had an order of its own",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1", 1);
    cell.accept("j", {cell.step(1)});
    cell.startLeading();
    cell.runTargets({8'000}, {"t1"});
    cell.orders.clear();
    cell.reportTarget("t1", 2);
    cell.runFor({30});
    order_answer list;
    list.incarnation = 2;
    list.runs.push_back({firstTask, 1, {}, 50, 0}); // a late start has begun it again
    const auto answeredAt = cell.now;
    cell.answerOrders(order_kind::Poll, order_result::Done, "t1", list);
    const auto longestLease = cell.leader->settings.maxTargetLease;
    silenceFirstTarget(cell, longestLease - milliseconds {100});
    CHECK(cell.targetOf(firstTask) == "t1");
    silenceFirstTarget(cell, {1'000});
    CHECK(cell.targetOf(firstTask) == "t2");
    CHECK(cell.now > answeredAt + longestLease);
}

TEST_CASE("a target that had no leases before its restart is not waited for longer", "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1", 1);
    cell.startLeading();
    cell.runTargets({20'000}, {"t1"}); // longer than leases of an earlier leader can last
    cell.orders.clear();
    cell.reportTarget("t1", 2);
    cell.runFor({30});
    acceptOneTask(cell);
    cell.runTargets({500}, {"t1"});
    REQUIRE(cell.targetOf(firstTask) == "t1");
    silenceFirstTarget(cell, untilLeaseHasExpired);
    CHECK(cell.targetOf(firstTask) == "t2");
}

TEST_CASE("a report that a later one has overtaken does not update the clock", "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1");
    cell.startLeading();
    cell.reportTarget("t1");
    auto lateReport = work_fixture::targetRegistration("t1", 1);
    lateReport.set_sequence(3);
    lateReport.set_clock_ms(5);
    CHECK_FALSE(handleTargetReport(*cell.leader, lateReport, cell.now));
    CHECK(cell.leader->targets.at("t1").clockMs == cell.now.ms);
}

TEST_CASE("a draining target gets no work, and long-running tasks are stopped there", "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1");
    auto spec = cell.step(1);
    spec.set_lasts(true);
    cell.accept("j", {spec});
    cell.startLeading();
    cell.reportTarget("t1");
    cell.runFor({20});
    cell.executeOrders("t1");
    cell.registerTarget("t2");
    cell.startLeading();
    cell.reportTarget("t1");
    cell.reportTarget("t2");
    cell.runFor({10});
    cell.executeOrders("t1");
    cell.now = cell.now + milliseconds {10};
    cell.reportTarget("t1", 1, true);
    cell.runFor({30});
    CHECK_FALSE(cell.acceptsWorkAt("t1"));
    CHECK(cell.pendingOrders(order_kind::Stop, "t1").size() == 1);
}

TEST_CASE("the lease of a target that reported its end is not renewed, and its runs end with it",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOneTask();
    handleTargetLeaving(*cell.leader, "t1", cell.now);
    const auto lease = cell.leader->settings.targetLease;
    for (const auto end = cell.now + lease; cell.now < end;) {
        cell.executeOrders("t1"); // it got no acknowledgement and runs on
        for (const auto &order : cell.pendingOrders(order_kind::Poll)) {
            CHECK(order.leaseExpiresAt == 0);
        }
        cell.runFor({100});
        CHECK(cell.taskStatus(firstTask) == task_status::Running);
    }
    cell.runFor({600});
    CHECK(cell.taskStatus(firstTask) == task_status::Waiting);
    CHECK(cell.state.targets.at("t1").hasEnded);
}

TEST_CASE("a task that makes no progress is stopped and its target is quarantined", "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOneTask();
    for (int i = 0; i < 35 && cell.pendingOrders(order_kind::Stop).empty(); ++i) {
        cell.reportTarget("t1");
        cell.answerOrders(order_kind::Start, order_result::Done);
        order_answer list;
        reported_run run;
        run.task = firstTask;
        run.run = 1;
        run.percentDone = 12;
        list.runs.push_back(run);
        cell.answerOrders(order_kind::Poll, order_result::Done, "t1", list);
        cell.runFor({100});
    }
    CHECK(cell.pendingOrders(order_kind::Stop).size() == 1);
    CHECK_FALSE(cell.acceptsWorkAt("t1"));
}

// Guards against long tasks that never end: their progress, in whole percent, stays the same for
// seconds, and each of their runs was stopped for that.
TEST_CASE(
    "a long task is stopped only if it makes no progress for much longer than a percent takes",
    "[dispatch]")
{
    constexpr std::int64_t percentMs = 6'000;
    dispatch_fixture cell;
    cell.registerTarget("t1");
    auto spec = cell.step(1);
    const bool isEstimateRight = GENERATE(true, false);
    spec.set_estimate_ms(isEstimateRight ? 100 * percentMs : 1'000);
    cell.accept("j", {spec});
    cell.startLeading();
    time_point startedAt;
    const auto play = [&](milliseconds duration, bool hangs) {
        for (const auto end = cell.now + duration; cell.now < end;) {
            cell.reportTarget("t1");
            if (!cell.pendingOrders(order_kind::Start).empty()) {
                startedAt = cell.now;
            }
            cell.answerOrders(order_kind::Start, order_result::Done);
            cell.answerOrders(order_kind::Stop, order_result::Done);
            order_answer list;
            const auto *task = findTask(cell.state, firstTask);
            const auto &runs = cell.leader->targets.at("t1").runs;
            if (runs.contains(firstTask) && runs.at(firstTask).phase != run_phase::Stopping) {
                const auto percent = hangs ? 99 : (cell.now - startedAt).count / percentMs;
                list.runs.push_back({firstTask, task->run, {}, static_cast<int>(percent), 0});
            }
            cell.answerOrders(order_kind::Poll, order_result::Done, "t1", list);
            cell.runFor({100});
        }
    };
    play({240'000}, false);
    // With a wrong estimate, some runs have to show that it is wrong.
    CHECK(findTask(cell.state, firstTask)->run <= (isEstimateRight ? 1 : 4));
    CHECK(cell.now - startedAt > milliseconds {100'000});
    const auto run = findTask(cell.state, firstTask)->run;
    play({90'000}, true);
    CHECK(findTask(cell.state, firstTask)->run > run);
}

TEST_CASE("a new checkpoint is progress", "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOneTask();
    for (int i = 0; i < 60; ++i) {
        cell.reportTarget("t1");
        cell.answerOrders(order_kind::Start, order_result::Done);
        order_answer list;
        list.runs.push_back({firstTask, 1, "checkpoint " + std::to_string(i / 20), 12, 0});
        cell.answerOrders(order_kind::Poll, order_result::Done, "t1", list);
        cell.runFor({100});
    }
    CHECK(cell.pendingOrders(order_kind::Stop).empty());
}

TEST_CASE("a task is not stopped for lack of progress while polls are not answered", "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOneTask();
    cell.runTargets({500}, {"t1"});
    REQUIRE(cell.taskStatus(firstTask) == task_status::Running);
    for (int i = 0; i < 4; ++i) { // reports arrive, but the process that polled has ended
        cell.reportTarget("t1");
        cell.runFor({1'000});
    }
    CHECK(cell.pendingOrders(order_kind::Stop).empty());
}

TEST_CASE("a silent target without runs is not polled until its next report", "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1");
    cell.startLeading();
    cell.reportTarget("t1");
    cell.runFor({4'000});
    cell.answerOrders(order_kind::Poll, order_result::Unreachable);
    cell.runFor({1'000});
    CHECK(cell.pendingOrders(order_kind::Poll).empty());
    cell.reportTarget("t1");
    cell.runFor({100});
    CHECK(cell.pendingOrders(order_kind::Poll).size() == 1);
}

namespace {

/** Lets two targets run a task each, and loses one answer of each. */
void loseAnswers(dispatch_fixture &cell)
{
    cell.registerTarget("t1");
    cell.registerTarget("t2");
    cell.accept("j", {cell.step(2, 8'000)});
    cell.startLeading();
    cell.reportTarget("t1");
    cell.reportTarget("t2");
    cell.runFor({20});
    cell.answerOrders(order_kind::Start, order_result::Unanswered);
    cell.runFor({60});
    cell.answerOrders(order_kind::Start, order_result::Done);
    cell.runFor({20});
}

} // namespace

TEST_CASE("where answers get lost, another poll is sent soon", "[dispatch]")
{
    dispatch_fixture cell;
    loseAnswers(cell);
    cell.executeOrders("t1");
    cell.runFor({20});
    REQUIRE(cell.pendingOrders(order_kind::Poll, "t1").size() == 1);
    cell.runFor({450}); // a run has ended meanwhile, and the poll is not answered
    CHECK(cell.pendingOrders(order_kind::Poll, "t1").size() == 2);
    order_answer lateAnswer;
    lateAnswer.ends.push_back({1, {"j", 0, 0, 0}, 1, messages::END_DONE, {}});
    const auto polls = cell.pendingOrders(order_kind::Poll, "t1");
    const auto targetId = cell.targetOf({"j", 0, 0, 0});
    lateAnswer.ends[0].task.index = targetId == "t1" ? 0 : 1;
    lateAnswer.result = order_result::Done;
    lateAnswer.clockMs = cell.now.ms;
    // The older poll: its answer still counts.
    handleOrderAnswer(*cell.leader, polls[0], lateAnswer, cell.now);
    cell.runFor({20});
    CHECK(cell.taskStatus(lateAnswer.ends[0].task) == task_status::Done);
}

TEST_CASE("where answers get lost, a single missing answer does not make a target suspect",
          "[dispatch]")
{
    dispatch_fixture cell;
    loseAnswers(cell);
    cell.executeOrders("t1");
    cell.executeOrders("t2");
    cell.runFor({100});
    cell.answerOrders(order_kind::Poll, order_result::Unanswered);
    cell.runFor({20});
    CHECK_FALSE(cell.leader->targets.at("t1").isSuspect);
    for (int i = 0; i < 3; ++i) { // silent for longer than the network alone explains
        cell.runFor({450});
        cell.answerOrders(order_kind::Poll, order_result::Unanswered, "t1");
    }
    CHECK(cell.leader->targets.at("t1").isSuspect);
}

TEST_CASE("the lost answer of a single target does not shorten the polls", "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOneTask();
    cell.answerOrders(order_kind::Start, order_result::Unanswered);
    cell.runFor({60});
    cell.answerOrders(order_kind::Start, order_result::Done);
    cell.executeOrders("t1");
    cell.runFor({20});
    const auto polls = cell.pendingOrders(order_kind::Poll);
    REQUIRE(polls.size() == 1);
    CHECK(polls.back().pollWait == cell.leader->settings.pollWait);
}

// Pattern: many starts packed onto one target that carries out one at a time, slowly.
TEST_CASE("starts packed onto one target wait with the leader, and each is sent once", "[dispatch]")
{
    constexpr int tasks = 20;
    constexpr std::size_t orderConnections = 4; // of a process to one target
    dispatch_fixture cell;
    cell.registerTarget("t1", 1, tasks * 1'000);
    cell.accept("j", {cell.step(tasks, 1'000)});
    cell.startLeading();
    cell.reportTarget("t1");
    cell.runFor({20});
    std::map<task_name, int> sentStarts;
    for (int i = 0; i < tasks; ++i) {
        const auto pending = cell.pendingOrders(order_kind::Start);
        REQUIRE_FALSE(pending.empty());
        CHECK(pending.size() <= orderConnections);
        order_answer answer;
        answer.result = order_result::Done;
        answer.clockMs = cell.now.ms;
        ++sentStarts[pending.front().task];
        handleOrderAnswer(*cell.leader, pending.front(), answer, cell.now);
        std::erase_if(cell.orders, [&](const auto &order) {
            return order.kind == order_kind::Start && order.task == pending.front().task;
        });
        cell.runFor({30});
    }
    CHECK(sentStarts.size() == tasks);
    CHECK(cell.pendingOrders(order_kind::Start).empty());
    CHECK(cell.leader->lostAnswers.empty());
}

TEST_CASE("starts that wait for their target are sent in the order of their placement",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1", 1, 20'000);
    cell.accept("z", {cell.step(6, 1'000)});
    cell.startLeading();
    cell.reportTarget("t1");
    cell.runFor({20});
    cell.accept("a", {cell.step(2, 1'000)});
    refreshJob(*cell.leader, "a", cell.now);
    cell.runFor({20});
    cell.answerOrders(order_kind::Start, order_result::Done);
    cell.runFor({10});
    const auto pending = cell.pendingOrders(order_kind::Start);
    REQUIRE(pending.size() == 4);
    CHECK(pending[0].task.job == "z");
    CHECK(pending[1].task.job == "z");
    CHECK(pending[2].task.job == "a");
}

TEST_CASE("starts wait longer for an answer where answers take longer", "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1", 1, 40'000);
    cell.accept("j", {cell.step(40, 1'000)});
    cell.startLeading();
    cell.reportTarget("t1");
    cell.runFor({20});
    CHECK(cell.pendingOrders(order_kind::Start).front().timeout
          == cell.leader->settings.startTimeout);
    for (int i = 0; i < 5; ++i) {
        cell.runFor({140});
        cell.answerOrders(order_kind::Start, order_result::Done);
        cell.runFor({10});
    }
    const auto later = cell.pendingOrders(order_kind::Start);
    REQUIRE_FALSE(later.empty());
    CHECK(later.front().timeout > cell.leader->settings.startTimeout);
}

TEST_CASE("early retries of starts stay within their budget, and timeouts grow", "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOneTask();
    cell.leader->retryTokens = 1;
    const auto first = cell.pendingOrders(order_kind::Start).front();
    cell.answerOrders(order_kind::Start, order_result::Unanswered);
    cell.runFor({40});
    REQUIRE(cell.pendingOrders(order_kind::Start).size() == 1);
    CHECK(cell.pendingOrders(order_kind::Start).front().timeout > first.timeout);
    cell.leader->retryTokens = 0;
    cell.answerOrders(order_kind::Start, order_result::Unanswered);
    cell.runFor({40});
    CHECK(cell.pendingOrders(order_kind::Start).empty());
    cell.runFor({200});
    CHECK(cell.pendingOrders(order_kind::Start).size() == 1);
}

namespace {

/** Places a gang of two members on two targets. */
void placeGangOfTwo(dispatch_fixture &cell)
{
    cell.registerTarget("t1", 1, 2'000);
    cell.registerTarget("t2", 1, 2'000);
    auto gang = cell.step(2, 2'000);
    gang.set_is_gang(true);
    cell.accept("j", {gang});
    cell.startLeading();
    cell.reportTarget("t1");
    cell.reportTarget("t2");
    cell.runFor({20});
    cell.answerOrders(order_kind::Start, order_result::Done);
}

/** Lets both targets list their member of the gang for a while.
    @param percent  the progress that each lists after a number of rounds */
void listGang(dispatch_fixture &cell, int rounds,
              const std::function<int(const std::string &, int)> &percent)
{
    for (int round = 0; round < rounds; ++round) {
        cell.runFor({200});
        for (const std::string target : {"t1", "t2"}) {
            cell.reportTarget(target);
            order_answer list;
            for (const auto &task : cell.state.targets.at(target).runs) {
                list.runs.push_back({task, 1, {}, percent(target, round), 0});
            }
            cell.answerOrders(order_kind::Poll, order_result::Done, target, list);
        }
    }
}

} // namespace

// Pattern: gangs whose members have unequal work. A member that is done waits for the others.
TEST_CASE("a member of a gang that waits for the others is not stopped", "[dispatch]")
{
    dispatch_fixture cell;
    placeGangOfTwo(cell);
    listGang(cell, 25, [](const std::string &target, int round) {
        return target == "t1" ? std::min(100, round * 50) : round * 2;
    });
    CHECK(cell.pendingOrders(order_kind::Stop).empty());
}

TEST_CASE("a member of a gang that makes no progress is stopped, not those that wait for it",
          "[dispatch]")
{
    dispatch_fixture cell;
    placeGangOfTwo(cell);
    listGang(cell, 25, [](const std::string &target, int) { return target == "t1" ? 100 : 40; });
    CHECK(cell.pendingOrders(order_kind::Stop, "t1").empty());
    CHECK_FALSE(cell.pendingOrders(order_kind::Stop, "t2").empty());
}

// Guards against a leader whose turns cost by the number of targets: in a cell of hundreds of
// targets, visits to those with nothing due took the time that waiting tasks needed.
TEST_CASE("a tick visits only targets that have changed or for which something is due",
          "[dispatch]")
{
    constexpr std::uint64_t targets = 200;
    dispatch_fixture cell;
    for (std::uint64_t i = 0; i < targets; ++i) {
        cell.registerTarget("t" + std::to_string(i));
    }
    cell.startLeading();
    for (std::uint64_t i = 0; i < targets; ++i) {
        cell.reportTarget("t" + std::to_string(i));
        cell.executeOrders("t" + std::to_string(i));
    }
    cell.runFor({100});
    for (std::uint64_t i = 0; i < targets; ++i) {
        cell.executeOrders("t" + std::to_string(i)); // the first polls, which list the runs
    }
    cell.runFor({100});
    const auto before = cell.leader->targetTicks;
    const milliseconds duration = cell.leader->settings.maxTargetPause;
    cell.runFor(duration);
    CHECK(cell.leader->targetTicks - before <= targets);
}

TEST_CASE("the runs of a cancelled job are stopped at once, although nothing else was due",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOneTask();
    cell.executeOrders("t1");
    cell.runFor({200});
    messages::work_command command;
    command.set_cancel("j");
    cell.apply(command);
    handleCommittedCommand(*cell.leader, command, false, cell.now);
    cell.runFor({20});
    CHECK(cell.pendingOrders(order_kind::Stop, "t1").size() == 1);
}

TEST_CASE("a poll that is lost is repeated soon once answers get lost, although it was sent before",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOneTask();
    cell.executeOrders("t1");
    cell.runFor({50});
    REQUIRE(cell.pendingOrders(order_kind::Poll, "t1").size() == 1);
    cell.runFor({500});
    cell.leader->lostAnswers["t2"] = cell.now;
    const auto poll = cell.pendingOrders(order_kind::Poll, "t1").front();
    auto start = poll;
    start.kind = order_kind::Stop;
    start.sentAt = cell.now;
    cell.runFor({10});
    handleOrderAnswer(*cell.leader, start, {order_result::Done, cell.now.ms}, cell.now);
    handleOrderAnswer(*cell.leader, start, {order_result::Unanswered}, cell.now);
    REQUIRE(isLosingAnswers(*cell.leader));
    cell.runFor({100});
    CHECK(cell.pendingOrders(order_kind::Poll, "t1").size() == 2);
}

// Guards against one end with a huge number that acknowledges, and so loses, all later ones.
TEST_CASE("an end whose number is far ahead acknowledges no other", "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOneTask();
    cell.executeOrders("t1");
    cell.runFor({20});
    order_answer list;
    list.ends.push_back({4, {"other", 0, 0, 0}, 1, messages::END_DONE, ""});
    list.ends.push_back({(std::uint64_t {1} << 53) - 1, firstTask, 1, messages::END_DONE, ""});
    cell.answerOrders(order_kind::Poll, order_result::Done, "t1", list);
    cell.runFor({20});
    CHECK(cell.state.targets.at("t1").lastAppliedEnd == 4);
    list.ends.clear();
    list.ends.push_back({5, firstTask, 1, messages::END_DONE, ""});
    cell.answerOrders(order_kind::Poll, order_result::Done, "t1", list);
    cell.runFor({20});
    CHECK(cell.statusOf("j") == job_status::Completed);
}

// Guards against a target that is silenced for good by one report with a huge number in its name.
TEST_CASE("a report with a wrong number does not silence its target", "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1");
    cell.startLeading();
    cell.reportTarget("t1");
    cell.runFor({500});
    auto odd = work_fixture::targetRegistration("t1", 1);
    odd.set_sequence((std::int64_t {1} << 53) - 1);
    odd.set_clock_ms(cell.now.ms);
    handleTargetReport(*cell.leader, odd, cell.now);
    cell.answerOrders(order_kind::Poll, order_result::Done);
    for (int i = 0; i < 10; ++i) {
        cell.runFor({500});
        cell.reportTarget("t1");
    }
    CHECK(cell.leader->targets.at("t1").lastContactAt == cell.now);
    CHECK(cell.acceptsWorkAt("t1"));

    auto overtaken = work_fixture::targetRegistration("t1", 1);
    overtaken.set_sequence(cell.now.ms - 400);
    overtaken.set_clock_ms(cell.now.ms - 400);
    overtaken.set_is_draining(true);
    CHECK_FALSE(handleTargetReport(*cell.leader, overtaken, cell.now));
}

// Guards against a reading far ahead, by which all further leases are granted and judged.
TEST_CASE("an implausible clock reading in a report is not used", "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOneTask();
    cell.runTargets({1'000}, {"t1"});
    REQUIRE(cell.taskStatus(firstTask) == task_status::Running);
    auto odd = work_fixture::targetRegistration("t1", 1);
    odd.set_sequence(cell.now.ms + 1);
    odd.set_clock_ms((std::int64_t {1} << 53) - 1);
    handleTargetReport(*cell.leader, odd, cell.now);
    cell.runTargets({10'000}, {"t1"});
    CHECK(findTask(cell.state, firstTask)->run == 1);
    CHECK(cell.taskStatus(firstTask) == task_status::Running);
    CHECK(*cell.leader->targets.at("t1").clockMs <= cell.now.ms);
}

TEST_CASE("the leaving of an unknown target changes nothing", "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOneTask();
    cell.executeOrders("t1");
    for (const std::string id : {"", "t", "t11", "unknown"}) {
        handleTargetLeaving(*cell.leader, id, cell.now);
    }
    CHECK(cell.leader->effects.commands.empty());
    cell.runFor({20});
    CHECK(cell.state.targets.size() == 1);
    CHECK(cell.acceptsWorkAt("t1"));
}

namespace {

/** Lets time pass while a target without runs reports itself and answers its polls when they are
    due.
    @param list  what it answers
    @return the number of polls that it answered */
int answerIdlePolls(dispatch_fixture &cell, const std::string &target, std::int64_t incarnation,
                    milliseconds duration, const order_answer &list = {})
{
    int polls = 0;
    for (const auto end = cell.now + duration; cell.now < end;) {
        cell.reportTarget(target, incarnation);
        cell.runFor({100});
        const auto pending = cell.pendingOrders(order_kind::Poll, target);
        if (!pending.empty() && cell.now >= pending.back().sentAt + pending.back().pollWait) {
            cell.answerOrders(order_kind::Poll, order_result::Done, target, list);
            ++polls;
        }
    }
    return polls;
}

/** Places a task whose first start gets no answer and may be carried out late, and whose second
    start is confirmed. */
void loseFirstStartAnswer(dispatch_fixture &cell)
{
    cell.placeOneTask();
    cell.answerOrders(order_kind::Start, order_result::Unanswered);
    cell.runFor({300});
    REQUIRE(cell.pendingOrders(order_kind::Start).size() == 1);
    cell.answerOrders(order_kind::Start, order_result::Done);
    cell.runFor({20});
}

/** Lets the target list the end of the first task. */
void endFirstTask(dispatch_fixture &cell)
{
    order_answer list;
    list.ends.push_back({1, firstTask, 1, messages::END_DONE, {}});
    cell.answerOrders(order_kind::Poll, order_result::Done, "t1", list);
    cell.runFor({20});
    REQUIRE(cell.statusOf("j") == job_status::Completed);
}

} // namespace

// Guards against tasks that run on after the cancelling of their job: a late start reached a new
// incarnation, which knew nothing of the stop that the previous one had confirmed.
TEST_CASE("a stop that the previous incarnation confirmed is sent to the new one too", "[dispatch]")
{
    dispatch_fixture cell;
    loseFirstStartAnswer(cell);
    messages::work_command cancel;
    cancel.set_cancel("j");
    cell.apply(cancel);
    handleCommittedCommand(*cell.leader, cancel, false, cell.now);
    cell.runFor({20});
    cell.answerOrders(order_kind::Stop, order_result::Done);
    cell.orders.clear(); // it crashes before a poll lists the end
    cell.reportTarget("t1", 2);
    cell.runFor({30});
    const auto stops = cell.pendingOrders(order_kind::Stop, "t1");
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].incarnation == 2);
    cell.answerOrders(order_kind::Poll, order_result::Done, "t1");
    cell.runFor({30});
    CHECK(cell.taskStatus(firstTask) == task_status::Running); // until the stop is confirmed
}

// Guards against tasks that run on after the cancelling of their job, or beside a second run of
// theirs: a start whose answer was lost was carried out by the next incarnation of its target, when
// the leader had forgotten the run.
TEST_CASE("a start without an answer is stopped in the next incarnation, although its run ended",
          "[dispatch]")
{
    dispatch_fixture cell;
    loseFirstStartAnswer(cell);
    endFirstTask(cell);
    cell.reportTarget("t1", 2);
    cell.runFor({30});
    const auto stops = cell.pendingOrders(order_kind::Stop, "t1");
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].task == firstTask);
    CHECK(stops[0].run == 1);
    CHECK(stops[0].incarnation == 2);
}

// Guards against the same, with an answer that is missed only after the next incarnation has begun.
TEST_CASE("a start of the previous incarnation that gets no answer is stopped in the new one",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOneTask();
    endFirstTask(cell);
    cell.reportTarget("t1", 2);
    cell.runFor({30});
    CHECK(cell.pendingOrders(order_kind::Stop, "t1").empty());
    cell.answerOrders(order_kind::Start, order_result::Unanswered);
    cell.runFor({20});
    const auto stops = cell.pendingOrders(order_kind::Stop, "t1");
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].task == firstTask);
    CHECK(stops[0].incarnation == 2);
}

TEST_CASE("a start without an answer is not stopped once it can no longer be carried out",
          "[dispatch]")
{
    dispatch_fixture cell;
    loseFirstStartAnswer(cell);
    endFirstTask(cell);
    answerIdlePolls(cell, "t1", 1, cell.leader->settings.maxOrderDelay);
    cell.reportTarget("t1", 2);
    cell.runFor({30});
    CHECK(cell.pendingOrders(order_kind::Stop, "t1").empty());
}

// Guards against orphan runs that nobody sees until their lease expires: a target without runs was
// polled only once.
TEST_CASE("what a late start begins in a new incarnation without runs is found and stopped soon",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1");
    cell.startLeading();
    answerIdlePolls(cell, "t1", 1, {1'000});
    answerIdlePolls(cell, "t1", 2, {6'000});
    const task_name orphan {"gone", 0, 0, 0};
    order_answer list;
    list.runs.push_back({orphan, 3, {}, 5, 0});
    const auto startedAt = cell.now;
    while (cell.pendingOrders(order_kind::Stop).empty()
           && cell.now < startedAt + milliseconds {2'000}) {
        answerIdlePolls(cell, "t1", 2, {100}, list);
    }
    const auto stops = cell.pendingOrders(order_kind::Stop, "t1");
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].task == orphan);
    CHECK(stops[0].run == 3);
}

TEST_CASE("a new incarnation without runs is polled seldom, and only while late starts may arrive",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1");
    cell.startLeading();
    answerIdlePolls(cell, "t1", 1, {1'000});
    CHECK(answerIdlePolls(cell, "t1", 1, {3'000}) == 0);
    CHECK(answerIdlePolls(cell, "t1", 2, cell.leader->settings.maxOrderDelay) <= 13);
    answerIdlePolls(cell, "t1", 2, {2'000});
    CHECK(answerIdlePolls(cell, "t1", 2, {5'000}) == 0);
}

// Guards against orphan runs of starts that the previous leader sent: the new one knew nothing of
// these, and polled a target without runs only once.
TEST_CASE("a new leader polls targets without runs that have begun recently", "[dispatch]")
{
    dispatch_fixture cell;
    const auto recently = cell.wallMs - 2'000;
    const auto longAgo = cell.wallMs - 60'000;
    cell.registerTarget("t1", recently);
    cell.registerTarget("t2", longAgo);
    cell.startLeading(2);
    answerIdlePolls(cell, "t1", recently, {500});
    answerIdlePolls(cell, "t2", longAgo, {500});
    CHECK(answerIdlePolls(cell, "t1", recently, {5'000}) >= 3);
    CHECK(answerIdlePolls(cell, "t2", longAgo, {3'000}) == 0);
}

// Guards against a task that runs twice: a new leader took the lease of a run that was ordered from
// the previous incarnation for expired, while its late start could still be carried out.
TEST_CASE("a new leader expects late starts of runs that were ordered from a previous incarnation",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1", 1);
    cell.accept("j", {cell.step(1)});
    cell.start(firstTask, 1, "t1", 1);
    cell.registerTarget("t1", 2);
    cell.startLeading(2);
    cell.reportTarget("t1", 2);
    cell.runFor({10'000}); // it is silent
    CHECK(cell.taskStatus(firstTask) == task_status::Running);
    cell.runFor({9'000});
    CHECK(cell.taskStatus(firstTask) == task_status::Waiting);
}

TEST_CASE("the stop of an orphan run is repeated until it is confirmed and a later poll agrees",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1");
    cell.startLeading();
    order_answer list;
    list.runs.push_back({{"gone", 0, 0, 0}, 3, {}, 5, 0});
    answerIdlePolls(cell, "t1", 1, {100}, list);
    cell.runFor({20});
    REQUIRE(cell.pendingOrders(order_kind::Stop).size() == 1);
    cell.answerOrders(order_kind::Stop, order_result::Unanswered);
    answerIdlePolls(cell, "t1", 1, {1'000}, list);
    REQUIRE_FALSE(cell.pendingOrders(order_kind::Stop).empty());
    cell.answerOrders(order_kind::Stop, order_result::Done);
    CHECK(answerIdlePolls(cell, "t1", 1, {1'000}) > 0);
    CHECK(cell.pendingOrders(order_kind::Stop).empty());
    CHECK(answerIdlePolls(cell, "t1", 1, {2'000}) == 0);
}

// Guards against tasks that run on after the cancelling of their job: a start whose answer was lost
// was carried out after its run had been abandoned, by the same incarnation, with a lease that
// counts from the arrival of the order.
TEST_CASE("a start without an answer is stopped when its silent target is back in contact",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOneTask();
    cell.answerOrders(order_kind::Start, order_result::Unanswered);
    while (cell.taskStatus(firstTask) == task_status::Running) {
        cell.runFor({100});
        cell.answerOrders(order_kind::Start, order_result::Unanswered);
        cell.answerOrders(order_kind::Stop, order_result::Unanswered);
        cell.answerOrders(order_kind::Poll, order_result::Unanswered);
        REQUIRE(cell.now < time_point {130'000});
    }
    cell.runFor({1'000});
    CHECK(cell.pendingOrders(order_kind::Stop, "t1").empty()); // it is silent
    cell.reportTarget("t1", 1);
    cell.runFor({1'100});
    const auto stops = cell.pendingOrders(order_kind::Stop, "t1");
    REQUIRE_FALSE(stops.empty());
    CHECK(stops[0].task == firstTask);
    CHECK(stops[0].run == 1);
}

// Guards against the loss of a target that works: a sign-off names no incarnation, and a late one
// of the previous incarnation removed the new one for good.
TEST_CASE("a late sign-off of the previous incarnation does not end the new one", "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1");
    cell.startLeading();
    answerIdlePolls(cell, "t1", 1, {500});
    answerIdlePolls(cell, "t1", 2, {500});
    handleTargetLeaving(*cell.leader, "t1", cell.now);
    answerIdlePolls(cell, "t1", 2, {2'000});
    CHECK_FALSE(cell.state.targets.at("t1").hasEnded);
    CHECK(cell.acceptsWorkAt("t1"));
}

TEST_CASE("a target that signs off without having drained is removed once it is silent",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1");
    cell.startLeading();
    answerIdlePolls(cell, "t1", 1, {500});
    handleTargetLeaving(*cell.leader, "t1", cell.now);
    cell.runFor(cell.leader->settings.contactTimeout + cell.leader->settings.maxTargetPause);
    CHECK(cell.state.targets.at("t1").hasEnded);
}

// Guards against a task that runs twice: a new incarnation that could not register yet carried out
// orders, and its leases were judged by the clock of the previous one.
TEST_CASE("an incarnation that answers before it has registered gets no work and keeps its runs",
          "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOneTask();
    cell.runTargets({500}, {"t1"});
    cell.runFor({20}); // another poll is sent
    for (const auto end = cell.now + milliseconds {10'000}; cell.now < end;) {
        order_answer list;
        list.incarnation = 2;
        cell.answerOrders(order_kind::Start, order_result::Done);
        cell.answerOrders(order_kind::Poll, order_result::Done, "t1", list);
        cell.runFor({100});
        CHECK_FALSE(cell.acceptsWorkAt("t1"));
    }
    CHECK(cell.taskStatus(firstTask) == task_status::Running);
}

// Guards against a mode that multiplies the polls of a large cell because of a few targets.
TEST_CASE("answers count as lost only if a fraction of the targets has lost some", "[dispatch]")
{
    dispatch_fixture cell;
    for (int i = 0; i < 200; ++i) {
        cell.registerTarget("t" + std::to_string(i));
    }
    cell.startLeading();
    auto &state = *cell.leader;
    for (int i = 0; i < 8; ++i) {
        CHECK_FALSE(isLosingAnswers(state));
        state.lostAnswers["t" + std::to_string(i)] = cell.now;
    }
    CHECK(isLosingAnswers(state)); // 4 percent
}

// Guards against a mode that cannot begin once many targets have been replaced: its threshold was a
// fraction of all targets ever seen.
TEST_CASE("targets that are gone for good do not count where answers get lost", "[dispatch]")
{
    dispatch_fixture cell;
    for (int i = 0; i < 200; ++i) {
        cell.registerTarget("gone-" + std::to_string(i));
    }
    cell.registerTarget("t1");
    cell.registerTarget("t2");
    cell.startLeading();
    auto &state = *cell.leader;
    for (int i = 0; i < 6; ++i) {
        cell.reportTarget("t1");
        cell.reportTarget("t2");
        cell.runFor({1'000});
    }
    state.lostAnswers["t1"] = cell.now;
    CHECK_FALSE(isLosingAnswers(state));
    state.lostAnswers["t2"] = cell.now;
    CHECK(isLosingAnswers(state));
}

// Guards against more polls than the leader and its relays have time for, while answers get lost.
TEST_CASE("the polls of all targets together stay within a rate while answers get lost",
          "[dispatch]")
{
    dispatch_fixture cell;
    for (int i = 0; i < 100; ++i) {
        cell.registerTarget("t" + std::to_string(i));
    }
    cell.startLeading();
    auto &state = *cell.leader;
    CHECK(lossyPollWait(state) == state.settings.lossyPollWait);
    state.settings.maxLossyPollsPerSecond = 100;
    CHECK(lossyPollWait(state) == milliseconds {1'000});
}

// Guards against a new leader that loses its lease in its first turns, since all targets answer its
// first polls at once.
TEST_CASE("the first polls of a term are spread", "[dispatch]")
{
    constexpr int count = 400;
    dispatch_fixture cell;
    for (int i = 0; i < count; ++i) {
        cell.registerTarget("t" + std::to_string(i));
    }
    cell.startLeading();
    for (int i = 0; i < count; ++i) {
        cell.reportTarget("t" + std::to_string(i));
    }
    cell.runFor({50});
    const auto sent = cell.pendingOrders(order_kind::Poll).size();
    CHECK(sent > 0);
    CHECK(sent <= count / 2);
    cell.runFor({100});
    CHECK(cell.pendingOrders(order_kind::Poll).size() == count);
}

namespace {

/** Tasks of one job at one target, which lists one end at a time. */
struct short_list_fixture : dispatch_fixture
{
    std::vector<reported_run> running;
    std::vector<reported_end> endsToList;
    std::uint64_t lastEnd = 0;

    static task_name task(std::uint32_t index) { return {"j", 0, 0, index}; }

    explicit short_list_fixture(int tasks)
    {
        registerTarget("t1");
        accept("j", {step(tasks, 100)});
        startLeading();
        reportTarget("t1");
        for (int i = 0; i < tasks; ++i) { // a few starts at a time are sent to a target
            runFor({20});
            answerOrders(order_kind::Start, order_result::Done);
            running.push_back({task(static_cast<std::uint32_t>(i)), 1, {}, 50, 0});
        }
        runFor({20});
        answerPolls();
    }

    void endRun(std::uint32_t index, messages::end_kind kind)
    {
        std::erase_if(running, [&](const auto &each) { return each.task == task(index); });
        endsToList.push_back({++lastEnd, task(index), 1, kind, {}});
    }

    /** Answers the pending polls with the first end that is not acknowledged. */
    void answerPolls()
    {
        for (const auto &poll : pendingOrders(order_kind::Poll, "t1")) {
            std::erase_if(endsToList,
                          [&](const auto &end) { return end.number <= poll.lastAppliedEnd; });
        }
        order_answer list;
        list.runs = running;
        if (!endsToList.empty()) {
            list.ends.push_back(endsToList.front());
        }
        answerOrders(order_kind::Poll, order_result::Done, "t1", list);
    }

    /** Lets the target answer stops at once, and polls after that. */
    void answerStopsFirst()
    {
        runFor({20});
        answerOrders(order_kind::Stop, order_result::Done);
        runFor({20});
        answerPolls();
    }
};

} // namespace

// Guards against a task that runs again although it has ended as done: its end was behind a list
// that was cut short, so that its target seemed not to have it.
TEST_CASE("a run whose end is behind a list that was cut short is not given up", "[dispatch]")
{
    constexpr std::uint32_t tasks = 6;
    short_list_fixture cell {tasks};
    for (std::uint32_t i = 0; i < tasks; ++i) {
        cell.endRun(i, messages::END_DONE);
    }
    for (int i = 0; i < 30 && cell.statusOf("j") != job_status::Completed; ++i) {
        cell.answerStopsFirst();
        CHECK(cell.pendingOrders(order_kind::Start).empty());
    }
    CHECK(cell.statusOf("j") == job_status::Completed);
}

// Guards against a new leader that stops what it has not been told of.
TEST_CASE("a new leader concludes nothing from a list that was cut short", "[dispatch]")
{
    constexpr std::uint32_t tasks = 6;
    short_list_fixture cell {tasks};
    for (std::uint32_t i = 0; i < tasks; ++i) {
        cell.endRun(i, messages::END_DONE);
    }
    cell.orders.clear();
    cell.startLeading(2);
    cell.reportTarget("t1");
    cell.runFor({300});
    cell.answerPolls();
    cell.runFor({20});
    CHECK(cell.pendingOrders(order_kind::Stop).empty());
    for (int i = 0; i < 30 && cell.statusOf("j") != job_status::Completed; ++i) {
        cell.answerStopsFirst();
    }
    CHECK(cell.statusOf("j") == job_status::Completed);
    CHECK(cell.pendingOrders(order_kind::Start).empty());
}

// Guards against a task that never runs again since its target always lists some end of another.
TEST_CASE("a run that its target does not have is given up while other runs end there",
          "[dispatch]")
{
    constexpr std::uint32_t tasks = 40;
    short_list_fixture cell {tasks};
    std::erase_if(cell.running, [](const auto &each) { return each.task.index == 0; }); // lost
    for (std::uint32_t i = 1; i < tasks && cell.pendingOrders(order_kind::Start).empty(); ++i) {
        cell.endRun(i, messages::END_DONE);
        cell.answerStopsFirst();
        cell.reportTarget("t1");
    }
    const auto starts = cell.pendingOrders(order_kind::Start);
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].task == cell.task(0));
    CHECK(starts[0].run == 2);
    CHECK(cell.running.size() > tasks / 2); // long before the others have ended
}

// Guards against a run that is given up since it was missing before its stop: the stop ended it,
// and this end is not listed yet.
TEST_CASE("a run that was missing before its stop is not given up for that", "[dispatch]")
{
    constexpr std::uint32_t tasks = 6;
    short_list_fixture cell {tasks};
    const auto lateRun = cell.running.front();
    cell.running.erase(cell.running.begin()); // its start arrives late
    for (std::uint32_t i = 1; i < 4; ++i) {
        cell.endRun(i, messages::END_DONE);
        cell.answerStopsFirst();
    }
    cell.runFor({20});
    REQUIRE(cell.pendingOrders(order_kind::Stop).size() == 1); // it is missing for certain
    cell.endRun(4, messages::END_DONE); // listed to a poll that was sent before the stop
    cell.endRun(5, messages::END_DONE);
    cell.endsToList.push_back({++cell.lastEnd, lateRun.task, 1, messages::END_DONE, {}});
    for (int i = 0; i < 30 && cell.statusOf("j") != job_status::Completed; ++i) {
        cell.answerStopsFirst();
    }
    CHECK(cell.statusOf("j") == job_status::Completed);
    CHECK(cell.pendingOrders(order_kind::Start).empty());
}

// Guards against a task that runs again although it runs, or has ended, in a row of its target's
// lists that could not be read.
TEST_CASE("nothing follows from what is missing in a list with unreadable rows", "[dispatch]")
{
    const bool hasUnreadableRows = GENERATE(true, false);
    dispatch_fixture cell;
    cell.placeOneTask();
    cell.answerOrders(order_kind::Start, order_result::Done);
    cell.runFor({20});
    order_answer list;
    list.hasUnreadableRows = hasUnreadableRows;
    for (int i = 0; i < 5; ++i) {
        cell.answerOrders(order_kind::Poll, order_result::Done, "t1", list);
        cell.runFor({20});
        cell.answerOrders(order_kind::Stop, order_result::Done);
        cell.runFor({20});
    }
    CHECK((findTask(cell.state, firstTask)->run == 1) == hasUnreadableRows);
}

// Guards against tasks that run on after the cancelling of their job: a stop that was confirmed was
// never sent again, although the run went on.
TEST_CASE("a run that goes on after its stop was confirmed is stopped again", "[dispatch]")
{
    const bool isOrphan = GENERATE(true, false);
    dispatch_fixture cell;
    cell.placeOneTask();
    cell.answerOrders(order_kind::Start, order_result::Done);
    cell.runFor({20});
    order_answer list;
    list.runs.push_back({isOrphan ? task_name {"gone", 0, 0, 0} : firstTask, 1, {}, 50, 0});
    if (!isOrphan) {
        messages::work_command cancel;
        cancel.set_cancel("j");
        cell.apply(cancel);
        handleCommittedCommand(*cell.leader, cancel, false, cell.now);
    }
    int stops = 0;
    for (int i = 0; i < 25; ++i) {
        cell.answerOrders(order_kind::Poll, order_result::Done, "t1", list);
        cell.runFor({100});
        cell.reportTarget("t1");
        for (const auto &stop : cell.pendingOrders(order_kind::Stop)) {
            stops += stop.task == list.runs[0].task ? 1 : 0;
        }
        cell.answerOrders(order_kind::Stop, order_result::Done);
    }
    CHECK(stops >= 2);
    CHECK(stops <= 3); // not before a stop has had the time that it takes
}

// Guards against a target that is never polled again, so that its lease expires again and again:
// the answer to a poll that left late, after the leader's lease had lapsed, was taken for one to an
// earlier poll.
TEST_CASE("a target is polled again after the answer to a poll that was held", "[dispatch]")
{
    dispatch_fixture cell;
    cell.placeOneTask();
    cell.answerOrders(order_kind::Start, order_result::Done);
    cell.runFor({20});
    cell.executeOrders("t1");
    cell.runFor({20});
    REQUIRE(cell.pendingOrders(order_kind::Poll).size() == 1);
    cell.now = cell.now + milliseconds {50};
    for (auto &order : cell.orders) {
        delayOrder(*cell.leader, order, cell.now);
        CHECK(order.sentAt == cell.now);
    }
    cell.runFor({20});
    cell.executeOrders("t1");
    CHECK(cell.pendingOrders(order_kind::Poll).empty());
    cell.runFor({20});
    CHECK(cell.pendingOrders(order_kind::Poll).size() == 1);
}

#include "dispatch_fixture.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

/** A cell with one job "j" whose start was ordered on "t1" and is not answered yet. */
struct pending_fixture : dispatch_fixture
{
    pending_fixture() { placeOneTask(); }

    std::int64_t countPending()
    {
        leader->nextPendingCountAt = now;
        return countPendingJobs(*leader, state.configuration.queues(0), now);
    }

    std::string_view shown() const { return statusName(shownStatus(*leader, state.jobs.at("j"))); }

    /** Answers each start for some seconds, with the target reporting itself and listing nothing.
     */
    void answerStartsFor(milliseconds duration, order_result result)
    {
        for (const auto end = now + duration; now < end;) {
            reportTarget("t1");
            runFor({100});
            answerOrders(order_kind::Start, result);
            answerOrders(order_kind::Stop, order_result::Done);
            answerOrders(order_kind::Poll, order_result::Done);
        }
    }
};

} // namespace

// Guards against a count of pending jobs that leaves out those whose starts had no effect.
TEST_CASE("a job is pending until a target confirms that a task of it has begun", "[dispatch]")
{
    for (const auto result :
         {order_result::Unhealthy, order_result::NoCapacity, order_result::LeaseExpired,
          order_result::Unreachable, order_result::Unanswered, order_result::RelayLost,
          order_result::WrongIncarnation, order_result::InvalidTicket}) {
        INFO(resultName(result));
        pending_fixture cell;
        CHECK(cell.countPending() == 1);
        cell.answerStartsFor({6'000}, result);
        CHECK(cell.countPending() == 1);
        CHECK(cell.shown() == "queued");
    }
    pending_fixture cell;
    cell.runTargets({1'000}, {"t1"});
    CHECK(cell.countPending() == 0);
    CHECK(cell.shown() == "active");
}

TEST_CASE("a job whose target was restarted before it answered is pending", "[dispatch]")
{
    pending_fixture cell;
    cell.registerTarget("t1", 2);
    cell.reportTarget("t1", 2);
    cell.runFor({1'000});
    CHECK(cell.countPending() == 1);
}

TEST_CASE("a job that began counts as such however its run ends, also after a snapshot",
          "[dispatch]")
{
    pending_fixture cell;
    cell.runTargets({1'000}, {"t1"});
    cell.end({"j", 0, 0, 0}, 1, "t1", messages::END_STOPPED);
    CHECK(cell.countPending() == 0);
    work_state restored;
    REQUIRE(!readWorkState(writeWorkState(cell.state), &restored));
    CHECK(restored.pendingByQueue.empty());
    CHECK(restored.jobs.at("j").hasBegun);
}

TEST_CASE("a listed end, or a crash under a confirmed run, shows that a job began", "[dispatch]")
{
    pending_fixture ended;
    ended.end({"j", 0, 0, 0}, 1, "t1", messages::END_FAILED);
    CHECK(ended.countPending() == 0);
    for (const bool wasRunning : {false, true}) {
        pending_fixture crashed;
        messages::work_command command;
        command.mutable_crashed()->set_target("t1");
        command.mutable_crashed()->set_born(1);
        auto *run = command.mutable_crashed()->add_runs();
        *run->mutable_task() = toTaskReference({"j", 0, 0, 0});
        run->set_run(1);
        run->set_was_running(wasRunning);
        crashed.apply(command);
        CHECK(crashed.countPending() == (wasRunning ? 0 : 1));
    }
}

TEST_CASE("the abandonment of a confirmed run shows that a job began", "[dispatch]")
{
    for (const bool hasBegun : {false, true}) {
        pending_fixture cell;
        messages::work_command command;
        *command.mutable_drop()->mutable_task() = toTaskReference({"j", 0, 0, 0});
        command.mutable_drop()->set_run(1);
        command.mutable_drop()->set_has_begun(hasBegun);
        cell.apply(command);
        CHECK(cell.countPending() == (hasBegun ? 0 : 1));
    }
}

TEST_CASE("a new leader finds out which jobs have begun", "[dispatch]")
{
    pending_fixture cell;
    cell.answerOrders(order_kind::Start, order_result::Done);
    cell.orders.clear();
    work_state restored;
    REQUIRE(!readWorkState(writeWorkState(cell.state), &restored));
    CHECK(restored.pendingByQueue.size() == 1);
    cell.startLeading(2); // before the first one has said so
    cell.runTargets({1'000}, {"t1"});
    CHECK(cell.countPending() == 0);
}

TEST_CASE("a job that is cancelled before it began is not pending any more", "[dispatch]")
{
    pending_fixture cell;
    messages::work_command command;
    command.set_cancel("j");
    cell.apply(command);
    CHECK(cell.countPending() == 0);
    cell.end({"j", 0, 0, 0}, 1, "t1", messages::END_STOPPED);
    CHECK(cell.countPending() == 0);
    CHECK(cell.shown() == "cancelled");
}

TEST_CASE("a snapshot of an earlier version counts started jobs as begun", "[dispatch]")
{
    pending_fixture cell;
    messages::work_state_image image;
    REQUIRE(image.ParseFromString(writeWorkState(cell.state)));
    image.mutable_jobs(0)->clear_has_not_begun();
    work_state restored;
    REQUIRE(!readWorkState(image.SerializeAsString(), &restored));
    CHECK(restored.pendingByQueue.empty());
}

#include "dispatch_fixture.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

/** Four targets, of which small tasks of low priority fill three before a gang of higher priority
    is submitted. */
struct full_targets_fixture : dispatch_fixture
{
    std::vector<std::string> targets {"t1", "t2", "t3", "t4"};

    full_targets_fixture()
    {
        messages::work_command command;
        auto *configuration = command.mutable_configure();
        *configuration = state.configuration;
        configuration->set_version(2);
        auto *low = configuration->mutable_queues(0);
        low->set_priority(2);
        low->set_slack_factor(20);
        auto *high = configuration->add_queues();
        *high = *low;
        high->set_name("gangs");
        high->set_path_prefix("/gangs/");
        high->set_priority(1);
        high->set_slack_factor(4);
        apply(command);
        for (const auto &each : targets) {
            registerTarget(each, 1, 8'000);
        }
    }

    void fill(const messages::step_spec &smallStep)
    {
        accept("small", {smallStep});
        startLeading();
        runTargets({400}, targets);
        REQUIRE(findStep(state, {"small", 0, 0, 0})->runningTasks == 12);
    }

    void submitGang(int members)
    {
        messages::work_command command;
        auto *job = command.mutable_accept();
        job->set_id("gang");
        job->set_queue("gangs");
        job->set_team("desk");
        *job->add_steps() = step(members, 5'000);
        job->mutable_steps(0)->set_is_gang(true);
        *job->mutable_taken_under() = *findQueue(state.configuration, "gangs");
        const auto outcome = apply(command);
        REQUIRE(outcome.error == error_kind::None);
        handleCommittedCommand(*leader, command, false, now);
        runFor({50});
    }

    static messages::step_spec checkpointed()
    {
        auto smallStep = step(12, 2'000);
        smallStep.set_checkpoints(true);
        smallStep.set_estimate_ms(2'000);
        return smallStep;
    }

    std::size_t countStops() const { return pendingOrders(order_kind::Stop).size(); }
};

} // namespace

TEST_CASE("a gang without capacity preempts small checkpointed tasks of lower priority",
          "[dispatch]")
{
    full_targets_fixture cell;
    cell.fill(full_targets_fixture::checkpointed());
    cell.submitGang(2);
    // One target is empty, the others are full; a member needs 5 of 8 cores.
    CHECK(cell.countStops() == 3);
    cell.runFor({50});
    CHECK(cell.countStops() == 3); // runs that are being stopped count: no further ones are stopped
    std::set<std::string> freed;
    for (const auto &order : cell.pendingOrders(order_kind::Stop)) {
        freed.insert(order.target);
    }
    REQUIRE(freed.size() == 1);
    cell.answerOrders(order_kind::Stop, order_result::Done);
    std::uint64_t number = 0;
    for (const auto &target : freed) {
        order_answer list;
        for (const auto &task : cell.state.targets.at(target).runs) {
            if (cell.leader->targets.at(target).runs.at(task).phase == run_phase::Stopping) {
                list.ends.push_back({++number, task, 1, messages::END_STOPPED, "saved"});
            } else {
                list.runs.push_back({task, 1, {}, 50, 0});
            }
        }
        cell.answerOrders(order_kind::Poll, order_result::Done, target, list);
    }
    cell.runFor({50});
    CHECK(findStep(cell.state, {"gang", 0, 0, 0})->runningTasks == 2);
    CHECK(findTask(cell.state, {"small", 0, 0, 0})->failures == 0);
}

// Guards against runs that are stopped for a gang which may not start in their place.
TEST_CASE("nothing is stopped for a gang on targets of an evacuated failure domain", "[dispatch]")
{
    full_targets_fixture cell;
    cell.fill(full_targets_fixture::checkpointed());
    for (const auto &each : cell.targets) {
        cell.state.targets.at(each).registration.set_failure_domain("d1");
    }
    cell.evacuate("d1");
    cell.submitGang(2);
    CHECK(cell.countStops() == 0);
    CHECK(findStep(cell.state, {"gang", 0, 0, 0})->runningTasks == 0);
    cell.evacuate("d1", true);
    cell.runFor({50});
    CHECK(cell.countStops() == 3);
}

TEST_CASE("nothing is stopped for a gang that can wait", "[dispatch]")
{
    full_targets_fixture cell;
    cell.fill(full_targets_fixture::checkpointed());
    const_cast<messages::work_queue *>(findQueue(cell.state.configuration, "gangs"))
        ->set_slack_factor(20);
    cell.submitGang(2);
    CHECK(cell.countStops() == 0);
}

TEST_CASE("nothing is stopped if that would not free capacity for the whole gang", "[dispatch]")
{
    full_targets_fixture cell;
    cell.fill(full_targets_fixture::checkpointed());
    cell.submitGang(5);
    CHECK(cell.countStops() == 0);
}

TEST_CASE("long-running tasks and those without checkpoints or slack are not stopped for a gang",
          "[dispatch]")
{
    full_targets_fixture cell;
    auto smallStep = full_targets_fixture::checkpointed();
    SECTION("no checkpoint")
    {
        smallStep.set_checkpoints(false);
    }
    SECTION("little slack")
    {
        smallStep.set_estimate_ms(150); // 20 times that is less slack than a stop may cost
    }
    SECTION("a long-running step")
    {
        smallStep.set_lasts(true);
    }
    cell.fill(smallStep);
    cell.submitGang(2);
    CHECK(cell.countStops() == 0);
}

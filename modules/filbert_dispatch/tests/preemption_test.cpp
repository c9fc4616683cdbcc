#include "dispatch_fixture.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

/** Four targets, each nearly filled by small tasks of a low class; then a gang of a higher one. */
struct full_targets : dispatch_fixture
{
    std::vector<std::string> targets {"t1", "t2", "t3", "t4"};

    full_targets()
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
            target(each, 1, 8'000);
        }
    }

    void fill(const messages::step_spec &small)
    {
        accept("small", {small});
        lead();
        live({400}, targets);
        REQUIRE(findStep(state, {"small", 0, 0, 0})->runningTasks == 12);
    }

    void handInGang(int members)
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
        run({50});
    }

    static messages::step_spec checkpointed()
    {
        auto small = step(12, 2'000);
        small.set_checkpoints(true);
        small.set_estimate_ms(2'000);
        return small;
    }

    std::size_t stops() const { return waiting(order_kind::Stop).size(); }
};

} // namespace

TEST_CASE("a gang that finds no room gets it from small checkpointed work below it", "[dispatch]")
{
    full_targets cell;
    cell.fill(full_targets::checkpointed());
    cell.handInGang(2);
    CHECK(cell.stops() == 3); // one target is empty, the others are full: 5 of 8 cores are needed
    cell.run({50});
    CHECK(cell.stops() == 3); // what is being stopped is counted on, and not asked for again
    std::set<std::string> freed;
    for (const auto &order : cell.waiting(order_kind::Stop)) {
        freed.insert(order.target);
    }
    REQUIRE(freed.size() == 1);
    cell.answer(order_kind::Stop, order_result::Done);
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
        cell.answer(order_kind::Poll, order_result::Done, target, list);
    }
    cell.run({50});
    CHECK(findStep(cell.state, {"gang", 0, 0, 0})->runningTasks == 2);
    CHECK(findTask(cell.state, {"small", 0, 0, 0})->failures == 0);
}

TEST_CASE("nothing is stopped for a gang that can wait", "[dispatch]")
{
    full_targets cell;
    cell.fill(full_targets::checkpointed());
    const_cast<messages::work_queue *>(findQueue(cell.state.configuration, "gangs"))
        ->set_slack_factor(20);
    cell.handInGang(2);
    CHECK(cell.stops() == 0);
}

TEST_CASE("nothing is stopped where that would not make room for the whole gang", "[dispatch]")
{
    full_targets cell;
    cell.fill(full_targets::checkpointed());
    cell.handInGang(5);
    CHECK(cell.stops() == 0);
}

TEST_CASE("work that keeps no checkpoint, or could be late, is not stopped for a gang",
          "[dispatch]")
{
    full_targets cell;
    auto small = full_targets::checkpointed();
    SECTION("no checkpoint")
    {
        small.set_checkpoints(false);
    }
    SECTION("little slack")
    {
        small.set_estimate_ms(150); // 20 times that is below what a stop may cost
    }
    SECTION("it lasts")
    {
        small.set_lasts(true);
    }
    cell.fill(small);
    cell.handInGang(2);
    CHECK(cell.stops() == 0);
}

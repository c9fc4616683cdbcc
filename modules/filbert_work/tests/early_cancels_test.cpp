#include "work_fixture.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

/** A cell with the teams "desk" and "others", and helpers that cancel unknown jobs. */
struct cancel_fixture : work_fixture
{
    cancel_fixture()
    {
        messages::work_command command;
        *command.mutable_configure() = state.configuration;
        command.mutable_configure()->set_version(2);
        command.mutable_configure()->add_teams()->set_name("others");
        apply(command);
    }

    void setOpen(bool isOpen)
    {
        messages::work_command command;
        *command.mutable_configure() = state.configuration;
        command.mutable_configure()->set_version(state.configuration.version() + 1);
        command.mutable_configure()->mutable_queues(0)->set_is_open(isOpen);
        apply(command);
    }

    early_cancel cancelOf(const std::string &job, const std::string &team = "desk") const
    {
        return {job, accessUnder(state.configuration.queues(0), {team, 0})};
    }

    command_outcome cancelEarly(const std::string &job, const std::string &team = "desk")
    {
        messages::work_command command;
        *command.mutable_cancel_early() = toMessage(cancelOf(job, team));
        return apply(command);
    }

    error_kind submit(const std::string &job)
    {
        return static_cast<error_kind>(accept(job, {step(1)}).error);
    }
};

} // namespace

TEST_CASE("an early cancel keeps the job out for the team that sent it alone", "[work]")
{
    cancel_fixture cell;
    REQUIRE(cell.cancelEarly("j1").error == error_kind::None);
    REQUIRE(cell.cancelEarly("j2", "others").error == error_kind::None);
    REQUIRE(cell.cancelEarly("j3", "").error == error_kind::None);
    CHECK(cell.submit("j1") == error_kind::Conflict);
    CHECK_FALSE(cell.state.jobs.contains("j1"));
    CHECK(cell.state.pendingByQueue.empty());
    CHECK(cell.submit("j2") == error_kind::None);
    CHECK(cell.submit("j3") == error_kind::None);
}

TEST_CASE("an early cancel without a key counts only while its queue requires none", "[work]")
{
    cancel_fixture cell;
    cell.setOpen(true);
    cell.cancelEarly("j1", "");
    cell.cancelEarly("j2", "others");
    CHECK(cell.submit("j1") == error_kind::Conflict);
    CHECK(cell.submit("j2") == error_kind::Conflict);
    cell.setOpen(false);
    CHECK(cell.submit("j1") == error_kind::None);
    cell.cancelEarly("j4", "others");
    cell.setOpen(true);
    CHECK(cell.submit("j4") == error_kind::None);
}

TEST_CASE("an early cancel that meets the job in the log cancels it for its own team", "[work]")
{
    cancel_fixture cell;
    REQUIRE(cell.submit("j1") == error_kind::None);
    CHECK(cell.cancelEarly("j1", "others").error == error_kind::NotFound);
    CHECK(cell.statusOf("j1") == job_status::Queued);
    CHECK(cell.cancelEarly("j1").error == error_kind::None);
    CHECK(cell.statusOf("j1") == job_status::Cancelled);
    CHECK(cell.state.earlyCancels.empty());
}

// Guards against a crowd of cancels that displaces or prevents those of other teams.
TEST_CASE("early cancels are bounded for each team, and the room is given back", "[work]")
{
    cancel_fixture cell;
    const auto limit = earlyCancelsPerTeam(cell.state.configuration);
    CHECK(limit == maxEarlyCancels / 3);
    REQUIRE(cell.cancelEarly("first", "others").error == error_kind::None);
    for (std::size_t i = 1; i < limit; ++i) {
        REQUIRE(cell.cancelEarly("j" + std::to_string(i), "others").error == error_kind::None);
    }
    CHECK(cell.cancelEarly("beyond", "others").error == error_kind::Overloaded);
    CHECK(cell.cancelEarly("first", "others").error == error_kind::None); // a repetition
    CHECK(cell.cancelEarly("mine").error == error_kind::None);
    CHECK(isCancelledEarly(cell.state, "first", cell.cancelOf("first", "others").caller));
    messages::work_command command;
    *command.mutable_forget_cancels()->add_cancels() = toMessage(cell.cancelOf("first", "others"));
    cell.apply(command);
    cell.apply(command); // a repetition changes nothing
    CHECK(cell.cancelEarly("beyond", "others").error == error_kind::None);
    CHECK(cell.state.earlyCancels.size() == limit + 1);
}

TEST_CASE("a snapshot holds the early cancels", "[work]")
{
    cancel_fixture cell;
    cell.cancelEarly("j1");
    cell.cancelEarly("j2", "others");
    work_state restored;
    REQUIRE(!readWorkState(writeWorkState(cell.state), &restored));
    CHECK(restored.earlyCancels == cell.state.earlyCancels);
    CHECK(restored.earlyCancelsByTeam == cell.state.earlyCancelsByTeam);
}

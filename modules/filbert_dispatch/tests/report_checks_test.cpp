#include "dispatch_fixture.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

bool isAccepted(const dispatch_fixture &cell, const messages::target_life &report)
{
    return !findProblem(*cell.leader, report, cell.wallMs);
}

} // namespace

// Guards against an entry that silences the target of its id for good.
TEST_CASE("a report of an incarnation that starts in the future is refused", "[dispatch]")
{
    dispatch_fixture cell;
    cell.startLeading();
    CHECK(isAccepted(cell, work_fixture::targetRegistration("t1", cell.wallMs)));
    // Clocks of hosts differ, and some are adjusted by seconds.
    CHECK(isAccepted(cell, work_fixture::targetRegistration("t1", cell.wallMs + 60'000)));
    CHECK_FALSE(isAccepted(cell, work_fixture::targetRegistration("t1", maxWallMs)));
    CHECK_FALSE(isAccepted(
        cell, work_fixture::targetRegistration("t1", cell.wallMs + 2 * 60 * 60 * 1'000)));
}

// Guards against an entry of no known service that ends the target at its address.
TEST_CASE("a report with a service that is not configured is refused", "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1");
    cell.startLeading();
    auto report = work_fixture::targetRegistration("t2", 2, 8'000, "t1:80");
    CHECK(isAccepted(cell, report)); // another target may follow at an address
    report.set_service("nobody");
    CHECK_FALSE(isAccepted(cell, report));

    SECTION("before the first configuration, any service may turn out to be known")
    {
        cell.state.configuration.clear_version();
        CHECK(isAccepted(cell, report));
    }
    SECTION("a target whose service was removed still reports itself")
    {
        cell.state.configuration.clear_services();
        CHECK(isAccepted(cell, work_fixture::targetRegistration("t1", 1)));
        CHECK(isAccepted(cell, work_fixture::targetRegistration("t1", 2)));
        CHECK_FALSE(isAccepted(cell, work_fixture::targetRegistration("t3", 1)));
    }
}

#include "filbert_dispatch/gang_plan.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

constexpr time_point now {10'000};
constexpr resource_amounts capacity {128'000, 64'000, 8};
constexpr resource_amounts member {62'000, 100, 4};

gang_host hostWith(std::size_t index, const resource_amounts &free,
                   std::vector<expected_release> releases = {})
{
    return {index, capacity, free, std::move(releases), 8};
}

} // namespace

TEST_CASE("a gang is planned on the targets on which all members start first", "[dispatch]")
{
    const std::vector<gang_host> hosts {
        hostWith(0, {0, 64'000, 0}, {{now + milliseconds {900}, {64'000, 0, 4}}}),
        hostWith(1, {0, 64'000, 0}, {{now + milliseconds {300}, {128'000, 0, 8}}}),
        hostWith(2, {64'000, 64'000, 4}),
    };
    const auto plan = planGang(hosts, member, 3, now);
    REQUIRE(plan);
    CHECK(plan->startAt == now + milliseconds {300});
    CHECK(plan->hosts == std::vector<std::pair<std::size_t, std::size_t>> {{1, 2}, {2, 1}});
    // One member's place is idle for 300 ms: half of the accelerators of its target.
    CHECK(plan->idleCoreMs == 64'000 * 300);
}

TEST_CASE("a gang is not planned where its members never fit together", "[dispatch]")
{
    const std::vector<gang_host> hosts {hostWith(0, {64'000, 64'000, 4}),
                                        hostWith(1, {50'000, 64'000, 8})};
    CHECK(planGang(hosts, member, 1, now));
    CHECK_FALSE(planGang(hosts, member, 2, now));
    CHECK_FALSE(planGang({}, member, 1, now));
}

TEST_CASE("a limit of members per target holds for the plan of a gang", "[dispatch]")
{
    auto host = hostWith(0, capacity);
    host.maxMembers = 1;
    CHECK_FALSE(planGang({host}, member, 2, now));
    CHECK_FALSE(timeForMembers(host, member, 2, now));
    CHECK(timeForMembers(host, member, 1, now) == now);
}

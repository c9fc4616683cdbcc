#include "filbert_dispatch/filbert_dispatch.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

/** @return how many of the jobs that a team sends at a steady rate are beyond its share */
int countBeyond(team_shares &shares, std::int32_t weight, int jobsPerSecond, time_point from,
                int seconds)
{
    constexpr std::int64_t second = 1'000;
    int beyond = 0;
    for (int i = 0; i < jobsPerSecond * seconds; ++i) {
        const auto at = from + milliseconds {i * second / jobsPerSecond};
        beyond += chargeJob(shares, "desk", weight, at) ? 1 : 0;
    }
    return beyond;
}

} // namespace

// Guards against a team that is held back although it sends no more than it is owed.
TEST_CASE("a team that keeps its rate is never beyond its share", "[dispatch]")
{
    const std::int32_t weight = GENERATE(1, 7, 100);
    team_shares shares;
    CHECK(countBeyond(shares, weight, weight, {1'000}, 60) == 0);
    SECTION("also if its jobs of a second come at once")
    {
        for (int second = 0; second < 20; ++second) {
            for (int i = 0; i < weight; ++i) {
                CHECK_FALSE(chargeJob(shares, "desk", weight, {100'000 + second * 1'000}));
            }
        }
    }
}

// Guards against a burst of 12 times the rate that counts as owed.
TEST_CASE("what a team sends in a burst is beyond its share, up to its rate", "[dispatch]")
{
    team_shares shares;
    constexpr int weight = 10;
    CHECK(countBeyond(shares, weight, weight, {1'000}, 10) == 0);
    const auto beyond = countBeyond(shares, weight, 12 * weight, {11'000}, 14);
    CHECK(beyond >= (12 - 1) * weight * 14 - 2 * weight);
    CHECK(beyond <= (12 - 1) * weight * 14 + weight);
    CHECK(isBeyondShare(shares, "desk", weight, {25'000}));
    // The burst is forgotten within seconds.
    CHECK(countBeyond(shares, weight, weight, {26'000}, 10) == 0);
}

TEST_CASE("a team without a weight has no share, and one that is unknown is not beyond it",
          "[dispatch]")
{
    team_shares shares;
    CHECK(countBeyond(shares, 0, 1'000, {1'000}, 5) == 0);
    CHECK(shares.buckets.empty());
    CHECK_FALSE(isBeyondShare(shares, "desk", 0, {1'000}));
    CHECK_FALSE(isBeyondShare(shares, "desk", 5, {1'000}));
}

// Guards against a team that is held back although nobody else waits.
TEST_CASE("a share counts only against the claims of others", "[dispatch]")
{
    share_claims claims;
    CHECK_FALSE(claimOfOthers(claims, "desk"));
    addClaim(claims, "desk", 2);
    CHECK_FALSE(claimOfOthers(claims, "desk"));
    CHECK(claimOfOthers(claims, "flow") == 2);
    addClaim(claims, "flow", share_claims::unpressed);
    CHECK(claimOfOthers(claims, "desk") == share_claims::unpressed);
    addClaim(claims, "flow", 1);
    CHECK(claimOfOthers(claims, "desk") == 1);
    CHECK(claimOfOthers(claims, "flow") == 2);
    addClaim(claims, "pool", 3);
    CHECK(claimOfOthers(claims, "desk") == 3);
    CHECK(claimOfOthers(claims, "pool") == 2);
    CHECK(claimOfOthers(claims, "other") == 3);
}

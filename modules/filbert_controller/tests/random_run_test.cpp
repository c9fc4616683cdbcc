#include "random_cell.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

run_summary runOf(std::uint64_t seed)
{
    silenceLog();
    return random_cell {seed, {}}.run(20'000);
}

} // namespace

TEST_CASE("every promise holds in randomised runs with faults")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const auto summary = runOf(seed);
        CHECK(summary.answered > 50);
        CHECK(summary.jobs > 10);
        CHECK(summary.faults > 10);
    }
}

TEST_CASE("the same seed gives the same run")
{
    CHECK(runOf(77).digest == runOf(77).digest);
    CHECK(runOf(77).digest != runOf(78).digest);
}

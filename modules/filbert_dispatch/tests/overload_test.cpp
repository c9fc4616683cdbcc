#include "overload_model.h"

#include <catch2/catch.hpp>

using namespace filbert;

// Guards against a leader that never recovers from a burst: what it did for work that was late
// anyway took the time that new work needed, so that this became late as well.
TEST_CASE("after a burst, the work of a leader with enough time for the usual load is of use again",
          "[dispatch]")
{
    overload_settings settings;
    settings.processorShare = GENERATE(0.06, 0.08);
    SECTION("the usual load is served in time")
    {
        overload_model model {settings};
        model.run();
        const auto result = model.resultOf({1'000}, {9'000});
        CHECK(result.inTime * 10 >= result.submitted * 9);
    }
    SECTION("a burst of twice the load, while no leader serves for four seconds")
    {
        settings.burstFactor = 2;
        settings.newLeaderAt = {8'000};
        settings.withoutLeader = {4'000};
        settings.duration = {25'000};
        overload_model model {settings};
        model.run();
        const auto result = model.resultOf({15'000}, {20'000});
        CHECK(result.submitted > 50);
        CHECK((result.inTime + result.late) * 100 >= result.submitted * 95);
    }
}

// Guards against a leader that accepts whatever comes: once it has less time than the load needs,
// its turns get longer, targets wait idle for it, and nothing is in time any more, also after a
// burst.
TEST_CASE("after a burst, a leader without reserve goes on completing jobs in time", "[dispatch]")
{
    overload_settings settings;
    settings.processorShare = GENERATE(0.035, 0.04, 0.045);
    settings.duration = {25'000};
    const auto countInTime = [&](double burstFactor) {
        settings.burstFactor = burstFactor;
        overload_model model {settings};
        model.run();
        return model.resultOf({9'000}, {20'000}).inTime; // the burst is over by then
    };
    const auto withoutBurst = countInTime(1);
    CHECK(withoutBurst > 50);
    CHECK(countInTime(2) * 3 >= withoutBurst);
}

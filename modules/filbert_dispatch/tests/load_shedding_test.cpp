#include "filbert_dispatch/filbert_dispatch.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

/** A leader in virtual time to which jobs are submitted. */
struct shedding_fixture
{
    load_shedding shedding;
    time_point now {100'000};
    messages::work_queue queue;
    messages::staged_job job;
    int submitted = 0;

    shedding_fixture()
    {
        queue.set_slack_factor(1.5);
        queue.set_latency_objective_ms(250);
        setEstimate({560});
    }

    void setEstimate(milliseconds estimate)
    {
        job.clear_steps();
        job.add_steps()->set_estimate_ms(estimate.count);
    }

    void takeTurns(milliseconds each, int count)
    {
        for (int i = 0; i < count; ++i) {
            recordTurn(shedding, now);
            now = now + each;
        }
    }

    bool isRefused(const std::string &id) { return refusesJob(shedding, id, job, queue, now); }

    /** @return how many of a number of new jobs are refused */
    int countRefused(int jobs)
    {
        int refused = 0;
        for (int i = 0; i < jobs; ++i) {
            refused += isRefused("j" + std::to_string(submitted++)) ? 1 : 0;
        }
        return refused;
    }

    /** @return the id of a new job that is refused */
    std::string refusedJob()
    {
        std::string id;
        do {
            id = "j" + std::to_string(submitted++);
        } while (!isRefused(id));
        return id;
    }
};

} // namespace

// Guards against refusals by a leader that has time: after a pause of its process, and after work
// that comes up once, such as the first turns of a term.
TEST_CASE("a leader refuses nothing because of a few long turns", "[dispatch]")
{
    shedding_fixture fixture;
    fixture.takeTurns({10}, 100);
    CHECK(fixture.countRefused(100) == 0);
    fixture.takeTurns({4'000}, 1);
    CHECK(fixture.countRefused(100) == 0);
    fixture.takeTurns({10}, 100);
    fixture.takeTurns({100}, 3);
    CHECK(fixture.countRefused(100) == 0);
    fixture.takeTurns({10}, 30);
    CHECK(fixture.countRefused(100) == 0);
}

// Guards against a leader that accepts more than it has time for, so that all of it is late.
TEST_CASE("a leader refuses more and more new jobs while its turns stay long", "[dispatch]")
{
    shedding_fixture fixture;
    fixture.takeTurns({100}, 20);
    const auto soon = fixture.countRefused(100);
    CHECK(soon > 0);
    fixture.takeTurns({100}, 200);
    const auto later = fixture.countRefused(100);
    CHECK(later > soon);
    CHECK(later < 100); // else nothing would show that it has time again
    CHECK(later == refusedPercent(fixture.shedding));
    fixture.takeTurns({10}, 500);
    CHECK(fixture.countRefused(100) == 0);
}

TEST_CASE("a job that comes again after its refusal is accepted if it can still be in time",
          "[dispatch]")
{
    shedding_fixture fixture;
    fixture.takeTurns({100}, 200);
    SECTION("one with enough slack is not refused twice")
    {
        fixture.setEstimate({10'000}); // its objective is 15,250 ms
        const auto id = fixture.refusedJob();
        fixture.takeTurns({100}, 10);
        CHECK_FALSE(fixture.isRefused(id));
    }
    SECTION("one that would be late anyway waits until the leader has time")
    {
        const auto id = fixture.refusedJob(); // its objective is 1,090 ms
        fixture.takeTurns({100}, 10);
        CHECK(fixture.isRefused(id));
        fixture.takeTurns({10}, 500);
        CHECK_FALSE(fixture.isRefused(id));
    }
    SECTION("one that runs until it is cancelled has no time to miss")
    {
        fixture.job.mutable_steps(0)->set_lasts(true);
        const auto id = fixture.refusedJob();
        fixture.takeTurns({100}, 10);
        CHECK_FALSE(fixture.isRefused(id));
    }
}

TEST_CASE("the ids of refused jobs are forgotten", "[dispatch]")
{
    shedding_fixture fixture;
    fixture.takeTurns({100}, 200);
    CHECK(fixture.countRefused(20'000) > 10'000);
    CHECK(fixture.shedding.firstRefusedAt.size() <= 10'000);
    fixture.takeTurns({100}, 400);
    CHECK(fixture.shedding.firstRefusedAt.empty());
}

#pragma once

#include "filbert_core/filbert_core.h"

#include <functional>
#include <map>
#include <random>
#include <utility>

namespace filbert {

/** Event queue, clock and random numbers of a discrete-event simulation.

    The same seed gives the same sequence of events.
*/
class virtual_time
{
public:
    explicit virtual_time(std::uint64_t seed)
        : random {seed}
    {
    }

    /** Runs an action a number of milliseconds from now. */
    void schedule(std::int64_t ms, std::function<void()> action)
    {
        events.emplace(std::pair {now.ms + ms, ++lastEvent}, std::move(action));
    }

    /** Advances the clock to the earliest scheduled event and runs it. */
    void runNextEvent()
    {
        auto next = events.extract(events.begin());
        now.ms = next.key().first;
        next.mapped()();
    }

    /** @return a random number from 0 up to, but not including, the bound */
    std::uint64_t randomBelow(std::uint64_t bound) { return random() % bound; }

    /** @return true with a probability given in thousandths */
    bool chance(std::uint64_t perMille) { return randomBelow(1'000) < perMille; }

    time_point now {1'000'000};
    std::mt19937_64 random;

private:
    std::map<std::pair<std::int64_t, std::uint64_t>, std::function<void()>> events;
    std::uint64_t lastEvent = 0;
};

/** A host's monotonic clock, with an offset and a rate that differ from virtual time. */
struct skewed_clock
{
    std::int64_t offset = 0;
    std::int64_t ratePerMille = 1'000; // 1'010 = one percent fast

    time_point read(time_point real) const { return {offset + real.ms * ratePerMille / 1'000}; }
};

} // namespace filbert

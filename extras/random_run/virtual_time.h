#pragma once

#include "filbert_core/filbert_core.h"

#include <functional>
#include <map>
#include <random>
#include <utility>

namespace filbert {

/** Things that will happen, in virtual time; the same seed gives the same order. */
class virtual_time
{
public:
    explicit virtual_time(std::uint64_t seed)
        : random {seed}
    {
    }

    void after(std::int64_t ms, std::function<void()> action)
    {
        events.emplace(std::pair {now.ms + ms, ++lastEvent}, std::move(action));
    }

    /** Lets the next thing happen. */
    void step()
    {
        auto next = events.extract(events.begin());
        now.ms = next.key().first;
        next.mapped()();
    }

    /** @return a number from 0 to below the bound */
    std::uint64_t below(std::uint64_t bound) { return random() % bound; }

    /** @return true in so many of a thousand cases */
    bool chance(std::uint64_t inThousand) { return below(1'000) < inThousand; }

    time_point now {1'000'000};
    std::mt19937_64 random;

private:
    std::map<std::pair<std::int64_t, std::uint64_t>, std::function<void()>> events;
    std::uint64_t lastEvent = 0;
};

/** A host's monotonic clock: its own start and a rate that is a little off. */
struct skewed_clock
{
    std::int64_t offset = 0;
    std::int64_t perMille = 1'000; // 1'010 = one per cent fast

    time_point read(time_point real) const { return {offset + real.ms * perMille / 1'000}; }
};

} // namespace filbert

#pragma once

#include "clock.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace filbert {

/** Limits how often an event is logged that others can cause as often as they like. */
class event_limit
{
public:
    /** Decides whether to log an event that has just happened.

        @param now  time on any monotonic clock
        @return nothing if it must be left out; else how many have been since the last logged one
    */
    std::optional<std::uint64_t> admit(time_point now)
    {
        if (hasLogged && now < nextAt) {
            ++leftOut;
            return std::nullopt;
        }
        hasLogged = true;
        nextAt = now + period;
        return std::exchange(leftOut, 0);
    }

private:
    static constexpr milliseconds period {1'000};

    time_point nextAt;
    std::uint64_t leftOut = 0;
    bool hasLogged = false;
};

} // namespace filbert

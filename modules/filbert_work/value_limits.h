#pragma once

#include <cstdint>

namespace filbert {

// Limits of values from other processes. Sums and products of a few of them do not overflow.

constexpr std::int64_t maxDurationMs = std::int64_t {366} * 24 * 60 * 60 * 1'000;
constexpr std::int64_t maxWallMs = 253'402'300'799'999; // the end of the year 9999
constexpr int maxSteps = 1'000; // of a job
constexpr std::int64_t maxClockMs = (std::int64_t {1} << 53) - 1;

/** @return whether a duration, in ms, is not negative and not absurdly long */
constexpr bool isDuration(std::int64_t ms)
{
    return ms >= 0 && ms <= maxDurationMs;
}

/** Like isDuration(), for fractions of milliseconds; not true of NaN. */
constexpr bool isDuration(double ms)
{
    return ms >= 0 && ms <= static_cast<double>(maxDurationMs);
}

} // namespace filbert

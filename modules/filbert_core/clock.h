#pragma once

#include <compare>
#include <cstdint>

namespace filbert {

/** A span of time, in whole milliseconds. */
struct milliseconds
{
    std::int64_t count = 0;

    constexpr auto operator<=>(const milliseconds &) const = default;
};

constexpr milliseconds operator+(milliseconds a, milliseconds b)
{
    return {a.count + b.count};
}

constexpr milliseconds operator-(milliseconds a, milliseconds b)
{
    return {a.count - b.count};
}

constexpr milliseconds operator*(milliseconds a, std::int64_t factor)
{
    return {a.count * factor};
}

/** A point on one clock, in milliseconds since that clock's own start.

    Points of different hosts' clocks are never compared with each other: only their rates are
    trusted, within withClockRateMargin().
*/
struct time_point
{
    std::int64_t ms = 0;

    constexpr auto operator<=>(const time_point &) const = default;
};

constexpr time_point operator+(time_point t, milliseconds d)
{
    return {t.ms + d.count};
}

constexpr time_point operator-(time_point t, milliseconds d)
{
    return {t.ms - d.count};
}

constexpr milliseconds operator-(time_point a, time_point b)
{
    return {a.ms - b.ms};
}

/** Stretches a lease by the most that two hosts' clock rates may differ (5 %).

    Whoever grants a lease waits this long before it takes the lease for ended; whoever holds it
    counts the bare length.

    @param lease  what was promised, in milliseconds
    @return the time to wait, in milliseconds
*/
constexpr milliseconds withClockRateMargin(milliseconds lease)
{
    return {lease.count + lease.count / 20 + 1};
}

/** The host's monotonic clock, which goes on while the host is suspended: a lease must not outlive
    a sleep. @return milliseconds since the host's start */
time_point monotonicNow();

/** A number above all that earlier processes of this host got, with room for a million ids a
    millisecond behind each: ids that start here are new. */
std::uint64_t firstFreeId();

/** The host's wall clock, for the audit trail only. @return milliseconds since 1970, UTC */
std::int64_t wallClockMs();

} // namespace filbert

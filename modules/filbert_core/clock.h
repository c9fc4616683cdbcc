#pragma once

#include <compare>
#include <cstdint>

namespace filbert {

/** A duration in whole milliseconds. */
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

/** A point in time on one clock, in milliseconds since the start of that clock.

    Never compare time points of the clocks of different hosts. Only the rates of these clocks are
    assumed to agree, within the tolerance of withClockRateMargin().
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

/** Extends a lease by the maximum difference between the clock rates of two hosts (5 %).

    The grantor of a lease waits for the extended time before it considers the lease expired; the
    holder counts the granted time only.

    @param lease  the granted time
    @return the time that the grantor waits
*/
constexpr milliseconds withClockRateMargin(milliseconds lease)
{
    return {lease.count + lease.count / 20 + 1};
}

/** Reads the monotonic clock of the host. It advances while the host is suspended, so that leases
    expire during a suspension.

    @return the time since the start of the host
*/
time_point monotonicNow();

/** The first id of a range that no earlier process of this host has used.

    It is derived from the wall clock and leaves room for a million ids per millisecond.
*/
std::uint64_t firstFreeId();

/** Reads the wall clock of the host, for the audit trail. It may be adjusted at any time and is
    unsuitable for leases and timeouts.

    @return milliseconds since 1970, UTC
*/
std::int64_t wallClockMs();

} // namespace filbert

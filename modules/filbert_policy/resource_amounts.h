#pragma once

#include "filbert_messages/filbert_messages.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace filbert {

/** An amount of each resource: CPU in milli-cores, memory in MiB, whole accelerators, and slots, of
    which a running task takes one.
*/
struct resource_amounts
{
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
    std::int64_t slots = 0;

    bool operator==(const resource_amounts &) const = default;

    resource_amounts &operator+=(const resource_amounts &other)
    {
        milliCores += other.milliCores;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        slots += other.slots;
        return *this;
    }

    resource_amounts &operator-=(const resource_amounts &other)
    {
        milliCores -= other.milliCores;
        memoryMb -= other.memoryMb;
        accelerators -= other.accelerators;
        slots -= other.slots;
        return *this;
    }
};

inline resource_amounts operator+(resource_amounts a, const resource_amounts &b)
{
    return a += b;
}

inline resource_amounts operator-(resource_amounts a, const resource_amounts &b)
{
    return a -= b;
}

/** Multiplies a need.

    @param need   of one task
    @param count  number of tasks
    @return what all of them need in total
*/
inline resource_amounts scaledBy(const resource_amounts &need, std::size_t count)
{
    const auto factor = static_cast<std::int64_t>(count);
    return {need.milliCores * factor, need.memoryMb * factor, need.accelerators * factor,
            need.slots * factor};
}

/** @return whether the available amount covers a need, in every resource */
inline bool fitsWithin(const resource_amounts &need, const resource_amounts &available)
{
    return need.milliCores <= available.milliCores && need.memoryMb <= available.memoryMb
        && need.accelerators <= available.accelerators && need.slots <= available.slots;
}

/** @return the larger of two amounts, for each resource separately */
inline resource_amounts componentMax(const resource_amounts &a, const resource_amounts &b)
{
    return {std::max(a.milliCores, b.milliCores), std::max(a.memoryMb, b.memoryMb),
            std::max(a.accelerators, b.accelerators), std::max(a.slots, b.slots)};
}

/** @return the largest used fraction of any resource, as dominant resource fairness defines it
            (Ghodsi et al. 2011); a resource with a total of 0 does not count
*/
inline double dominantShare(const resource_amounts &used, const resource_amounts &total)
{
    const auto fraction = [](std::int64_t usedAmount, std::int64_t totalAmount) {
        return totalAmount > 0 ? static_cast<double>(usedAmount) / static_cast<double>(totalAmount)
                               : 0.0;
    };
    return std::max(
        {fraction(used.milliCores, total.milliCores), fraction(used.memoryMb, total.memoryMb),
         fraction(used.accelerators, total.accelerators), fraction(used.slots, total.slots)});
}

/** @return the amounts that a message states. @see taskNeedOf for the need of a task */
inline resource_amounts amountsOf(const messages::resources &message)
{
    return {message.milli_cores(), message.memory_mb(), message.accelerators(), message.slots()};
}

/** @return the need of one task; it takes exactly one slot, whatever the message states */
inline resource_amounts taskNeedOf(const messages::resources &message)
{
    return {message.milli_cores(), message.memory_mb(), message.accelerators(), 1};
}

/** @return a team's upper limit; a resource that the configuration leaves out is not limited */
inline resource_amounts limitOf(const messages::team &team)
{
    constexpr auto unlimited = std::numeric_limits<std::int64_t>::max() / 4;
    const auto &limit = team.upper_limit();
    return {limit.has_milli_cores() ? limit.milli_cores() : unlimited,
            limit.has_memory_mb() ? limit.memory_mb() : unlimited,
            limit.has_accelerators() ? limit.accelerators() : unlimited,
            limit.has_slots() ? limit.slots() : unlimited};
}

/** @return the amounts as a message */
inline messages::resources messageOf(const resource_amounts &amounts)
{
    messages::resources message;
    message.set_milli_cores(static_cast<std::int32_t>(amounts.milliCores));
    message.set_memory_mb(static_cast<std::int32_t>(amounts.memoryMb));
    message.set_accelerators(static_cast<std::int32_t>(amounts.accelerators));
    message.set_slots(static_cast<std::int32_t>(amounts.slots));
    return message;
}

} // namespace filbert

#include "cold_targets.h"

#include <algorithm>

namespace filbert {

namespace {

// Of the capacity of a target that has just started. Targets do not report how slow they are; with
// this part they have work from the first moment.
constexpr double minUsableFraction = 0.25;
// In the unit of fitCost(): less than remote data, which slows all of a task, and more than packing
// and than a second task of a step on one target.
constexpr double slowStartCost = 8.0;
// More than all other terms of fitCost() together.
constexpr double urgentSlowStartCost = 80.0;

} // namespace

void updateColdPeriod(cold_period &cold, milliseconds left, time_point now)
{
    if (left.count <= 0) {
        cold = {};
        return;
    }
    const bool wasCold = coldTimeLeft(cold, now).count > 0;
    cold.longest = wasCold ? std::max(cold.longest, left) : left;
    cold.warmAt = now + left;
}

milliseconds coldTimeLeft(const cold_period &cold, time_point now)
{
    return cold.warmAt > now ? cold.warmAt - now : milliseconds {0};
}

double usableFraction(const cold_period &cold, time_point now)
{
    const auto left = coldTimeLeft(cold, now);
    if (left.count == 0) {
        return 1.0;
    }
    const auto remaining =
        static_cast<double>(left.count) / static_cast<double>(std::max(cold.longest, left).count);
    return minUsableFraction + (1.0 - minUsableFraction) * (1.0 - remaining);
}

bool isWithinColdLimit(const resource_amounts &capacity, const resource_amounts &free,
                       const resource_amounts &need, double fraction)
{
    const auto used = capacity - free;
    if (used.milliCores == 0 && used.accelerators == 0) {
        return true;
    }
    const auto isWithin = [&](std::int64_t total, std::int64_t alreadyUsed, std::int64_t needed) {
        return needed == 0
            || static_cast<double>(alreadyUsed + needed) <= static_cast<double>(total) * fraction;
    };
    return isWithin(capacity.milliCores, used.milliCores, need.milliCores)
        && isWithin(capacity.accelerators, used.accelerators, need.accelerators);
}

double coldCost(const cold_task &task, milliseconds left)
{
    if (left.count <= 0 || task.isSlowStartHarmless) {
        return 0;
    }
    const double slowPart = task.estimate.count > 0
        ? std::min(1.0, static_cast<double>(left.count) / static_cast<double>(task.estimate.count))
        : 1.0;
    return (task.isUrgent ? urgentSlowStartCost : slowStartCost) * slowPart;
}

} // namespace filbert

#include "capacity_claims.h"

#include <algorithm>
#include <cmath>

namespace filbert {

namespace {

// Over this time ends of runs are averaged: some durations of the shortest tasks, and little beside
// the duration of a burst.
constexpr double releaseAveragingMs = 2'000;
// Requests that may wait for a caller, besides those that fit into the time of the callers: those
// that a pass of the next 40 ms would make anyway if more callers became free than expected.
constexpr std::size_t spareRequests = 32;
// Of each rank and speed at least so many requests may wait, or others would keep them from ever
// waiting long enough to be sent.
constexpr std::size_t requestsOfEachKind = 2;
// A request takes at most so much of the time of the callers that a pass gives away: a caller that
// has a slow call will have no other one before several further passes.
constexpr double maxBudgetMsPerCall = 150;

double decayFactor(const release_estimate &estimate, time_point now)
{
    return std::exp(-static_cast<double>((now - estimate.updatedAt).count) / releaseAveragingMs);
}

/** @return how many tasks fit into an amount of the resources that they need */
std::int64_t countIn(const resource_amounts &amount, const resource_amounts &need,
                     std::int64_t maxCount)
{
    const auto times = [&](std::int64_t needed, std::int64_t available) {
        return needed > 0 ? std::clamp<std::int64_t>(available / needed, 0, maxCount) : maxCount;
    };
    return std::min(times(need.milliCores, amount.milliCores),
                    times(need.accelerators, amount.accelerators));
}

} // namespace

void addRelease(release_estimate &estimate, const resource_amounts &released, time_point now)
{
    const auto factor = decayFactor(estimate, now);
    estimate.milliCores = estimate.milliCores * factor + static_cast<double>(released.milliCores);
    estimate.accelerators =
        estimate.accelerators * factor + static_cast<double>(released.accelerators);
    estimate.updatedAt = now;
}

resource_amounts expectedRelease(const release_estimate &estimate, milliseconds period,
                                 time_point now)
{
    const auto factor =
        decayFactor(estimate, now) * static_cast<double>(period.count) / releaseAveragingMs;
    resource_amounts released;
    released.milliCores = std::llround(estimate.milliCores * factor);
    released.accelerators = std::llround(estimate.accelerators * factor);
    return released;
}

claimable_tasks claimableTasks(const capacity_claims &claims, const resource_amounts &need,
                               std::int64_t waiting, const resource_amounts &free,
                               const fitting_tasks &fitting, std::int64_t callsPerFreePlace)
{
    claimable_tasks claimable;
    auto unclaimed = scaledBy(free, static_cast<std::size_t>(callsPerFreePlace));
    unclaimed -= claims.freeClaimed;
    const auto unclaimedPlaces = fitting.tasks * callsPerFreePlace - fitting.claimed;
    claimable.free = std::clamp<std::int64_t>(std::min(unclaimedPlaces, fitting.tasks), 0,
                                              countIn(unclaimed, need, waiting));
    const auto rest = waiting - claimable.free;
    claimable.releasing =
        fitting.isPossible ? countIn(claims.releasing[need.accelerators > 0], need, rest) : 0;
    return claimable;
}

void claimCapacity(capacity_claims &claims, const resource_amounts &need,
                   const claimable_tasks &tasks, fitting_tasks &fitting)
{
    fitting.claimed += tasks.free;
    claims.freeClaimed += scaledBy(need, static_cast<std::size_t>(tasks.free));
    claims.releasing[need.accelerators > 0] -=
        scaledBy(need, static_cast<std::size_t>(tasks.releasing));
}

bool mayRequestCall(const call_budget &budget, int rank, bool isQuick)
{
    const auto ofKind = budget.waitingByKind.find({rank, isQuick});
    return budget.callerMs > 0 || budget.waiting < spareRequests
        || ofKind == budget.waitingByKind.end() || ofKind->second < requestsOfEachKind;
}

void countCall(call_budget &budget, int rank, bool isQuick, milliseconds duration)
{
    budget.callerMs -= std::min(static_cast<double>(duration.count), maxBudgetMsPerCall);
    ++budget.waiting;
    budget.waitingSlow += isQuick ? 0 : 1;
    ++budget.waitingByKind[{rank, isQuick}];
}

} // namespace filbert

#include "team_shares.h"

#include <algorithm>

namespace filbert {

namespace {

// What a team may save up. It covers the uneven arrivals of a team that keeps its rate on average,
// and is used up soon after the beginning of a burst.
constexpr milliseconds maxSavedTime {2'000};
// A bucket holds at least one job, so that a team with a weight below that is served at its rate.
constexpr double minBucketSize = 1.0;
constexpr double millisecondsPerSecond = 1e3;

double bucketSize(std::int32_t weight)
{
    const auto saved = static_cast<double>(weight) * static_cast<double>(maxSavedTime.count)
        / millisecondsPerSecond;
    return std::max(saved, minBucketSize);
}

double tokensAt(const team_shares::bucket &bucket, std::int32_t weight, time_point now)
{
    const auto elapsed = static_cast<double>((now - bucket.filledAt).count);
    const auto added = std::max(elapsed, 0.0) * static_cast<double>(weight) / millisecondsPerSecond;
    return std::min(bucket.tokens + added, bucketSize(weight));
}

} // namespace

bool isBeyondShare(const team_shares &shares, const std::string &team, std::int32_t weight,
                   time_point now)
{
    const auto found = shares.buckets.find(team);
    return weight > 0 && found != shares.buckets.end()
        && tokensAt(found->second, weight, now) < 1.0;
}

bool chargeJob(team_shares &shares, const std::string &team, std::int32_t weight, time_point now)
{
    if (weight <= 0) {
        return false;
    }
    const auto [found, isNew] = shares.buckets.try_emplace(team);
    auto &bucket = found->second;
    bucket.tokens = isNew ? bucketSize(weight) : tokensAt(bucket, weight, now);
    bucket.filledAt = now;
    if (bucket.tokens < 1.0) {
        return true;
    }
    bucket.tokens -= 1.0;
    return false;
}

void addClaim(share_claims &claims, std::string_view team, int priority)
{
    if (claims.team.empty() || claims.team == team) {
        claims.team = team;
        claims.priority = std::max(claims.priority, priority);
        return;
    }
    const auto other = claims.otherPriority.value_or(share_claims::unpressed);
    if (priority > claims.priority) {
        claims.otherPriority = std::max(other, claims.priority);
        claims.team = team;
        claims.priority = priority;
    } else {
        claims.otherPriority = std::max(other, priority);
    }
}

std::optional<int> claimOfOthers(const share_claims &claims, std::string_view team)
{
    if (claims.team.empty()) {
        return std::nullopt;
    }
    return claims.team == team ? claims.otherPriority : std::optional {claims.priority};
}

} // namespace filbert

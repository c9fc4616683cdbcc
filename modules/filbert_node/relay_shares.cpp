#include "relay_shares.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace filbert {

namespace {

// Two late reviews in a row, and the time until answers are late, fit into a second.
constexpr milliseconds reviewPeriod {250};
constexpr int lateReviewsBeforeReduction = 2;
// Delays are collected for longer if there are too few of them for a median.
constexpr milliseconds maxCollection {1'000};
constexpr std::size_t minDelays = 8;
constexpr std::size_t maxDelays = 1'024; // kept for each relay between two reviews
// A relay is late above the first pair of bounds, and on time below the second one. The margins are
// two and one turns of the loops of relay and target, which tick every 10 to 20 ms.
constexpr std::int64_t lateFactor = 2;
constexpr std::int64_t lateMarginMs = 40;
constexpr std::int64_t onTimeFactorPercent = 150;
constexpr std::int64_t onTimeMarginMs = 20;
constexpr int maxHalvings = 3; // an eighth is left, by which the relay can show that it is faster
// The orders that a relay had before its share was reduced have been answered after this time.
constexpr milliseconds minTimeBetweenReductions {1'000};
constexpr milliseconds minRecoveryDelay {2'000};
constexpr milliseconds maxRecoveryDelay {32'000};

std::int64_t medianOf(std::vector<std::int64_t> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/** @return the typical delay of a relay, with the orders that have waited for longer already, or -1
    if there are too few of both */
std::int64_t typicalDelay(const relay_pace &pace, const relay_backlog &backlog)
{
    auto delays = pace.delaysMs;
    const auto answered = delays.empty() ? 0 : medianOf(delays);
    std::copy_if(backlog.agesMs.begin(), backlog.agesMs.end(), std::back_inserter(delays),
                 [&](std::int64_t age) { return age > answered; });
    return delays.size() < minDelays ? -1 : medianOf(delays);
}

struct relay_delay
{
    const relay_backlog *backlog = nullptr;
    std::int64_t typicalMs = -1;
};

/** @return the typical delay of the other relays in the failure domain of one, or -1 */
std::int64_t othersDelay(const std::vector<relay_delay> &delays, const relay_backlog &of)
{
    std::vector<std::int64_t> others;
    for (const auto &[backlog, typicalMs] : delays) {
        if (backlog != &of && backlog->failureDomain == of.failureDomain && typicalMs >= 0) {
            others.push_back(typicalMs);
        }
    }
    return others.empty() ? -1 : medianOf(others);
}

double shareAfter(int halvings)
{
    return 1.0 / static_cast<double>(1 << halvings);
}

bool reduceShare(relay_pace &pace, time_point now)
{
    pace.lateReviews = 0;
    pace.lastLateAt = now;
    if (pace.halvings >= maxHalvings
        || (pace.halvings > 0 && now - pace.lastReductionAt < minTimeBetweenReductions)) {
        return false;
    }
    // A relay that is late again soon after it got a share back waits for longer the next time, so
    // that its targets do not move to and fro.
    const bool isRepeated = pace.lastRaiseAt.ms > 0 && now - pace.lastRaiseAt < maxRecoveryDelay;
    const auto delay = isRepeated ? pace.recoveryDelay * 2 : minRecoveryDelay;
    pace.recoveryDelay = std::clamp(delay, minRecoveryDelay, maxRecoveryDelay);
    ++pace.halvings;
    pace.lastReductionAt = now;
    return true;
}

bool raiseShare(relay_pace &pace, time_point now)
{
    const auto since = std::max(pace.lastLateAt, pace.lastRaiseAt);
    if (pace.halvings == 0 || now - since < pace.recoveryDelay) {
        return false;
    }
    --pace.halvings;
    pace.lastRaiseAt = now;
    return true;
}

/** @return whether the share of a relay has changed */
bool reviewPace(relay_pace &pace, std::int64_t typicalMs, std::int64_t othersMs, time_point now)
{
    const bool isKnown = typicalMs >= 0 && othersMs >= 0;
    const bool isLate = isKnown && typicalMs > othersMs * lateFactor + lateMarginMs;
    const bool isOnTime =
        !isKnown || typicalMs <= othersMs * onTimeFactorPercent / 100 + onTimeMarginMs;
    if (isLate) {
        pace.lastLateAt = now;
        return ++pace.lateReviews >= lateReviewsBeforeReduction && reduceShare(pace, now);
    }
    pace.lateReviews = 0;
    if (!isOnTime) {
        pace.lastLateAt = now; // neither late nor on time: its share stays as it is
    }
    return raiseShare(pace, now);
}

} // namespace

void recordAnswerDelay(relay_shares &shares, const std::string &relay, milliseconds delay,
                       time_point now)
{
    auto &pace = shares.paces[relay];
    if (pace.delaysMs.empty()) {
        pace.collectedSince = now;
    }
    if (delay.count >= 0 && pace.delaysMs.size() < maxDelays) {
        pace.delaysMs.push_back(delay.count);
    }
}

bool recordUnansweredOrder(relay_shares &shares, const std::string &relay, time_point now)
{
    auto &pace = shares.paces[relay];
    pace.delaysMs.clear();
    return reduceShare(pace, now);
}

bool isReviewDue(const relay_shares &shares, time_point now)
{
    return now >= shares.nextReviewAt;
}

std::vector<share_change> reviewShares(relay_shares &shares,
                                       const std::vector<relay_backlog> &backlogs, time_point now)
{
    shares.nextReviewAt = now + reviewPeriod;
    std::vector<relay_delay> delays;
    delays.reserve(backlogs.size());
    for (const auto &backlog : backlogs) {
        delays.push_back({&backlog, typicalDelay(shares.paces[backlog.name], backlog)});
    }
    std::vector<share_change> changes;
    for (const auto &[backlog, typicalMs] : delays) {
        auto &pace = shares.paces.at(backlog->name);
        const auto othersMs = othersDelay(delays, *backlog);
        if (reviewPace(pace, typicalMs, othersMs, now)) {
            changes.push_back({backlog->name, shareAfter(pace.halvings),
                               std::max<std::int64_t>(typicalMs, 0),
                               std::max<std::int64_t>(othersMs, 0)});
        }
        if (typicalMs >= 0 || now - pace.collectedSince >= maxCollection) {
            pace.delaysMs.clear();
        }
    }
    std::erase_if(shares.paces, [&](const auto &each) {
        const bool isRelay =
            std::any_of(backlogs.begin(), backlogs.end(),
                        [&](const auto &backlog) { return backlog.name == each.first; });
        return !isRelay && now - each.second.lastLateAt >= maxRecoveryDelay;
    });
    return changes;
}

double shareOf(const relay_shares &shares, const std::string &relay)
{
    const auto found = shares.paces.find(relay);
    return found == shares.paces.end() ? 1.0 : shareAfter(found->second.halvings);
}

} // namespace filbert

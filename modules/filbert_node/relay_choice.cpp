#include "relay_choice.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

namespace filbert {

namespace {

// A relay is not used if another one's link is more than this many times as wide: start orders
// carry whole task specifications and would saturate the narrow link while the wide one is idle.
constexpr std::uint64_t maxLinkRatio = 10;
// std::hash returns 64 bits; a hash value times this is a fraction of 1.
constexpr double hashUnit = 0x1p-64;

std::size_t hashOf(const std::string &target, const std::string &relay)
{
    std::string key = target;
    key += '/';
    key += relay;
    return std::hash<std::string> {}(key);
}

double ratioOf(std::uint32_t value, std::uint32_t largest)
{
    return value == 0 ? 1.0 : static_cast<double>(value) / static_cast<double>(largest);
}

} // namespace

std::vector<weighted_relay> weighRelays(const std::vector<active_relay> &relays)
{
    std::uint32_t widestLink = 0;
    for (const auto &relay : relays) {
        widestLink = std::max(widestLink, relay.info.linkMbps);
    }
    const auto isUsable = [&](const active_relay &relay) {
        return relay.info.linkMbps * maxLinkRatio >= widestLink;
    };
    std::uint32_t mostMilliCores = 0;
    for (const auto &relay : relays) {
        mostMilliCores =
            isUsable(relay) ? std::max(mostMilliCores, relay.info.milliCores) : mostMilliCores;
    }
    std::vector<weighted_relay> weighted;
    for (const auto &relay : relays) {
        if (isUsable(relay)) {
            const auto capacity = std::min(ratioOf(relay.info.linkMbps, widestLink),
                                           ratioOf(relay.info.milliCores, mostMilliCores));
            weighted.push_back({relay.name, relay.info.failureDomain, capacity * relay.share});
        }
    }
    return weighted;
}

std::string chooseRelay(const std::vector<weighted_relay> &relays, const std::string &target,
                        const std::string &failureDomain)
{
    std::string best;
    std::tuple<bool, double, std::size_t> bestScore;
    for (const auto &relay : relays) {
        const auto hash = hashOf(target, relay.name);
        // For a fraction u of 1, weight / -ln(u) is the greatest for each relay with a probability
        // in proportion to its weight.
        const double score = relay.weight / -std::log(static_cast<double>(hash) * hashUnit);
        const std::tuple rank {relay.failureDomain == failureDomain, score, hash};
        if (best.empty() || rank > bestScore) {
            best = relay.name;
            bestScore = rank;
        }
    }
    return best;
}

} // namespace filbert

#include "filbert_node/filbert_node.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace filbert;

namespace {

constexpr int targetCount = 2'000;

std::string targetName(int number)
{
    return std::to_string(number).insert(0, "target-");
}

std::map<std::string, int> countByRelay(const std::vector<weighted_relay> &relays)
{
    std::map<std::string, int> counts;
    for (int i = 0; i < targetCount; ++i) {
        ++counts[chooseRelay(relays, targetName(i), "a")];
    }
    return counts;
}

/** The choice among relays without weights: the highest hash value in the failure domain. */
std::string unweightedChoice(const std::vector<active_relay> &relays, const std::string &target,
                             const std::string &failureDomain)
{
    std::string best;
    std::pair<bool, std::size_t> bestHash;
    for (const auto &relay : relays) {
        const std::pair<bool, std::size_t> hash {
            relay.info.failureDomain == failureDomain,
            std::hash<std::string> {}(target + "/" + relay.name)};
        if (best.empty() || hash > bestHash) {
            best = relay.name;
            bestHash = hash;
        }
    }
    return best;
}

} // namespace

// Guards against targets that move to other relays, with new connections, where nothing differs.
TEST_CASE("equal relays get the same targets as without weights", "[relay]")
{
    const auto milliCores = GENERATE(0U, 120U);
    constexpr int relayCount = 30;
    std::vector<active_relay> relays;
    relays.reserve(relayCount);
    for (int i = 0; i < relayCount; ++i) {
        relays.push_back({std::to_string(i).insert(0, "gateway-"),
                          {std::string(1, static_cast<char>('a' + i % 3)), 1, 2, milliCores}});
    }
    for (int i = 0; i < targetCount; ++i) {
        const std::string domain(1, static_cast<char>('a' + i % 4));
        REQUIRE(chooseRelay(weighRelays(relays), targetName(i), domain)
                == unweightedChoice(relays, targetName(i), domain));
    }
}

// Guards against a small host that gets as many orders as large ones, and is late with them.
TEST_CASE("relays get targets in proportion to the scarcer of link and processor", "[relay]")
{
    const auto relays = weighRelays({{"both", {"a", 1, 5, 300}},
                                     {"small-processor", {"a", 1, 5, 75}},
                                     {"narrow-link", {"a", 1, 2, 300}},
                                     {"unknown-processor", {"a", 1, 5, 0}}});
    const auto counts = countByRelay(relays);
    const double whole = targetCount / (1 + 0.25 + 0.4 + 1);
    CHECK(std::abs(counts.at("both") - whole) < whole * 0.15);
    CHECK(std::abs(counts.at("unknown-processor") - whole) < whole * 0.15);
    CHECK(std::abs(counts.at("small-processor") - whole * 0.25) < whole * 0.15);
    CHECK(std::abs(counts.at("narrow-link") - whole * 0.4) < whole * 0.15);
}

// Guards against a change of one relay that moves the targets of all.
TEST_CASE("a relay with a smaller share gives targets away, and the others keep theirs", "[relay]")
{
    std::vector<active_relay> active;
    for (const auto *name : {"g1", "g2", "g3", "g4"}) {
        active.push_back({name, {"a", 1, 2, 120}});
    }
    const auto before = weighRelays(active);
    active[1].share = 0.5;
    const auto after = weighRelays(active);
    int moved = 0;
    for (int i = 0; i < targetCount; ++i) {
        const auto from = chooseRelay(before, targetName(i), "a");
        const auto to = chooseRelay(after, targetName(i), "a");
        moved += from == to ? 0 : 1;
        REQUIRE((from == to || from == "g2"));
    }
    // Of a quarter to a seventh of all targets.
    CHECK(moved > targetCount * 0.08);
    CHECK(moved < targetCount * 0.14);
}

TEST_CASE("a relay of another failure domain is chosen only if there is none in the target's own",
          "[relay]")
{
    const auto relays = weighRelays({{"small", {"a", 1, 2, 10}}, {"large", {"b", 1, 2, 4'000}}});
    CHECK(countByRelay(relays).at("small") == targetCount);
    CHECK(chooseRelay(relays, "t1", "b") == "large");
    CHECK_FALSE(chooseRelay(relays, "t1", "c").empty());
}

#include "filbert_node/filbert_node.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

/** Relays in virtual time, each of which answers 100 orders a second after its own delay. */
struct relay_model
{
    time_point now {10'000};
    relay_shares shares;
    std::map<std::string, milliseconds> delays; // by relay
    std::map<std::string, std::string> domains; // by relay; "a" if it is not here
    std::vector<share_change> changes;

    void runFor(milliseconds duration)
    {
        for (const auto end = now + duration; now < end; now = now + milliseconds {10}) {
            std::vector<relay_backlog> backlogs;
            for (const auto &[name, delay] : delays) {
                recordAnswerDelay(shares, name, delay, now);
                const auto domain = domains.find(name);
                backlogs.push_back({name, domain == domains.end() ? "a" : domain->second, {}});
            }
            review(backlogs);
        }
    }

    void review(const std::vector<relay_backlog> &backlogs)
    {
        if (!isReviewDue(shares, now)) {
            return;
        }
        for (const auto &change : reviewShares(shares, backlogs, now)) {
            changes.push_back(change);
        }
    }
};

relay_model modelOf(std::int64_t g1, std::int64_t g2, std::int64_t g3)
{
    relay_model model;
    model.delays = {{"g1", {g1}}, {"g2", {g2}}, {"g3", {g3}}};
    return model;
}

} // namespace

TEST_CASE("a relay that falls behind gets less within a second, the others as before", "[relay]")
{
    auto model = modelOf(15, 15, 15);
    model.runFor({3'000});
    CHECK(model.changes.empty());
    model.delays["g2"] = {300};
    model.runFor({1'000});
    CHECK(shareOf(model.shares, "g2") == 0.5);
    CHECK(shareOf(model.shares, "g1") == 1);
    CHECK(shareOf(model.shares, "g3") == 1);
    model.runFor({10'000});
    CHECK(shareOf(model.shares, "g2") == 0.125); // never nothing, or it could not show its recovery
    CHECK(model.changes.size() == 3);
}

// Guards against a relay that has stopped to answer at all and so has no late answers either.
TEST_CASE("orders without an answer count as late before they time out", "[relay]")
{
    auto model = modelOf(15, 15, 15);
    model.runFor({2'000});
    const auto stalledAt = model.now;
    std::vector<std::int64_t> ages;
    for (; model.now < stalledAt + milliseconds {1'000};
         model.now = model.now + milliseconds {10}) {
        recordAnswerDelay(model.shares, "g1", {15}, model.now);
        recordAnswerDelay(model.shares, "g2", {15}, model.now);
        for (auto &age : ages) {
            age += 10;
        }
        ages.push_back(0);
        model.review({{"g1", "a", {}}, {"g2", "a", {}}, {"g3", "a", ages}});
    }
    CHECK(shareOf(model.shares, "g3") == 0.5);
}

TEST_CASE("a relay that recovers gets its share back step by step", "[relay]")
{
    auto model = modelOf(15, 300, 15);
    model.runFor({5'000});
    REQUIRE(shareOf(model.shares, "g2") == 0.125);
    model.delays["g2"] = {15};
    model.runFor({2'500});
    CHECK(shareOf(model.shares, "g2") == 0.25);
    model.runFor({5'000});
    CHECK(shareOf(model.shares, "g2") == 1);
}

// Guards against targets that move to and fro between a relay that is too small and the others.
TEST_CASE("a relay that is late whenever it has its whole share moves its targets more rarely",
          "[relay]")
{
    auto model = modelOf(15, 15, 15);
    std::size_t changesInFirstMinute = 0;
    for (int i = 0; i < 2 * 60 * 100; ++i) {
        model.delays["g2"] = {shareOf(model.shares, "g2") == 1 ? 300 : 15};
        model.runFor({10});
        changesInFirstMinute = i == 60 * 100 ? model.changes.size() : changesInFirstMinute;
    }
    CHECK(changesInFirstMinute <= 10);
    CHECK(model.changes.size() - changesInFirstMinute <= 6);
}

TEST_CASE("relays that are late alike, or alone in their failure domain, keep their shares",
          "[relay]")
{
    auto model = modelOf(300, 310, 290);
    model.runFor({3'000});
    CHECK(model.changes.empty());
    model.delays = {{"g1", {15}}, {"g2", {15}}, {"g3", {300}}};
    model.domains["g3"] = "b"; // all links to it may be slow
    model.runFor({3'000});
    CHECK(model.changes.empty());
}

// Guards against shares that follow noise: between both bounds a share stays as it is.
TEST_CASE("delays that differ little change no share", "[relay]")
{
    auto model = modelOf(15, 50, 30);
    model.runFor({10'000});
    CHECK(model.changes.empty());
}

TEST_CASE("an order without an answer halves the share of its relay until it is on time again",
          "[relay]")
{
    auto model = modelOf(15, 15, 15);
    model.runFor({1'000});
    CHECK(recordUnansweredOrder(model.shares, "g1", model.now));
    CHECK(shareOf(model.shares, "g1") == 0.5);
    CHECK_FALSE(recordUnansweredOrder(model.shares, "g1", model.now)); // one step at a time
    model.runFor({2'500});
    CHECK(shareOf(model.shares, "g1") == 1);
}

TEST_CASE("what is known of a relay that is gone is forgotten", "[relay]")
{
    auto model = modelOf(15, 15, 300);
    model.runFor({2'000});
    model.delays.erase("g3");
    model.runFor({40'000});
    CHECK_FALSE(model.shares.paces.contains("g3"));
}

#include "filbert_replication/filbert_replication.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iterator>
#include <utility>

using namespace filbert;

namespace {

constexpr milliseconds step {10};

messages::member memberIn(const std::string &identity, bool isLearner = false)
{
    messages::member member;
    member.set_identity(identity);
    member.set_address("tcp://host-" + identity);
    member.set_learner(isLearner);
    return member;
}

/** Controllers that exchange messages without a network, in virtual time. Each message arrives
    with the next step; the leader follows the membership policy. */
struct simulated_group
{
    std::map<std::string, replicated_log_state> members;
    std::map<std::string, std::string> domains;
    std::set<std::string> lost;
    std::map<std::string, std::map<std::string, time_point>> lastContactAt; // by receiver
    std::map<std::string, std::vector<std::string>> applied;
    std::vector<messages::replication_message> underWay;
    std::string lastLeader;
    time_point leadingSince;
    membership_settings settings;
    time_point now {10'000};

    /** @param voters    identity and failure domain of each
        @param learners  the same */
    simulated_group(const std::map<std::string, std::string> &voters,
                    const std::map<std::string, std::string> &learners, int faultTolerance)
    {
        settings.faultTolerance = faultTolerance;
        messages::membership membership;
        for (const auto &[identity, domain] : voters) {
            *membership.add_members() = memberIn(identity);
        }
        for (const auto &[identity, domain] : learners) {
            *membership.add_members() = memberIn(identity, true);
        }
        domains = voters;
        domains.insert(learners.begin(), learners.end());
        std::uint64_t seed = 1;
        for (const auto &[identity, domain] : domains) {
            stored_state stored;
            stored.identity = identity;
            stored.term = 1;
            auto first = makeBootstrapEntry({});
            first.set_payload(membership.SerializeAsString());
            stored.entries = {first};
            members.emplace(identity, makeReplicatedLog(stored, {}, seed++, now));
            members.at(identity).promotionOrder.emplace();
        }
    }

    void collect(replicated_log_state &state, replication_effects &effects)
    {
        while (effects.mustPersist || !effects.entriesToPersist.empty()) {
            effects.mustPersist = false;
            effects.entriesToPersist.clear();
            handlePersisted(state, lastIndex(state), now, &effects);
        }
        for (auto *messages : {&effects.messagesBeforeSync, &effects.messagesAfterSync}) {
            underWay.insert(underWay.end(), messages->begin(), messages->end());
        }
        for (const auto &entry : effects.entriesToApply) {
            if (entry.kind() == messages::COMMANDS) {
                applied[state.self].push_back(entry.payload());
            }
        }
    }

    void runFor(milliseconds duration)
    {
        for (const auto end = now + duration; now < end; now = now + step) {
            for (const auto &message : std::exchange(underWay, {})) {
                if (lost.contains(message.from()) || lost.contains(message.to())) {
                    continue;
                }
                lastContactAt[message.to()][message.from()] = now;
                replication_effects effects;
                handleReplicationMessage(members.at(message.to()), message, now, &effects);
                collect(members.at(message.to()), effects);
            }
            for (auto &[identity, state] : members) {
                if (!lost.contains(identity)) {
                    replication_effects effects;
                    tickLog(state, now, &effects);
                    collect(state, effects);
                }
            }
            followPolicy();
        }
    }

    replicated_log_state *leader()
    {
        for (auto &[identity, state] : members) {
            if (!lost.contains(identity) && isReadyLeader(state) && hasLease(state, now)) {
                return &state;
            }
        }
        return nullptr;
    }

    void followPolicy()
    {
        auto *state = leader();
        if (state == nullptr) {
            return;
        }
        if (std::exchange(lastLeader, state->self) != state->self) {
            leadingSince = now;
        }
        membership_view view;
        view.membership = &state->membership;
        view.self = state->self;
        view.leadingSince = leadingSince;
        view.lastContactAt = lastContactAt[state->self];
        view.failureDomains = domains;
        state->promotionOrder = promotionOrder(view, settings, now);
        if (const auto change = nextMembershipChange(view, settings, now)) {
            replication_effects effects;
            changeMembership(*state, change->add, change->member, now, &effects);
            collect(*state, effects);
        }
    }

    /** @return whether a leader commits an entry within the time that an election takes */
    bool commits(const std::string &payload)
    {
        for (int i = 0; i < 50 && leader() == nullptr; ++i) {
            runFor({100});
        }
        auto *state = leader();
        if (state == nullptr) {
            return false;
        }
        replication_effects effects;
        if (propose(*state, {payload}, now, &effects)) {
            return false;
        }
        collect(*state, effects);
        runFor({300});
        const auto &entries = applied[state->self];
        return std::find(entries.begin(), entries.end(), payload) != entries.end();
    }

    void loseDomain(const std::string &domain)
    {
        for (const auto &[identity, of] : domains) {
            if (of == domain) {
                lost.insert(identity);
            }
        }
    }

    std::set<std::string> voters()
    {
        std::set<std::string> identities;
        for (const auto &member : leader()->membership.members()) {
            if (!member.learner()) {
                identities.insert(member.identity());
            }
        }
        return identities;
    }
};

const std::map<std::string, std::string> fiveInThreeDomains {
    {"a", "d1"}, {"b", "d1"}, {"c", "d2"}, {"d", "d2"}, {"e", "d3"}};

/** What the policy sees of a group in which all members work. */
struct policy_fixture
{
    messages::membership members;
    membership_view view;
    membership_settings settings;
    time_point now {50'000};

    void add(const std::string &identity, const std::string &domain, bool isLearner = false)
    {
        *members.add_members() = memberIn(identity, isLearner);
        view.membership = &members;
        view.self = members.members(0).identity();
        view.leadingSince = now - milliseconds {10'000};
        view.lastContactAt[identity] = now;
        view.failureDomains[identity] = domain;
    }

    void silence(const std::string &identity)
    {
        view.lastContactAt[identity] = now - milliseconds {5'000};
    }
};

} // namespace

TEST_CASE("a majority remains after the loss of a domain only if no domain has too many voters",
          "[domains]")
{
    CHECK(survivesDomainLoss({"d1", "d2", "d3"}));
    CHECK(survivesDomainLoss({"d1", "d1", "d2", "d2", "d3"}));
    CHECK(survivesDomainLoss({"", "", ""})); // unknown ones count as different
    CHECK_FALSE(survivesDomainLoss({"d1", "d1", "d2"}));
    CHECK_FALSE(survivesDomainLoss({"d1", "d1", "d2", "d3"}));
    CHECK_FALSE(survivesDomainLoss({"d1", "d1", "d1", "d2", "d3"}));
    CHECK_FALSE(survivesDomainLoss({"d1"}));
    CHECK_FALSE(survivesDomainLoss({"d1", "d2"}));
}

TEST_CASE("five controllers in three failure domains go on after the loss of any one domain",
          "[domains]")
{
    const std::string domain = GENERATE("d1", "d2", "d3");
    simulated_group group {fiveInThreeDomains, {}, 2};
    REQUIRE(group.commits("before"));
    group.loseDomain(domain);
    REQUIRE(group.commits("after"));
    CHECK(group.applied.at(group.leader()->self) == std::vector<std::string> {"before", "after"});
    CHECK(group.voters().size() == 5); // none is removed: there are no others
    group.lost.clear();
    group.runFor({2'000});
    CHECK(group.commits("again"));
    CHECK(group.voters().size() == 5);
    for (const auto &[identity, of] : fiveInThreeDomains) {
        CHECK(group.applied.at(identity) == std::vector<std::string> {"before", "after", "again"});
    }
}

// Guards against a lost voter that is replaced in the domain that has the most voters already.
TEST_CASE("lost voters are replaced by spare controllers, first from domains with few voters",
          "[domains]")
{
    const std::map<std::string, std::string> spares {{"f", "d2"}, {"g", "d3"}};
    simulated_group group {fiveInThreeDomains, spares, 2};
    REQUIRE(group.commits("before"));
    group.runFor({3'000});
    group.lost.insert("e"); // the only one in d3
    REQUIRE(group.commits("after"));
    group.runFor({4'000});
    const auto voters = group.voters();
    CHECK(voters.size() == 5);
    CHECK(voters.contains("g"));
    std::vector<std::string> domains;
    std::transform(voters.begin(), voters.end(), std::back_inserter(domains),
                   [&](const auto &identity) { return group.domains.at(identity); });
    CHECK(survivesDomainLoss(domains));
    group.loseDomain("d2");
    CHECK(group.commits("after both"));
}

TEST_CASE("the policy is the same without known failure domains", "[domains]")
{
    policy_fixture fixture;
    for (const auto *identity : {"a", "b", "c"}) {
        fixture.add(identity, "");
    }
    fixture.add("d", "", true);
    CHECK(promotionOrder(fixture.view, fixture.settings, fixture.now)
          == std::vector<std::string> {"d"});
}

// Guards against a spare voter that makes one domain hold half of all voters.
TEST_CASE("a spare learner is held back while it would let one domain stop the log", "[domains]")
{
    policy_fixture fixture;
    fixture.add("a", "d1");
    fixture.add("b", "d2");
    fixture.add("c", "d3");
    fixture.add("d", "d1", true);
    const auto order = [&] { return promotionOrder(fixture.view, fixture.settings, fixture.now); };
    SECTION("alone")
    {
        CHECK(order().empty());
    }
    SECTION("with another that makes up for it")
    {
        fixture.add("e", "d2", true);
        CHECK(order().size() == 2);
    }
    SECTION("where a voter is missing")
    {
        fixture.silence("b");
        CHECK(order() == std::vector<std::string> {"d"});
    }
    SECTION("where there is no choice, since two voters are in its domain already")
    {
        fixture.view.failureDomains["b"] = "d1";
        CHECK(order() == std::vector<std::string> {"d"});
    }
}

TEST_CASE("of several processes that request to join, one from the emptiest domain is first",
          "[domains]")
{
    policy_fixture fixture;
    fixture.add("a", "d1");
    fixture.view.pendingJoins = {{memberIn("b"), fixture.now}, {memberIn("c"), fixture.now}};
    fixture.view.failureDomains["b"] = "d1";
    fixture.view.failureDomains["c"] = "d2";
    const auto change = nextMembershipChange(fixture.view, fixture.settings, fixture.now);
    REQUIRE(change);
    CHECK(change->add);
    CHECK(change->member.identity() == "c");
}

// Guards against an even number of voters of which one domain holds half.
TEST_CASE("a spare voter is removed if only without it any domain may be lost", "[domains]")
{
    policy_fixture fixture;
    fixture.add("a", "d1");
    fixture.add("b", "d2");
    fixture.add("c", "d2");
    fixture.add("d", "d3");
    const auto next = [&] {
        return nextMembershipChange(fixture.view, fixture.settings, fixture.now);
    };
    SECTION("among voters that work")
    {
        REQUIRE(next());
        CHECK(next()->member.identity() == "b");
    }
    SECTION("not if as many voters are desired")
    {
        fixture.settings.faultTolerance = 2;
        CHECK_FALSE(next());
    }
    SECTION("not without known failure domains")
    {
        fixture.view.failureDomains.clear();
        CHECK_FALSE(next());
    }
    SECTION("not while a learner may change that")
    {
        fixture.add("e", "d1", true);
        CHECK_FALSE(next());
    }
}

TEST_CASE("of several silent voters, one from the domain with the most voters is removed first",
          "[domains]")
{
    policy_fixture fixture;
    fixture.add("a", "d1");
    fixture.add("b", "d2");
    fixture.add("c", "d3");
    fixture.add("d", "d3");
    fixture.silence("b");
    fixture.silence("c");
    const auto change = nextMembershipChange(fixture.view, fixture.settings, fixture.now);
    REQUIRE(change);
    CHECK_FALSE(change->add);
    CHECK(change->member.identity() == "c");
}

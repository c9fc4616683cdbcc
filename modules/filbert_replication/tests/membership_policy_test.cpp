#include "../../filbert_storage/tests/fake_file_system.h"
#include "filbert_replication/filbert_replication.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

messages::member memberOf(const std::string &identity, const std::string &address,
                          bool isLearner = false)
{
    messages::member member;
    member.set_identity(identity);
    member.set_address(address);
    member.set_learner(isLearner);
    return member;
}

struct membership_fixture
{
    messages::membership members;
    membership_view view;
    membership_settings settings;
    time_point now {50'000};

    membership_fixture()
    {
        for (const auto *name : {"a", "b", "c"}) {
            *members.add_members() = memberOf(name, std::string {"tcp://host-"} + name);
            view.lastContactAt[name] = now;
        }
        view.membership = &members;
        view.self = "a";
        view.leadingSince = now - milliseconds {10'000};
    }

    std::optional<membership_change> nextChange()
    {
        return nextMembershipChange(view, settings, now);
    }
};

} // namespace

TEST_CASE("exactly one process bootstraps the log", "[formation]")
{
    const std::vector<std::string> seeds {"10.2.0.1:80", "10.1.0.9:80", "10.3.0.4:80"};
    int bootstrapMembers = 0;
    for (const auto &own : {"10.1.0.9:80", "10.2.0.1:80", "10.3.0.4:80", "10.4.0.1:80"}) {
        bootstrapMembers += isBootstrapMember(seeds, own) ? 1 : 0;
    }
    CHECK(bootstrapMembers == 1);
    CHECK_FALSE(isBootstrapMember({}, "10.1.0.9:80"));
}

TEST_CASE("a process that requests to join is added, unless its request is stale", "[formation]")
{
    membership_fixture fixture;
    CHECK_FALSE(fixture.nextChange());
    fixture.view.pendingJoins.push_back({memberOf("d", "tcp://host-d"), fixture.now});
    const auto change = fixture.nextChange();
    REQUIRE(change);
    CHECK(change->add);
    CHECK(change->member.identity() == "d");
    fixture.now = fixture.now + milliseconds {1'100};
    for (auto &[name, contactTime] : fixture.view.lastContactAt) {
        contactTime = fixture.now;
    }
    CHECK_FALSE(fixture.nextChange());
}

TEST_CASE("a silent member is removed only once there are enough other voters", "[formation]")
{
    membership_fixture fixture;
    fixture.view.lastContactAt["c"] = fixture.now - milliseconds {5'000};
    CHECK_FALSE(fixture.nextChange());
    *fixture.members.add_members() = memberOf("d", "tcp://host-d", true);
    fixture.view.lastContactAt["d"] = fixture.now;
    CHECK_FALSE(fixture.nextChange()); // the learner is no voter yet
    fixture.members.mutable_members(3)->set_learner(false);
    const auto change = fixture.nextChange();
    REQUIRE(change);
    CHECK_FALSE(change->add);
    CHECK(change->member.identity() == "c");
}

TEST_CASE("a member whose address another process has taken over is removed at once", "[formation]")
{
    membership_fixture fixture;
    fixture.view.lastContactAt["b"] = fixture.now - milliseconds {300};
    *fixture.members.add_members() = memberOf("b2", "tcp://host-b");
    fixture.view.lastContactAt["b2"] = fixture.now;
    const auto change = fixture.nextChange();
    REQUIRE(change);
    CHECK(change->member.identity() == "b");
}

TEST_CASE("a restarted member applies its log in batches, to answer others in between",
          "[formation]")
{
    constexpr std::uint64_t entries = 1'000;
    fake_file_system files;
    log_store store {files};
    REQUIRE(!store.initialise("a"));
    stored_state stored;
    storage_damage damage;
    REQUIRE(!store.open(&stored, &damage));
    stored.term = 1;
    stored.entries = {makeBootstrapEntry(memberOf("a", "tcp://host-a"))};
    for (std::uint64_t index = 2; index <= entries; ++index) {
        messages::log_entry entry;
        entry.set_index(index);
        entry.set_term(1);
        entry.set_kind(messages::COMMANDS);
        stored.entries.push_back(entry);
    }
    REQUIRE(!store.append(1, "", stored.entries));
    std::vector<std::uint64_t> applied;
    std::vector<std::uint64_t> snapshotIndexes; // the last applied entry at each snapshot
    log_member_hooks hooks;
    hooks.send = [](const messages::member &, const messages::replication_message &) {};
    hooks.apply = [&](const messages::log_entry &entry) { applied.push_back(entry.index()); };
    hooks.restore = [](const std::string &) {};
    hooks.makeSnapshot = [&] {
        snapshotIndexes.push_back(applied.back());
        return std::string {};
    };
    const time_point start {1'000};
    snapshot_settings snapshots;
    snapshots.entries = 10;
    log_member member {replication_settings {}, snapshots, stored, 7, store, hooks, start};
    const auto later = start + milliseconds {2'000};
    member.tick(later);
    REQUIRE(!member.flush(later));
    CHECK(applied.size() == maxEntriesPerFlush);
    CHECK_FALSE(member.hasAppliedAll());
    CHECK(snapshotIndexes.empty()); // a snapshot would include entries that are not applied yet
    for (int i = 0; i < 4; ++i) {
        REQUIRE(!member.flush(later));
    }
    CHECK(member.hasAppliedAll());
    REQUIRE(applied.size() >= entries);
    CHECK(std::is_sorted(applied.begin(), applied.end()));
    REQUIRE(snapshotIndexes.size() == 1);
    CHECK(snapshotIndexes[0] == applied.back());
}

TEST_CASE("a leader that has not applied its last entry does not report a fully applied log",
          "[formation]")
{
    fake_file_system files;
    log_store store {files};
    REQUIRE(!store.initialise("a"));
    stored_state stored;
    storage_damage damage;
    REQUIRE(!store.open(&stored, &damage));
    stored.term = 1;
    stored.entries = {makeBootstrapEntry(memberOf("a", "tcp://host-a"))};
    REQUIRE(!store.append(1, "", stored.entries));
    std::vector<std::string> applied;
    log_member_hooks hooks;
    hooks.send = [](const messages::member &, const messages::replication_message &) {};
    hooks.apply = [&](const messages::log_entry &entry) {
        if (entry.kind() == messages::COMMANDS) {
            applied.push_back(entry.payload());
        }
    };
    hooks.restore = [](const std::string &) {};
    hooks.makeSnapshot = [] { return std::string {}; };
    const time_point start {1'000};
    log_member member {
        replication_settings {}, snapshot_settings {}, stored, 7, store, hooks, start};
    const auto later = start + milliseconds {2'000};
    member.tick(later);
    REQUIRE(!member.flush(later));
    REQUIRE(member.hasAppliedAll());
    std::uint64_t index = 0;
    REQUIRE(!member.propose("work", later, &index));
    CHECK_FALSE(member.hasAppliedAll());
    CHECK(applied.empty());
    REQUIRE(!member.flush(later));
    CHECK(member.hasAppliedAll());
    CHECK(applied == std::vector<std::string> {"work"});
}

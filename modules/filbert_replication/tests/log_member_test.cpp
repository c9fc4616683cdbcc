#include "../../filbert_storage/tests/fake_file_system.h"
#include "filbert_replication/filbert_replication.h"

#include <catch2/catch.hpp>
#include <poll.h>
#include <semaphore>

using namespace filbert;

namespace {

constexpr int maxWaitMs = 60'000; // only a test that fails waits for so long

/** Files on a disk whose syncs end only when the test lets them. */
class slow_disk : public fake_file_system
{
public:
    std::error_code syncFile(const std::string &name) override
    {
        if (isSlow) {
            permitted.acquire();
        }
        return fake_file_system::syncFile(name);
    }

    bool isSlow = false;
    std::counting_semaphore<> permitted {0};
};

/** The member "a" of a log, on a slow disk that it syncs in the background. */
struct background_member
{
    slow_disk disk;
    sync_thread background;
    log_store store {disk, &background};
    stored_state stored;
    std::vector<std::string> applied;
    std::vector<messages::replication_message> sent;
    std::optional<log_member> member;
    time_point now {3'000};

    /** @param others  members besides "a" */
    explicit background_member(const std::vector<std::string> &others = {})
    {
        storage_damage damage;
        REQUIRE(!store.initialise("a"));
        REQUIRE(!store.open(&stored, &damage));
        stored.term = 1;
        stored.entries = {makeBootstrapEntry(memberNamed("a"))};
        for (const auto &name : others) {
            messages::membership all;
            REQUIRE(all.ParseFromString(stored.entries.back().payload()));
            *all.add_members() = memberNamed(name);
            auto entry = stored.entries.back();
            entry.set_index(entry.index() + 1);
            entry.set_payload(all.SerializeAsString());
            stored.entries.push_back(entry);
        }
        REQUIRE(!store.append(1, "", stored.entries));
        log_member_hooks hooks;
        hooks.send = [this](const messages::member &,
                            const messages::replication_message &message) {
            sent.push_back(message);
        };
        hooks.apply = [this](const messages::log_entry &entry) {
            if (entry.kind() == messages::COMMANDS) {
                applied.push_back(entry.payload());
            }
        };
        hooks.restore = [](const std::string &) {};
        hooks.makeSnapshot = [] { return std::string {}; };
        member.emplace(replication_settings {}, snapshot_settings {}, stored, 7, store, hooks,
                       time_point {1'000});
    }

    static messages::member memberNamed(const std::string &name)
    {
        messages::member member;
        member.set_identity(name);
        member.set_address("tcp://" + name);
        return member;
    }

    /** Lets one sync end, and waits until the loop of the member would wake. */
    void finishSync()
    {
        disk.permitted.release();
        pollfd waited {background.descriptor(), POLLIN, 0};
        REQUIRE(poll(&waited, 1, maxWaitMs) == 1);
    }

    ~background_member() { disk.permitted.release(10); } // the thread may still wait for the disk
};

} // namespace

TEST_CASE("a member goes on while its disk syncs, and commits only what is synced", "[log]")
{
    background_member alone;
    alone.disk.isSlow = true;
    alone.member->tick(alone.now);
    REQUIRE(!alone.member->flush(alone.now)); // starts to sync its election and its first entry
    alone.finishSync();
    REQUIRE(!alone.member->flush(alone.now));
    REQUIRE(alone.member->hasAppliedAll());
    std::uint64_t index = 0;
    REQUIRE(!alone.member->propose("first", alone.now, &index));
    REQUIRE(!alone.member->flush(alone.now));
    REQUIRE(!alone.member->propose("second", alone.now, &index));
    REQUIRE(!alone.member->flush(alone.now));
    CHECK(alone.applied.empty());
    alone.finishSync();
    REQUIRE(!alone.member->flush(alone.now));
    CHECK(alone.applied == std::vector<std::string> {"first"}); // the second needs the next sync
    alone.finishSync();
    REQUIRE(!alone.member->flush(alone.now));
    CHECK(alone.applied == std::vector<std::string> {"first", "second"});
}

// Guards against a turn of the leader that works with the state of the turn before.
TEST_CASE("entries are applied as soon as they are synced, before the next write", "[log]")
{
    background_member alone;
    alone.disk.isSlow = true;
    alone.member->tick(alone.now);
    REQUIRE(!alone.member->flush(alone.now));
    alone.finishSync();
    REQUIRE(!alone.member->flush(alone.now));
    std::uint64_t index = 0;
    REQUIRE(!alone.member->propose("first", alone.now, &index));
    REQUIRE(!alone.member->flush(alone.now));
    REQUIRE(!alone.member->applyReadyEntries(alone.now));
    CHECK(alone.applied.empty()); // its sync is in progress
    alone.finishSync();
    REQUIRE(!alone.member->propose("second", alone.now, &index));
    REQUIRE(!alone.member->applyReadyEntries(alone.now));
    CHECK(alone.applied == std::vector<std::string> {"first"});
    REQUIRE(!alone.member->applyReadyEntries(alone.now));
    CHECK(alone.applied.size() == 1); // no write has begun
    REQUIRE(!alone.member->flush(alone.now));
    alone.finishSync();
    REQUIRE(!alone.member->applyReadyEntries(alone.now));
    CHECK(alone.applied == std::vector<std::string> {"first", "second"});
}

TEST_CASE("a member confirms entries only after their sync", "[log]")
{
    background_member follower {{"b"}};
    follower.disk.isSlow = true;
    messages::replication_message message;
    message.set_from("b");
    message.set_to("a");
    auto *append = message.mutable_append();
    append->set_term(2);
    append->set_previous_index(2);
    append->set_previous_term(1);
    auto *entry = append->add_entries();
    entry->set_index(3);
    entry->set_term(2);
    entry->set_kind(messages::COMMANDS);
    entry->set_payload("work");
    follower.member->handleMessage(message, follower.now);
    REQUIRE(!follower.member->flush(follower.now));
    REQUIRE(!follower.member->flush(follower.now));
    CHECK(follower.sent.empty());
    CHECK(follower.member->state().durableIndex == 2);
    follower.finishSync();
    REQUIRE(!follower.member->flush(follower.now));
    REQUIRE(follower.sent.size() == 1);
    CHECK(follower.sent[0].has_append_reply());
    CHECK(follower.member->state().durableIndex == 3);
}

TEST_CASE("an entry that a new leader replaces during its sync does not count as synced", "[log]")
{
    background_member follower {{"b", "c"}};
    follower.disk.isSlow = true;
    const auto append = [&](const std::string &leader, std::uint64_t term, int count) {
        messages::replication_message message;
        message.set_from(leader);
        message.set_to("a");
        message.mutable_append()->set_term(term);
        message.mutable_append()->set_previous_index(3);
        message.mutable_append()->set_previous_term(1);
        for (int i = 0; i < count; ++i) {
            auto *entry = message.mutable_append()->add_entries();
            entry->set_index(4 + static_cast<std::uint64_t>(i));
            entry->set_term(term);
            entry->set_kind(messages::COMMANDS);
        }
        follower.member->handleMessage(message, follower.now);
        REQUIRE(!follower.member->flush(follower.now));
    };
    append("b", 2, 2);
    append("c", 3, 2); // replaces both while they are synced
    follower.finishSync();
    REQUIRE(!follower.member->flush(follower.now));
    CHECK(follower.member->state().durableIndex == 3);
    follower.finishSync();
    REQUIRE(!follower.member->flush(follower.now));
    CHECK(follower.member->state().durableIndex == 5);
}

TEST_CASE("a failed sync in the background stops the member", "[log]")
{
    background_member alone;
    alone.disk.failSyncAt = 1;
    alone.member->tick(alone.now);
    REQUIRE(!alone.member->flush(alone.now));
    alone.finishSync();
    CHECK(alone.member->flush(alone.now) == error_kind::StorageFailed);
}

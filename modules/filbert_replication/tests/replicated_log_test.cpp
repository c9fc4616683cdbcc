#include "filbert_replication/filbert_replication.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

messages::membership threeMembers()
{
    messages::membership members;
    for (const char *name : {"a", "b", "c"}) {
        members.add_members()->set_identity(name);
    }
    return members;
}

replicated_log_state memberOf(const std::string &identity, std::uint64_t term = 1,
                              const std::string &vote = "")
{
    stored_state stored;
    stored.identity = identity;
    stored.term = term;
    stored.votedFor = vote;
    auto first = makeBootstrapEntry({});
    first.set_payload(threeMembers().SerializeAsString());
    stored.entries = {first};
    return makeReplicatedLog(stored, {}, 7, {0});
}

messages::replication_message voteRequest(const std::string &from, const std::string &to,
                                          std::uint64_t term)
{
    messages::replication_message message;
    message.set_from(from);
    message.set_to(to);
    message.mutable_vote()->set_term(term);
    message.mutable_vote()->set_last_term(1);
    message.mutable_vote()->set_last_index(1);
    return message;
}

bool isGranted(const replication_effects &effects)
{
    return !effects.messagesAfterSync.empty()
        && effects.messagesAfterSync.back().vote_reply().granted();
}

messages::replication_message grantedVote(const std::string &from, const std::string &to,
                                          std::uint64_t term, bool isPreVote)
{
    messages::replication_message message;
    message.set_from(from);
    message.set_to(to);
    message.mutable_vote_reply()->set_term(term);
    message.mutable_vote_reply()->set_granted(true);
    message.mutable_vote_reply()->set_pre_vote(isPreVote);
    return message;
}

/** @return a member that was elected leader of term 2. @param now after its election timeout */
replicated_log_state leaderAt(time_point now)
{
    auto state = memberOf("a");
    replication_effects effects;
    tickLog(state, now, &effects);
    handleReplicationMessage(state, grantedVote("b", "a", 2, true), now, &effects);
    handleReplicationMessage(state, grantedVote("b", "a", 2, false), now, &effects);
    REQUIRE(state.role == replica_role::Leader);
    return state;
}

messages::replication_message acceptedReply(const replicated_log_state &leader,
                                            const std::string &from, std::uint64_t match)
{
    messages::replication_message message;
    message.set_from(from);
    message.set_to(leader.self);
    auto *reply = message.mutable_append_reply();
    reply->set_term(leader.term);
    reply->set_accepted(true);
    reply->set_match(match);
    reply->set_round(leader.heartbeatRound);
    return message;
}

constexpr time_point later {5'000};

} // namespace

TEST_CASE("a vote is stored before it is granted, and holds after a restart")
{
    auto state = memberOf("b");
    replication_effects effects;
    handleReplicationMessage(state, voteRequest("a", "b", 2), later, &effects);
    REQUIRE(isGranted(effects));
    CHECK(effects.mustPersist);
    CHECK(state.votedFor == "a");

    auto restarted = memberOf("b", state.term, state.votedFor);
    replication_effects second;
    handleReplicationMessage(restarted, voteRequest("c", "b", 2), later, &second);
    CHECK_FALSE(isGranted(second));
}

TEST_CASE("no vote is granted while a leader may hold its lease")
{
    auto state = memberOf("b");
    messages::replication_message append;
    append.set_from("a");
    append.set_to("b");
    append.mutable_append()->set_term(2);
    append.mutable_append()->set_previous_index(1);
    append.mutable_append()->set_previous_term(1);
    replication_effects effects;
    handleReplicationMessage(state, append, later, &effects);
    replication_effects voteEffects;
    handleReplicationMessage(state, voteRequest("c", "b", 3), later + milliseconds {499},
                             &voteEffects);
    CHECK_FALSE(isGranted(voteEffects));
    CHECK(state.term == 2);
    handleReplicationMessage(state, voteRequest("c", "b", 3), later + milliseconds {500},
                             &voteEffects);
    CHECK(isGranted(voteEffects));
}

TEST_CASE(
    "a leader without a quorum loses its lease before another can be elected, then steps down")
{
    auto state = leaderAt(later);
    replication_effects effects;
    handleReplicationMessage(state, acceptedReply(state, "b", 2), later, &effects);
    CHECK(hasLease(state, later + milliseconds {470}));
    CHECK_FALSE(hasLease(state, later + milliseconds {476}));
    tickLog(state, later + milliseconds {500}, &effects);
    CHECK(state.role == replica_role::Follower);
}

TEST_CASE("a learner counts neither for commits nor for votes")
{
    auto state = leaderAt(later);
    replication_effects effects;
    handlePersisted(state, lastIndex(state), later, &effects);
    handleReplicationMessage(state, acceptedReply(state, "b", 2), later, &effects);
    messages::member added;
    added.set_identity("d");
    REQUIRE_FALSE(changeMembership(state, true, added, later, &effects));
    CHECK(changeMembership(state, true, added, later, &effects) == error_kind::Conflict);
    handlePersisted(state, lastIndex(state), later, &effects);
    const auto before = state.commitIndex;
    handleReplicationMessage(state, acceptedReply(state, "d", lastIndex(state)), later, &effects);
    CHECK(state.commitIndex == before);
    handleReplicationMessage(state, acceptedReply(state, "c", lastIndex(state)), later, &effects);
    CHECK(state.commitIndex > before);

    auto learner = memberOf("d");
    replication_effects learnerEffects;
    tickLog(learner, later, &learnerEffects);
    // The learner is not in its own membership, so it never starts an election.
    CHECK(learnerEffects.messagesAfterSync.empty());
}

TEST_CASE("an entry of an earlier term is committed only with one of the leader's own term")
{
    stored_state stored;
    stored.identity = "a";
    stored.term = 3;
    auto first = makeBootstrapEntry({});
    first.set_payload(threeMembers().SerializeAsString());
    messages::log_entry earlierTermEntry;
    earlierTermEntry.set_index(2);
    earlierTermEntry.set_term(2);
    stored.entries = {first, earlierTermEntry};
    auto state = makeReplicatedLog(stored, {}, 7, {0});
    replication_effects effects;
    tickLog(state, later, &effects);
    handleReplicationMessage(state, grantedVote("b", "a", 4, true), later, &effects);
    handleReplicationMessage(state, grantedVote("b", "a", 4, false), later, &effects);
    REQUIRE(state.role == replica_role::Leader);
    handlePersisted(state, lastIndex(state), later, &effects);
    handleReplicationMessage(state, acceptedReply(state, "b", 2), later, &effects);
    CHECK(state.commitIndex == 0); // a later leader could still replace entry 2
    handleReplicationMessage(state, acceptedReply(state, "b", 3), later, &effects);
    CHECK(state.commitIndex == 3);
}

TEST_CASE("a leader that started a leadership transfer never serves again in its term")
{
    auto state = leaderAt(later);
    replication_effects effects;
    handlePersisted(state, lastIndex(state), later, &effects);
    handleReplicationMessage(state, acceptedReply(state, "b", 2), later, &effects);
    REQUIRE(hasLease(state, later));
    REQUIRE(startLeadershipTransfer(state, later, &effects));
    CHECK_FALSE(hasLease(state, later));
    CHECK(effects.messagesAfterSync.back().has_hand_over());
    CHECK(propose(state, {"x"}, later, &effects) == error_kind::NoLeader);
    tickLog(state, later + milliseconds {500}, &effects);
    CHECK(state.role == replica_role::Follower);
}

TEST_CASE("a message for another identity is ignored, as after a lost disk")
{
    auto state = memberOf("b-new");
    replication_effects effects;
    handleReplicationMessage(state, voteRequest("a", "b-old", 9), later, &effects);
    CHECK(state.term == 1);
    CHECK(effects.messagesAfterSync.empty());
}

TEST_CASE("a snapshot that conflicts with the log invalidates the entries after it")
{
    auto state = memberOf("b");
    replication_effects effects;
    const auto fromLeader = [&](std::uint64_t term) {
        messages::replication_message message;
        message.set_from("a");
        message.set_to("b");
        message.mutable_append()->set_term(term);
        message.mutable_append()->set_previous_index(1);
        message.mutable_append()->set_previous_term(1);
        return message;
    };
    auto append = fromLeader(3);
    for (std::uint64_t index = 2; index <= 4; ++index) {
        auto *entry = append.mutable_append()->add_entries();
        entry->set_index(index);
        entry->set_term(3);
    }
    handleReplicationMessage(state, append, {1}, &effects);
    REQUIRE(lastIndex(state) == 4);

    messages::replication_message snapshot;
    snapshot.set_from("c");
    snapshot.set_to("b");
    auto *chunk = snapshot.mutable_snapshot();
    chunk->set_term(4);
    chunk->mutable_header()->set_index(2);
    chunk->mutable_header()->set_term(2); // this member's entry 2 has term 3
    *chunk->mutable_header()->mutable_members() = threeMembers();
    chunk->set_last(true);
    effects = {};
    handleReplicationMessage(state, snapshot, {2}, &effects);
    CHECK(effects.mustInstall);
    CHECK(effects.mustTruncateTail);
    CHECK(lastIndex(state) == 2);
}

// Guards against a leader that exceeds its memory: a member whose disk had stalled answered all
// that had come meanwhile, by turns with success and rejection, and got the same entries again each
// time.
TEST_CASE("a member that answers many old messages at once gets its entries again once a heartbeat")
{
    auto leader = leaderAt({2'000});
    replication_effects effects;
    constexpr std::size_t entryBytes = 50'000;
    constexpr int entries = 40;
    const std::vector<std::string> payloads(entries, std::string(entryBytes, 'x'));
    REQUIRE_FALSE(propose(leader, payloads, {2'000}, &effects));
    handlePersisted(leader, lastIndex(leader), {2'000}, &effects);
    for (std::int64_t at = 2'100; at < 5'000; at += 100) { // the rounds that the member missed
        tickLog(leader, {at}, &effects);
        handleReplicationMessage(leader, acceptedReply(leader, "c", lastIndex(leader)), {at},
                                 &effects);
    }
    REQUIRE(leader.role == replica_role::Leader);
    const auto firstMissed = leader.heartbeatRound - 10;
    effects = {};
    std::size_t bytesSent = 0;
    for (std::uint64_t i = 0; i < 10; ++i) {
        const auto match = 2 + i;
        for (const bool isAccepted : {true, false}) {
            auto reply = acceptedReply(leader, "b", match);
            reply.mutable_append_reply()->set_accepted(isAccepted);
            reply.mutable_append_reply()->set_round(firstMissed + i);
            handleReplicationMessage(leader, reply, {5'000}, &effects);
        }
        for (const auto &message : std::exchange(effects.messagesBeforeSync, {})) {
            for (const auto &entry : message.append().entries()) {
                bytesSent += entry.payload().size();
            }
        }
    }
    // All entries once, and two messages again: the first one, and one in this heartbeat round.
    CHECK(bytesSent <= entries * entryBytes + 2 * (leader.settings.maxAppendBytes + entryBytes));
}

// Guards against accepted work that is lost: a member that caught up while the leader changed put
// parts of two snapshots together.
TEST_CASE("parts of two leaders' snapshots are not put together, though they have the same index")
{
    auto state = memberOf("b");
    replication_effects effects;
    const auto receive = [&](const std::string &leader, std::uint64_t term, std::uint64_t offset,
                             const std::string &data, bool isLast) {
        messages::replication_message message;
        message.set_from(leader);
        message.set_to("b");
        auto *chunk = message.mutable_snapshot();
        chunk->set_term(term);
        chunk->mutable_header()->set_index(5);
        chunk->mutable_header()->set_term(2);
        *chunk->mutable_header()->mutable_members() = threeMembers();
        chunk->set_offset(offset);
        chunk->set_data(data);
        chunk->set_last(isLast);
        effects = {};
        handleReplicationMessage(state, message, {static_cast<std::int64_t>(term)}, &effects);
        return effects.messagesAfterSync.back().snapshot_reply().offset();
    };
    const auto nextLeader = GENERATE(as<std::string> {}, "c", "a"); // also the same one, restarted
    CHECK(receive("a", 3, 0, "old-", false) == 4);
    CHECK(receive(nextLeader, 4, 4, "mixed", false) == 0); // it starts over
    CHECK_FALSE(effects.mustInstall);
    receive(nextLeader, 4, 0, "new-", false);
    receive(nextLeader, 4, 4, "data", true);
    CHECK(effects.mustInstall);
    CHECK(*state.snapshotData == "new-data");
}

TEST_CASE(
    "a member that lost acknowledged entries is probed once per heartbeat, not in an endless loop")
{
    auto leader = leaderAt({2'000});
    replication_effects effects;
    REQUIRE_FALSE(propose(leader, {"one", "two"}, {2'000}, &effects));
    handlePersisted(leader, lastIndex(leader), {2'000}, &effects);
    handleReplicationMessage(leader, acceptedReply(leader, "b", lastIndex(leader) - 1), {2'001},
                             &effects);
    auto rejection = acceptedReply(leader, "b", 1);
    rejection.mutable_append_reply()->set_accepted(false);
    effects = {};
    std::size_t probes = 0;
    for (int i = 0; i < 50; ++i) { // a probe for each rejection would cause the next rejection
        handleReplicationMessage(leader, rejection, {2'002}, &effects);
        probes += std::exchange(effects.messagesBeforeSync, {}).size();
    }
    CHECK(probes <= 1);
    tickLog(leader, {2'200}, &effects);
    CHECK_FALSE(effects.messagesBeforeSync.empty());
}

TEST_CASE("the leader and two learners are no quorum of three voters")
{
    auto state = leaderAt(later);
    replication_effects effects;
    const auto acknowledge = [&](const std::string &member) {
        handleReplicationMessage(state, acceptedReply(state, member, lastIndex(state)), later,
                                 &effects);
    };
    handlePersisted(state, lastIndex(state), later, &effects);
    acknowledge("b");
    for (const char *name : {"d", "e"}) {
        messages::member added;
        added.set_identity(name);
        REQUIRE_FALSE(changeMembership(state, true, added, later, &effects));
        handlePersisted(state, lastIndex(state), later, &effects);
        if (name == std::string_view {"d"}) {
            acknowledge("b");
        }
    }
    const auto before = state.commitIndex;
    acknowledge("d");
    acknowledge("e");
    CHECK(state.commitIndex == before);
    acknowledge("c");
    CHECK(state.commitIndex > before);
}

TEST_CASE("with two voters both must hold an entry to commit it")
{
    auto state = leaderAt(later);
    replication_effects effects;
    handlePersisted(state, lastIndex(state), later, &effects);
    handleReplicationMessage(state, acceptedReply(state, "b", lastIndex(state)), later, &effects);
    messages::member removed;
    removed.set_identity("c");
    REQUIRE_FALSE(changeMembership(state, false, removed, later, &effects));
    const auto before = state.commitIndex;
    handlePersisted(state, lastIndex(state), later, &effects);
    CHECK(state.commitIndex == before);
    handleReplicationMessage(state, acceptedReply(state, "b", lastIndex(state)), later, &effects);
    CHECK(state.commitIndex == lastIndex(state));
}

TEST_CASE(
    "a member that stalled reads the messages that came meanwhile before it starts an election")
{
    auto state = memberOf("a");
    replication_effects effects;
    messages::replication_message heartbeat;
    heartbeat.set_from("b");
    heartbeat.set_to("a");
    heartbeat.mutable_append()->set_term(1);
    heartbeat.mutable_append()->set_previous_index(1);
    heartbeat.mutable_append()->set_previous_term(1);
    tickLog(state, {100}, &effects);
    handleReplicationMessage(state, heartbeat, {100}, &effects);
    effects = {};
    tickLog(state, {2'000}, &effects); // after a stall, with a heartbeat unread
    CHECK(effects.messagesAfterSync.empty());
    handleReplicationMessage(state, heartbeat, {2'010}, &effects);
    tickLog(state, {2'200}, &effects);
    CHECK(state.role == replica_role::Follower);
    CHECK(state.leader == "b");
}

TEST_CASE("a member that is always slow starts elections too")
{
    auto state = memberOf("a");
    replication_effects effects;
    const milliseconds slowTick {60};
    time_point now {slowTick.count};
    const auto until = now + state.settings.electionTimeout + state.settings.electionTimeout;
    while (now < until && state.role == replica_role::Follower) {
        tickLog(state, now, &effects);
        now = now + slowTick;
    }
    CHECK(state.role == replica_role::PreCandidate);
}

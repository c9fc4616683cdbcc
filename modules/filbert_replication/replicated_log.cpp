#include "replicated_log.h"

#include "elections.h"
#include "log_access.h"
#include "replication_sender.h"

#include <algorithm>

namespace filbert {

namespace {

// A learner that lacks at most this many entries has caught up.
constexpr std::uint64_t learnerCatchUpEntries = 64;
// After this many consecutive rejections at the entry after the last acknowledged one, the member
// is known to have lost entries: there is no earlier entry to go back to.
constexpr int lostEntriesThreshold = 3;

bool hasCaughtUp(const replicated_log_state &state, const messages::member &member)
{
    const auto progress = state.followerProgress.find(member.identity());
    return progress != state.followerProgress.end() && progress->second.matchIndex != 0
        && progress->second.matchIndex + learnerCatchUpEntries >= lastIndex(state);
}

/** @return the place of a learner among those that may be promoted, or nothing if it may not be */
std::optional<std::size_t> promotionRank(const replicated_log_state &state,
                                         const messages::member &member)
{
    if (!state.promotionOrder) {
        return 0;
    }
    const auto &order = *state.promotionOrder;
    const auto found = std::find(order.begin(), order.end(), member.identity());
    return found == order.end() ? std::nullopt
                                : std::optional {static_cast<std::size_t>(found - order.begin())};
}

void promoteCaughtUpLearner(replicated_log_state &state, time_point now,
                            replication_effects *effects)
{
    if (state.membershipIndex > state.commitIndex || !isReadyLeader(state)) {
        return;
    }
    std::optional<std::pair<std::size_t, int>> best; // rank, index of the member
    for (int i = 0; i < state.membership.members_size(); ++i) {
        const auto &member = state.membership.members(i);
        const auto rank = member.learner() ? promotionRank(state, member) : std::nullopt;
        if (rank && hasCaughtUp(state, member) && (!best || *rank < best->first)) {
            best = {*rank, i};
        }
    }
    if (!best) {
        return;
    }
    auto newMembership = state.membership;
    newMembership.mutable_members(best->second)->set_learner(false);
    appendAsLeader(state, messages::MEMBERSHIP, newMembership.SerializeAsString(), effects);
    replicate(state, now, effects);
}

/** @return the highest value that a majority of the voters has reached; 0 if there are no voters

    @param own    the value of this member
    @param field  where follower_progress holds the value of another member
*/
std::uint64_t valueReachedByQuorum(const replicated_log_state &state, std::uint64_t own,
                                   std::uint64_t follower_progress::*field)
{
    std::vector<std::uint64_t> values;
    for (const auto &member : state.membership.members()) {
        if (member.learner()) {
            continue;
        }
        const auto found = state.followerProgress.find(member.identity());
        const bool isSelf = member.identity() == state.self;
        values.push_back(
            isSelf ? own : (found == state.followerProgress.end() ? 0 : found->second.*field));
    }
    std::sort(values.begin(), values.end(), std::greater<> {});
    return values.empty() ? 0 : values[values.size() / 2];
}

void advanceCommit(replicated_log_state &state, time_point now, replication_effects *effects)
{
    const auto agreed =
        valueReachedByQuorum(state, state.durableIndex, &follower_progress::matchIndex);
    // Only an entry of the leader's own term is committed by counting (Raft paper, section 5.4.2).
    if (agreed <= state.commitIndex || termAt(state, agreed) != state.term) {
        return;
    }
    commitTo(state, agreed, effects);
    promoteCaughtUpLearner(state, now, effects);
    const auto *self = findMember(state.membership, state.self);
    if (self == nullptr && state.membershipIndex <= state.commitIndex) {
        becomeFollower(state, state.term, {}, now, effects); // this member was removed
    }
}

void extendLease(replicated_log_state &state)
{
    const auto quorumRound = state.roundSendTimes.find(
        valueReachedByQuorum(state, state.heartbeatRound, &follower_progress::ackedRound));
    if (quorumRound == state.roundSendTimes.end()) {
        return;
    }
    // Followers grant no vote for an election timeout after a message from the leader. Their clocks
    // may run fast by the margin that withClockRateMargin() adds, so the lease is that much
    // shorter.
    const auto timeout = state.settings.electionTimeout;
    const auto leaseDuration = timeout - (withClockRateMargin(timeout) - timeout);
    state.leaseExpiresAt = std::max(state.leaseExpiresAt, quorumRound->second + leaseDuration);
    state.lastQuorumContactAt = std::max(state.lastQuorumContactAt, quorumRound->second);
    state.roundSendTimes.erase(state.roundSendTimes.begin(), quorumRound);
}

/** Moves the next entry to send back to where the logs may match.

    @return whether that is another entry than before
*/
bool handleRejection(const replicated_log_state &state, const std::string &from,
                     const messages::append_reply &reply, follower_progress *progress)
{
    // Only a reply from a round after that of the last rejection answers the probe that followed
    // it. Others answer messages that were sent before: a member that has stalled answers many of
    // them at once, and sending entries again for each of these would fill this member's memory.
    if (reply.round() <= progress->rejectedRound) {
        return false;
    }
    progress->rejectedRound = state.heartbeatRound;
    progress->isAwaitingReply = false;
    const auto retryIndex =
        std::max(progress->matchIndex + 1, std::min(progress->nextIndex, reply.match() + 1));
    const bool hasMoved = retryIndex != progress->nextIndex;
    progress->isProbing = true;
    progress->nextIndex = retryIndex;
    if (hasMoved) {
        return true;
    }
    if (++progress->rejections == lostEntriesThreshold) {
        log_line {"member_lost_entries", log_line::severity::Error}
            .with("member", from)
            .with("acknowledged", progress->matchIndex)
            .with("held", reply.match());
    }
    return false;
}

void handleAppendReply(replicated_log_state &state, const std::string &from,
                       const messages::append_reply &reply, time_point now,
                       replication_effects *effects)
{
    const auto found = state.followerProgress.find(from);
    if (state.role != replica_role::Leader || reply.term() != state.term
        || found == state.followerProgress.end()) {
        return;
    }
    auto &progress = found->second;
    progress.ackedRound = std::max(progress.ackedRound, reply.round());
    extendLease(state);
    if (reply.accepted()) {
        progress.isAwaitingReply = false;
        FILBERT_INVARIANT(reply.match() <= lastIndex(state),
                          "a follower acknowledges no entry that its leader lacks");
        progress.matchIndex = std::max(progress.matchIndex, reply.match());
        progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
        progress.isProbing = false;
        progress.isReceivingSnapshot = false;
        progress.rejections = 0;
    } else if (!handleRejection(state, from, reply, &progress)) {
        return; // the next heartbeat probes again; a probe for each rejection would loop forever
    }
    advanceCommit(state, now, effects);
    if (state.role != replica_role::Leader) {
        return;
    }
    promoteCaughtUpLearner(state, now, effects);
    continueLeadershipTransfer(state, from, effects);
    if (progress.nextIndex <= lastIndex(state)) {
        sendAppend(state, from, progress, now, effects);
    }
}

void handleSnapshotReply(replicated_log_state &state, const std::string &from,
                         const messages::snapshot_reply &reply, time_point now,
                         replication_effects *effects)
{
    const auto found = state.followerProgress.find(from);
    if (state.role != replica_role::Leader || reply.term() != state.term
        || found == state.followerProgress.end()) {
        return;
    }
    auto &progress = found->second;
    progress.ackedRound = std::max(progress.ackedRound, reply.round());
    extendLease(state);
    if (!progress.isReceivingSnapshot || reply.index() != state.snapshot.index()) {
        return;
    }
    progress.snapshotOffset = reply.offset();
    progress.isAwaitingReply = false;
    sendAppend(state, from, progress, now, effects);
}

bool acceptLeader(replicated_log_state &state, std::uint64_t term, const std::string &from,
                  time_point now, replication_effects *effects)
{
    if (term < state.term) {
        return false;
    }
    FILBERT_INVARIANT(!(state.role == replica_role::Leader && term == state.term),
                      "a term has one leader");
    if (term > state.term || state.role != replica_role::Follower || state.leader != from) {
        FILBERT_INVARIANT(term > state.term || state.leader.empty() || state.leader == from,
                          "a term has one leader");
        becomeFollower(state, term, from, now, effects);
    }
    state.lastLeaderContactAt = now;
    resetElectionTimer(state, now);
    return true;
}

void compareDigest(const replicated_log_state &state, const messages::append_request &request)
{
    if (request.digest_index() == 0 || request.digest_index() != state.digestIndex) {
        return;
    }
    if (request.digest() != state.digest) {
        log_line {"state_digest_differs", log_line::severity::Error}
            .with("index", state.digestIndex)
            .with("own", state.digest)
            .with("leader", request.digest());
    }
    FILBERT_INVARIANT(request.digest() == state.digest,
                      "members have the same applied state at the same index");
}

void handleAppend(replicated_log_state &state, const std::string &from,
                  const messages::append_request &request, time_point now,
                  replication_effects *effects)
{
    messages::replication_message answer;
    auto *reply = answer.mutable_append_reply();
    reply->set_round(request.round());
    answer.set_to(from);
    answer.set_from(state.self);
    if (!acceptLeader(state, request.term(), from, now, effects)) {
        reply->set_term(state.term);
        effects->messagesAfterSync.push_back(answer);
        return;
    }
    reply->set_term(state.term);
    compareDigest(state, request);
    const auto previousTerm = termAt(state, request.previous_index());
    const bool isCoveredBySnapshot = request.previous_index() < state.snapshot.index();
    if (!isCoveredBySnapshot && previousTerm != request.previous_term()) {
        reply->set_match(conflictHint(state, request.previous_index()));
        effects->messagesAfterSync.push_back(answer);
        return;
    }
    for (const auto &entry : request.entries()) {
        appendFromLeader(state, entry, effects);
    }
    const auto lastNewIndex =
        request.previous_index() + static_cast<std::uint64_t>(request.entries_size());
    if (std::min(request.commit(), lastNewIndex) > state.commitIndex) {
        commitTo(state, std::min(request.commit(), lastNewIndex), effects);
    }
    reply->set_accepted(true);
    reply->set_match(std::max(lastNewIndex, state.snapshot.index()));
    effects->messagesAfterSync.push_back(answer);
}

void handleSnapshotChunk(replicated_log_state &state, const std::string &from,
                         const messages::snapshot_chunk &chunk, time_point now,
                         replication_effects *effects)
{
    messages::replication_message answer;
    answer.set_to(from);
    answer.set_from(state.self);
    if (!acceptLeader(state, chunk.term(), from, now, effects)) {
        answer.mutable_append_reply()->set_term(state.term);
        effects->messagesAfterSync.push_back(answer);
        return;
    }
    if (chunk.header().index() <= state.commitIndex) {
        auto *reply = answer.mutable_append_reply();
        reply->set_term(state.term);
        reply->set_accepted(true);
        reply->set_match(state.commitIndex);
        reply->set_round(chunk.round());
        effects->messagesAfterSync.push_back(answer);
        return;
    }
    const bool isOfOtherSnapshot = state.incomingSnapshotHeader.index() != chunk.header().index()
        || state.incomingSnapshotHeader.term() != chunk.header().term()
        || state.incomingSnapshotFrom != from || state.incomingSnapshotTerm != chunk.term();
    if (isOfOtherSnapshot) {
        state.incomingSnapshotHeader = chunk.header();
        state.incomingSnapshotFrom = from;
        state.incomingSnapshotTerm = chunk.term();
        state.incomingSnapshot.clear();
    }
    if (chunk.offset() == state.incomingSnapshot.size()) {
        state.incomingSnapshot += chunk.data();
        if (chunk.last()) {
            installIncomingSnapshot(state, effects);
            auto *reply = answer.mutable_append_reply();
            reply->set_term(state.term);
            reply->set_accepted(true);
            reply->set_match(state.snapshot.index());
            reply->set_round(chunk.round());
            effects->messagesAfterSync.push_back(answer);
            return;
        }
    }
    auto *reply = answer.mutable_snapshot_reply();
    reply->set_term(state.term);
    reply->set_index(chunk.header().index());
    reply->set_offset(state.incomingSnapshot.size());
    reply->set_round(chunk.round());
    effects->messagesAfterSync.push_back(answer);
}

std::uint64_t termOf(const messages::replication_message &message)
{
    using body = messages::replication_message::BodyCase;
    switch (message.body_case()) {
    case body::kVote:
        // The term of a pre-vote is one that no member has entered yet.
        return message.vote().pre_vote() ? 0 : message.vote().term();
    case body::kVoteReply:
        return message.vote_reply().pre_vote() && message.vote_reply().granted()
            ? 0
            : message.vote_reply().term();
    case body::kAppendReply:
        return message.append_reply().term();
    case body::kSnapshotReply:
        return message.snapshot_reply().term();
    default:
        return 0; // acceptLeader() checks the terms of leaders' messages
    }
}

} // namespace

std::string_view roleName(replica_role role)
{
    constexpr std::string_view names[] = {"follower", "pre_candidate", "candidate", "leader"};
    return names[static_cast<std::size_t>(role)];
}

replicated_log_state makeReplicatedLog(const stored_state &stored,
                                       const replication_settings &settings, std::uint64_t seed,
                                       time_point now)
{
    replicated_log_state state;
    state.self = stored.identity;
    state.settings = settings;
    state.randomState = seed | 1;
    state.term = stored.term;
    state.votedFor = stored.votedFor;
    state.snapshot = stored.snapshot;
    state.snapshotData = std::make_shared<const std::string>(stored.snapshotData);
    state.membership = stored.snapshot.members();
    state.membershipIndex = stored.snapshot.index();
    state.commitIndex = stored.snapshot.index();
    state.appliedIndex = stored.snapshot.index();
    state.entries.assign(stored.entries.begin(), stored.entries.end());
    state.durableIndex = lastIndex(state);
    restoreMembership(state);
    // A restarted member does not know when it last heard a leader, whose lease may still hold.
    state.lastLeaderContactAt = now;
    resetElectionTimer(state, now);
    return state;
}

namespace {

// Twice the maximum time between two calls of tickLog() that its documentation requires.
constexpr milliseconds stallTimeout {40};
// A busy member needs one or two iterations of its event loop to read the queued messages.
constexpr milliseconds catchUpPeriod {50};

/** Notices that this member stalled, and then delays its next election until it has read the
    messages that arrived meanwhile: they may come from a leader. At most one stall counts in an
    election timeout, so that a member that is always slow can start elections too. */
void detectStall(replicated_log_state &state, time_point now)
{
    const bool hasStalled = state.lastTickAt.ms > 0 && now - state.lastTickAt > stallTimeout;
    state.lastTickAt = now;
    if (hasStalled && now - state.catchUpUntil > state.settings.electionTimeout) {
        state.catchUpUntil = now + catchUpPeriod;
    }
}

} // namespace

void tickLog(replicated_log_state &state, time_point now, replication_effects *effects)
{
    detectStall(state, now);
    if (state.role == replica_role::Leader) {
        if (now - state.lastQuorumContactAt >= state.settings.electionTimeout
            && !isSoleVoter(state)) {
            becomeFollower(state, state.term, {}, now, effects);
            return;
        }
        if (isSoleVoter(state)) {
            state.lastQuorumContactAt = now;
            state.leaseExpiresAt = now + state.settings.electionTimeout;
        }
        if (now >= state.nextHeartbeatAt) {
            sendHeartbeats(state, now, effects);
        }
        if (state.transferDeadline && now >= *state.transferDeadline) {
            // The transferee may still receive the request late, and its election disregards the
            // lease, so this member cannot continue to lead in this term.
            becomeFollower(state, state.term, {}, now, effects);
        }
        return;
    }
    if (now >= state.electionDeadline && now >= state.catchUpUntil) {
        startPreVote(state, now, effects);
    }
}

void handleReplicationMessage(replicated_log_state &state,
                              const messages::replication_message &message, time_point now,
                              replication_effects *effects)
{
    if (message.to() != state.self) {
        return;
    }
    const auto &from = message.from();
    if (termOf(message) > state.term && !isVoteRequestToIgnore(state, message, now)) {
        becomeFollower(state, termOf(message), {}, now, effects);
    }
    using body = messages::replication_message::BodyCase;
    switch (message.body_case()) {
    case body::kVote:
        handleVoteRequest(state, from, message.vote(), now, effects);
        break;
    case body::kVoteReply:
        handleVoteReply(state, from, message.vote_reply(), now, effects);
        break;
    case body::kAppend:
        handleAppend(state, from, message.append(), now, effects);
        break;
    case body::kAppendReply:
        handleAppendReply(state, from, message.append_reply(), now, effects);
        break;
    case body::kSnapshot:
        handleSnapshotChunk(state, from, message.snapshot(), now, effects);
        break;
    case body::kSnapshotReply:
        handleSnapshotReply(state, from, message.snapshot_reply(), now, effects);
        break;
    case body::kHandOver:
        if (message.hand_over().term() == state.term && from == state.leader) {
            startElection(state, now, true, effects);
        }
        break;
    case body::BODY_NOT_SET:
        break;
    }
}

void handlePersisted(replicated_log_state &state, std::uint64_t index, time_point now,
                     replication_effects *effects)
{
    state.durableIndex = std::max(state.durableIndex, std::min(index, lastIndex(state)));
    if (state.role == replica_role::Leader) {
        advanceCommit(state, now, effects);
    }
}

std::error_code propose(replicated_log_state &state, const std::vector<std::string> &payloads,
                        time_point now, replication_effects *effects)
{
    if (state.role != replica_role::Leader || state.transferDeadline) {
        return error_kind::NoLeader;
    }
    if (lastIndex(state) - state.commitIndex + payloads.size()
        > state.settings.maxUncommittedEntries) {
        return error_kind::Overloaded;
    }
    for (const auto &payload : payloads) {
        appendAsLeader(state, messages::COMMANDS, payload, effects);
    }
    replicate(state, now, effects);
    return {};
}

std::error_code changeMembership(replicated_log_state &state, bool add,
                                 const messages::member &member, time_point now,
                                 replication_effects *effects)
{
    if (!isReadyLeader(state)) {
        return error_kind::NoLeader;
    }
    if (state.membershipIndex > state.commitIndex) {
        return error_kind::Conflict;
    }
    const bool isKnown = findMember(state.membership, member.identity()) != nullptr;
    if (isKnown == add) {
        return add ? error_kind::Conflict : error_kind::NotFound;
    }
    auto newMembership = state.membership;
    if (add) {
        auto *added = newMembership.add_members();
        *added = member;
        added->set_learner(true);
    } else {
        auto *memberList = newMembership.mutable_members();
        memberList->erase(std::remove_if(memberList->begin(), memberList->end(),
                                         [&](const messages::member &each) {
                                             return each.identity() == member.identity();
                                         }),
                          memberList->end());
        const bool hasVoter = std::any_of(memberList->begin(), memberList->end(),
                                          [](const auto &each) { return !each.learner(); });
        if (!hasVoter) {
            return error_kind::Conflict;
        }
    }
    appendAsLeader(state, messages::MEMBERSHIP, newMembership.SerializeAsString(), effects);
    replicate(state, now, effects);
    return {};
}

messages::snapshot_header snapshotHeaderAt(const replicated_log_state &state, std::uint64_t index)
{
    messages::snapshot_header header;
    header.set_index(index);
    header.set_term(*termAt(state, index));
    *header.mutable_members() = membershipAt(state, index);
    return header;
}

void compactLog(replicated_log_state &state, std::uint64_t index, std::string data)
{
    FILBERT_INVARIANT(index <= state.appliedIndex, "a snapshot includes only applied entries");
    if (index <= state.snapshot.index()) {
        return;
    }
    state.snapshot = snapshotHeaderAt(state, index);
    while (!state.entries.empty() && state.entries.front().index() <= index) {
        state.entries.pop_front();
    }
    state.snapshotData = std::make_shared<const std::string>(std::move(data));
    for (auto &[identity, progress] : state.followerProgress) {
        progress.snapshotOffset = 0;
    }
}

bool hasLease(const replicated_log_state &state, time_point now)
{
    return state.role == replica_role::Leader && now < state.leaseExpiresAt
        && !state.transferDeadline;
}

bool hasLostEntries(const follower_progress &progress)
{
    return progress.rejections >= lostEntriesThreshold;
}

bool isReadyLeader(const replicated_log_state &state)
{
    return state.role == replica_role::Leader && !state.transferDeadline
        && termAt(state, state.appliedIndex) == state.term;
}

messages::log_entry makeBootstrapEntry(const messages::member &self)
{
    messages::membership members;
    *members.add_members() = self;
    messages::log_entry entry;
    entry.set_index(1);
    entry.set_term(1);
    entry.set_kind(messages::MEMBERSHIP);
    entry.set_payload(members.SerializeAsString());
    return entry;
}

} // namespace filbert

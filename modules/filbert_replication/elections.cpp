#include "elections.h"

#include "log_access.h"
#include "replication_sender.h"

#include <algorithm>
#include <iterator>

namespace filbert {

namespace {

// The random part of an election timeout is at most the timeout divided by this. It spreads the
// elections of different members many round trips and syncs apart, and still starts them soon.
constexpr std::int64_t jitterDivisor = 2;
// A failed pre-vote is repeated after one to two times the election timeout divided by this. A
// pre-vote fails if other members heard the leader slightly later than this one; repeating it soon
// is harmless because it raises no member's term.
constexpr std::int64_t retryDivisor = 6;

/** SplitMix64 (Steele et al. 2014), a random generator with its state in the member's state. */
std::uint64_t nextRandom(replicated_log_state &state)
{
    std::uint64_t z = (state.randomState += 0x9e3779b97f4a7c15);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
    z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
    return z ^ (z >> 31);
}

milliseconds randomDuration(replicated_log_state &state, milliseconds limit)
{
    const auto bound = static_cast<std::uint64_t>(std::max<std::int64_t>(limit.count, 1));
    return {static_cast<std::int64_t>(nextRandom(state) % bound)};
}

bool hasQuorum(const replicated_log_state &state)
{
    int voters = 0;
    int granted = 0;
    for (const auto &member : state.membership.members()) {
        if (member.learner()) {
            continue;
        }
        ++voters;
        const auto vote = state.votes.find(member.identity());
        granted += vote != state.votes.end() && vote->second ? 1 : 0;
    }
    return granted * 2 > voters;
}

void requestVotes(const replicated_log_state &state, bool isPreVote, bool isTransfer,
                  replication_effects *effects)
{
    for (const auto &member : state.membership.members()) {
        if (member.identity() == state.self || member.learner()) {
            continue;
        }
        messages::replication_message message;
        message.set_from(state.self);
        message.set_to(member.identity());
        auto *request = message.mutable_vote();
        request->set_term(isPreVote ? state.term + 1 : state.term);
        request->set_pre_vote(isPreVote);
        request->set_last_index(lastIndex(state));
        request->set_last_term(lastTerm(state));
        request->set_hand_over(isTransfer);
        effects->messagesAfterSync.push_back(message);
    }
}

void becomeLeader(replicated_log_state &state, time_point now, replication_effects *effects)
{
    state.role = replica_role::Leader;
    state.leader = state.self;
    state.followerProgress.clear();
    state.heartbeatRound = 0;
    state.roundSendTimes.clear();
    state.leaseExpiresAt = {};
    state.lastQuorumContactAt = now;
    state.transferDeadline.reset();
    for (const auto &member : state.membership.members()) {
        if (member.identity() != state.self) {
            state.followerProgress[member.identity()].nextIndex = lastIndex(state) + 1;
        }
    }
    effects->hasRoleChanged = true;
    // Entries of earlier terms are committed only together with one of the leader's own term (Raft
    // paper, section 5.4.2), so a new leader appends an empty entry.
    appendAsLeader(state, messages::NOOP, {}, effects);
    sendHeartbeats(state, now, effects);
}

bool hasRecentLeaderContact(const replicated_log_state &state, time_point now)
{
    return now - state.lastLeaderContactAt < state.settings.electionTimeout;
}

} // namespace

bool isVoter(const replicated_log_state &state, const std::string &identity)
{
    const auto *member = findMember(state.membership, identity);
    return member != nullptr && !member->learner();
}

bool isSoleVoter(const replicated_log_state &state)
{
    return isVoter(state, state.self)
        && std::none_of(
               state.membership.members().begin(), state.membership.members().end(),
               [&](const auto &each) { return !each.learner() && each.identity() != state.self; });
}

void resetElectionTimer(replicated_log_state &state, time_point now)
{
    const auto timeout = state.settings.electionTimeout;
    state.electionDeadline = now + timeout + randomDuration(state, {timeout.count / jitterDivisor});
}

void becomeFollower(replicated_log_state &state, std::uint64_t term, const std::string &leader,
                    time_point now, replication_effects *effects)
{
    FILBERT_INVARIANT(term >= state.term, "the term never decreases");
    if (term > state.term) {
        state.term = term;
        state.votedFor.clear();
        effects->mustPersist = true;
    }
    effects->hasRoleChanged |= state.role != replica_role::Follower || state.leader != leader;
    if (state.role == replica_role::Leader) {
        // The own lease may still hold after stepping down; until it has ended, this member must
        // not vote for another leader.
        state.lastLeaderContactAt = now;
    }
    state.role = replica_role::Follower;
    state.leader = leader;
    state.transferDeadline.reset();
    state.votes.clear();
    resetElectionTimer(state, now);
}

void startPreVote(replicated_log_state &state, time_point now, replication_effects *effects)
{
    resetElectionTimer(state, now);
    if (!isVoter(state, state.self)) {
        return;
    }
    const milliseconds retryDelay {state.settings.electionTimeout.count / retryDivisor};
    state.electionDeadline = now + retryDelay + randomDuration(state, retryDelay);
    if (isSoleVoter(state)) {
        startElection(state, now, false, effects);
        return;
    }
    state.role = replica_role::PreCandidate;
    state.leader.clear();
    state.votes = {{state.self, true}};
    requestVotes(state, true, false, effects);
}

void startElection(replicated_log_state &state, time_point now, bool isTransfer,
                   replication_effects *effects)
{
    if (!isVoter(state, state.self)) {
        return;
    }
    ++state.term;
    state.role = replica_role::Candidate;
    state.votedFor = state.self;
    state.leader.clear();
    state.votes = {{state.self, true}};
    effects->mustPersist = true;
    resetElectionTimer(state, now);
    if (hasQuorum(state)) {
        becomeLeader(state, now, effects);
        // The new term is not on disk yet, so no message may be sent before the sync.
        std::move(effects->messagesBeforeSync.begin(), effects->messagesBeforeSync.end(),
                  std::back_inserter(effects->messagesAfterSync));
        effects->messagesBeforeSync.clear();
        return;
    }
    requestVotes(state, false, isTransfer, effects);
}

bool isVoteRequestToIgnore(const replicated_log_state &state,
                           const messages::replication_message &message, time_point now)
{
    if (message.body_case() != messages::replication_message::kVote || message.vote().hand_over()) {
        return false;
    }
    return state.role == replica_role::Leader || hasRecentLeaderContact(state, now);
}

void handleVoteRequest(replicated_log_state &state, const std::string &from,
                       const messages::vote_request &request, time_point now,
                       replication_effects *effects)
{
    const bool isUpToDate = request.last_term() > lastTerm(state)
        || (request.last_term() == lastTerm(state) && request.last_index() >= lastIndex(state));
    const bool isLeaderAlive = !request.hand_over()
        && (state.role == replica_role::Leader || hasRecentLeaderContact(state, now));
    messages::replication_message answer;
    answer.set_from(state.self);
    answer.set_to(from);
    auto *reply = answer.mutable_vote_reply();
    reply->set_pre_vote(request.pre_vote());
    if (request.pre_vote()) {
        reply->set_granted(request.term() > state.term && isUpToDate && !isLeaderAlive);
        reply->set_term(reply->granted() ? request.term() : state.term);
        effects->messagesAfterSync.push_back(answer);
        return;
    }
    const bool isFree = state.votedFor.empty() || state.votedFor == from;
    if (request.term() == state.term && isFree && isUpToDate && !isLeaderAlive) {
        reply->set_granted(true);
        state.votedFor = from;
        effects->mustPersist = true;
        resetElectionTimer(state, now);
    }
    reply->set_term(state.term);
    effects->messagesAfterSync.push_back(answer);
}

void handleVoteReply(replicated_log_state &state, const std::string &from,
                     const messages::vote_reply &reply, time_point now,
                     replication_effects *effects)
{
    if (reply.pre_vote()) {
        if (state.role != replica_role::PreCandidate || reply.term() != state.term + 1) {
            return;
        }
        state.votes[from] = reply.granted();
        if (hasQuorum(state)) {
            startElection(state, now, false, effects);
        }
        return;
    }
    if (state.role != replica_role::Candidate || reply.term() != state.term) {
        return;
    }
    state.votes[from] = reply.granted();
    if (hasQuorum(state)) {
        becomeLeader(state, now, effects);
    }
}

} // namespace filbert

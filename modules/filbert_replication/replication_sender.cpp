#include "replication_sender.h"

#include "elections.h"
#include "log_access.h"

#include <algorithm>

namespace filbert {

namespace {

// Maximum number of heartbeat rounds that are kept until a quorum answers.
constexpr std::size_t maxPendingRounds = 1'000;

messages::replication_message makeMessage(const replicated_log_state &state, const std::string &to)
{
    messages::replication_message message;
    message.set_from(state.self);
    message.set_to(to);
    return message;
}

void sendSnapshotChunk(replicated_log_state &state, const std::string &to,
                       follower_progress &progress, replication_effects *effects)
{
    const auto &data = *state.snapshotData;
    if (!progress.isReceivingSnapshot) {
        progress.isReceivingSnapshot = true;
        progress.snapshotOffset = 0;
    }
    const auto offset = std::min<std::uint64_t>(progress.snapshotOffset, data.size());
    const auto length =
        std::min<std::uint64_t>(state.settings.snapshotChunkBytes, data.size() - offset);
    auto message = makeMessage(state, to);
    auto *chunk = message.mutable_snapshot();
    chunk->set_term(state.term);
    *chunk->mutable_header() = state.snapshot;
    chunk->set_offset(offset);
    chunk->set_data(data.substr(offset, length));
    chunk->set_last(offset + length == data.size());
    chunk->set_round(state.heartbeatRound);
    progress.isAwaitingReply = true;
    progress.nextIndex = state.snapshot.index() + 1;
    effects->messagesBeforeSync.push_back(std::move(message));
}

} // namespace

void sendAppend(replicated_log_state &state, const std::string &to, follower_progress &progress,
                time_point now, replication_effects *effects)
{
    progress.lastSent = now;
    const auto previous = progress.nextIndex - 1;
    const auto previousTerm = termAt(state, previous);
    if (!previousTerm || progress.isReceivingSnapshot) {
        sendSnapshotChunk(state, to, progress, effects);
        return;
    }
    auto message = makeMessage(state, to);
    auto *request = message.mutable_append();
    request->set_term(state.term);
    request->set_previous_index(previous);
    request->set_previous_term(*previousTerm);
    request->set_commit(state.commitIndex);
    request->set_round(state.heartbeatRound);
    request->set_digest_index(state.digestIndex);
    request->set_digest(state.digest);
    std::size_t bytes = 0;
    auto index = progress.nextIndex;
    while (index <= lastIndex(state) && bytes < state.settings.maxAppendBytes) {
        const auto &entry = entryAt(state, index);
        bytes += entry.payload().size();
        *request->add_entries() = entry;
        ++index;
    }
    if (progress.isProbing) {
        progress.isAwaitingReply = true;
    } else {
        // Assumes that the message arrives; a lost one leads to a mismatch later.
        progress.nextIndex = index;
    }
    effects->messagesBeforeSync.push_back(std::move(message));
}

void replicate(replicated_log_state &state, time_point now, replication_effects *effects)
{
    for (auto &[identity, progress] : state.followerProgress) {
        if (!progress.isAwaitingReply && progress.nextIndex <= lastIndex(state)) {
            sendAppend(state, identity, progress, now, effects);
        }
    }
}

void sendHeartbeats(replicated_log_state &state, time_point now, replication_effects *effects)
{
    state.nextHeartbeatAt = now + state.settings.heartbeatPeriod;
    ++state.heartbeatRound;
    state.roundSendTimes[state.heartbeatRound] = now;
    while (state.roundSendTimes.size() > maxPendingRounds) {
        state.roundSendTimes.erase(state.roundSendTimes.begin());
    }
    for (auto &[identity, progress] : state.followerProgress) {
        sendAppend(state, identity, progress, now, effects);
    }
}

bool startLeadershipTransfer(replicated_log_state &state, time_point now,
                             replication_effects *effects)
{
    if (state.role != replica_role::Leader) {
        return false;
    }
    std::uint64_t highestMatch = 0;
    for (const auto &[identity, progress] : state.followerProgress) {
        if (isVoter(state, identity) && progress.matchIndex >= highestMatch
            && progress.matchIndex > 0) {
            highestMatch = progress.matchIndex;
            state.transferee = identity;
        }
    }
    if (highestMatch == 0) {
        return false;
    }
    state.transferDeadline = now + state.settings.electionTimeout;
    continueLeadershipTransfer(state, state.transferee, effects);
    return true;
}

void continueLeadershipTransfer(replicated_log_state &state, const std::string &from,
                                replication_effects *effects)
{
    const auto found = state.followerProgress.find(from);
    if (!state.transferDeadline || from != state.transferee || found == state.followerProgress.end()
        || found->second.matchIndex != lastIndex(state)) {
        return;
    }
    auto message = makeMessage(state, from);
    message.mutable_hand_over()->set_term(state.term);
    effects->messagesAfterSync.push_back(message);
}

} // namespace filbert

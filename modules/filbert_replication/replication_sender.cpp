#include "replication_sender.h"

#include "elections.h"
#include "log_access.h"

#include <algorithm>

namespace filbert {

namespace {

constexpr std::size_t keptRounds = 1'000;

messages::replication_message messageTo(const replicated_log_state &state, const std::string &to)
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
    if (!progress.isTakingSnapshot) {
        progress.isTakingSnapshot = true;
        progress.snapshotOffset = 0;
    }
    const auto offset = std::min<std::uint64_t>(progress.snapshotOffset, data.size());
    const auto length =
        std::min<std::uint64_t>(state.settings.snapshotChunkBytes, data.size() - offset);
    auto message = messageTo(state, to);
    auto *chunk = message.mutable_snapshot();
    chunk->set_term(state.term);
    *chunk->mutable_header() = state.snapshot;
    chunk->set_offset(offset);
    chunk->set_data(data.substr(offset, length));
    chunk->set_last(offset + length == data.size());
    chunk->set_round(state.round);
    progress.isWaiting = true;
    progress.next = state.snapshot.index() + 1;
    effects->early.push_back(std::move(message));
}

} // namespace

void sendAppend(replicated_log_state &state, const std::string &to, follower_progress &progress,
                time_point now, replication_effects *effects)
{
    progress.lastSent = now;
    const auto previous = progress.next - 1;
    const auto previousTerm = termAt(state, previous);
    if (!previousTerm || progress.isTakingSnapshot) {
        sendSnapshotChunk(state, to, progress, effects);
        return;
    }
    auto message = messageTo(state, to);
    auto *request = message.mutable_append();
    request->set_term(state.term);
    request->set_previous_index(previous);
    request->set_previous_term(*previousTerm);
    request->set_commit(state.commit);
    request->set_round(state.round);
    request->set_digest_index(state.digestIndex);
    request->set_digest(state.digest);
    std::size_t bytes = 0;
    auto index = progress.next;
    while (index <= lastIndex(state) && bytes < state.settings.appendBytes) {
        const auto &entry = entryAt(state, index);
        bytes += entry.payload().size();
        *request->add_entries() = entry;
        ++index;
    }
    if (progress.isProbing) {
        progress.isWaiting = true;
    } else {
        // Assumes that the message arrives; a lost one leads to a mismatch later.
        progress.next = index;
    }
    effects->early.push_back(std::move(message));
}

void replicate(replicated_log_state &state, time_point now, replication_effects *effects)
{
    for (auto &[name, progress] : state.followers) {
        if (!progress.isWaiting && progress.next <= lastIndex(state)) {
            sendAppend(state, name, progress, now, effects);
        }
    }
}

void sendHeartbeats(replicated_log_state &state, time_point now, replication_effects *effects)
{
    state.heartbeatAt = now + state.settings.heartbeat;
    ++state.round;
    state.roundsSent[state.round] = now;
    while (state.roundsSent.size() > keptRounds) {
        state.roundsSent.erase(state.roundsSent.begin());
    }
    for (auto &[name, progress] : state.followers) {
        sendAppend(state, name, progress, now, effects);
    }
}

bool handOver(replicated_log_state &state, time_point now, replication_effects *effects)
{
    if (state.role != replica_role::Leader) {
        return false;
    }
    std::uint64_t best = 0;
    for (const auto &[name, progress] : state.followers) {
        if (isVoter(state, name) && progress.match >= best && progress.match > 0) {
            best = progress.match;
            state.handOverMember = name;
        }
    }
    if (best == 0) {
        return false;
    }
    state.handOverUntil = now + state.settings.electionTimeout;
    continueHandOver(state, state.handOverMember, effects);
    return true;
}

void continueHandOver(replicated_log_state &state, const std::string &from,
                      replication_effects *effects)
{
    const auto found = state.followers.find(from);
    if (!state.handOverUntil || from != state.handOverMember || found == state.followers.end()
        || found->second.match != lastIndex(state)) {
        return;
    }
    auto message = messageTo(state, from);
    message.mutable_hand_over()->set_term(state.term);
    effects->send.push_back(message);
}

} // namespace filbert

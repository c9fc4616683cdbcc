#include "log_access.h"

#include <algorithm>
#include <utility>

namespace filbert {

namespace {

void applyMembershipEntry(replicated_log_state &state, const messages::log_entry &entry)
{
    if (entry.kind() != messages::MEMBERSHIP) {
        return;
    }
    FILBERT_INVARIANT(state.membership.ParseFromString(entry.payload()),
                      "the payload of a membership entry can be parsed");
    state.membershipIndex = entry.index();
    std::erase_if(state.followerProgress, [&](const auto &each) {
        return findMember(state.membership, each.first) == nullptr;
    });
    if (state.role != replica_role::Leader) {
        return;
    }
    for (const auto &member : state.membership.members()) {
        if (member.identity() != state.self
            && !state.followerProgress.contains(member.identity())) {
            state.followerProgress[member.identity()].nextIndex = entry.index();
        }
    }
}

void truncateFrom(replicated_log_state &state, std::uint64_t index)
{
    FILBERT_INVARIANT(index > state.commitIndex, "a committed entry is never removed");
    while (!state.entries.empty() && state.entries.back().index() >= index) {
        state.entries.pop_back();
    }
    state.durableIndex = std::min(state.durableIndex, lastIndex(state));
    if (state.membershipIndex >= index) {
        restoreMembership(state);
    }
}

} // namespace

const messages::log_entry &entryAt(const replicated_log_state &state, std::uint64_t index)
{
    FILBERT_INVARIANT(index > state.snapshot.index() && index <= lastIndex(state),
                      "the entry is in the log");
    return state.entries[index - state.snapshot.index() - 1];
}

std::uint64_t lastIndex(const replicated_log_state &state)
{
    return state.snapshot.index() + state.entries.size();
}

std::uint64_t lastTerm(const replicated_log_state &state)
{
    return state.entries.empty() ? state.snapshot.term() : state.entries.back().term();
}

std::optional<std::uint64_t> termAt(const replicated_log_state &state, std::uint64_t index)
{
    if (index == state.snapshot.index()) {
        return state.snapshot.term();
    }
    if (index < state.snapshot.index() || index > lastIndex(state)) {
        return std::nullopt;
    }
    return entryAt(state, index).term();
}

const messages::member *findMember(const messages::membership &membership,
                                   const std::string &identity)
{
    for (const auto &member : membership.members()) {
        if (member.identity() == identity) {
            return &member;
        }
    }
    return nullptr;
}

void appendAsLeader(replicated_log_state &state, messages::entry_kind kind, std::string payload,
                    replication_effects *effects)
{
    messages::log_entry entry;
    entry.set_index(lastIndex(state) + 1);
    entry.set_term(state.term);
    entry.set_kind(kind);
    entry.set_payload(std::move(payload));
    state.entries.push_back(entry);
    effects->entriesToPersist.push_back(entry);
    effects->mustPersist = true;
    applyMembershipEntry(state, entry);
}

void appendFromLeader(replicated_log_state &state, const messages::log_entry &entry,
                      replication_effects *effects)
{
    if (entry.index() <= state.snapshot.index()) {
        return;
    }
    const auto heldTerm = termAt(state, entry.index());
    if (heldTerm == entry.term()) {
        return;
    }
    if (heldTerm) {
        truncateFrom(state, entry.index());
        std::erase_if(effects->entriesToPersist,
                      [&](const auto &each) { return each.index() >= entry.index(); });
    }
    FILBERT_INVARIANT(entry.index() == lastIndex(state) + 1, "the log has no gaps");
    state.entries.push_back(entry);
    effects->entriesToPersist.push_back(entry);
    effects->mustPersist = true;
    applyMembershipEntry(state, entry);
}

void commitTo(replicated_log_state &state, std::uint64_t index, replication_effects *effects)
{
    const auto newCommitIndex = std::min(index, lastIndex(state));
    FILBERT_INVARIANT(newCommitIndex >= state.commitIndex, "the commit index never decreases");
    state.commitIndex = newCommitIndex;
    while (state.appliedIndex < state.commitIndex) {
        ++state.appliedIndex;
        effects->entriesToApply.push_back(entryAt(state, state.appliedIndex));
    }
}

std::uint64_t conflictHint(const replicated_log_state &state, std::uint64_t index)
{
    auto hint = std::min(index > 0 ? index - 1 : 0, lastIndex(state));
    const auto term = termAt(state, std::min(index, lastIndex(state)));
    while (hint > state.commitIndex && term && termAt(state, hint) == term) {
        --hint;
    }
    return hint;
}

void installIncomingSnapshot(replicated_log_state &state, replication_effects *effects)
{
    const bool isTailConsistent =
        termAt(state, state.incomingSnapshotHeader.index()) == state.incomingSnapshotHeader.term();
    if (isTailConsistent) {
        // The entries after the snapshot may have been acknowledged, so that a quorum depends on
        // them. They must be kept (Raft paper, section 7).
        while (!state.entries.empty()
               && state.entries.front().index() <= state.incomingSnapshotHeader.index()) {
            state.entries.pop_front();
        }
    } else {
        state.entries.clear();
        state.durableIndex = state.incomingSnapshotHeader.index();
        effects->entriesToPersist.clear();
        effects->mustTruncateTail = true; // otherwise a restart would read it after the snapshot
    }
    state.snapshot = state.incomingSnapshotHeader;
    state.snapshotData = std::make_shared<const std::string>(std::move(state.incomingSnapshot));
    state.incomingSnapshot.clear();
    state.incomingSnapshotHeader.Clear();
    state.commitIndex = state.snapshot.index();
    state.appliedIndex = state.snapshot.index();
    state.digestIndex = 0;
    effects->entriesToApply.clear();
    effects->mustPersist = true;
    effects->mustInstall = true;
    restoreMembership(state);
}

void restoreMembership(replicated_log_state &state)
{
    state.membership = state.snapshot.members();
    state.membershipIndex = state.snapshot.index();
    for (const auto &entry : state.entries) {
        applyMembershipEntry(state, entry);
    }
}

messages::membership membershipAt(const replicated_log_state &state, std::uint64_t index)
{
    auto membership = state.snapshot.members();
    for (const auto &entry : state.entries) {
        if (entry.index() > index) {
            break;
        }
        if (entry.kind() == messages::MEMBERSHIP) {
            membership.ParseFromString(entry.payload());
        }
    }
    return membership;
}

} // namespace filbert

#pragma once

#include "replicated_log.h"

namespace filbert {

/** Appends an entry of the current term to the leader's own log. */
void appendAsLeader(replicated_log_state &state, messages::entry_kind kind, std::string payload,
                    replication_effects *effects);

/** Appends an entry received from the leader. An entry with the same index and another term is
    removed together with all entries after it. */
void appendFromLeader(replicated_log_state &state, const messages::log_entry &entry,
                      replication_effects *effects);

/** Raises the commit index and adds the newly committed entries to the effects. */
void commitTo(replicated_log_state &state, std::uint64_t index, replication_effects *effects);

/** @return the index after which the leader should continue if the entry that precedes its append
    does not match this member's log; skips all entries of the conflicting term at once */
std::uint64_t conflictHint(const replicated_log_state &state, std::uint64_t index);

/** Replaces the snapshot, and the entries that it covers, by the snapshot that was received
    completely. */
void installIncomingSnapshot(replicated_log_state &state, replication_effects *effects);

/** Sets the membership to the newest one in the snapshot and the log. */
void restoreMembership(replicated_log_state &state);

/** @return the membership in force at an index */
messages::membership membershipAt(const replicated_log_state &state, std::uint64_t index);

/** @return the entry at an index, which must be after the snapshot and in the log */
const messages::log_entry &entryAt(const replicated_log_state &state, std::uint64_t index);

/** @return the term of the last entry */
std::uint64_t lastTerm(const replicated_log_state &state);

} // namespace filbert

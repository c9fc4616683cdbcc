#pragma once

#include "replicated_log.h"

namespace filbert {

/** Appends an entry of the leader's own. */
void appendOwn(replicated_log_state &state, messages::entry_kind kind, std::string payload,
               replication_effects *effects);

/** Takes one entry of a leader: what stands at its index with another term goes, with all behind.
 */
void appendFromLeader(replicated_log_state &state, const messages::log_entry &entry,
                      replication_effects *effects);

/** Raises the commit index and hands out what is newly committed. */
void commitTo(replicated_log_state &state, std::uint64_t index, replication_effects *effects);

/** Where a leader should go on after a mismatch at an index; skips a whole term at once. */
std::uint64_t conflictHint(const replicated_log_state &state, std::uint64_t index);

/** Replaces log and snapshot by the snapshot that has come in whole. */
void installIncoming(replicated_log_state &state, replication_effects *effects);

/** Finds the newest membership in snapshot and log again. */
void restoreMembers(replicated_log_state &state);

/** @return the membership in force at an index */
messages::membership membersAt(const replicated_log_state &state, std::uint64_t index);

/** @return the held entry at an index; it must be held */
const messages::log_entry &entryAt(const replicated_log_state &state, std::uint64_t index);

/** @return term of the last entry */
std::uint64_t lastTerm(const replicated_log_state &state);

} // namespace filbert

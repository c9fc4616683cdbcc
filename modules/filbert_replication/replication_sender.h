#pragma once

#include "replicated_log.h"

namespace filbert {

/** Sends one follower what it lacks: entries, or the snapshot where those are gone. */
void sendAppend(replicated_log_state &state, const std::string &to, follower_progress &progress,
                time_point now, replication_effects *effects);

/** Sends all followers what is new. */
void replicate(replicated_log_state &state, time_point now, replication_effects *effects);

/** Starts a new round to all followers, with or without entries. */
void sendHeartbeats(replicated_log_state &state, time_point now, replication_effects *effects);

/** Tells the chosen member to stand for election once it holds everything. */
void continueHandOver(replicated_log_state &state, const std::string &from,
                      replication_effects *effects);

} // namespace filbert

#pragma once

#include "replicated_log.h"

namespace filbert {

/** Sends a follower the entries that it lacks, or the snapshot if that has replaced them. */
void sendAppend(replicated_log_state &state, const std::string &to, follower_progress &progress,
                time_point now, replication_effects *effects);

/** Sends all followers the entries that they lack, except where a reply is awaited. */
void replicate(replicated_log_state &state, time_point now, replication_effects *effects);

/** Starts a new heartbeat round: sends an append to all followers, with or without entries. */
void sendHeartbeats(replicated_log_state &state, time_point now, replication_effects *effects);

/** Requests the transferee to start an election if it holds the whole log.

    @param from  the member that has just acknowledged entries
*/
void continueLeadershipTransfer(replicated_log_state &state, const std::string &from,
                                replication_effects *effects);

} // namespace filbert

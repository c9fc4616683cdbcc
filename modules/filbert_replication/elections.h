#pragma once

#include "replicated_log.h"

namespace filbert {

/** Becomes a follower in the current or a later term.

    @param leader  the identity of the leader, empty if unknown
*/
void becomeFollower(replicated_log_state &state, std::uint64_t term, const std::string &leader,
                    time_point now, replication_effects *effects);

/** Restarts the election timer with a random timeout. */
void resetElectionTimer(replicated_log_state &state, time_point now);

/** Starts a pre-vote, which finds out whether an election could be won without raising any
    member's term. */
void startPreVote(replicated_log_state &state, time_point now, replication_effects *effects);

/** Becomes a candidate in a new term and requests votes.

    @param isTransfer  the leader asked for the election, so voters disregard its lease
*/
void startElection(replicated_log_state &state, time_point now, bool isTransfer,
                   replication_effects *effects);

void handleVoteRequest(replicated_log_state &state, const std::string &from,
                       const messages::vote_request &request, time_point now,
                       replication_effects *effects);

void handleVoteReply(replicated_log_state &state, const std::string &from,
                     const messages::vote_reply &reply, time_point now,
                     replication_effects *effects);

/** Whether a message is a vote request to ignore, because a leader may hold its lease. */
bool isVoteRequestToIgnore(const replicated_log_state &state,
                           const messages::replication_message &message, time_point now);

/** Whether a member may vote and be elected: it is in the membership and no learner. */
bool isVoter(const replicated_log_state &state, const std::string &identity);

/** Whether this member is the only voter. */
bool isSoleVoter(const replicated_log_state &state);

} // namespace filbert

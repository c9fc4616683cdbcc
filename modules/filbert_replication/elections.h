#pragma once

#include "replicated_log.h"

namespace filbert {

/** Steps back to follower, in a term that may be new. */
void becomeFollower(replicated_log_state &state, std::uint64_t term, const std::string &leader,
                    time_point now, replication_effects *effects);

/** Sets the next election a random while ahead. */
void resetElection(replicated_log_state &state, time_point now);

/** Asks whether an election could be won, without disturbing anybody's term. */
void startPreVote(replicated_log_state &state, time_point now, replication_effects *effects);

/** Stands for election in a new term. @param isHandOver the leader itself asked for it */
void startElection(replicated_log_state &state, time_point now, bool isHandOver,
                   replication_effects *effects);

void takeVoteRequest(replicated_log_state &state, const std::string &from,
                     const messages::vote_request &request, time_point now,
                     replication_effects *effects);

void takeVoteReply(replicated_log_state &state, const std::string &from,
                   const messages::vote_reply &reply, time_point now, replication_effects *effects);

/** Whether a vote request comes while a leader may hold its lease, so that it must not count. */
bool isVoteToIgnore(const replicated_log_state &state, const messages::replication_message &message,
                    time_point now);

/** Whether this member may vote and stand: it is in the membership and no learner. */
bool isVoter(const replicated_log_state &state, const std::string &identity);

/** Whether no other member's vote is needed. */
bool isSoleVoter(const replicated_log_state &state);

} // namespace filbert

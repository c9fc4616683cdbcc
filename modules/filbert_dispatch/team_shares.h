#pragma once

#include "filbert_core/filbert_core.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace filbert {

/** How many jobs each team may send at present within its share.

    A team's weight is the number of jobs per second that it is owed. Each team has a token bucket
    that fills at this rate, and each accepted job takes a token. A job that finds none is beyond
    the share of its team. A team without a weight has no bucket: its jobs are never beyond a share.
*/
struct team_shares
{
    struct bucket
    {
        double tokens = 0;
        time_point filledAt;
    };
    std::map<std::string, bucket> buckets; // by team; of those that have sent jobs
};

/** @param weight  of the team; 0 = it has no share
    @return whether a job that the team sends now is beyond its share */
bool isBeyondShare(const team_shares &shares, const std::string &team, std::int32_t weight,
                   time_point now);

/** Charges a job to its team.
    @param now  no earlier than in the last call for this team
    @return whether the job is beyond the share of the team */
bool chargeJob(team_shares &shares, const std::string &team, std::int32_t weight, time_point now);

/** What teams wait for within their shares, for the targets of one service.

    Shares decide only between teams: a team that waits alone is served as if it had no share. And
    work with time to spare needs no protection yet: it is in time also if more urgent work of
    others goes first that is beyond a share. It is protected once it is pressed, having used up
   half of its slack.
*/
struct share_claims
{
    static constexpr int unpressed = -1; // instead of the priority

    std::string_view team; // one with the least urgent pressed work; empty = none waits
    int priority = unpressed; // of that work
    std::optional<int> otherPriority; // the same of all other teams; nothing = no other waits
};

/** Adds work that a team waits for within its share.
    @param team      must outlive the claims
    @param priority  of its queue if it is pressed, else share_claims::unpressed */
void addClaim(share_claims &claims, std::string_view team, int priority);

/** @return nothing if no other team waits within its share; else the priority of the least urgent
    work of others that is pressed, or share_claims::unpressed */
std::optional<int> claimOfOthers(const share_claims &claims, std::string_view team);

} // namespace filbert

#pragma once

#include "filbert_core/filbert_core.h"

#include <cstdint>
#include <map>
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

/** The teams that wait within their shares for the targets of one service. Shares decide only
    between teams: a team that waits alone is served as if it had no share. */
struct share_claims
{
    std::string_view team; // one of them; empty = there is none
    bool areSeveral = false;
};

/** Adds a team that waits within its share. @param team  must outlive the claims */
void addClaim(share_claims &claims, std::string_view team);

/** @return whether another team waits within its share */
bool hasOtherClaim(const share_claims &claims, std::string_view team);

} // namespace filbert

#pragma once

#include "replicated_log.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbert {

/** Limits for the automatic changes of the membership. */
struct membership_settings
{
    int faultTolerance = 1; // members that may fail at the same time
    // Time without contact after which a member may be removed. Longer than an election and a short
    // pause of a member, and far below the 4 s within which a lost disk must be replaced.
    milliseconds silenceTimeout {1'200};
    milliseconds joinRequestTimeout {1'000}; // a process that has stopped requesting is not added
};

/** A process that requests to become a member. */
struct pending_join
{
    messages::member member;
    time_point lastRequestAt;
};

/** What the leader bases its decision about the membership on. */
struct membership_view
{
    const messages::membership *membership = nullptr;
    std::string self; // the leader's identity
    std::vector<pending_join> pendingJoins;
    std::map<std::string, time_point> lastContactAt; // by identity; missing = none in this term
    time_point leadingSince;
    std::map<std::string, std::string> failureDomains; // by identity; missing or empty = unknown
};

/** A change that the leader should make to the membership now. */
struct membership_change
{
    bool add = false;
    messages::member member;
    std::string reason;
};

/** @return the number of voters of which a majority remains when as many members fail as the
    settings tolerate */
int desiredVoterCount(const membership_settings &settings);

/** Decides on the next change of the membership; there is only one change at a time.

    A silent learner is removed first, then a process that requests to join is added. A voter
    that is silent, or whose address another process has taken over because its disk was lost, is
    removed only once there are more voters than desired, so that a quorum never depends on fewer
    disks than before.

    Where there is a choice, failure domains decide: of several processes that request to join, one
    from the domain with the fewest members is added first, and of several voters that can be
    removed, one from the domain with the most voters is removed first. With more voters than
    desired, one that works is removed if only without it the others survive the loss of any domain.
    It joins again as a learner.

    @return the change, or nothing if none is needed
*/
std::optional<membership_change> nextMembershipChange(const membership_view &view,
                                                      const membership_settings &settings,
                                                      time_point now);

/** Decides which learners may become voters, the preferred ones first.

    While voters are missing, all learners may, those from domains with few voters first. With
    enough voters, spare learners are held back if the loss of one failure domain would stop the log
    with them as voters, but not without them.

    @return identities
*/
std::vector<std::string> promotionOrder(const membership_view &view,
                                        const membership_settings &settings, time_point now);

/** Whether a majority of voters remains after the loss of any one failure domain.

    @param domains  the domain of each voter; an unknown one, which is empty, counts as one of its
                    own
*/
bool survivesDomainLoss(const std::vector<std::string> &domains);

/** Whether this process is the one that bootstraps the log. All processes with the same
    seeds choose the same one.

    @param seeds  the addresses of all processes, as configured for the first start
    @param own    the address of this process among them
*/
bool isBootstrapMember(const std::vector<std::string> &seeds, const std::string &own);

} // namespace filbert

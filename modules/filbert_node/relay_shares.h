#pragma once

#include "filbert_core/filbert_core.h"

#include <map>
#include <string>
#include <vector>

namespace filbert {

/** How late the answers of one relay are, and what share of its orders it gets for that. */
struct relay_pace
{
    std::vector<std::int64_t> delaysMs; // of the answers since collectedSince
    time_point collectedSince;
    int lateReviews = 0; // in a row
    int halvings = 0; // its share is 1 / 2^halvings
    time_point lastReductionAt;
    time_point lastRaiseAt;
    time_point lastLateAt;
    milliseconds recoveryDelay; // without being late, before its share is doubled
};

/** The shares of all relays. A relay whose answers come late against those of the other relays in
    its failure domain gets half its share, again and again if it stays late, and gets its share
   back step by step when it is late no more. Relays that are equally late keep their shares.
*/
struct relay_shares
{
    std::map<std::string, relay_pace> paces; // by name of the relay
    time_point nextReviewAt;
};

/** The orders of a relay that wait for their answers. */
struct relay_backlog
{
    std::string name;
    std::string failureDomain;
    std::vector<std::int64_t> agesMs; // how long each of them has waited beyond its poll wait
};

/** A change of the share of a relay, for the log. */
struct share_change
{
    std::string relay;
    double share = 1; // the new one
    std::int64_t typicalDelayMs = 0; // of its answers; 0 = unknown
    std::int64_t othersDelayMs = 0; // of the other relays in its failure domain; 0 = unknown
};

/** Records the answer to an order. @param delay  from sending it, without the wait of a poll */
void recordAnswerDelay(relay_shares &shares, const std::string &relay, milliseconds delay,
                       time_point now);

/** Halves the share of a relay that has left an order unanswered.
    @return whether it has changed: not if it was reduced just before, or is the smallest */
bool recordUnansweredOrder(relay_shares &shares, const std::string &relay, time_point now);

/** Whether a review is due. The backlogs need not be collected before. */
bool isReviewDue(const relay_shares &shares, time_point now);

/** Compares the relays with one another.
    @param backlogs  of all relays that get orders
    @return the changes of shares, which are in effect already
*/
std::vector<share_change> reviewShares(relay_shares &shares,
                                       const std::vector<relay_backlog> &backlogs, time_point now);

/** @return the fraction of its usual orders that a relay gets, above 0 */
double shareOf(const relay_shares &shares, const std::string &relay);

} // namespace filbert

#pragma once

#include "filbert_dispatch/filbert_dispatch.h"
#include "relay_choice.h"
#include "relay_shares.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbert {

/** Limits and timing of an order_router. */
struct order_router_settings
{
    // Order ids start above this value. It must exceed every id that an earlier process of the same
    // name has used, so that late answers to that process match no order of this one.
    std::uint64_t idBase = 0;
    // With more targets than this, orders go through relays. Polling one target costs the leader
    // about 1 ms of processor time a second; with more of them, its host would have little left for
    // scheduling.
    std::size_t maxDirectTargets = 100;
    // A relay without a hello for this long, three hellos, is considered lost.
    milliseconds relayTimeout {1'000};
    // Time for which the orders of a new term wait for the first relay. When a whole cell restarts,
    // entry hosts find the new leader within their hello period; calling that many targets itself
    // would take the leader as long.
    milliseconds relayDiscoveryTimeout {400};
    // Added to the timeout of a relayed order: two hops, with an event loop turn each.
    milliseconds answerGracePeriod {350};
};

/** Sends a leader's orders to targets: directly where there are few targets, otherwise through
    relays, processes that pass the orders on and return the targets' answers.

    Each target has one relay, so that connections to it are reused. The relay is in the target's
    failure domain if possible, and is never one whose link is much narrower than another relay's.
    Relays get targets in proportion to their hosts (see weighRelays()), and fewer while they answer
    late (see relay_shares).

    Each order ends exactly once: with the answer that its relay returns, or as RelayLost if that
    does not come in time. Leases, run numbers and fencing tokens protect targets from late orders,
    relayed or not.
*/
class order_router
{
public:
    /** The functions that the router calls in its owner. */
    struct hooks
    {
        /** Sends a message to a relay. */
        std::function<void(const std::string &relay, const messages::work_envelope &)> send;
        /** Calls the target directly; its answer does not pass through the router. */
        std::function<void(const target_order &)> callTarget;
        /** Asked about each order that has waited for a relay; one that may not be sent is dropped.
         */
        std::function<bool(const target_order &, time_point now)> mayStillSend;
        /** Called once for each order that was sent to a relay, unless its term ends before. */
        std::function<void(const target_order &, const order_answer &)> onAnswer;
    };

    order_router(const order_router_settings &settings, hooks callbacks);

    /** Handles the hello of a process that relays orders.
        @param info  what it reports of itself; if the process replaces an earlier one of the same
                     name, the pending orders of the earlier one end as RelayLost at once
    */
    void registerRelay(const std::string &name, const relay_info &info, time_point now);

    /** Handles the hello of a process that relays no orders, or no more since it stops. It still
        answers the orders that it has.
    */
    void unregisterRelay(const std::string &name);

    /** Calls the target directly, or queues the order for the next flush().
        @param targetCount    number of targets in the cell
        @param failureDomain  of the order's target
    */
    void send(const target_order &order, std::size_t targetCount, const std::string &failureDomain,
              time_point now);

    /** Sends the queued orders to their relays. Call it once per turn of the event loop, and only
        while this controller still holds the leader's lease of the orders' term.
    */
    void flush(time_point now);

    /** Handles the answers that a relay returns; those that match no pending order are ignored. */
    void handleAnswers(const std::string &relay, const messages::carried_answers &answers,
                       time_point now);

    /** Ends all orders of each relay that is silent, or has not answered one order in time. Moves
        targets away from relays that answer late, and back.
    */
    void tick(time_point now);

    /** Discards all orders, since their term has ended. Orders of the new term wait for a short
        time if no relay is known yet.
    */
    void startTerm(time_point now);

    /** @return by relay: the fraction of its usual orders that it gets */
    std::map<std::string, double> sharesByRelay() const;

private:
    struct relay_state
    {
        relay_info info;
        time_point lastContactAt; // its last hello
    };

    struct pending_order
    {
        target_order order;
        std::string relay;
        time_point sentAt;
        time_point deadline;
    };

    struct waiting_order
    {
        target_order order;
        std::string failureDomain; // of its target
    };

    const std::string &relayFor(const std::string &target, const std::string &failureDomain,
                                time_point now);
    const std::vector<weighted_relay> &usableRelays(time_point now);
    void forgetChoices();
    void reviewRelayShares(time_point readUntil, time_point now);
    std::vector<relay_backlog> backlogsAt(time_point readUntil) const;
    void enqueue(const target_order &order, const std::string &relay, time_point now);
    void enqueueWaiting(time_point now);
    void markRelayLost(const std::string &name, const std::string &reason, time_point now);

    order_router_settings settings;
    hooks callbacks;
    std::map<std::string, relay_state> relays; // without lost ones
    relay_shares shares; // of this term
    // Relay by target; cleared when the set of relays or a share changes.
    std::unordered_map<std::string, std::string> relayByTarget;
    // Relays with their weights at usableAt; empty when the set of relays or a share changes.
    std::vector<weighted_relay> usable;
    time_point usableAt;
    std::map<std::uint64_t, pending_order> pendingOrders;
    std::map<std::string, messages::work_envelope> outgoing; // for the next flush, by relay
    std::vector<waiting_order> waitingOrders; // until a relay is known, or the wait for one is over
    time_point relayWaitDeadline;
    time_point lastTickAt;
    std::uint64_t lastId = 0;
};

/** @return an order as a message to a relay, without an id */
messages::carried_order toOrderMessage(const target_order &order);

/** @return whether this version knows the kind of an order */
bool hasKnownKind(const messages::carried_order &message);

/** @return the order in a message to a relay. Its kind must be known. */
target_order toTargetOrder(const messages::carried_order &message);

/** @return a target's answer as a message from a relay, without an id */
messages::carried_answer toAnswerMessage(const order_answer &answer);

/** @return the target's answer in a message from a relay; a result that this version does not know
    is Unanswered, since it says nothing about the order */
order_answer toOrderAnswer(const messages::carried_answer &message);

} // namespace filbert

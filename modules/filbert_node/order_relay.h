#pragma once

#include "filbert_dispatch/filbert_dispatch.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbert {

/** Times and sizes of an order_relay. */
struct order_relay_settings
{
    // Above every id that an earlier process of this name has used: its answers fit no order.
    std::uint64_t idsAbove = 0;
    // A conversation with a target costs a leader about 1 ms of processor a second; beyond this
    // many the leader's host would have little left for decisions.
    std::size_t ownTargets = 100;
    milliseconds carrierSpan {1'000}; // three missed hellos
    // After a restart of all, entry hosts find the new leader within their hello period; calls of
    // so many targets from here would take the leader as long as that.
    milliseconds carrierWait {400};
    milliseconds answerGrace {350}; // on top of the order's own time: two hops and a turn each
};

/** What a process that carries orders says of itself. */
struct order_carrier_view
{
    std::string failureDomain;
    std::uint64_t process = 0; // differs between two processes of one name
    std::uint32_t linkMbps = 0; // of its host; 0 = not known
};

/** Passes a leader's orders to processes near the targets, or makes the calls itself where there
    are few targets.

    Each target has one carrier, so that its connections stay: of its own failure domain if there
    is one, and none with a much narrower link than another has.

    An order ends once: with the carrier's answer, or as CarrierLost when that does not come. What
    protects targets from late orders (leases, run numbers, fencing tokens) does so here too.
*/
class order_relay
{
public:
    struct hooks
    {
        std::function<void(const std::string &carrier, const messages::work_envelope &)> send;
        std::function<void(const target_order &)> callTarget; // from this process
        std::function<void(const target_order &, const order_answer &)> onAnswer;
    };

    order_relay(const order_relay_settings &settings, hooks given);

    /** A process said that it carries orders.
        @param about  what it said of itself; where its process differs from the one before, what
                      that one had taken ends as CarrierLost at once
    */
    void takeCarrier(const std::string &name, const order_carrier_view &about, time_point now);

    /** A process said that it carries none (any more): it stops, or never did. */
    void dropCarrier(const std::string &name);

    /** @param targets  how many there are @param failureDomain of the order's target */
    void send(const target_order &order, std::size_t targets, const std::string &failureDomain,
              time_point now);

    /** Sends what send() has gathered; call it once a turn, and only while its term is served. */
    void flush(time_point now);

    void takeAnswers(const std::string &carrier, const messages::carried_answers &answers);

    /** Ends the orders of carriers that are silent, or have not answered one of them in time. */
    void takeTime(time_point now);

    /** Forgets all open orders, since their term is over; those of the new one wait a little where
        no carrier is known yet. */
    void startTerm(time_point now);

private:
    struct carrier_state
    {
        order_carrier_view about;
        time_point heardAt; // 0 = lost: not before its next hello
    };

    struct open_order
    {
        target_order order;
        std::string carrier;
        time_point deadline;
    };

    struct held_order
    {
        target_order order;
        std::string failureDomain; // of its target
    };

    const std::string &carrierFor(const std::string &target, const std::string &failureDomain,
                                  time_point now);
    std::string chooseCarrier(const std::string &target, const std::string &failureDomain,
                              time_point now) const;
    void pass(const target_order &order, const std::string &carrier, time_point now);
    void passHeld(time_point now);
    void loseCarrier(const std::string &name, const std::string &reason, time_point now);

    order_relay_settings settings;
    hooks given;
    std::map<std::string, carrier_state> carriers;
    std::unordered_map<std::string, std::string> chosen; // by target, as long as carriers stay
    std::map<std::uint64_t, open_order> open;
    std::map<std::string, messages::work_envelope> gathered; // by carrier
    std::vector<held_order> held; // until a carrier is known
    time_point carriersAwaitedUntil;
    std::uint64_t lastId = 0;
};

/** @param order to carry @return it as a message, without an id */
messages::carried_order carriedOrderOf(const target_order &order);

/** @return the order that a message holds */
target_order orderOf(const messages::carried_order &message);

/** @param answer to an order @return it as a message, without an id */
messages::carried_answer carriedAnswerOf(const order_answer &answer);

/** @return the answer that a message holds */
order_answer answerOf(const messages::carried_answer &message);

} // namespace filbert

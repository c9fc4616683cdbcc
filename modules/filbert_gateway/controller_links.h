#pragma once

#include "filbert_core/filbert_core.h"
#include "filbert_messages/filbert_messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace filbert {

/** Carries messages to controllers; they may be lost. */
class controller_transport
{
public:
    virtual ~controller_transport() = default;

    /** Connects beforehand, so that a later send() need not wait. @param address "tcp://IP:port" */
    virtual void connect(const std::string &address) = 0;

    /** Replaces the connection, which may have gone silent, by a new one. */
    virtual void reconnect(const std::string &address) = 0;

    /** @param address "tcp://IP:port" @return false if it certainly was not sent */
    virtual bool send(const std::string &address, const messages::envelope &envelope) = 0;
};

/** Whether a request may be sent again when its answer is missing. */
enum class resend_rule { Never, WhenUnanswered };

/** Exchanges with whichever controller leads.

    A request that a controller did not take goes to another one; one without an answer is sent
   again only if its rule says so. Each ends with exactly one call of its handler.
*/
class controller_links
{
public:
    using handler = std::function<void(std::error_code, const messages::envelope &)>;

    /** @param name        of this gateway
        @param addresses   of some controllers; more are learned
        @param transport   outlives the links
    */
    controller_links(const std::string &name, const std::vector<std::string> &addresses,
                     controller_transport &transport);

    /** Sends a request to the leader.

        @param envelope  the request; its exchange number is filled in
        @param timeout   until the handler is called with Timeout, or with NoLeader if the request
                         certainly was not taken by any controller
        @param rule      whether it may be sent twice
    */
    void request(messages::envelope &&envelope, milliseconds timeout, resend_rule rule,
                 time_point now, handler onAnswer);

    /** Takes an answer of a controller. @return false if no exchange waits for it */
    bool handleAnswer(const std::string &address, const messages::envelope &envelope,
                      time_point now);

    /** Lets time pass: sends again, gives up. */
    void tick(time_point now);

    /** Takes over the members of the cell. */
    void setMembers(const messages::membership &members);

    /** @return whether no exchange is open but the gateway's own hellos */
    bool isIdle() const;

    /** @return address of the controller that is thought to lead */
    const std::string &leader() const { return addresses[current]; }

private:
    struct exchange
    {
        messages::envelope envelope;
        handler onAnswer;
        time_point deadline;
        time_point sentAt;
        time_point retryAt;
        resend_rule rule = resend_rule::Never;
        bool mayHaveBeenTaken = false; // sent, and neither taken nor turned away as far as is known
        int unansweredSends = 0; // sendings that got no answer at all
        milliseconds patience {500}; // with the next answer; doubles with each resend
    };

    void trySend(exchange &open, time_point now);
    void tryNext(time_point now);
    void leaveUnresponsiveLeader(time_point now);
    bool isUnresponsive(const std::string &address, time_point now) const;
    void point(const std::string &address);

    std::string name;
    std::vector<std::string> addresses;
    controller_transport &transport;
    std::map<std::uint64_t, exchange> open;
    std::size_t current = 0;
    std::string unresponsiveAddress; // hints to it are not followed for a while
    time_point unresponsiveUntil;
    std::uint64_t lastExchange = 0;
    time_point lastAnswer;
    time_point lastSwitch;
};

} // namespace filbert

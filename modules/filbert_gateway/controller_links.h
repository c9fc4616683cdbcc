#pragma once

#include "filbert_core/filbert_core.h"
#include "filbert_messages/filbert_messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace filbert {

/** Sends messages to controllers. Messages may be lost. */
class controller_transport
{
public:
    virtual ~controller_transport() = default;

    /** Connects in advance, so that a later send() need not wait.

        @param address  "tcp://IP:port"
    */
    virtual void connect(const std::string &address) = 0;

    /** Replaces a connection that may have become unresponsive by a new one.

        @param address  "tcp://IP:port"
    */
    virtual void reconnect(const std::string &address) = 0;

    /** Sends a message.

        @param address   "tcp://IP:port"
        @param envelope  the message
        @return false if the message was certainly not sent
    */
    virtual bool send(const std::string &address, const messages::envelope &envelope) = 0;
};

/** Whether a request may be sent again when no answer to it arrives. */
enum class resend_rule { Never, WhenUnanswered };

/** Sends requests to the controller that currently leads, and matches the answers to them.

    A request that a controller redirects is sent to another one. A request without an answer is
    sent again only if its resend_rule permits that. Every request ends with exactly one call of its
    handler.
*/
class controller_links
{
public:
    using handler = std::function<void(std::error_code, const messages::envelope &)>;

    /** @param name        of this gateway
        @param addresses   of at least one controller; setMembers() replaces them later
        @param transport   must outlive this object
    */
    controller_links(const std::string &name, const std::vector<std::string> &addresses,
                     controller_transport &transport);

    /** Sends a request to the leader.

        @param envelope  the request; its exchange number, format and sender are filled in
        @param timeout   after which the handler is called with Timeout, or with NoLeader if
                         certainly no controller accepted the request
        @param rule      whether the request may be sent again while it is unanswered
        @param now       the current time
        @param onAnswer  called once, with the answer or an error
    */
    void request(messages::envelope &&envelope, milliseconds timeout, resend_rule rule,
                 time_point now, handler onAnswer);

    /** Handles an answer from a controller.

        @param address   of the controller
        @param envelope  the answer
        @param now       the current time
        @return false if no pending exchange has the answer's exchange number
    */
    bool handleAnswer(const std::string &address, const messages::envelope &envelope,
                      time_point now);

    /** Sends unanswered requests again and ends those whose timeout has passed. */
    void tick(time_point now);

    /** Replaces the addresses by those of the cell's members. An empty membership is ignored, and
        the address of the assumed leader is kept in any case. */
    void setMembers(const messages::membership &members);

    /** @return whether no exchange is pending except the gateway's own hellos */
    bool isIdle() const;

    /** @return the address of the controller that is assumed to lead */
    const std::string &leader() const { return addresses[leaderIndex]; }

private:
    struct pending_exchange
    {
        messages::envelope envelope;
        handler onAnswer;
        time_point deadline;
        time_point sentAt;
        time_point retryAt;
        resend_rule rule = resend_rule::Never;
        bool isAwaitingAnswer = false; // sent, and neither redirected nor due to be sent again
        int unansweredSends = 0; // times that it was sent without being redirected
        milliseconds answerTimeout {500}; // for the next answer; doubles with each resend
    };

    void trySend(pending_exchange &exchange, time_point now);
    void switchToNext(time_point now);

    /** Switches to another controller over new connections, and schedules unanswered requests that
        may be sent again. */
    void leaveUnresponsiveLeader(time_point now);

    bool isUnresponsive(const std::string &address, time_point now) const;
    void switchTo(const std::string &address);

    std::string name;
    std::vector<std::string> addresses;
    controller_transport &transport;
    std::map<std::uint64_t, pending_exchange> pending;
    std::size_t leaderIndex = 0; // of the assumed leader in addresses
    std::string unresponsiveAddress; // redirects to it are ignored until unresponsiveUntil
    time_point unresponsiveUntil;
    std::uint64_t lastExchangeId = 0;
    time_point lastAnswerAt;
    time_point lastSwitchAt;
};

} // namespace filbert

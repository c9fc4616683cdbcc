#pragma once

#include "configuration_lease.h"
#include "controller_links.h"
#include "filbert_transport/http_types.h"
#include "gateway_metrics.h"

#include <functional>
#include <memory>
#include <string>

namespace filbert {

/** Answers callers. */
class caller_port
{
public:
    virtual ~caller_port() = default;
    virtual void respond(std::uint64_t request, http_response &&answer) = 0;
};

/** One order or request to a target. */
struct target_call
{
    std::uint64_t id = 0; // for cancel(); 0 = it is never cancelled
    std::string address; // IP:port
    std::string path;
    std::vector<http_header> headers;
    std::string body;
    milliseconds timeout;
    bool needsNewConnection = false;
};

/** Calls targets; each call ends with one call of its handler. */
class target_port
{
public:
    using handler = std::function<void(std::error_code, http_response &&)>;

    virtual ~target_port() = default;
    virtual void call(target_call &&call, handler onAnswer) = 0;

    /** Ends a call whose answer will not come: ConnectionFailed if not a byte of it has left, else
        TargetLost. @param id of the call; one that has ended already is passed over */
    virtual void cancel(std::uint64_t id) = 0;

    /** Divides a target's connections over the gateways. @param gateways how many there are */
    virtual void setGateways(int gateways) = 0;
};

/** Settings of a gateway. */
struct gateway_settings
{
    std::string name;
    messages::access_key bootstrapOperator; // counts while no operator is configured
    milliseconds helloPeriod {500};
    milliseconds defaultDeadline {10'000};
    milliseconds maxDeadline {120'000};
    double retryBudget = 0.1; // retries for each first try
};

/** An entry host's role: callers, targets and operators on one side, the leader on the other.

    It keeps no durable state. It reads no clock: the program around it passes the time.
*/
class gateway
{
public:
    /** All references outlive the gateway. */
    gateway(const gateway_settings &settings, controller_links &links, caller_port &callers,
            target_port &targets, gateway_metrics &metrics);
    ~gateway();
    gateway(const gateway &) = delete;
    gateway &operator=(const gateway &) = delete;

    /** A whole request came in. */
    void handleRequest(http_request &&request, time_point now);

    /** A controller sent what no request waits for: an order for a target, or a grant too late. */
    void handleOrder(const messages::envelope &envelope, time_point now);

    /** Lets time pass; call it every 10 to 50 ms. */
    void tick(time_point now);

    /** Stops to be ready for the balancer; goes on serving what comes. */
    void startDraining(time_point now);

    /** @return whether the balancer may send callers here */
    bool isReady(time_point now) const;

    /** @return whether a leader has been heard of late, with or without a configuration */
    bool hasLeaderContact(time_point now) const;

    struct parts; // for the routes, see gateway_parts.h

private:
    std::unique_ptr<parts> self;
};

} // namespace filbert

#pragma once

#include "configuration_lease.h"
#include "controller_links.h"
#include "filbert_transport/http_types.h"
#include "gateway_metrics.h"

#include <functional>
#include <memory>
#include <string>

namespace filbert {

/** Sends answers to HTTP clients. */
class caller_port
{
public:
    virtual ~caller_port() = default;
    virtual void respond(std::uint64_t request, http_response &&answer) = 0;
};

/** One order or request to a target. */
struct target_call
{
    std::uint64_t id = 0; // for cancel(); 0 if the call is never cancelled
    std::string address; // IP:port
    std::string path;
    std::vector<http_header> headers;
    std::string body;
    milliseconds timeout;
    bool needsNewConnection = false; // instead of one that is kept open between calls
};

/** Sends requests to targets. Each call ends with exactly one call of its handler. */
class target_port
{
public:
    using handler = std::function<void(std::error_code, http_response &&)>;

    virtual ~target_port() = default;
    virtual void call(target_call &&call, handler onAnswer) = 0;

    /** Ends a call whose answer will not arrive: with ConnectionFailed if not a byte of the request
        was sent, otherwise with TargetLost. A call that has already ended is ignored.

        @param id  of the call
    */
    virtual void cancel(std::uint64_t id) = 0;

    /** Divides the connections that a target accepts among the gateways.

        @param gateways  number of gateways in the cell
    */
    virtual void setGatewayCount(int gateways) = 0;
};

/** Settings of a gateway. */
struct gateway_settings
{
    std::string name;
    messages::access_key bootstrapOperator; // valid while no operator is configured
    milliseconds helloPeriod {500};
    milliseconds defaultDeadline {10'000};
    milliseconds maxDeadline {120'000};
    double retryBudget = 0.1; // retries that each request adds to the budget
};

/** Serves callers, job submitters, targets and operators over HTTP by relaying their requests to
    the leader, and relays the leader's orders to targets.

    It keeps no durable state, opens no sockets and reads no clock: the program around it provides
    the ports and passes the time.
*/
class gateway
{
public:
    /** All objects passed by reference must outlive the gateway, except the settings. */
    gateway(const gateway_settings &settings, controller_links &links, caller_port &callers,
            target_port &targets, gateway_metrics &metrics);
    ~gateway();
    gateway(const gateway &) = delete;
    gateway &operator=(const gateway &) = delete;

    /** Handles a complete HTTP request. It is answered once, now or later, through caller_port. */
    void handleRequest(http_request &&request, time_point now);

    /** Handles a controller's message that answers no pending request: an order for a target, a
        placement notice, or a grant that arrives too late. */
    void handleControllerMessage(const messages::envelope &envelope, time_point now);

    /** Handles timeouts, retries and hellos that are due. Call it every 10 to 50 ms. */
    void tick(time_point now);

    /** Reports the gateway as not ready to load balancers from now on. Requests that still arrive
        are served. */
    void startDraining(time_point now);

    /** @return whether load balancers may send requests here */
    bool isReady(time_point now) const;

    /** @return whether the last lease that a leader granted is still current, even if the cell has
        no configuration yet */
    bool hasLeaderContact(time_point now) const;

    struct shared_state; // for the request handlers, see gateway_state.h

private:
    std::unique_ptr<shared_state> state;
};

} // namespace filbert

#pragma once

#include "gateway.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace filbert {

/** Status of a target's answer to a task that it has not started and will not start. */
constexpr int refusedByTarget = 412;

/** A synchronous request that was sent to a target and has not been answered. */
struct pending_call
{
    bool isKnownNotRun = false; // the target's heartbeats showed the leader that it did not run
};

/** The state that a gateway's request handlers share. */
struct gateway::shared_state
{
    gateway_settings settings;
    controller_links &links;
    caller_port &callers;
    target_port &targets;
    gateway_metrics &metrics;
    configuration_lease lease;
    time_point now; // as passed to the gateway's latest call
    time_point nextHelloAt;
    double retryTokens = 10; // each request adds retryBudget, each retry takes 1
    /** For the pauses between retries; the seed differs between gateways. */
    std::minstd_rand random {static_cast<std::uint32_t>(std::hash<std::string> {}(settings.name))};
    std::unordered_set<std::uint64_t> usedPlacements; // see isFirstUse()
    std::deque<std::uint64_t> usedPlacementsByAge;
    std::unordered_map<std::uint64_t, pending_call> pendingCalls; // by placement
    std::multimap<time_point, std::function<void()>> timers; // callbacks by due time
    std::map<std::string, time_point> unreachableUntil; // by target, as seen from this host
    bool isHelloPending = false;
    bool isDraining = false;

    /** Records a placement as used. If a start were relayed twice, the failure of one copy would be
        reported as "not run" although the other copy may still start the task.

        @return whether the placement had not been used before
    */
    bool isFirstUse(std::uint64_t placement);

    /** Answers with an error in the problem format. @param retryAfter  0 if none is suggested */
    void answerProblem(std::uint64_t request, error_kind kind, const std::string &detail,
                       milliseconds retryAfter = {});
    /** Answers with a message as JSON. */
    void answerMessage(std::uint64_t request, int status, const google::protobuf::Message &message);

    /** Answers with a controller's refusal, or with the error if no controller answered. */
    void answerFailure(std::uint64_t request, std::error_code error,
                       const messages::envelope &answer);

    /** Relays a request to the leader and answers with a part of its reply.

        @param request   id of the HTTP request
        @param envelope  the request to the leader
        @param status    HTTP status of a successful answer
        @param rule      whether the request may be sent to controllers again
        @param extract   returns the part to answer with, or nullptr if the reply lacks it
    */
    template <typename Extract>
    void relay(std::uint64_t request, messages::envelope &&envelope, int status, resend_rule rule,
               Extract extract)
    {
        constexpr milliseconds answerTimeout {10'000};
        links.request(std::move(envelope), answerTimeout, rule, now,
                      [this, request, status, extract](std::error_code error,
                                                       const messages::envelope &answer) {
                          const google::protobuf::Message *body =
                              error || answer.has_refused() ? nullptr : extract(answer);
                          if (body == nullptr) {
                              answerFailure(request, error, answer);
                          } else {
                              answerMessage(request, status, *body);
                          }
                      });
    }
};

/** Authenticates a request by its access key.

    While no operator is configured, the bootstrap key of the settings counts as an operator's.

    @param state    of the gateway
    @param request  its authorization header holds the key
    @param role     the role that the key's owner must have
    @param owner    set on success
    @return Unauthorized, Forbidden, NotInForce without a current configuration, or no error
*/
std::error_code authenticate(const gateway::shared_state &state, const http_request &request,
                             key_role role, key_owner *owner);

} // namespace filbert

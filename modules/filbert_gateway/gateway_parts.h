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

constexpr int refusedByTarget = 412; // its answer for what it did not and will not start

/** A synchronous request that a target has. */
struct pending_call
{
    bool isKnownNotRun = false; // the leader has learned so from the target's heartbeats
};

/** What the routes of a gateway share. */
struct gateway::parts
{
    gateway_settings settings;
    controller_links &links;
    caller_port &callers;
    target_port &targets;
    gateway_metrics &metrics;
    configuration_lease lease;
    time_point now;
    time_point nextHello;
    double retryTokens = 10;
    std::minstd_rand random {static_cast<std::uint32_t>(std::hash<std::string> {}(settings.name))};
    std::unordered_set<std::uint64_t> used; // placements, see isFirstUse()
    std::deque<std::uint64_t> usedPlacementsByAge;
    std::unordered_map<std::uint64_t, pending_call> pendingCalls; // by placement
    std::multimap<time_point, std::function<void()>> later;
    std::map<std::string, time_point> unreachableUntil; // targets, as seen from this host
    bool isHelloPending = false;
    bool isStopping = false;

    /** Whether a placement comes here for the first time. Were a start carried twice, a failure of
        one carriage would say "not run" while the other still starts the task. */
    bool isFirstUse(std::uint64_t placement);

    void answerProblem(std::uint64_t request, error_kind kind, const std::string &detail,
                       milliseconds retryAfter = {});
    void answerMessage(std::uint64_t request, int status, const google::protobuf::Message &message);

    /** Answers with a refusal of a controller, or with why there is no answer. */
    void answerFailure(std::uint64_t request, std::error_code error,
                       const messages::envelope &answer);

    /** Sends a request on, and answers with one part of what comes back. */
    template <typename Extract>
    void relay(std::uint64_t request, messages::envelope &&envelope, int status, resend_rule rule,
               Extract extract)
    {
        constexpr milliseconds patience {10'000};
        links.request(std::move(envelope), patience, rule, now,
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

/** A caller's key, checked. @return Unauthorized or Forbidden, or no error */
std::error_code authenticate(const gateway::parts &parts, const http_request &request,
                             key_role role, key_owner *owner);

} // namespace filbert

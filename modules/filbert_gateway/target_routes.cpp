#include "target_routes.h"

#include "gateway_state.h"
#include "service_calls.h"

#include <utility>

namespace filbert {

namespace {

constexpr milliseconds orderTimeout {4'000};
constexpr int statusOk = 200;

/** Authenticates a target's request and parses its body. @return false after answering with the
    error */
bool readTargetRequest(gateway::shared_state &state, const http_request &request,
                       google::protobuf::Message *body)
{
    key_owner owner;
    if (const auto error = authenticate(state, request, key_role::Target, &owner)) {
        state.answerProblem(request.id, errorKindOf(error), "");
        return false;
    }
    std::string detail;
    if (readJson(request.body, body, &detail)) {
        state.answerProblem(request.id, error_kind::Malformed, detail);
        return false;
    }
    return true;
}

} // namespace

void handleAnnouncement(gateway::shared_state &state, http_request &&request,
                        const std::string &name)
{
    messages::envelope envelope;
    if (!readTargetRequest(state, request, envelope.mutable_announce())) {
        return;
    }
    envelope.mutable_announce()->set_name(name);
    static const messages::target_registration accepted;
    state.relay(request.id, std::move(envelope), statusOk, resend_rule::WhenUnanswered,
                [](const messages::envelope &answer) -> const google::protobuf::Message * {
                    return answer.done() ? &accepted : nullptr;
                });
}

void handleTargetHeartbeat(gateway::shared_state &state, http_request &&request,
                           const std::string &name)
{
    messages::envelope envelope;
    if (!readTargetRequest(state, request, envelope.mutable_heartbeat())) {
        return;
    }
    envelope.mutable_heartbeat()->set_name(name);
    state.relay(request.id, std::move(envelope), statusOk, resend_rule::WhenUnanswered,
                [](const messages::envelope &answer) -> const google::protobuf::Message * {
                    return answer.has_heartbeat_reply() ? &answer.heartbeat_reply() : nullptr;
                });
}

void relayStartOrder(gateway::shared_state &state, const messages::start_order &order)
{
    if (!state.isFirstUse(order.placement_id())) {
        return;
    }
    target_call call;
    call.address = order.address();
    call.path = "/v1/tasks";
    call.headers = {{"content-type", "application/json"}};
    call.body = writeJson(order);
    call.timeout = orderTimeout;
    state.targets.call(
        std::move(call),
        [&state, id = order.placement_id()](std::error_code error, http_response &&answer) {
            const bool isNotRun = error == error_kind::ConnectionFailed
                || (!error && answer.status == refusedByTarget);
            if (!isNotRun) {
                return; // it started, or the target's heartbeats will show the outcome
            }
            reportNotRun(state, id, error ? "no connection" : "the target refused");
        });
}

void relayStopOrder(gateway::shared_state &state, const messages::stop_order &order)
{
    target_call call;
    call.address = order.address();
    call.path = "/v1/tasks/stop";
    call.headers = {{"content-type", "application/json"}};
    call.body = writeJson(order);
    call.timeout = orderTimeout;
    state.targets.call(std::move(call), [](std::error_code, http_response &&) {});
}

} // namespace filbert

#include "target_routes.h"

#include "gateway_parts.h"
#include "service_calls.h"

#include <utility>

namespace filbert {

namespace {

constexpr milliseconds orderPatience {4'000};
constexpr int statusOk = 200;

/** Checks the key and reads the body; answers by itself where that fails. */
bool readFromTarget(gateway::parts &parts, const http_request &request,
                    google::protobuf::Message *body)
{
    key_owner owner;
    if (const auto error = authenticate(parts, request, key_role::Target, &owner)) {
        parts.answerProblem(request.id, errorKindOf(error), "");
        return false;
    }
    std::string detail;
    if (readJson(request.body, body, &detail)) {
        parts.answerProblem(request.id, error_kind::Malformed, detail);
        return false;
    }
    return true;
}

} // namespace

void handleAnnouncement(gateway::parts &parts, http_request &&request, const std::string &name)
{
    messages::envelope envelope;
    if (!readFromTarget(parts, request, envelope.mutable_announce())) {
        return;
    }
    envelope.mutable_announce()->set_name(name);
    static const messages::target_registration accepted;
    parts.relay(request.id, std::move(envelope), statusOk, resend_rule::WhenUnanswered,
                [](const messages::envelope &answer) -> const google::protobuf::Message * {
                    return answer.done() ? &accepted : nullptr;
                });
}

void handleTargetHeartbeat(gateway::parts &parts, http_request &&request, const std::string &name)
{
    messages::envelope envelope;
    if (!readFromTarget(parts, request, envelope.mutable_heartbeat())) {
        return;
    }
    envelope.mutable_heartbeat()->set_name(name);
    parts.relay(request.id, std::move(envelope), statusOk, resend_rule::WhenUnanswered,
                [](const messages::envelope &answer) -> const google::protobuf::Message * {
                    return answer.has_heartbeat_reply() ? &answer.heartbeat_reply() : nullptr;
                });
}

void relayStartOrder(gateway::parts &parts, const messages::start_order &order)
{
    if (!parts.isFirstUse(order.placement_id())) {
        return;
    }
    target_call call;
    call.address = order.address();
    call.path = "/v1/tasks";
    call.headers = {{"content-type", "application/json"}};
    call.body = writeJson(order);
    call.timeout = orderPatience;
    parts.targets.call(
        std::move(call),
        [&parts, id = order.placement_id()](std::error_code error, http_response &&answer) {
            const bool isNotRun = error == error_kind::ConnectionFailed
                || (!error && answer.status == refusedByTarget);
            if (!isNotRun) {
                return; // started, or its heartbeats will tell
            }
            reportNotRun(parts, id, error ? "no connection" : "the target refused");
        });
}

void relayStopOrder(gateway::parts &parts, const messages::stop_order &order)
{
    target_call call;
    call.address = order.address();
    call.path = "/v1/tasks/stop";
    call.headers = {{"content-type", "application/json"}};
    call.body = writeJson(order);
    call.timeout = orderPatience;
    parts.targets.call(std::move(call), [](std::error_code, http_response &&) {});
}

} // namespace filbert

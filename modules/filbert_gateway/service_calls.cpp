#include "service_calls.h"

#include "filbert_transport/http_server.h"
#include "gateway_parts.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <utility>

namespace filbert {

namespace {

constexpr milliseconds endPatience {10'000};
constexpr milliseconds recordPatience {2'000};
constexpr milliseconds underWayPause {200};
constexpr int maxTries = 3; // of what may have run
constexpr int maxTriesNotRun = 10; // of what certainly did not
constexpr milliseconds firstBackoff {10};
constexpr int maxBackoffDoublings = 6;
constexpr milliseconds unreachableSpan {1'000}; // a target that could not be reached is passed over
constexpr std::size_t avoidedTargets = 2; // the last ones; a small cell has few more
constexpr std::int64_t answerPartOfDeadline = 10; // a tenth is left for the target's answer
constexpr std::size_t maxIdempotencyKeyBytes = 200;

/** One request on its way from a caller through a target and back. */
struct service_call
{
    http_request request;
    key_owner owner;
    messages::service service;
    std::string requestDigest;
    time_point startedAt;
    time_point deadline;
    std::vector<std::string> avoid;
    int tries = 0;
    bool mayHaveRun = false; // in an earlier try
};

using call_ptr = std::shared_ptr<service_call>;

void tryCall(gateway::parts &parts, const call_ptr &call);

void finishWith(gateway::parts &parts, const call_ptr &call, error_kind kind,
                const std::string &detail, milliseconds retryAfter = {})
{
    // What the last try came to is not all that is to be said if an earlier one may have run.
    const bool isLastOnly = call->mayHaveRun && errorInfo(kind).outcome == work_outcome::NotRun;
    const auto whole = isLastOnly ? error_kind::TargetLost : kind;
    const auto text = isLastOnly
        ? "an earlier try may have run; the last one: " + std::string {errorInfo(kind).name}
        : detail;
    parts.metrics.countRequest(call->service.name(), whole, parts.now - call->startedAt);
    parts.answerProblem(call->request.id, whole, text, retryAfter);
}

void sendEnd(gateway::parts &parts, messages::placement_end &&end, milliseconds patience,
             controller_links::handler onAnswer)
{
    messages::envelope envelope;
    *envelope.mutable_end() = std::move(end);
    parts.links.request(std::move(envelope), patience, resend_rule::WhenUnanswered, parts.now,
                        std::move(onAnswer));
}

void answerCaller(gateway::parts &parts, const call_ptr &call, http_response &&answer)
{
    parts.metrics.countRequest(call->service.name(), error_kind::None, parts.now - call->startedAt);
    std::erase_if(answer.headers, [](const auto &each) { return each.name != "retry-after"; });
    parts.callers.respond(call->request.id, std::move(answer));
}

void takeStored(gateway::parts &parts, const call_ptr &call,
                const messages::idempotency_record &stored)
{
    http_response answer;
    answer.status = stored.status();
    answer.contentType = stored.content_type();
    answer.body = stored.body();
    parts.metrics.countRequest(call->service.name(), error_kind::None, parts.now - call->startedAt);
    answer.headers.push_back({"idempotency-replayed", "true"});
    parts.callers.respond(call->request.id, std::move(answer));
}

bool takeRetryToken(gateway::parts &parts)
{
    if (parts.retryTokens < 1) {
        return false;
    }
    parts.retryTokens -= 1;
    parts.metrics.countRetry();
    return true;
}

bool mayTryAgain(gateway::parts &parts, const call_ptr &call, int tries)
{
    return call->tries < tries && parts.now < call->deadline && takeRetryToken(parts);
}

void avoidTarget(service_call &call, const std::string &target)
{
    call.avoid.push_back(target);
    if (call.avoid.size() > avoidedTargets) {
        call.avoid.erase(call.avoid.begin());
    }
}

/** Tries again after a pause that doubles, from half of it to the whole: what made one target
   refuse, such as a lease that is being renewed, often holds for others at the same moment. */
void tryLater(gateway::parts &parts, const call_ptr &call)
{
    const auto doublings = std::min(call->tries - 1, maxBackoffDoublings);
    const auto longest = firstBackoff.count << doublings;
    std::uniform_int_distribution<std::int64_t> pause {longest / 2, longest};
    parts.later.emplace(parts.now + milliseconds {pause(parts.random)},
                        [&parts, call] { tryCall(parts, call); });
}

/** Whether the answer names the placement that it was asked for. */
bool belongsTo(const http_response &answer, std::uint64_t placement)
{
    return headerValue(answer.headers, "filbert-placement") == std::to_string(placement);
}

void takeTargetAnswer(gateway::parts &parts, const call_ptr &call,
                      const messages::dispatch_reply &grant, std::error_code error,
                      http_response &&answer)
{
    const auto open = parts.pendingCalls.extract(grant.placement_id());
    const bool isKnownNotRun = error && !open.empty() && open.mapped().isKnownNotRun;
    const bool isCrossed = !error && !belongsTo(answer, grant.placement_id());
    const bool isNotRun = isKnownNotRun || error == error_kind::ConnectionFailed
        || (!error && !isCrossed && answer.status == refusedByTarget);
    if (isNotRun) {
        if (error) {
            parts.unreachableUntil[grant.target()] = parts.now + unreachableSpan;
        }
        reportNotRun(parts, grant.placement_id(), error ? "no connection" : "the target refused",
                     error ? grant.target() : "");
        avoidTarget(*call, grant.target());
        if (mayTryAgain(parts, call, maxTriesNotRun)) {
            tryLater(parts, call);
        } else {
            finishWith(parts, call, error_kind::TargetRefused, "", milliseconds {1'000});
        }
        return;
    }
    if (error || isCrossed) {
        // It may be running there still, so its room stays taken until the target's heartbeats say
        // more. Only an idempotent request may be sent to another one meanwhile.
        avoidTarget(*call, grant.target());
        call->mayHaveRun = true;
        if (call->service.idempotent() && mayTryAgain(parts, call, maxTries)) {
            tryCall(parts, call);
            return;
        }
        const bool isLate = error == error_kind::Timeout;
        finishWith(parts, call, isLate ? error_kind::DeadlineExceeded : error_kind::TargetLost, "");
        return;
    }
    messages::placement_end end;
    end.set_placement_id(grant.placement_id());
    end.set_result(answer.status < 500 ? messages::SUCCEEDED : messages::FAILED);
    const bool isRecorded = !call->service.idempotent() && !call->request.idempotencyKey.empty();
    if (!isRecorded) {
        sendEnd(parts, std::move(end), endPatience, [](std::error_code, const auto &) {});
        answerCaller(parts, call, std::move(answer));
        return;
    }
    end.set_status(answer.status);
    end.set_content_type(answer.contentType);
    end.set_body(answer.body);
    // The answer is durable before the caller has it, so that a resend gets the same one.
    sendEnd(parts, std::move(end), recordPatience,
            [&parts, call, kept = std::make_shared<http_response>(std::move(answer))](
                std::error_code, const auto &) { answerCaller(parts, call, std::move(*kept)); });
}

void callTarget(gateway::parts &parts, const call_ptr &call, const messages::dispatch_reply &grant)
{
    ++call->tries;
    parts.pendingCalls[grant.placement_id()] = {};
    target_call out;
    out.id = grant.placement_id();
    out.address = grant.address();
    out.path = "/v1/run";
    out.headers = {{"filbert-placement", std::to_string(grant.placement_id())},
                   {"filbert-epoch", std::to_string(grant.target_epoch())},
                   {"filbert-start-by", std::to_string(grant.start_by())},
                   {"filbert-service", call->service.name()},
                   {"filbert-target", grant.target()},
                   {"content-type",
                    call->request.contentType.empty() ? "application/octet-stream"
                                                      : call->request.contentType}};
    out.body = call->request.body;
    out.timeout = call->deadline - parts.now;
    // What must not run twice never meets a kept connection that the target is closing.
    out.needsNewConnection = !call->service.idempotent();
    parts.targets.call(std::move(out),
                       [&parts, call, grant](std::error_code error, http_response &&answer) {
                           takeTargetAnswer(parts, call, grant, error, std::move(answer));
                       });
}

void handleDispatch(gateway::parts &parts, const call_ptr &call, std::error_code error,
                    const messages::envelope &answer)
{
    if (error) {
        // Nothing was sent to a target, and a grant that comes late is not used.
        finishWith(parts, call, error_kind::NoLeader, "", milliseconds {1'000});
        return;
    }
    if (answer.has_refused()) {
        const auto &refusal = answer.refused();
        const bool isUnderWay =
            static_cast<error_kind>(refusal.kind()) == error_kind::OutcomeUnknown
            && refusal.retry_after_ms() > 0;
        if (isUnderWay && parts.now + underWayPause < call->deadline) {
            // An earlier sending of the same key has not ended; its answer will do for this one.
            parts.later.emplace(parts.now + underWayPause,
                                [&parts, call] { tryCall(parts, call); });
            return;
        }
        finishWith(parts, call, static_cast<error_kind>(refusal.kind()), refusal.detail(),
                   {refusal.retry_after_ms()});
        return;
    }
    const auto &grant = answer.dispatched();
    if (grant.has_stored()) {
        takeStored(parts, call, grant.stored());
        return;
    }
    parts.isFirstUse(grant.placement_id());
    if (parts.now >= call->deadline) {
        reportNotRun(parts, grant.placement_id(), "the caller's deadline has passed");
        finishWith(parts, call, error_kind::NoCapacity, "no room before the deadline");
        return;
    }
    callTarget(parts, call, grant);
}

void tryCall(gateway::parts &parts, const call_ptr &call)
{
    messages::envelope envelope;
    auto *dispatch = envelope.mutable_dispatch();
    dispatch->set_team(call->owner.name);
    dispatch->set_key_id(call->owner.keyId);
    dispatch->set_service(call->service.name());
    if (!call->service.idempotent()) {
        dispatch->set_idempotency_key(call->request.idempotencyKey);
        dispatch->set_request_digest(call->requestDigest);
    }
    dispatch->set_configuration_version(parts.lease.configuration.version());
    dispatch->mutable_avoid()->Assign(call->avoid.begin(), call->avoid.end());
    std::erase_if(parts.unreachableUntil,
                  [&](const auto &entry) { return entry.second <= parts.now; });
    for (const auto &[target, until] : parts.unreachableUntil) {
        dispatch->add_avoid(target);
    }
    const auto left = call->deadline - parts.now;
    dispatch->set_wait_ms(left.count - left.count / answerPartOfDeadline);
    // Sent twice, it may be granted twice; the second grant is given back, see returnUnusedGrant().
    parts.links.request(std::move(envelope), left, resend_rule::WhenUnanswered, parts.now,
                        [&parts, call](std::error_code error, const messages::envelope &answer) {
                            handleDispatch(parts, call, error, answer);
                        });
}

/** Whom the request is for: the key's team, or the team that an open queue names. */
std::error_code findOwner(const gateway::parts &parts, const http_request &request,
                          const messages::service &service, key_owner *owner)
{
    const auto *queue = parts.lease.configuration.queue(service.queue());
    if (queue != nullptr && queue->open_to_all() && request.authorization.empty()) {
        *owner = {key_role::Team, queue->team(), ""};
        return {};
    }
    return authenticate(parts, request, key_role::Team, owner);
}

} // namespace

void reportNotRun(gateway::parts &parts, std::uint64_t placement, const std::string &reason,
                  const std::string &unreachableTarget)
{
    messages::placement_end end;
    end.set_unreachable_target(unreachableTarget);
    end.set_placement_id(placement);
    end.set_result(messages::NOT_RUN);
    end.set_reason(reason);
    sendEnd(parts, std::move(end), endPatience, [](std::error_code, const auto &) {});
}

void returnUnusedGrant(gateway::parts &parts, const messages::dispatch_reply &grant)
{
    if (grant.placement_id() != 0 && parts.isFirstUse(grant.placement_id())) {
        reportNotRun(parts, grant.placement_id(), "the grant came too late");
    }
}

void handlePlacementNotice(gateway::parts &parts, const messages::placement_notice &notice)
{
    const auto open = parts.pendingCalls.find(notice.placement_id());
    if (open == parts.pendingCalls.end()) {
        return;
    }
    log_line {"target_connection_silent", log_line::severity::Warning}
        .with("placement", notice.placement_id())
        .with("result", messages::task_result_Name(notice.result()));
    open->second.isKnownNotRun = notice.result() == messages::NOT_RUN;
    parts.metrics.countUnresponsiveConnection();
    parts.targets.cancel(notice.placement_id());
}

void callService(gateway::parts &parts, http_request &&request, const std::string &name)
{
    if (!isInForce(parts.lease, parts.now)) {
        parts.answerProblem(request.id, error_kind::NotInForce, "", milliseconds {1'000});
        return;
    }
    const auto *service = parts.lease.configuration.service(name);
    if (service == nullptr) {
        parts.answerProblem(request.id, error_kind::NotFound, "no service " + name);
        return;
    }
    auto call = std::make_shared<service_call>();
    if (const auto error = findOwner(parts, request, *service, &call->owner)) {
        parts.answerProblem(request.id, errorKindOf(error), "");
        return;
    }
    if (request.deadline.count < 0 || request.idempotencyKey.size() > maxIdempotencyKeyBytes) {
        parts.answerProblem(request.id, error_kind::Malformed,
                            "Filbert-Deadline-Ms: a number of milliseconds; Idempotency-Key: at "
                            "most 200 bytes");
        return;
    }
    auto deadline = request.deadline;
    if (deadline.count == 0) {
        deadline = service->deadline_ms() > 0 ? milliseconds {service->deadline_ms()}
                                              : parts.settings.defaultDeadline;
    }
    call->service = *service;
    call->startedAt = parts.now;
    call->deadline = parts.now + std::min(deadline, parts.settings.maxDeadline);
    if (!request.idempotencyKey.empty()) {
        call->requestDigest = contentDigest(request.body);
    }
    call->request = std::move(request);
    parts.retryTokens += parts.settings.retryBudget;
    tryCall(parts, call);
}

} // namespace filbert

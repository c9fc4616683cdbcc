#include "service_calls.h"

#include "filbert_transport/http_server.h"
#include "gateway_state.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <utility>

namespace filbert {

namespace {

constexpr milliseconds endReportTimeout {10'000};
constexpr milliseconds recordTimeout {2'000}; // for a report that stores the caller's answer
constexpr milliseconds underWayRetryInterval {200}; // while a request with the same key is running
constexpr int maxAttempts = 3; // if the last attempt may have run
constexpr int maxAttemptsNotRun = 10; // if the last attempt certainly did not run
constexpr milliseconds initialBackoff {10};
constexpr int maxBackoffDoublings = 6;
constexpr milliseconds unreachablePeriod {1'000}; // in which an unreachable target is excluded
constexpr std::size_t maxExcludedTargets = 2; // the latest; a small cell has few other targets
// A tenth of the time until the deadline is kept for the answer.
constexpr std::int64_t answerTimeDivisor = 10;
constexpr std::size_t maxIdempotencyKeyBytes = 200;

/** A caller's request to a service, until it is answered. */
struct service_call
{
    http_request request;
    key_owner owner;
    messages::service service;
    std::string requestDigest;
    time_point startedAt;
    time_point deadline;
    std::vector<std::string> excludedTargets; // on which it has just failed
    int attempts = 0;
    bool mayHaveRun = false; // in an earlier attempt
};

using call_ptr = std::shared_ptr<service_call>;

void requestPlacement(gateway::shared_state &state, const call_ptr &call);

void answerWithProblem(gateway::shared_state &state, const call_ptr &call, error_kind kind,
                       const std::string &detail, milliseconds retryAfter = {})
{
    // The outcome of the last attempt must not hide that an earlier one may have run.
    const bool mayHaveRunEarlier =
        call->mayHaveRun && errorInfo(kind).outcome == work_outcome::NotRun;
    const auto reportedKind = mayHaveRunEarlier ? error_kind::TargetLost : kind;
    const auto reportedDetail = mayHaveRunEarlier
        ? "an earlier attempt may have run; the last attempt: " + std::string {errorInfo(kind).name}
        : detail;
    state.metrics.countRequest(call->service.name(), reportedKind, state.now - call->startedAt);
    state.answerProblem(call->request.id, reportedKind, reportedDetail, retryAfter);
}

void reportEnd(gateway::shared_state &state, messages::placement_end &&end, milliseconds timeout,
               controller_links::handler onAnswer)
{
    messages::envelope envelope;
    *envelope.mutable_end() = std::move(end);
    state.links.request(std::move(envelope), timeout, resend_rule::WhenUnanswered, state.now,
                        std::move(onAnswer));
}

void answerCaller(gateway::shared_state &state, const call_ptr &call, http_response &&answer)
{
    state.metrics.countRequest(call->service.name(), error_kind::None, state.now - call->startedAt);
    std::erase_if(answer.headers, [](const auto &each) { return each.name != "retry-after"; });
    state.callers.respond(call->request.id, std::move(answer));
}

void answerFromRecord(gateway::shared_state &state, const call_ptr &call,
                      const messages::idempotency_record &stored)
{
    http_response answer;
    answer.status = stored.status();
    answer.contentType = stored.content_type();
    answer.body = stored.body();
    state.metrics.countRequest(call->service.name(), error_kind::None, state.now - call->startedAt);
    answer.headers.push_back({"idempotency-replayed", "true"});
    state.callers.respond(call->request.id, std::move(answer));
}

bool consumeRetryToken(gateway::shared_state &state)
{
    if (state.retryTokens < 1) {
        return false;
    }
    state.retryTokens -= 1;
    state.metrics.countRetry();
    return true;
}

/** @return whether another attempt is permitted; takes a token of the retry budget for it */
bool mayRetry(gateway::shared_state &state, const call_ptr &call, int limit)
{
    return call->attempts < limit && state.now < call->deadline && consumeRetryToken(state);
}

void excludeTarget(service_call &call, const std::string &target)
{
    call.excludedTargets.push_back(target);
    if (call.excludedTargets.size() > maxExcludedTargets) {
        call.excludedTargets.erase(call.excludedTargets.begin());
    }
}

/** Retries after a random pause between half of the backoff and all of it; the backoff doubles with
    each attempt. The reason why one target refused, such as a lease that is being renewed, often
    applies to other targets at the same moment. */
void retryAfterBackoff(gateway::shared_state &state, const call_ptr &call)
{
    const auto doublings = std::min(call->attempts - 1, maxBackoffDoublings);
    const auto maxPause = initialBackoff.count << doublings;
    std::uniform_int_distribution<std::int64_t> pause {maxPause / 2, maxPause};
    state.timers.emplace(state.now + milliseconds {pause(state.random)},
                         [&state, call] { requestPlacement(state, call); });
}

/** @return whether an answer names the placement of its request */
bool isAnswerTo(const http_response &answer, std::uint64_t placement)
{
    return headerValue(answer.headers, "filbert-placement") == std::to_string(placement);
}

void handleTargetAnswer(gateway::shared_state &state, const call_ptr &call,
                        const messages::dispatch_reply &grant, std::error_code error,
                        http_response &&answer)
{
    const auto pending = state.pendingCalls.extract(grant.placement_id());
    const bool isKnownNotRun = error && !pending.empty() && pending.mapped().isKnownNotRun;
    const bool isMismatched = !error && !isAnswerTo(answer, grant.placement_id());
    const bool isNotRun = isKnownNotRun || error == error_kind::ConnectionFailed
        || (!error && !isMismatched && answer.status == refusedByTarget);
    if (isNotRun) {
        if (error) {
            state.unreachableUntil[grant.target()] = state.now + unreachablePeriod;
        }
        reportNotRun(state, grant.placement_id(), error ? "no connection" : "the target refused",
                     error ? grant.target() : "");
        excludeTarget(*call, grant.target());
        if (mayRetry(state, call, maxAttemptsNotRun)) {
            retryAfterBackoff(state, call);
        } else {
            answerWithProblem(state, call, error_kind::TargetRefused, "", milliseconds {1'000});
        }
        return;
    }
    if (error || isMismatched) {
        // It may still be running there, so its resources stay reserved until the target's
        // heartbeats show the outcome. Meanwhile only an idempotent request may be sent to another
        // target.
        excludeTarget(*call, grant.target());
        call->mayHaveRun = true;
        if (call->service.idempotent() && mayRetry(state, call, maxAttempts)) {
            requestPlacement(state, call);
            return;
        }
        const bool isTimeout = error == error_kind::Timeout;
        answerWithProblem(state, call,
                          isTimeout ? error_kind::DeadlineExceeded : error_kind::TargetLost, "");
        return;
    }
    messages::placement_end end;
    end.set_placement_id(grant.placement_id());
    end.set_result(answer.status < 500 ? messages::SUCCEEDED : messages::FAILED);
    const bool isRecorded = !call->service.idempotent() && !call->request.idempotencyKey.empty();
    if (!isRecorded) {
        reportEnd(state, std::move(end), endReportTimeout, [](std::error_code, const auto &) {});
        answerCaller(state, call, std::move(answer));
        return;
    }
    end.set_status(answer.status);
    if (isPlainText(answer.contentType)) { // else no controller could parse the report
        end.set_content_type(answer.contentType);
    }
    end.set_body(answer.body);
    // The answer is stored durably before the caller gets it, so that a repeated request with the
    // same key gets the same answer.
    reportEnd(state, std::move(end), recordTimeout,
              [&state, call, storedAnswer = std::make_shared<http_response>(std::move(answer))](
                  std::error_code, const auto &) {
                  answerCaller(state, call, std::move(*storedAnswer));
              });
}

void callTarget(gateway::shared_state &state, const call_ptr &call,
                const messages::dispatch_reply &grant)
{
    ++call->attempts;
    state.pendingCalls[grant.placement_id()] = {};
    target_call outgoing;
    outgoing.id = grant.placement_id();
    outgoing.address = grant.address();
    outgoing.path = "/v1/run";
    outgoing.headers = {{"filbert-placement", std::to_string(grant.placement_id())},
                        {"filbert-epoch", std::to_string(grant.target_epoch())},
                        {"filbert-start-by", std::to_string(grant.start_by())},
                        {"filbert-service", call->service.name()},
                        {"filbert-target", grant.target()},
                        {"content-type",
                         call->request.contentType.empty() ? "application/octet-stream"
                                                           : call->request.contentType}};
    outgoing.body = call->request.body;
    outgoing.timeout = call->deadline - state.now;
    // A target may be closing a connection that was kept open, which would leave unclear whether a
    // request that must not run twice has run.
    outgoing.needsNewConnection = !call->service.idempotent();
    state.targets.call(std::move(outgoing),
                       [&state, call, grant](std::error_code error, http_response &&answer) {
                           handleTargetAnswer(state, call, grant, error, std::move(answer));
                       });
}

void handleDispatchReply(gateway::shared_state &state, const call_ptr &call, std::error_code error,
                         const messages::envelope &answer)
{
    if (error) {
        // Nothing was sent to a target, and a grant that arrives late is returned unused.
        answerWithProblem(state, call, error_kind::NoLeader, "", milliseconds {1'000});
        return;
    }
    if (answer.has_refused()) {
        const auto &refusal = answer.refused();
        const bool isUnderWay =
            static_cast<error_kind>(refusal.kind()) == error_kind::OutcomeUnknown
            && refusal.retry_after_ms() > 0;
        if (isUnderWay && state.now + underWayRetryInterval < call->deadline) {
            // An earlier request with the same idempotency key is still running; this one gets the
            // answer of that one when it has ended.
            state.timers.emplace(state.now + underWayRetryInterval,
                                 [&state, call] { requestPlacement(state, call); });
            return;
        }
        answerWithProblem(state, call, static_cast<error_kind>(refusal.kind()), refusal.detail(),
                          {refusal.retry_after_ms()});
        return;
    }
    const auto &grant = answer.dispatched();
    if (grant.has_stored()) {
        answerFromRecord(state, call, grant.stored());
        return;
    }
    state.isFirstUse(grant.placement_id());
    if (state.now >= call->deadline) {
        reportNotRun(state, grant.placement_id(), "the caller's deadline has passed");
        answerWithProblem(state, call, error_kind::NoCapacity,
                          "no free capacity before the deadline");
        return;
    }
    callTarget(state, call, grant);
}

void requestPlacement(gateway::shared_state &state, const call_ptr &call)
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
    dispatch->set_configuration_version(state.lease.configuration.version());
    dispatch->mutable_avoid()->Assign(call->excludedTargets.begin(), call->excludedTargets.end());
    std::erase_if(state.unreachableUntil,
                  [&](const auto &entry) { return entry.second <= state.now; });
    for (const auto &[target, until] : state.unreachableUntil) {
        dispatch->add_avoid(target);
    }
    const auto remaining = call->deadline - state.now;
    dispatch->set_wait_ms(remaining.count - remaining.count / answerTimeDivisor);
    // A request that is sent twice may be granted twice; returnUnusedGrant() returns the second
    // grant.
    state.links.request(std::move(envelope), remaining, resend_rule::WhenUnanswered, state.now,
                        [&state, call](std::error_code error, const messages::envelope &answer) {
                            handleDispatchReply(state, call, error, answer);
                        });
}

/** Finds the team that a request belongs to: the key's team, or without a key, the team of a queue
    that is open to all. */
std::error_code findOwningTeam(const gateway::shared_state &state, const http_request &request,
                               const messages::service &service, key_owner *owner)
{
    const auto *queue = state.lease.configuration.queue(service.queue());
    if (queue != nullptr && queue->open_to_all() && request.authorization.empty()) {
        *owner = {key_role::Team, queue->team(), ""};
        return {};
    }
    return authenticate(state, request, key_role::Team, owner);
}

} // namespace

void reportNotRun(gateway::shared_state &state, std::uint64_t placement, const std::string &reason,
                  const std::string &unreachableTarget)
{
    messages::placement_end end;
    end.set_unreachable_target(unreachableTarget);
    end.set_placement_id(placement);
    end.set_result(messages::NOT_RUN);
    end.set_reason(reason);
    reportEnd(state, std::move(end), endReportTimeout, [](std::error_code, const auto &) {});
}

void returnUnusedGrant(gateway::shared_state &state, const messages::dispatch_reply &grant)
{
    if (grant.placement_id() != 0 && state.isFirstUse(grant.placement_id())) {
        reportNotRun(state, grant.placement_id(), "the grant came too late");
    }
}

void handlePlacementNotice(gateway::shared_state &state, const messages::placement_notice &notice)
{
    const auto pending = state.pendingCalls.find(notice.placement_id());
    if (pending == state.pendingCalls.end()) {
        return;
    }
    log_line {"target_connection_silent", log_line::severity::Warning}
        .with("placement", notice.placement_id())
        .with("result", messages::task_result_Name(notice.result()));
    pending->second.isKnownNotRun = notice.result() == messages::NOT_RUN;
    state.metrics.countUnresponsiveConnection();
    state.targets.cancel(notice.placement_id());
}

void callService(gateway::shared_state &state, http_request &&request, const std::string &name)
{
    if (!isInForce(state.lease, state.now)) {
        state.answerProblem(request.id, error_kind::NotInForce, "", milliseconds {1'000});
        return;
    }
    const auto *service = state.lease.configuration.service(name);
    if (service == nullptr) {
        state.answerProblem(request.id, error_kind::NotFound, "no service " + name);
        return;
    }
    auto call = std::make_shared<service_call>();
    if (const auto error = findOwningTeam(state, request, *service, &call->owner)) {
        state.answerProblem(request.id, errorKindOf(error), "");
        return;
    }
    if (request.deadline.count < 0 || request.idempotencyKey.size() > maxIdempotencyKeyBytes) {
        state.answerProblem(
            request.id, error_kind::Malformed,
            "Filbert-Deadline-Ms must be a number of milliseconds, and Idempotency-Key at "
            "most 200 bytes long");
        return;
    }
    auto deadline = request.deadline;
    if (deadline.count == 0) {
        deadline = service->deadline_ms() > 0 ? milliseconds {service->deadline_ms()}
                                              : state.settings.defaultDeadline;
    }
    call->service = *service;
    call->startedAt = state.now;
    call->deadline = state.now + std::min(deadline, state.settings.maxDeadline);
    if (!request.idempotencyKey.empty()) {
        call->requestDigest = contentDigest(request.body);
    }
    call->request = std::move(request);
    state.retryTokens += state.settings.retryBudget;
    requestPlacement(state, call);
}

} // namespace filbert

#include "gateway.h"

#include "filbert_transport/http_server.h"
#include "gateway_state.h"
#include "job_routes.h"
#include "operator_routes.h"
#include "service_calls.h"
#include "target_routes.h"

#include <algorithm>
#include <utility>

namespace filbert {

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr double maxRetryTokens = 100;
constexpr std::size_t maxUsedPlacements = 100'000; // the oldest are forgotten

using route_handler = void (*)(gateway::shared_state &, http_request &&, const std::string &name);

/** The function that handles a method and a path of the HTTP interface. */
struct route
{
    std::string_view method;
    std::string_view prefix; // the whole path, or if it ends with '/', the part before the name
    std::string_view suffix; // the part after the name
    route_handler handle;
};

constexpr route routes[] = {
    {"POST", "/v1/services/", "", callService},
    {"GET", "/v1/jobs", "", listJobs},
    {"POST", "/v1/jobs", "", submitJob},
    {"GET", "/v1/jobs/", "", showJob},
    {"DELETE", "/v1/jobs/", "", cancelJob},
    {"POST", "/v1/jobs/", "/hold", holdJob},
    {"POST", "/v1/jobs/", "/release", releaseJob},
    {"POST", "/v1/targets/", "/announce", handleAnnouncement},
    {"POST", "/v1/targets/", "/heartbeat", handleTargetHeartbeat},
    {"PUT", "/v1/configuration", "", applyConfiguration},
    {"GET", "/v1/configuration", "", showConfiguration},
    {"GET", "/v1/status", "", showStatus},
    {"GET", "/v1/audit", "", showAudit},
    {"GET", "/v1/members", "", showMembers},
    {"POST", "/v1/members", "", changeMember},
};

bool matches(const route &row, const std::string &path, std::string *name)
{
    if (!row.prefix.ends_with('/')) {
        return path == row.prefix;
    }
    if (!path.starts_with(row.prefix) || !path.ends_with(row.suffix)
        || path.size() <= row.prefix.size() + row.suffix.size()) {
        return false;
    }
    *name = path.substr(row.prefix.size(), path.size() - row.prefix.size() - row.suffix.size());
    return name->find('/') == std::string::npos;
}

void answerHealth(gateway::shared_state &state, const http_request &request, bool isReady)
{
    http_response answer;
    answer.contentType = "text/plain";
    if (request.path == "/metrics") {
        answer.body = state.metrics.text();
    } else if (request.path == "/healthz") {
        answer.body = "ok\n";
    } else {
        answer.status = isReady ? 200 : 503;
        answer.body = isReady ? "ready\n" : "not ready\n";
    }
    state.callers.respond(request.id, std::move(answer));
}

void sendHello(gateway::shared_state &state)
{
    messages::envelope envelope;
    *envelope.mutable_hello() = makeHello(state.lease, state.settings.name);
    envelope.mutable_hello()->set_leaving(false);
    state.isHelloPending = true;
    const auto sentAt = state.now;
    constexpr milliseconds answerTimeout {800};
    state.links.request(std::move(envelope), answerTimeout, resend_rule::Never, state.now,
                        [&state, sentAt](std::error_code error, const messages::envelope &answer) {
                            state.isHelloPending = false;
                            if (error || !answer.has_grant()) {
                                return;
                            }
                            applyGrant(state.lease, answer.grant(), sentAt);
                            state.links.setMembers(state.lease.members);
                            state.targets.setGatewayCount(state.lease.gatewayCount);
                            state.metrics.setConfigurationVersion(
                                state.lease.configuration.version());
                        });
}

} // namespace

bool gateway::shared_state::isFirstUse(std::uint64_t placement)
{
    if (!usedPlacements.insert(placement).second) {
        return false;
    }
    usedPlacementsByAge.push_back(placement);
    if (usedPlacementsByAge.size() > maxUsedPlacements) {
        usedPlacements.erase(usedPlacementsByAge.front());
        usedPlacementsByAge.pop_front();
    }
    return true;
}

void gateway::shared_state::answerProblem(std::uint64_t request, error_kind kind,
                                          const std::string &detail, milliseconds retryAfter)
{
    callers.respond(request, problemResponse(kind, detail, retryAfter));
}

void gateway::shared_state::answerMessage(std::uint64_t request, int status,
                                          const google::protobuf::Message &message)
{
    http_response answer;
    answer.status = status;
    answer.body = writeJson(message);
    callers.respond(request, std::move(answer));
}

void gateway::shared_state::answerFailure(std::uint64_t request, std::error_code error,
                                          const messages::envelope &answer)
{
    if (error) {
        answerProblem(request, errorKindOf(error), "no controller answered the request",
                      milliseconds {1'000});
        return;
    }
    if (!answer.has_refused()) {
        answerProblem(request, error_kind::Internal, "unexpected answer from a controller");
        return;
    }
    const auto &refusal = answer.refused();
    answerProblem(request, static_cast<error_kind>(refusal.kind()), refusal.detail(),
                  {refusal.retry_after_ms()});
}

std::error_code authenticate(const gateway::shared_state &state, const http_request &request,
                             key_role role, key_owner *owner)
{
    if (!request.authorization.starts_with(bearerPrefix)) {
        return error_kind::Unauthorized;
    }
    const auto token = std::string_view {request.authorization}.substr(bearerPrefix.size());
    const auto &configuration = state.lease.configuration;
    const auto &bootstrap = state.settings.bootstrapOperator;
    const bool mayBootstrap = role == key_role::Operator && !configuration.hasOperators()
        && state.now < state.lease.expiresAt && !bootstrap.id().empty();
    if (mayBootstrap && keyIdOf(token) == bootstrap.id()) {
        *owner = {key_role::Operator, "bootstrap", bootstrap.id()};
        return isSecretValid(secretOf(token), bootstrap) ? std::error_code {}
                                                         : error_kind::Unauthorized;
    }
    if (!isInForce(state.lease, state.now)) {
        return error_kind::NotInForce;
    }
    if (const auto error = configuration.authenticate(token, owner)) {
        return error;
    }
    return owner->role == role ? std::error_code {} : error_kind::Forbidden;
}

gateway::gateway(const gateway_settings &settings, controller_links &links, caller_port &callers,
                 target_port &targets, gateway_metrics &metrics)
    : state {
        std::make_unique<shared_state>(shared_state {settings, links, callers, targets, metrics})}
{
}

gateway::~gateway() = default;

void gateway::handleRequest(http_request &&request, time_point now)
{
    state->now = now;
    const auto &path = request.path;
    // Messages to controllers hold these as text, and calls of targets as headers.
    if (!isPlainText(path) || !isPlainText(request.idempotencyKey)
        || !isPlainText(request.authorization) || !isPlainText(request.contentType)) {
        state->answerProblem(request.id, error_kind::Malformed,
                             "expected UTF-8 without control characters in the path and headers");
        return;
    }
    if (path == "/healthz" || path == "/readyz" || path == "/metrics") {
        answerHealth(*state, request, isReady(now));
        return;
    }
    bool isKnownPath = false;
    for (const auto &row : routes) {
        std::string name;
        if (!matches(row, path, &name)) {
            continue;
        }
        isKnownPath = true;
        if (row.method == request.method) {
            row.handle(*state, std::move(request), name);
            return;
        }
    }
    state->answerProblem(request.id,
                         isKnownPath ? error_kind::MethodNotAllowed : error_kind::NotFound, path);
}

void gateway::handleControllerMessage(const messages::envelope &envelope, time_point now)
{
    state->now = now;
    if (envelope.has_dispatched()) {
        returnUnusedGrant(*state, envelope.dispatched());
    } else if (envelope.has_start()) {
        relayStartOrder(*state, envelope.start());
    } else if (envelope.has_stop()) {
        relayStopOrder(*state, envelope.stop());
    } else if (envelope.has_notice()) {
        handlePlacementNotice(*state, envelope.notice());
    }
}

void gateway::tick(time_point now)
{
    state->now = now;
    state->links.tick(now);
    while (!state->timers.empty() && state->timers.begin()->first <= now) {
        const auto due = state->timers.extract(state->timers.begin());
        due.mapped()();
    }
    if (now >= state->nextHelloAt && !state->isHelloPending) {
        state->nextHelloAt = now + state->settings.helloPeriod;
        sendHello(*state);
    }
    state->retryTokens = std::min(state->retryTokens, maxRetryTokens);
}

void gateway::startDraining(time_point now)
{
    state->now = now;
    state->isDraining = true;
}

bool gateway::hasLeaderContact(time_point now) const
{
    return now < state->lease.expiresAt;
}

bool gateway::isReady(time_point now) const
{
    return !state->isDraining && isInForce(state->lease, now);
}

} // namespace filbert

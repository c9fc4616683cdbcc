#include "gateway.h"

#include "filbert_transport/http_server.h"
#include "gateway_parts.h"
#include "job_routes.h"
#include "operator_routes.h"
#include "service_calls.h"
#include "target_routes.h"

#include <algorithm>
#include <utility>

namespace filbert {

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr double mostRetryTokens = 100;
constexpr std::size_t keptUses = 100'000;

using route_handler = void (*)(gateway::parts &, http_request &&, const std::string &name);

/** One row of the interface: what is called for a method and a path. */
struct route
{
    std::string_view method;
    std::string_view prefix; // what follows it is the name
    std::string_view suffix; // behind the name
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

void answerHealth(gateway::parts &parts, const http_request &request, bool isReady)
{
    http_response answer;
    answer.contentType = "text/plain";
    if (request.path == "/metrics") {
        answer.body = parts.metrics.text();
    } else if (request.path == "/healthz") {
        answer.body = "ok\n";
    } else {
        answer.status = isReady ? 200 : 503;
        answer.body = isReady ? "ready\n" : "not ready\n";
    }
    parts.callers.respond(request.id, std::move(answer));
}

void sendHello(gateway::parts &parts)
{
    messages::envelope envelope;
    *envelope.mutable_hello() = makeHello(parts.lease, parts.settings.name);
    envelope.mutable_hello()->set_leaving(false);
    parts.isHelloPending = true;
    const auto sentAt = parts.now;
    constexpr milliseconds patience {800};
    parts.links.request(std::move(envelope), patience, resend_rule::Never, parts.now,
                        [&parts, sentAt](std::error_code error, const messages::envelope &answer) {
                            parts.isHelloPending = false;
                            if (error || !answer.has_grant()) {
                                return;
                            }
                            applyGrant(parts.lease, answer.grant(), sentAt);
                            parts.links.setMembers(parts.lease.members);
                            parts.targets.setGateways(parts.lease.gatewayCount);
                            parts.metrics.setConfigurationVersion(
                                parts.lease.configuration.version());
                        });
}

} // namespace

bool gateway::parts::isFirstUse(std::uint64_t placement)
{
    if (!used.insert(placement).second) {
        return false;
    }
    usedPlacementsByAge.push_back(placement);
    if (usedPlacementsByAge.size() > keptUses) {
        used.erase(usedPlacementsByAge.front());
        usedPlacementsByAge.pop_front();
    }
    return true;
}

void gateway::parts::answerProblem(std::uint64_t request, error_kind kind,
                                   const std::string &detail, milliseconds retryAfter)
{
    callers.respond(request, problemResponse(kind, detail, retryAfter));
}

void gateway::parts::answerMessage(std::uint64_t request, int status,
                                   const google::protobuf::Message &message)
{
    http_response answer;
    answer.status = status;
    answer.body = writeJson(message);
    callers.respond(request, std::move(answer));
}

void gateway::parts::answerFailure(std::uint64_t request, std::error_code error,
                                   const messages::envelope &answer)
{
    if (error) {
        answerProblem(request, errorKindOf(error), "no controller answered", milliseconds {1'000});
        return;
    }
    if (!answer.has_refused()) {
        answerProblem(request, error_kind::Internal, "an unexpected answer of a controller");
        return;
    }
    const auto &refusal = answer.refused();
    answerProblem(request, static_cast<error_kind>(refusal.kind()), refusal.detail(),
                  {refusal.retry_after_ms()});
}

std::error_code authenticate(const gateway::parts &parts, const http_request &request,
                             key_role role, key_owner *owner)
{
    if (!request.authorization.starts_with(bearerPrefix)) {
        return error_kind::Unauthorized;
    }
    const auto token = std::string_view {request.authorization}.substr(bearerPrefix.size());
    const auto &configuration = parts.lease.configuration;
    const auto &bootstrap = parts.settings.bootstrapOperator;
    const bool mayBootstrap = role == key_role::Operator && !configuration.hasOperators()
        && parts.now < parts.lease.expiresAt && !bootstrap.id().empty();
    if (mayBootstrap && keyIdOf(token) == bootstrap.id()) {
        *owner = {key_role::Operator, "bootstrap", bootstrap.id()};
        return isSecretValid(secretOf(token), bootstrap) ? std::error_code {}
                                                         : error_kind::Unauthorized;
    }
    if (!isInForce(parts.lease, parts.now)) {
        return error_kind::NotInForce;
    }
    if (const auto error = configuration.authenticate(token, owner)) {
        return error;
    }
    return owner->role == role ? std::error_code {} : error_kind::Forbidden;
}

gateway::gateway(const gateway_settings &settings, controller_links &links, caller_port &callers,
                 target_port &targets, gateway_metrics &metrics)
    : self {std::make_unique<parts>(parts {settings, links, callers, targets, metrics})}
{
}

gateway::~gateway() = default;

void gateway::handleRequest(http_request &&request, time_point now)
{
    self->now = now;
    const auto &path = request.path;
    if (path == "/healthz" || path == "/readyz" || path == "/metrics") {
        answerHealth(*self, request, isReady(now));
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
            row.handle(*self, std::move(request), name);
            return;
        }
    }
    self->answerProblem(request.id,
                        isKnownPath ? error_kind::MethodNotAllowed : error_kind::NotFound, path);
}

void gateway::handleOrder(const messages::envelope &envelope, time_point now)
{
    self->now = now;
    if (envelope.has_dispatched()) {
        returnUnusedGrant(*self, envelope.dispatched());
    } else if (envelope.has_start()) {
        relayStartOrder(*self, envelope.start());
    } else if (envelope.has_stop()) {
        relayStopOrder(*self, envelope.stop());
    } else if (envelope.has_notice()) {
        handlePlacementNotice(*self, envelope.notice());
    }
}

void gateway::tick(time_point now)
{
    self->now = now;
    self->links.tick(now);
    while (!self->later.empty() && self->later.begin()->first <= now) {
        const auto due = self->later.extract(self->later.begin());
        due.mapped()();
    }
    if (now >= self->nextHello && !self->isHelloPending) {
        self->nextHello = now + self->settings.helloPeriod;
        sendHello(*self);
    }
    self->retryTokens = std::min(self->retryTokens, mostRetryTokens);
}

void gateway::startDraining(time_point now)
{
    self->now = now;
    self->isStopping = true;
}

bool gateway::hasLeaderContact(time_point now) const
{
    return now < self->lease.expiresAt;
}

bool gateway::isReady(time_point now) const
{
    return !self->isStopping && isInForce(self->lease, now);
}

} // namespace filbert

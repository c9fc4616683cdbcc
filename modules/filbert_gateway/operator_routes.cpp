#include "operator_routes.h"

#include "gateway_parts.h"

#include <charconv>
#include <utility>

namespace filbert {

namespace {

constexpr int statusOk = 200;

const google::protobuf::Message *statusIn(const messages::envelope &answer)
{
    return answer.has_status_reply() ? &answer.status_reply() : nullptr;
}

bool isOperator(gateway::parts &parts, const http_request &request, key_owner *owner)
{
    const auto error = authenticate(parts, request, key_role::Operator, owner);
    if (error) {
        parts.answerProblem(request.id, errorKindOf(error), "");
    }
    return !error;
}

std::int64_t queryNumber(const std::string &query, const std::string &name)
{
    const auto at = query.find(name + "=");
    std::int64_t number = 0;
    if (at != std::string::npos) {
        std::from_chars(query.data() + at + name.size() + 1, query.data() + query.size(), number);
    }
    return number;
}

void show(gateway::parts &parts, const http_request &request, const char *what)
{
    key_owner owner;
    if (!isOperator(parts, request, &owner)) {
        return;
    }
    messages::envelope envelope;
    auto *status = envelope.mutable_status();
    status->set_what(what);
    status->set_version(queryNumber(request.query, "version"));
    status->set_limit(static_cast<int>(queryNumber(request.query, "limit")));
    parts.relay(request.id, std::move(envelope), statusOk, resend_rule::WhenUnanswered, statusIn);
}

} // namespace

void applyConfiguration(gateway::parts &parts, http_request &&request, const std::string & /*name*/)
{
    key_owner owner;
    if (!isOperator(parts, request, &owner)) {
        return;
    }
    messages::envelope envelope;
    std::string detail;
    auto *apply = envelope.mutable_apply();
    if (readJson(request.body, apply, &detail)) {
        parts.answerProblem(request.id, error_kind::Malformed, detail);
        return;
    }
    if (apply->request_id().empty()) {
        parts.answerProblem(request.id, error_kind::Malformed, "request_id: expected a unique id");
        return;
    }
    apply->set_author(owner.name + "/" + owner.keyId);
    parts.relay(request.id, std::move(envelope), statusOk, resend_rule::WhenUnanswered,
                [](const messages::envelope &answer) -> const google::protobuf::Message * {
                    return answer.has_applied() ? &answer.applied() : nullptr;
                });
}

void showConfiguration(gateway::parts &parts, http_request &&request, const std::string & /*name*/)
{
    show(parts, request, "configuration");
}

void showStatus(gateway::parts &parts, http_request &&request, const std::string & /*name*/)
{
    show(parts, request, "status");
}

void showAudit(gateway::parts &parts, http_request &&request, const std::string & /*name*/)
{
    show(parts, request, "audit");
}

void showMembers(gateway::parts &parts, http_request &&request, const std::string & /*name*/)
{
    show(parts, request, "members");
}

void changeMember(gateway::parts &parts, http_request &&request, const std::string & /*name*/)
{
    key_owner owner;
    if (!isOperator(parts, request, &owner)) {
        return;
    }
    messages::envelope envelope;
    std::string detail;
    if (readJson(request.body, envelope.mutable_member(), &detail)) {
        parts.answerProblem(request.id, error_kind::Malformed, detail);
        return;
    }
    envelope.mutable_member()->set_author(owner.name + "/" + owner.keyId);
    static const messages::apply_reply accepted;
    parts.relay(request.id, std::move(envelope), statusOk, resend_rule::Never,
                [](const messages::envelope &answer) -> const google::protobuf::Message * {
                    return answer.done() ? &accepted : nullptr;
                });
}

} // namespace filbert

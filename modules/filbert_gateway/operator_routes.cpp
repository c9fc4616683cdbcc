#include "operator_routes.h"

#include "gateway_state.h"

#include <charconv>
#include <utility>

namespace filbert {

namespace {

constexpr int statusOk = 200;

const google::protobuf::Message *statusReplyOf(const messages::envelope &answer)
{
    return answer.has_status_reply() ? &answer.status_reply() : nullptr;
}

/** @return whether the request has an operator's key; answers with the error otherwise */
bool authenticateOperator(gateway::shared_state &state, const http_request &request,
                          key_owner *owner)
{
    const auto error = authenticate(state, request, key_role::Operator, owner);
    if (error) {
        state.answerProblem(request.id, errorKindOf(error), "");
    }
    return !error;
}

/** @return the value of a numeric query parameter; 0 if it is absent or not a number */
std::int64_t queryParameter(const std::string &query, const std::string &name)
{
    const auto position = query.find(name + "=");
    std::int64_t number = 0;
    if (position != std::string::npos) {
        std::from_chars(query.data() + position + name.size() + 1, query.data() + query.size(),
                        number);
    }
    return number;
}

/** Relays an operator's query to the leader. @param what  name of the part of the status */
void requestStatus(gateway::shared_state &state, const http_request &request, const char *what)
{
    key_owner owner;
    if (!authenticateOperator(state, request, &owner)) {
        return;
    }
    messages::envelope envelope;
    auto *status = envelope.mutable_status();
    status->set_what(what);
    status->set_version(queryParameter(request.query, "version"));
    status->set_limit(static_cast<int>(queryParameter(request.query, "limit")));
    state.relay(request.id, std::move(envelope), statusOk, resend_rule::WhenUnanswered,
                statusReplyOf);
}

} // namespace

void applyConfiguration(gateway::shared_state &state, http_request &&request,
                        const std::string & /*name*/)
{
    key_owner owner;
    if (!authenticateOperator(state, request, &owner)) {
        return;
    }
    messages::envelope envelope;
    std::string detail;
    auto *apply = envelope.mutable_apply();
    if (readJson(request.body, apply, &detail)) {
        state.answerProblem(request.id, error_kind::Malformed, detail);
        return;
    }
    if (apply->request_id().empty()) {
        state.answerProblem(request.id, error_kind::Malformed,
                            "request_id: a unique id is required");
        return;
    }
    apply->set_author(owner.name + "/" + owner.keyId);
    state.relay(request.id, std::move(envelope), statusOk, resend_rule::WhenUnanswered,
                [](const messages::envelope &answer) -> const google::protobuf::Message * {
                    return answer.has_applied() ? &answer.applied() : nullptr;
                });
}

void showConfiguration(gateway::shared_state &state, http_request &&request,
                       const std::string & /*name*/)
{
    requestStatus(state, request, "configuration");
}

void showStatus(gateway::shared_state &state, http_request &&request, const std::string & /*name*/)
{
    requestStatus(state, request, "status");
}

void showAudit(gateway::shared_state &state, http_request &&request, const std::string & /*name*/)
{
    requestStatus(state, request, "audit");
}

void showMembers(gateway::shared_state &state, http_request &&request, const std::string & /*name*/)
{
    requestStatus(state, request, "members");
}

void changeMember(gateway::shared_state &state, http_request &&request,
                  const std::string & /*name*/)
{
    key_owner owner;
    if (!authenticateOperator(state, request, &owner)) {
        return;
    }
    messages::envelope envelope;
    std::string detail;
    if (readJson(request.body, envelope.mutable_member(), &detail)) {
        state.answerProblem(request.id, error_kind::Malformed, detail);
        return;
    }
    envelope.mutable_member()->set_author(owner.name + "/" + owner.keyId);
    static const messages::apply_reply accepted;
    state.relay(request.id, std::move(envelope), statusOk, resend_rule::Never,
                [](const messages::envelope &answer) -> const google::protobuf::Message * {
                    return answer.done() ? &accepted : nullptr;
                });
}

} // namespace filbert

#include "job_routes.h"

#include "gateway_parts.h"

#include <charconv>
#include <utility>

namespace filbert {

namespace {

constexpr int statusOk = 200;
constexpr int statusCreated = 201;

/** Who asks: a team for its own jobs, or an operator for all. */
std::error_code findReader(const gateway::parts &parts, const http_request &request,
                           key_owner *owner)
{
    const auto error = authenticate(parts, request, key_role::Team, owner);
    return error == error_kind::Forbidden ? authenticate(parts, request, key_role::Operator, owner)
                                          : error;
}

bool readNumber(const std::string &name, std::uint64_t *id)
{
    const char *end = name.data() + name.size();
    const auto parsed = std::from_chars(name.data(), end, *id);
    return parsed.ec == std::errc {} && parsed.ptr == end && *id > 0;
}

const google::protobuf::Message *jobOf(const messages::envelope &answer)
{
    return answer.has_job() ? &answer.job() : nullptr;
}

/** Asks for a job's owner first, so that no team can touch another's work. */
void changeJob(gateway::parts &parts, const http_request &request, const std::string &name,
               messages::job_action action)
{
    key_owner owner;
    std::uint64_t id = 0;
    if (const auto error = findReader(parts, request, &owner)) {
        parts.answerProblem(request.id, errorKindOf(error), "");
        return;
    }
    if (!readNumber(name, &id)) {
        parts.answerProblem(request.id, error_kind::NotFound, "no such job");
        return;
    }
    messages::envelope query;
    query.mutable_query()->set_id(id);
    query.mutable_query()->set_team(owner.name);
    query.mutable_query()->set_operator_view(owner.role == key_role::Operator);
    constexpr milliseconds patience {10'000};
    parts.links.request(std::move(query), patience, resend_rule::WhenUnanswered, parts.now,
                        [&parts, request = request.id, id,
                         action](std::error_code error, const messages::envelope &answer) {
                            if (error || !answer.has_job()) {
                                parts.answerFailure(request, error, answer);
                                return;
                            }
                            messages::envelope envelope;
                            envelope.mutable_change()->set_id(id);
                            envelope.mutable_change()->set_action(action);
                            parts.relay(request, std::move(envelope), statusOk,
                                        resend_rule::WhenUnanswered, jobOf);
                        });
}

} // namespace

void submitJob(gateway::parts &parts, http_request &&request, const std::string & /*name*/)
{
    messages::submit_body body;
    std::string detail;
    const auto problem = readJson(request.body, &body, &detail);
    key_owner owner;
    const auto *queue = parts.lease.configuration.queue(body.queue());
    const bool isOpen = !problem && queue != nullptr && queue->open_to_all()
        && request.authorization.empty() && isInForce(parts.lease, parts.now);
    if (isOpen) {
        owner = {key_role::Team, queue->team(), ""};
    } else if (const auto error = authenticate(parts, request, key_role::Team, &owner)) {
        parts.answerProblem(request.id, errorKindOf(error), "");
        return;
    }
    if (problem) {
        parts.answerProblem(request.id, error_kind::Malformed, detail);
        return;
    }
    messages::envelope envelope;
    auto *submit = envelope.mutable_submit();
    submit->set_team(owner.name);
    submit->set_queue(body.queue());
    submit->set_service(body.service());
    submit->set_name(body.name());
    submit->set_tasks(body.tasks() == 0 ? 1 : body.tasks());
    *submit->mutable_task() = body.task();
    submit->set_run_time_ms(body.run_time_ms());
    submit->set_idempotent(body.idempotent());
    submit->set_payload(body.payload());
    submit->set_idempotency_key(request.idempotencyKey);
    const auto rule =
        request.idempotencyKey.empty() ? resend_rule::Never : resend_rule::WhenUnanswered;
    parts.relay(request.id, std::move(envelope), statusCreated, rule, jobOf);
}

void listJobs(gateway::parts &parts, http_request &&request, const std::string & /*name*/)
{
    key_owner owner;
    if (const auto error = findReader(parts, request, &owner)) {
        parts.answerProblem(request.id, errorKindOf(error), "");
        return;
    }
    messages::envelope envelope;
    envelope.mutable_query()->set_team(owner.name);
    envelope.mutable_query()->set_operator_view(owner.role == key_role::Operator);
    parts.relay(request.id, std::move(envelope), statusOk, resend_rule::WhenUnanswered,
                [](const messages::envelope &answer) -> const google::protobuf::Message * {
                    return answer.has_jobs() ? &answer.jobs() : nullptr;
                });
}

void showJob(gateway::parts &parts, http_request &&request, const std::string &name)
{
    key_owner owner;
    std::uint64_t id = 0;
    if (const auto error = findReader(parts, request, &owner)) {
        parts.answerProblem(request.id, errorKindOf(error), "");
        return;
    }
    if (!readNumber(name, &id)) {
        parts.answerProblem(request.id, error_kind::NotFound, "no such job");
        return;
    }
    messages::envelope envelope;
    auto *query = envelope.mutable_query();
    query->set_id(id);
    query->set_team(owner.name);
    query->set_operator_view(owner.role == key_role::Operator);
    parts.relay(request.id, std::move(envelope), statusOk, resend_rule::WhenUnanswered,
                [](const messages::envelope &answer) -> const google::protobuf::Message * {
                    return answer.has_job() ? &answer.job().job() : nullptr;
                });
}

void cancelJob(gateway::parts &parts, http_request &&request, const std::string &name)
{
    changeJob(parts, request, name, messages::CANCEL);
}

void holdJob(gateway::parts &parts, http_request &&request, const std::string &name)
{
    changeJob(parts, request, name, messages::HOLD);
}

void releaseJob(gateway::parts &parts, http_request &&request, const std::string &name)
{
    changeJob(parts, request, name, messages::RELEASE);
}

} // namespace filbert

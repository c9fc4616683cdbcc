#include "job_routes.h"

#include "gateway_state.h"

#include <charconv>
#include <utility>

namespace filbert {

namespace {

constexpr int statusOk = 200;
constexpr int statusCreated = 201;

/** Authenticates a team, which may see its own jobs, or an operator, who may see all jobs. */
std::error_code authenticateReader(const gateway::shared_state &state, const http_request &request,
                                   key_owner *owner)
{
    const auto error = authenticate(state, request, key_role::Team, owner);
    return error == error_kind::Forbidden ? authenticate(state, request, key_role::Operator, owner)
                                          : error;
}

bool readJobId(const std::string &name, std::uint64_t *id)
{
    const char *end = name.data() + name.size();
    const auto parsed = std::from_chars(name.data(), end, *id);
    return parsed.ec == std::errc {} && parsed.ptr == end && *id > 0;
}

const google::protobuf::Message *jobOf(const messages::envelope &answer)
{
    return answer.has_job() ? &answer.job() : nullptr;
}

/** Queries the job as the key's owner first, so that no team can change another team's job. */
void changeJob(gateway::shared_state &state, const http_request &request, const std::string &name,
               messages::job_action action)
{
    key_owner owner;
    std::uint64_t id = 0;
    if (const auto error = authenticateReader(state, request, &owner)) {
        state.answerProblem(request.id, errorKindOf(error), "");
        return;
    }
    if (!readJobId(name, &id)) {
        state.answerProblem(request.id, error_kind::NotFound, "no such job");
        return;
    }
    messages::envelope query;
    query.mutable_query()->set_id(id);
    query.mutable_query()->set_team(owner.name);
    query.mutable_query()->set_operator_view(owner.role == key_role::Operator);
    constexpr milliseconds answerTimeout {10'000};
    state.links.request(std::move(query), answerTimeout, resend_rule::WhenUnanswered, state.now,
                        [&state, request = request.id, id,
                         action](std::error_code error, const messages::envelope &answer) {
                            if (error || !answer.has_job()) {
                                state.answerFailure(request, error, answer);
                                return;
                            }
                            messages::envelope envelope;
                            envelope.mutable_change()->set_id(id);
                            envelope.mutable_change()->set_action(action);
                            state.relay(request, std::move(envelope), statusOk,
                                        resend_rule::WhenUnanswered, jobOf);
                        });
}

} // namespace

void submitJob(gateway::shared_state &state, http_request &&request, const std::string & /*name*/)
{
    messages::submit_body body;
    std::string detail;
    const auto problem = readJson(request.body, &body, &detail);
    key_owner owner;
    const auto *queue = state.lease.configuration.queue(body.queue());
    const bool isOpenToAll = !problem && queue != nullptr && queue->open_to_all()
        && request.authorization.empty() && isInForce(state.lease, state.now);
    if (isOpenToAll) {
        owner = {key_role::Team, queue->team(), ""};
    } else if (const auto error = authenticate(state, request, key_role::Team, &owner)) {
        state.answerProblem(request.id, errorKindOf(error), "");
        return;
    }
    if (problem) {
        state.answerProblem(request.id, error_kind::Malformed, detail);
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
    state.relay(request.id, std::move(envelope), statusCreated, rule, jobOf);
}

void listJobs(gateway::shared_state &state, http_request &&request, const std::string & /*name*/)
{
    key_owner owner;
    if (const auto error = authenticateReader(state, request, &owner)) {
        state.answerProblem(request.id, errorKindOf(error), "");
        return;
    }
    messages::envelope envelope;
    envelope.mutable_query()->set_team(owner.name);
    envelope.mutable_query()->set_operator_view(owner.role == key_role::Operator);
    state.relay(request.id, std::move(envelope), statusOk, resend_rule::WhenUnanswered,
                [](const messages::envelope &answer) -> const google::protobuf::Message * {
                    return answer.has_jobs() ? &answer.jobs() : nullptr;
                });
}

void showJob(gateway::shared_state &state, http_request &&request, const std::string &name)
{
    key_owner owner;
    std::uint64_t id = 0;
    if (const auto error = authenticateReader(state, request, &owner)) {
        state.answerProblem(request.id, errorKindOf(error), "");
        return;
    }
    if (!readJobId(name, &id)) {
        state.answerProblem(request.id, error_kind::NotFound, "no such job");
        return;
    }
    messages::envelope envelope;
    auto *query = envelope.mutable_query();
    query->set_id(id);
    query->set_team(owner.name);
    query->set_operator_view(owner.role == key_role::Operator);
    state.relay(request.id, std::move(envelope), statusOk, resend_rule::WhenUnanswered,
                [](const messages::envelope &answer) -> const google::protobuf::Message * {
                    return answer.has_job() ? &answer.job().job() : nullptr;
                });
}

void cancelJob(gateway::shared_state &state, http_request &&request, const std::string &name)
{
    changeJob(state, request, name, messages::CANCEL);
}

void holdJob(gateway::shared_state &state, http_request &&request, const std::string &name)
{
    changeJob(state, request, name, messages::HOLD);
}

void releaseJob(gateway::shared_state &state, http_request &&request, const std::string &name)
{
    changeJob(state, request, name, messages::RELEASE);
}

} // namespace filbert

#include "work_controller.h"

#include <algorithm>
#include <utility>

namespace filbert {

namespace {

constexpr std::size_t jobIdLength = 16; // hexadecimal digits of a job id
// A cancel that is remembered is forgotten after minutes; room is made each few seconds.
constexpr milliseconds earlyCancelRetryDelay {5'000};
constexpr milliseconds formationRetryDelay {500}; // forming a cell takes about a second

bool isJobId(std::string_view text)
{
    return text.size() == jobIdLength && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
           });
}

std::string explanationOf(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::LongTurns:
        return "the cell is overloaded";
    case refusal_reason::BeyondShare:
        return "the job would be late, and its team sends more than its share";
    case refusal_reason::TooWide:
        return "a task of the job needs more than any target of its service has";
    default:
        return "the job would be late: too much work waits before it";
    }
}

} // namespace

void work_controller::handleRequest(const answer_address &from,
                                    const messages::work_request &request, time_point now,
                                    std::int64_t wallMs)
{
    if (!dispatch || isStopping || !log.isServing(now)) {
        answerKind(from, messages::ANSWER_NO_LEADER);
        return;
    }
    using body = messages::work_request::BodyCase;
    switch (request.body_case()) {
    case body::kJob:
        handleJobCall(from, request.job(), now, wallMs);
        break;
    case body::kReport: {
        if (const auto problem = findProblem(*dispatch, request.report(), wallMs)) {
            metrics.countRefusedReport();
            if (const auto leftOut = reportLimit.admit(now)) {
                log_line {"report_refused", log_line::severity::Warning}
                    .with("target", request.report().id())
                    .with("born", request.report().born())
                    .with("service", request.report().service())
                    .with("problem", *problem)
                    .with("left_out", *leftOut);
            }
            answerKind(from, messages::ANSWER_MALFORMED, *problem);
            break;
        }
        const auto commandCount = dispatch->effects.commands.size();
        if (!handleTargetReport(*dispatch, request.report(), now)) {
            answerKind(from, messages::ANSWER_OK);
            break;
        }
        auto &commands = dispatch->effects.commands;
        for (auto i = commandCount; i + 1 < commands.size(); ++i) {
            propose(std::move(commands[i]), {}); // crashes that the report proves
        }
        auto registration = std::move(commands.back());
        commands.resize(commandCount);
        propose(std::move(registration), from);
        break;
    }
    case body::kTargetLeaves:
        handleTargetLeaving(*dispatch, request.target_leaves(), now);
        answerKind(from, messages::ANSWER_OK);
        break;
    case body::kConfigure:
        handleConfiguration(from, request.configure());
        break;
    case body::kReadConfiguration: {
        messages::work_answer content;
        const bool hasConfiguration = state.configuration.version() > 0;
        content.set_kind(hasConfiguration ? messages::ANSWER_DOCUMENT : messages::ANSWER_NOT_NOW);
        content.set_document(state.configuration.document());
        content.set_number(hasConfiguration ? 0 : formationRetryDelay.count);
        answer(from, std::move(content));
        break;
    }
    case body::kEvacuate:
        handleEvacuation(from, *readEvacuation(request));
        break;
    case body::BODY_NOT_SET:
        answerKind(from, messages::ANSWER_MALFORMED,
                   "controllers do not handle requests of this kind");
    }
}

void work_controller::handleJobCall(const answer_address &from, const messages::job_call &call,
                                    time_point now, std::int64_t wallMs)
{
    const auto &configuration = state.configuration;
    if (configuration.version() == 0) {
        answerKind(from, messages::ANSWER_NOT_NOW, "the cell has no configuration yet",
                   formationRetryDelay.count);
        return;
    }
    const auto *queue = findQueueByPath(configuration, call.host(), call.path());
    if (queue == nullptr) {
        answerKind(from, messages::ANSWER_NO_QUEUE);
        return;
    }
    const auto *team = findTeamByKey(configuration, call.key());
    if (team == nullptr && !queue->is_open()) {
        answerKind(from, messages::ANSWER_UNAUTHORIZED);
        return;
    }
    const auto id = call.path().substr(queue->path_prefix().size());
    job_caller caller;
    if (team != nullptr) {
        caller = {team->name(), keyFingerprint(call.key())};
    }
    if (call.kind() == messages::JOB_STATE && id.empty()) {
        const auto count = countPendingJobs(*dispatch, *queue, now);
        answerKind(from, messages::ANSWER_PENDING, {}, count);
        return;
    }
    if (call.kind() == messages::JOB_SUBMIT) {
        handleSubmission(from, call, *queue, caller, id, now, wallMs);
        return;
    }
    const auto access = findJobAccess(id);
    const bool isFound = access && isVisible(configuration, *queue, caller, *access);
    if (call.kind() == messages::JOB_STATE) {
        const auto job = state.jobs.find(id);
        const bool isKnown = isFound && job != state.jobs.end();
        messages::work_answer content;
        content.set_kind(isKnown ? messages::ANSWER_STATE : messages::ANSWER_NO_JOB);
        content.set_name(isKnown ? std::string {statusName(shownStatus(*dispatch, job->second))}
                                 : std::string {});
        answer(from, std::move(content));
        return;
    }
    if (!isFound) {
        const bool mayStillArrive = !access && isJobId(id);
        if (mayStillArrive) {
            handleEarlyCancel(from, {id, accessUnder(*queue, caller)});
        } else {
            answerKind(from, messages::ANSWER_NO_JOB);
        }
        return;
    }
    messages::work_command command;
    command.set_cancel(id);
    propose(std::move(command), from);
}

/** Cancels a job that is not known, so that a delayed submission of it is refused. */
void work_controller::handleEarlyCancel(const answer_address &from, const early_cancel &cancel)
{
    if (isRemembered(state, cancel)) {
        answerKind(from, messages::ANSWER_NO_JOB);
        return;
    }
    if (!hasRoomFor(state, cancel)) {
        refuseEarlyCancel(from);
        return;
    }
    messages::work_command command;
    *command.mutable_cancel_early() = toMessage(cancel);
    propose(std::move(command), from);
}

/** Tells a caller that the cancel of an unknown job cannot be remembered. */
void work_controller::refuseEarlyCancel(const answer_address &from)
{
    answerKind(from, messages::ANSWER_NOT_NOW,
               "too many unknown jobs of the team were cancelled lately",
               earlyCancelRetryDelay.count);
}

/** @return who may see and cancel a job that was accepted or is on its way to the log, or nothing
   if there is none of that id */
std::optional<job_access> work_controller::findJobAccess(const std::string &id) const
{
    if (const auto job = state.jobs.find(id); job != state.jobs.end()) {
        return accessOf(job->second.job);
    }
    for (const auto &[index, batch] : inFlight) {
        for (const auto &submission : batch.submissions) {
            if (submission.id == id) {
                return submission.access;
            }
        }
    }
    for (const auto &entry : pending) {
        const auto &job = entry.command.accept();
        if (entry.command.has_accept() && job.id() == id) {
            return accessOf(job);
        }
    }
    return std::nullopt;
}

void work_controller::handleSubmission(const answer_address &from, const messages::job_call &call,
                                       const messages::work_queue &queue, const job_caller &caller,
                                       const std::string &id, time_point now, std::int64_t wallMs)
{
    const auto access = findJobAccess(id);
    if (access && !isVisible(state.configuration, queue, caller, *access)) {
        // A success would leave the caller with a job that it cannot see and that is not its own.
        answerKind(from, messages::ANSWER_CONFLICT, "another job has this id");
        return;
    }
    if (state.jobs.contains(id)) {
        answerKind(from, messages::ANSWER_OK); // a repeated submission of an accepted job
        return;
    }
    const auto *team = findTeam(state.configuration, caller.team);
    const auto teamKeys =
        team != nullptr ? teamKeysOf(*team, caller.key) : std::vector<std::uint64_t> {};
    auto ownAccess = accessUnder(queue, caller);
    ownAccess.teamKeys = teamKeys;
    if (isCancelledEarly(state, id, ownAccess)) {
        refuseCancelledJob(from, id);
        return;
    }
    auto problem = call.problem();
    if (problem.empty() && !isJobId(id)) {
        problem = "expected an id of 16 hexadecimal digits";
    }
    if (problem.empty()) {
        problem = findProblem(call.job()).value_or("");
    }
    if (!problem.empty()) {
        refuseJob(from, {refusal_reason::Invalid, {}, {}, {}}, id, queue, caller.team, problem);
        return;
    }
    submission_decision decision;
    // One that is on its way to the log may be accepted, so that it cannot be refused any more.
    if (!access) {
        decision = decideSubmission(*dispatch, shedding, id, call.job(), queue, caller.team, now);
    }
    if (decision.reason != refusal_reason::None) {
        refuseJob(from, decision, id, queue, caller.team, explanationOf(decision.reason));
        return;
    }
    messages::work_command command;
    auto *job = command.mutable_accept();
    *job = call.job();
    job->set_id(id);
    job->set_queue(queue.name());
    job->set_team(caller.team);
    job->mutable_team_keys()->Assign(teamKeys.begin(), teamKeys.end());
    job->set_accepted_wall_ms(wallMs - decision.waited.count); // its objective counts from then
    *job->mutable_taken_under() = queue;
    propose(std::move(command), from);
}

/** Refuses a submission that was cancelled before it arrived. */
void work_controller::refuseCancelledJob(const answer_address &from, const std::string &id)
{
    metrics.countRefusedJob(refusal_reason::Cancelled);
    log_line {"job_refused"}.with("reason", reasonName(refusal_reason::Cancelled)).with("job", id);
    answerKind(from, messages::ANSWER_CONFLICT, "the job was cancelled before it was submitted");
}

/** Tells a caller that its job is not accepted. @param why  for the caller */
void work_controller::refuseJob(const answer_address &from, const submission_decision &decision,
                                const std::string &id, const messages::work_queue &queue,
                                const std::string &team, const std::string &why)
{
    metrics.countRefusedJob(decision.reason);
    log_line {"job_refused"}
        .with("reason", reasonName(decision.reason))
        .with("team", team)
        .with("queue", queue.name())
        .with("expected_wait_ms", decision.expectedWait.count)
        .with("retry_after_ms", decision.retryAfter.count)
        .with("waited_ms", decision.waited.count)
        .with("job", id)
        .with("why", why);
    const bool isInvalid = decision.reason == refusal_reason::Invalid;
    answerKind(from, isInvalid ? messages::ANSWER_MALFORMED : messages::ANSWER_NOT_NOW, why,
               decision.retryAfter.count);
}

/** Logs and counts by how much the waits of jobs that have started differ from the predictions. */
void work_controller::reportWaits(time_point now)
{
    for (const auto &each : std::exchange(dispatch->jobAdmission.comparisons, {})) {
        metrics.observeWaitError(each.expected, each.actual);
        if (const auto leftOut = waitLimit.admit(now)) {
            log_line {"wait_compared"}
                .with("queue", each.queue)
                .with("expected_wait_ms", each.expected.count)
                .with("wait_ms", each.actual.count)
                .with("left_out", *leftOut);
        }
    }
}

void work_controller::handleConfiguration(const answer_address &from,
                                          const messages::work_configuration &document)
{
    if (const auto problem = findProblem(document)) {
        log_line {"configuration_refused"}
            .with("version", document.version())
            .with("held", state.configuration.version())
            .with("why", *problem);
        answerKind(from, messages::ANSWER_MALFORMED, *problem);
        return;
    }
    if (document.version() <= state.configuration.version()) {
        answerKind(from, messages::ANSWER_OK); // not newer: acknowledged without effect
        return;
    }
    if (state.configuration.version() == 0
        && countVoters() < desiredVoterCount(settings.membership)) {
        answerKind(from, messages::ANSWER_NOT_NOW, "too few controllers have joined yet",
                   formationRetryDelay.count);
        return;
    }
    messages::work_command command;
    *command.mutable_configure() = document;
    propose(std::move(command), from);
}

} // namespace filbert

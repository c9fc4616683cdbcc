#include "work_controller.h"

#include <algorithm>
#include <utility>

namespace filbert {

namespace {

constexpr std::size_t idLength = 16; // hexadecimal digits
constexpr milliseconds retryWhileForming {500}; // a formation takes about a second

bool isJobId(std::string_view text)
{
    return text.size() == idLength && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
           });
}

std::string commandName(const messages::work_command &command)
{
    const auto *field = messages::work_command::descriptor()->FindFieldByNumber(
        static_cast<int>(command.body_case()));
    return field != nullptr ? field->name() : "none";
}

std::string answerName(messages::work_answer_kind kind)
{
    return messages::work_answer_kind_Name(kind);
}

std::string orderName(order_kind kind)
{
    constexpr const char *names[] = {"start", "stop", "look", "pace"};
    return names[static_cast<std::size_t>(kind)];
}

} // namespace

work_controller::work_controller(const work_controller_settings &settings,
                                 const replication_settings &replication,
                                 const stored_state &stored, std::uint64_t seed, log_store &store,
                                 work_metrics &metrics, work_controller_hooks hooksGiven,
                                 time_point now)
    : settings {settings}
    , metrics {metrics}
    , hooks {std::move(hooksGiven)}
    , log {replication,
           snapshot_settings {},
           stored,
           seed,
           store,
           {[this](const messages::member &to, const messages::replication_message &message) {
                messages::work_envelope envelope;
                envelope.set_from(log.view().self);
                *envelope.mutable_replication() = message;
                hooks.sendToMember(to, envelope);
            },
            [this](const messages::log_entry &entry) { applyEntry(entry); },
            [this](const std::string &data) {
                FILBERT_INVARIANT(!readWork(data, &state), "a snapshot can be read");
            },
            [this] { return writeWork(state); }},
           now}
    , relay {settings.relay,
             {[this](const std::string &carrier, const messages::work_envelope &envelope) {
                  hooks.sendToPeer(carrier, envelope);
              },
              [this](const target_order &order) { hooks.callTarget(order); },
              [this](const target_order &order, const order_answer &answer) {
                  takeOrderAnswer(order, answer, monotonicNow());
              }}}
{
}

void work_controller::takeEnvelope(const std::string &peer, const messages::work_envelope &envelope,
                                   time_point now, std::int64_t wallMs)
{
    using body = messages::work_envelope::BodyCase;
    switch (envelope.body_case()) {
    case body::kReplication:
        log.takeMessage(envelope.replication(), now);
        break;
    case body::kHello:
        welcome(peer, envelope.hello(), now);
        break;
    case body::kJoin:
        candidates[envelope.join().self().identity()] = {envelope.join().self(), now};
        break;
    case body::kRequest:
        takeRequest({peer, envelope.exchange()}, envelope.request(), now, wallMs);
        break;
    case body::kAdmissionAnswer:
        if (dispatch) {
            takeAdmission(*dispatch, envelope.admission_answer(), now);
        }
        break;
    case body::kCarriedAnswers:
        relay.takeAnswers(peer, envelope.carried_answers());
        break;
    default:
        log_line {"message_unexpected", log_line::severity::Warning}.with("peer", peer);
    }
}

void work_controller::welcome(const std::string &peer, const messages::peer_hello &hello,
                              time_point now)
{
    // Followers keep these too: a new leader has work for them before their next hello.
    if (hello.asks_admission()) {
        policyCallers[peer] = {hello.process(), now};
    } else {
        policyCallers.erase(peer);
    }
    if (dispatch && hello.asks_admission()) {
        takeCaller(*dispatch, peer, hello.process(), now);
    } else if (dispatch) {
        dropCaller(*dispatch, peer);
    }
    if (hello.carries_orders()) {
        relay.takeCarrier(peer, hello.failure_domain(), hello.process(), now);
    } else {
        relay.dropCarrier(peer);
    }
    messages::work_envelope envelope;
    envelope.set_from(settings.name);
    auto *answer = envelope.mutable_welcome();
    const auto &view = log.view();
    for (const auto &member : view.members.members()) {
        *answer->add_members() = member;
    }
    const bool leads = dispatch && log.isServing(now);
    const auto *leader = leads ? nullptr : findMember(view.members, view.leader);
    if (leads) {
        answer->set_leader(view.self);
        answer->set_leader_address(settings.address);
    } else if (leader != nullptr && view.leader != view.self) {
        answer->set_leader(view.leader);
        answer->set_leader_address(leader->address());
    }
    hooks.sendToPeer(peer, envelope);
}

void work_controller::answer(const reply_to &to, messages::work_answer &&what)
{
    if (to.exchange == 0) {
        return;
    }
    metrics.countAnswer(answerName(what.kind()));
    messages::work_envelope envelope;
    envelope.set_exchange(to.exchange);
    envelope.set_from(settings.name);
    *envelope.mutable_answer() = std::move(what);
    hooks.sendToPeer(to.peer, envelope);
}

void work_controller::answerKind(const reply_to &to, messages::work_answer_kind kind,
                                 const std::string &detail, std::int64_t number)
{
    messages::work_answer what;
    what.set_kind(kind);
    what.set_detail(detail);
    what.set_number(number);
    answer(to, std::move(what));
}

void work_controller::takeRequest(const reply_to &from, const messages::work_request &request,
                                  time_point now, std::int64_t wallMs)
{
    if (!dispatch || isStopping || !log.isServing(now)) {
        answerKind(from, messages::ANSWER_NO_LEADER);
        return;
    }
    using body = messages::work_request::BodyCase;
    switch (request.body_case()) {
    case body::kJob:
        takeJobCall(from, request.job(), wallMs);
        break;
    case body::kReport: {
        const auto known = dispatch->effects.commands.size();
        if (!takeReport(*dispatch, request.report(), now)) {
            answerKind(from, messages::ANSWER_OK);
            break;
        }
        auto command = std::move(dispatch->effects.commands[known]);
        dispatch->effects.commands.resize(known);
        propose(std::move(command), from);
        break;
    }
    case body::kTargetLeaves:
        takeLeave(*dispatch, request.target_leaves(), now);
        answerKind(from, messages::ANSWER_OK);
        break;
    case body::kConfigure:
        takeConfiguration(from, request.configure());
        break;
    case body::kReadConfiguration: {
        messages::work_answer what;
        const bool isKnown = state.configuration.version() > 0;
        what.set_kind(isKnown ? messages::ANSWER_DOCUMENT : messages::ANSWER_NOT_NOW);
        what.set_document(state.configuration.document());
        what.set_number(isKnown ? 0 : retryWhileForming.count);
        answer(from, std::move(what));
        break;
    }
    case body::BODY_NOT_SET:
        answerKind(from, messages::ANSWER_MALFORMED, "a request that controllers do not take");
    }
}

void work_controller::takeJobCall(const reply_to &from, const messages::job_call &call,
                                  std::int64_t wallMs)
{
    const auto &configuration = state.configuration;
    if (configuration.version() == 0) {
        answerKind(from, messages::ANSWER_NOT_NOW, "no configuration yet", retryWhileForming.count);
        return;
    }
    const auto *queue = queueFor(configuration, call.host(), call.path());
    if (queue == nullptr) {
        answerKind(from, messages::ANSWER_NO_QUEUE);
        return;
    }
    const auto *team = teamWithKey(configuration, call.key());
    if (team == nullptr && !queue->is_open()) {
        answerKind(from, messages::ANSWER_UNAUTHORIZED);
        return;
    }
    const auto id = call.path().substr(queue->path_prefix().size());
    const auto teamName = team != nullptr ? team->name() : std::string {};
    if (call.kind() == messages::JOB_STATE && id.empty()) {
        const auto found = state.pendingByQueue.find(queue->name());
        answerKind(from, messages::ANSWER_PENDING, {},
                   found == state.pendingByQueue.end() ? 0 : found->second);
        return;
    }
    if (call.kind() == messages::JOB_SUBMIT) {
        takeSubmission(from, call, *queue, teamName, id, wallMs);
        return;
    }
    const auto job = state.jobs.find(id);
    const bool isOwn = job != state.jobs.end() && job->second.job.queue() == queue->name()
        && (queue->is_open() || job->second.job.team() == teamName);
    if (call.kind() == messages::JOB_STATE) {
        messages::work_answer what;
        what.set_kind(isOwn ? messages::ANSWER_STATE : messages::ANSWER_NO_JOB);
        what.set_name(isOwn ? std::string {statusName(job->second.status)} : std::string {});
        answer(from, std::move(what));
        return;
    }
    const bool isBeingAccepted =
        std::any_of(pending.begin(), pending.end(),
                    [&](const auto &each) { return each.command.accept().id() == id; })
        || !inFlight.empty();
    if (!isOwn && !isBeingAccepted) {
        answerKind(from, messages::ANSWER_NO_JOB);
        return;
    }
    messages::work_command command;
    command.set_cancel(id);
    propose(std::move(command), from);
}

void work_controller::takeSubmission(const reply_to &from, const messages::job_call &call,
                                     const messages::work_queue &queue, const std::string &team,
                                     const std::string &id, std::int64_t wallMs)
{
    if (state.jobs.contains(id)) {
        answerKind(from, messages::ANSWER_OK); // it was accepted before
        return;
    }
    auto problem = call.problem();
    if (problem.empty() && !isJobId(id)) {
        problem = "expected an id of 16 hexadecimal digits";
    }
    if (problem.empty()) {
        problem = problemIn(call.job()).value_or("");
    }
    if (!problem.empty()) {
        log_line {"job_refused"}.with("job", id).with("queue", queue.name()).with("why", problem);
        answerKind(from, messages::ANSWER_MALFORMED, problem);
        return;
    }
    messages::work_command command;
    auto *job = command.mutable_accept();
    *job = call.job();
    job->set_id(id);
    job->set_queue(queue.name());
    job->set_team(team);
    job->set_accepted_wall_ms(wallMs);
    *job->mutable_taken_under() = queue;
    propose(std::move(command), from);
}

void work_controller::takeConfiguration(const reply_to &from,
                                        const messages::work_configuration &document)
{
    if (const auto problem = problemIn(document)) {
        log_line {"configuration_refused"}
            .with("version", document.version())
            .with("held", state.configuration.version())
            .with("why", *problem);
        answerKind(from, messages::ANSWER_MALFORMED, *problem);
        return;
    }
    if (document.version() <= state.configuration.version()) {
        answerKind(from, messages::ANSWER_OK); // acknowledged, without effect
        return;
    }
    if (state.configuration.version() == 0 && countVoters() < wantedVoters(settings.formation)) {
        answerKind(from, messages::ANSWER_NOT_NOW, "too few controllers have joined yet",
                   retryWhileForming.count);
        return;
    }
    messages::work_command command;
    *command.mutable_configure() = document;
    propose(std::move(command), from);
}

void work_controller::propose(messages::work_command &&command, const reply_to &to)
{
    pending.push_back({std::move(command), to});
}

void work_controller::proposePending(time_point now, std::int64_t wallMs)
{
    if (!dispatch) {
        return;
    }
    for (auto &command : std::exchange(dispatch->effects.commands, {})) {
        pending.push_back({std::move(command), {}});
    }
    if (pending.empty()) {
        return;
    }
    messages::work_batch batch;
    batch.set_wall_ms(wallMs);
    std::vector<reply_to> replies;
    for (auto &each : std::exchange(pending, {})) {
        *batch.add_commands() = std::move(each.command);
        replies.push_back(std::move(each.replyTo));
    }
    std::uint64_t index = 0;
    if (const auto error = log.propose(batch.SerializeAsString(), now, &index)) {
        log_line {"proposal_refused", log_line::severity::Warning}.with("error", error.message());
        for (const auto &to : replies) {
            answerKind(to, messages::ANSWER_NO_LEADER);
        }
        dispatch.reset(); // it has booked what was not proposed: start over
        return;
    }
    inFlight[index] = {std::move(replies), now};
}

void work_controller::applyEntry(const messages::log_entry &entry)
{
    if (entry.kind() != messages::COMMANDS) {
        return;
    }
    messages::work_batch batch;
    FILBERT_INVARIANT(batch.ParseFromString(entry.payload()), "an entry can be read");
    const auto waiting = inFlight.extract(entry.index());
    if (!waiting.empty()) {
        metrics.observeCommit(flushNow - waiting.mapped().proposedAt);
    }
    for (int i = 0; i < batch.commands_size(); ++i) {
        const auto &command = batch.commands(i);
        const auto outcome = applyCommand(state, command, batch.wall_ms());
        metrics.countCommand(commandName(command));
        const bool isOwn = !waiting.empty() && entry.term() == log.view().term;
        afterApplied(command, outcome,
                     isOwn ? waiting.mapped().replies[static_cast<std::size_t>(i)] : reply_to {});
    }
}

void work_controller::afterApplied(const messages::work_command &command,
                                   const command_outcome &outcome, const reply_to &to)
{
    const bool isRefused = outcome.error != error_kind::None;
    if (dispatch) {
        afterCommand(*dispatch, command, isRefused, flushNow);
    }
    using body = messages::work_command::BodyCase;
    switch (command.body_case()) {
    case body::kConfigure:
        log_line {"configuration_in_force"}
            .with("version", command.configure().version())
            .with("held", state.configuration.version());
        answerKind(to, messages::ANSWER_OK);
        break;
    case body::kAccept:
        if (to.exchange != 0) {
            log_line {"job_accepted"}
                .with("job", command.accept().id())
                .with("queue", command.accept().queue())
                .with("team", command.accept().team())
                .with("configuration", state.configuration.version());
        }
        answerKind(to, messages::ANSWER_OK);
        break;
    case body::kCancel:
        log_line {"job_cancelled"}.with("job", command.cancel()).with("known", !isRefused);
        answerKind(to, isRefused ? messages::ANSWER_NO_JOB : messages::ANSWER_OK);
        break;
    case body::kTarget:
        log_line {"target_state"}
            .with("target", command.target().id())
            .with("born", command.target().born())
            .with("address", command.target().address())
            .with("service", command.target().service())
            .with("draining", command.target().is_draining())
            .with("refused", isRefused);
        answerKind(to, messages::ANSWER_OK);
        break;
    default:
        answerKind(to, messages::ANSWER_OK);
    }
}

void work_controller::takeOrderAnswer(const target_order &order, const order_answer &answer,
                                      time_point now)
{
    metrics.observeOrder(orderName(order.kind), std::string {resultName(answer.result)},
                         now - order.sentAt);
    if (dispatch) {
        filbert::takeOrderAnswer(*dispatch, order, answer, now);
    }
}

void work_controller::takeTime(time_point now)
{
    log.takeTime(now);
    relay.takeTime(now);
    if (isStopping) {
        log.handOverLeadership(now);
    }
    if (dispatch && log.isServing(now)) {
        reviewMembership(now);
    }
    const auto &view = log.view();
    const bool isIn = findMember(view.members, view.self) != nullptr;
    const bool hasLeader = !view.leader.empty();
    if ((isIn && hasLeader) || isStopping || now < joinAt) {
        return;
    }
    joinAt = now + settings.joinPeriod;
    messages::work_envelope envelope;
    envelope.set_from(view.self);
    auto *self = envelope.mutable_join()->mutable_self();
    self->set_identity(view.self);
    self->set_name(settings.name);
    self->set_address(settings.address);
    for (const auto &address : hooks.knownAddresses()) {
        if (address != settings.address) {
            messages::member to;
            to.set_address(address);
            hooks.sendToMember(to, envelope);
        }
    }
}

int work_controller::countVoters() const
{
    const auto &members = log.view().members.members();
    return static_cast<int>(std::count_if(members.begin(), members.end(),
                                          [](const auto &each) { return !each.learner(); }));
}

void work_controller::reviewMembership(time_point now)
{
    formation_view view;
    view.members = &log.view().members;
    view.self = log.view().self;
    view.leadingSince = leadingSince;
    for (const auto &[identity, candidate] : candidates) {
        view.candidates.push_back(candidate);
    }
    for (const auto &member : view.members->members()) {
        view.heardAt[member.identity()] = log.heardFrom(member.identity());
    }
    const auto step = nextFormationStep(view, settings.formation, now);
    if (!step) {
        return;
    }
    if (log.change(step->add, step->which, now)) {
        return; // another change is under way: this one is decided again
    }
    candidates.erase(step->which.identity());
    log_line {"membership_change"}
        .with("add", step->add)
        .with("identity", step->which.identity())
        .with("address", step->which.address())
        .with("members", log.view().members.members_size())
        .with("reason", step->reason);
}

void work_controller::turnAwayAll()
{
    for (const auto &each : std::exchange(pending, {})) {
        answerKind(each.replyTo, messages::ANSWER_NO_LEADER);
    }
    for (const auto &[index, batch] : std::exchange(inFlight, {})) {
        for (const auto &to : batch.replies) {
            answerKind(to, messages::ANSWER_NO_LEADER);
        }
    }
}

void work_controller::reviewLeadership(time_point now, std::int64_t wallMs)
{
    const auto &view = log.view();
    if (dispatch && (view.role != replica_role::Leader || dispatch->term != view.term)) {
        log_line {"leading_ended"}.with("term", dispatch->term);
        dispatch.reset();
    }
    if (view.role != replica_role::Leader) {
        turnAwayAll();
        return;
    }
    if (!dispatch && log.isSettled() && !isStopping && hasLease(view, now)) {
        turnAwayAll();
        relay.clear();
        dispatch = startDispatch(state, settings.dispatch, view.term, now, wallMs);
        for (const auto &[name, caller] : policyCallers) {
            takeCaller(*dispatch, name, caller.process, caller.heardAt);
        }
        leadingSince = now;
        metrics.countElection();
        log_line {"leading"}
            .with("term", view.term)
            .with("applied", view.applied)
            .with("jobs", state.jobs.size())
            .with("targets", state.lives.size())
            .with("configuration", state.configuration.version());
    }
}

void work_controller::sendEffects(time_point now)
{
    if (!dispatch) {
        return;
    }
    if (!log.isServing(now)) {
        // Without the lease another may lead by now: what was decided is dropped with its term.
        log_line {"orders_dropped", log_line::severity::Warning}
            .with("term", dispatch->term)
            .with("orders", dispatch->effects.orders.size());
        dispatch.reset();
        return;
    }
    for (const auto &order : std::exchange(dispatch->effects.orders, {})) {
        const auto life = state.lives.find(order.target);
        const auto domain =
            life == state.lives.end() ? std::string {} : life->second.about.failure_domain();
        relay.send(order, dispatch->targets.size(), domain, now);
    }
    relay.flush();
    for (const auto &call : std::exchange(dispatch->effects.admissions, {})) {
        messages::work_envelope envelope;
        envelope.set_from(settings.name);
        *envelope.mutable_admission() = call.request;
        hooks.sendToPeer(call.caller, envelope);
    }
}

std::error_code work_controller::flush(time_point now, std::int64_t wallMs)
{
    flushNow = now;
    reviewLeadership(now, wallMs);
    if (dispatch && log.isServing(now)) {
        stepDispatch(*dispatch, now, wallMs);
    }
    proposePending(now, wallMs);
    if (const auto error = log.flush(now)) {
        return error;
    }
    reviewLeadership(now, wallMs);
    sendEffects(monotonicNow());
    return {};
}

void work_controller::prepareToStop(time_point now)
{
    isStopping = true;
    log.handOverLeadership(now);
}

void work_controller::setDispatch(const dispatch_settings &changed)
{
    settings.dispatch = changed;
    if (dispatch) {
        dispatch->settings = changed;
    }
}

} // namespace filbert

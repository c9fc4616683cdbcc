#include "work_controller.h"

#include <algorithm>
#include <utility>

namespace filbert {

namespace {

constexpr milliseconds peerTimeout {3'000}; // ten missed hellos: the process is considered gone

std::string answerName(messages::work_answer_kind kind)
{
    return messages::work_answer_kind_Name(kind);
}

} // namespace

work_controller::work_controller(const work_controller_settings &settings,
                                 const replication_settings &replication,
                                 const stored_state &stored, std::uint64_t seed, log_store &store,
                                 work_metrics &metrics, work_controller_hooks callerHooks,
                                 time_point now)
    : settings {settings}
    , metrics {metrics}
    , hooks {std::move(callerHooks)}
    , log {replication,
           snapshot_settings {},
           stored,
           seed,
           store,
           {[this](const messages::member &to, const messages::replication_message &message) {
                messages::work_envelope envelope;
                envelope.set_from(log.state().self);
                *envelope.mutable_replication() = message;
                hooks.sendToMember(to, envelope);
            },
            [this](const messages::log_entry &entry) { applyEntry(entry); },
            [this](const std::string &data) {
                FILBERT_INVARIANT(!readWorkState(data, &state), "a snapshot can be parsed");
            },
            [this] { return writeWorkState(state); }},
           now}
    , router {settings.router,
              {[this](const std::string &relay, const messages::work_envelope &envelope) {
                   hooks.sendToPeer(relay, envelope);
               },
               [this](const target_order &order) { hooks.callTarget(order); },
               [this](const target_order &order, time_point at) {
                   return dispatch && mayStillSend(*dispatch, order, at);
               },
               [this](const target_order &order, const order_answer &answer) {
                   handleOrderAnswer(order, answer, monotonicNow());
               }}}
{
}

void work_controller::handleEnvelope(const std::string &peer,
                                     const messages::work_envelope &envelope, time_point now,
                                     std::int64_t wallMs)
{
    using body = messages::work_envelope::BodyCase;
    // What is left on a connection that was replaced comes under another name than its sender's.
    // Answers are addressed to the sender, which is connected under its own name by then.
    const auto &sender = envelope.from().empty() ? peer : envelope.from();
    switch (envelope.body_case()) {
    case body::kReplication: {
        const activity_scope scope {metrics.activities(), activity::Replication};
        log.handleMessage(envelope.replication(), now);
        break;
    }
    case body::kHello:
        if (sender == peer) { // else it is outdated: the next one comes on the new connection
            handleHello(sender, envelope.hello(), now);
        }
        break;
    case body::kJoin:
        pendingJoins[envelope.join().self().identity()] = {envelope.join().self(), now};
        break;
    case body::kRequest:
        handleRequest({sender, envelope.exchange()}, envelope.request(), now, wallMs);
        break;
    case body::kAdmissionAnswer:
        if (dispatch) {
            handleAdmissionAnswer(*dispatch, envelope.admission_answer(), now);
        }
        break;
    case body::kCarriedAnswers: {
        const activity_scope scope {metrics.activities(), activity::Orders};
        router.handleAnswers(sender, envelope.carried_answers(), now);
        break;
    }
    default:
        log_line {"message_unexpected", log_line::severity::Warning}.with("peer", sender);
    }
}

void work_controller::handleHello(const std::string &peer, const messages::peer_hello &hello,
                                  time_point now)
{
    // Followers record these too: a new leader sends admission requests before the next hellos.
    peers[peer] = {hello.process(), hello.asks_admission(), now};
    if (!hello.asks_admission()) { // controllers do not call the policy service
        controllerDomains[peer] = hello.failure_domain();
    }
    if (dispatch && hello.asks_admission()) {
        registerCaller(*dispatch, peer, hello.process(), now);
    } else if (dispatch) {
        unregisterCaller(*dispatch, peer);
    }
    // A leader does not relay its own orders: its processor time is needed for scheduling.
    const bool isSelf = hello.name() == settings.name;
    if (hello.carries_orders() && !isSelf) {
        router.registerRelay(
            peer, {hello.failure_domain(), hello.process(), hello.link_mbps(), hello.milli_cores()},
            now);
    } else {
        router.unregisterRelay(peer);
    }
    sendWelcome(peer, now);
}

void work_controller::sendWelcome(const std::string &peer, time_point now)
{
    messages::work_envelope envelope;
    envelope.set_from(settings.name);
    auto *welcome = envelope.mutable_welcome();
    const auto &view = log.state();
    for (const auto &member : view.membership.members()) {
        *welcome->add_members() = member;
    }
    const bool isServing = dispatch && log.isServing(now);
    const auto *leader = isServing ? nullptr : findMember(view.membership, view.leader);
    if (isServing) {
        welcome->set_leader(view.self);
        welcome->set_leader_address(settings.address);
    } else if (leader != nullptr && view.leader != view.self) {
        welcome->set_leader(view.leader);
        welcome->set_leader_address(leader->address());
    }
    hooks.sendToPeer(peer, envelope);
}

void work_controller::forgetSilentPeers(time_point now)
{
    std::erase_if(peers,
                  [&](const auto &each) { return now - each.second.lastHelloAt >= peerTimeout; });
    const auto &members = log.state().membership.members();
    std::erase_if(controllerDomains, [&](const auto &each) {
        return !peers.contains(each.first)
            && std::none_of(members.begin(), members.end(),
                            [&](const auto &member) { return member.name() == each.first; });
    });
}

/** Sends a welcome to every process that has sent a hello recently. Otherwise it would hold its
    requests until its next hello.
*/
void work_controller::announceLeadership(time_point now)
{
    forgetSilentPeers(now);
    for (const auto &[name, peer] : peers) {
        sendWelcome(name, now);
    }
}

void work_controller::answer(const answer_address &to, messages::work_answer &&content)
{
    if (to.exchange == 0) {
        return;
    }
    metrics.countAnswer(answerName(content.kind()));
    messages::work_envelope envelope;
    envelope.set_exchange(to.exchange);
    envelope.set_from(settings.name);
    *envelope.mutable_answer() = std::move(content);
    hooks.sendToPeer(to.peer, envelope);
}

void work_controller::answerKind(const answer_address &to, messages::work_answer_kind kind,
                                 const std::string &detail, std::int64_t number)
{
    messages::work_answer content;
    content.set_kind(kind);
    content.set_detail(detail);
    content.set_number(number);
    answer(to, std::move(content));
}

void work_controller::propose(messages::work_command &&command, const answer_address &to)
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
    proposed_batch proposed;
    proposed.proposedAt = now;
    for (auto &command : std::exchange(pending, {})) {
        if (command.command.has_accept()) {
            const auto &job = command.command.accept();
            proposed.submissions.push_back({job.id(), accessOf(job)});
        }
        *batch.add_commands() = std::move(command.command);
        proposed.replies.push_back(std::move(command.replyTo));
    }
    auto payload = batch.SerializeAsString();
    // A committed entry that no controller can parse would be skipped by all of them, with all the
    // commands in it.
    if (!messages::work_batch {}.ParseFromString(payload)) {
        removeUnreadableCommands(&batch, &proposed.replies, now);
        if (batch.commands().empty()) {
            return;
        }
        payload = batch.SerializeAsString();
    }
    std::uint64_t index = 0;
    if (const auto error = log.propose(std::move(payload), now, &index)) {
        log_line {"proposal_refused", log_line::severity::Warning}.with("error", error.message());
        for (const auto &to : proposed.replies) {
            answerKind(to, messages::ANSWER_NO_LEADER);
        }
        dispatch.reset(); // it holds reservations for starts that were not proposed: start over
        return;
    }
    inFlight[index] = std::move(proposed);
}

/** Removes the commands that could not be parsed from the log, and answers their callers. */
void work_controller::removeUnreadableCommands(messages::work_batch *batch,
                                               std::vector<answer_address> *replies, time_point now)
{
    messages::work_batch readable;
    readable.set_wall_ms(batch->wall_ms());
    std::vector<answer_address> remainingReplies;
    for (int i = 0; i < batch->commands_size(); ++i) {
        const auto &command = batch->commands(i);
        auto &to = (*replies)[static_cast<std::size_t>(i)];
        if (canBeReadBack(command)) {
            *readable.add_commands() = command;
            remainingReplies.push_back(std::move(to));
        } else {
            refuseCommand(command, to, now);
        }
    }
    *batch = std::move(readable);
    *replies = std::move(remainingReplies);
}

void work_controller::refuseCommand(const messages::work_command &command, const answer_address &to,
                                    time_point now)
{
    metrics.countUnreadable("command");
    if (const auto leftOut = refusalLimit.admit(now)) {
        log_line {"command_refused", log_line::severity::Warning}
            .with("kind", commandName(command))
            .with("from", to.peer)
            .with("left_out", *leftOut);
    }
    if (command.has_start()) {
        handleCommittedCommand(*dispatch, command, true, now); // releases what it has reserved
    }
    if (command.has_accept()) {
        forgetSubmission(dispatch->jobAdmission, command.accept().id());
    }
    answerKind(to, messages::ANSWER_MALFORMED, "a text of the request is not valid UTF-8");
}

/** Skips a committed entry that cannot be parsed. Whether it can depends on its bytes alone, so
   that all controllers skip the same ones, also when they start again.
    @param proposed  what this controller knows of the entry if it has proposed it, else nullptr
*/
void work_controller::skipEntry(const messages::log_entry &entry, const proposed_batch *proposed)
{
    metrics.countUnreadable("entry");
    if (const auto leftOut = skipLimit.admit(flushTime)) {
        log_line {"entry_skipped", log_line::severity::Error}
            .with("index", entry.index())
            .with("term", entry.term())
            .with("bytes", entry.payload().size())
            .with("left_out", *leftOut);
    }
    if (proposed == nullptr) {
        return;
    }
    for (const auto &to : proposed->replies) {
        answerKind(to, messages::ANSWER_NO_LEADER); // nothing was done; it may be sent again
    }
    dispatch.reset(); // it holds reservations for the starts in the entry: start over
}

void work_controller::applyEntry(const messages::log_entry &entry)
{
    if (entry.kind() != messages::COMMANDS) {
        return;
    }
    const activity_scope scope {metrics.activities(), activity::Application};
    const auto proposed = inFlight.extract(entry.index());
    messages::work_batch batch;
    if (!batch.ParseFromString(entry.payload())) {
        const bool isOwnEntry = !proposed.empty() && entry.term() == log.state().term;
        skipEntry(entry, isOwnEntry ? &proposed.mapped() : nullptr);
        return;
    }
    if (!proposed.empty()) {
        metrics.observeCommit(flushTime - proposed.mapped().proposedAt);
    }
    for (int i = 0; i < batch.commands_size(); ++i) {
        const auto &command = batch.commands(i);
        if (dispatch && command.has_crashed()) {
            logCrash(command.crashed());
        }
        if (command.has_configure()) {
            logSuccessors(command.configure());
        }
        const auto outcome = applyCommand(state, command, batch.wall_ms());
        metrics.countCommand(command);
        const bool isOwnEntry = !proposed.empty() && entry.term() == log.state().term;
        handleAppliedCommand(command, outcome,
                             isOwnEntry ? proposed.mapped().replies[static_cast<std::size_t>(i)]
                                        : answer_address {});
    }
}

/** Logs which teams a configuration renames before it is applied, as their jobs move with them. */
void work_controller::logSuccessors(const messages::work_configuration &configuration)
{
    if (configuration.version() <= state.configuration.version()) {
        return;
    }
    for (const auto &[team, successor] : findSuccessors(state.configuration, configuration)) {
        if (findTeam(state.configuration, team) == nullptr) {
            continue; // the name is new
        }
        log_line {"team_succeeded"}
            .with("team", team)
            .with("successor", successor)
            .with("version", configuration.version());
    }
}

/** Logs a crash before it is applied, with what it changes. */
void work_controller::logCrash(const messages::target_crashed_command &crash)
{
    const auto registered = state.targets.find(crash.target());
    if (registered == state.targets.end() || registered->second.hasEnded
        || registered->second.registration.born() != crash.born()) {
        return; // it is recorded already
    }
    for (const auto &run : crash.runs()) {
        const auto name = toTaskName(run.task());
        const auto *task = findTask(state, name);
        if (task == nullptr || task->status == task_status::Done
            || state.jobs.at(name.job).hasEnded()) {
            continue;
        }
        auto accused = *task;
        const bool isConvicted = addSuspicion(accused, run);
        const auto describe = [&](log_line &line) {
            line.with("task", toString(name))
                .with("run", run.run())
                .with("target", crash.target())
                .with("born", crash.born())
                .with("kind", messages::suspicion_kind_Name(run.kind()))
                .with("confirmed", run.was_running())
                .with("crashes", accused.crashes)
                .with("suspicion", accused.suspicion);
        };
        if (isConvicted) {
            log_line line {"job_given_up", log_line::severity::Warning};
            describe(line);
        } else {
            log_line line {"task_suspected", log_line::severity::Warning};
            describe(line);
        }
        metrics.countSuspicion(isConvicted);
    }
}

void work_controller::handleAppliedCommand(const messages::work_command &command,
                                           const command_outcome &outcome, const answer_address &to)
{
    const bool isRefused = outcome.error != error_kind::None;
    if (dispatch) {
        handleCommittedCommand(*dispatch, command, isRefused, flushTime);
    }
    if (const auto evacuation = readEvacuation(command); evacuation && !isRefused) {
        logEvacuation(*evacuation);
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
        if (outcome.error == error_kind::Unauthorized) {
            answerKind(to, messages::ANSWER_UNAUTHORIZED); // its key was withdrawn meanwhile
            break;
        }
        if (isRefused) {
            if (to.exchange != 0) { // else another controller answers, and counts it
                refuseCancelledJob(to, command.accept().id());
            }
            break;
        }
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
    case body::kCancelEarly:
        handleAppliedEarlyCancel(toEarlyCancel(command.cancel_early()), outcome, to);
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

void work_controller::handleAppliedEarlyCancel(const early_cancel &cancel,
                                               const command_outcome &outcome,
                                               const answer_address &to)
{
    const bool isCancelled =
        outcome.error == error_kind::None && state.jobs.contains(cancel.job); // known by now
    log_line {"job_cancelled"}
        .with("job", cancel.job)
        .with("known", isCancelled)
        .with("remembered", isRemembered(state, cancel))
        .with("team", cancel.caller.team)
        .with("queue", cancel.caller.queue.name);
    if (outcome.error == error_kind::Overloaded) {
        refuseEarlyCancel(to);
        return;
    }
    answerKind(to, isCancelled ? messages::ANSWER_OK : messages::ANSWER_NO_JOB);
}

void work_controller::handleOrderAnswer(const target_order &order, const order_answer &answer,
                                        time_point now)
{
    metrics.observeOrder(order.kind, answer.result, now - order.sentAt);
    if (dispatch) {
        filbert::handleOrderAnswer(*dispatch, order, answer, now);
    }
}

void work_controller::tick(time_point now)
{
    log.tick(now);
    router.tick(now);
    if (now >= nextPeerReviewAt) {
        nextPeerReviewAt = now + peerTimeout;
        forgetSilentPeers(now);
    }
    if (isStopping) {
        log.transferLeadership(now);
    }
    if (dispatch && log.isServing(now)) {
        updateMembership(now);
    }
    const auto &view = log.state();
    const bool isMember = findMember(view.membership, view.self) != nullptr;
    const bool hasLeader = !view.leader.empty();
    if ((isMember && hasLeader) || isStopping || now < nextJoinAt) {
        return;
    }
    nextJoinAt = now + settings.joinPeriod;
    messages::work_envelope envelope;
    envelope.set_from(view.self);
    auto *self = envelope.mutable_join()->mutable_self();
    self->set_identity(view.self);
    self->set_name(settings.name);
    self->set_address(settings.address);
    for (const auto &address : hooks.controllerAddresses()) {
        if (address != settings.address) {
            messages::member to;
            to.set_address(address);
            hooks.sendToMember(to, envelope);
        }
    }
}

/** @return the failure domain of a controller, by its hellos; empty if none is known */
std::string work_controller::domainOfController(const std::string &name) const
{
    const auto found = controllerDomains.find(name);
    return found == controllerDomains.end() ? std::string {} : found->second;
}

int work_controller::countVoters() const
{
    const auto &members = log.state().membership.members();
    return static_cast<int>(std::count_if(members.begin(), members.end(),
                                          [](const auto &member) { return !member.learner(); }));
}

void work_controller::updateMembership(time_point now)
{
    membership_view view;
    view.membership = &log.state().membership;
    view.self = log.state().self;
    view.leadingSince = leadingSince;
    for (const auto &[identity, join] : pendingJoins) {
        view.pendingJoins.push_back(join);
    }
    for (const auto &member : view.membership->members()) {
        view.lastContactAt[member.identity()] = log.lastContactWith(member.identity());
    }
    for (const auto &member : view.membership->members()) {
        view.failureDomains[member.identity()] = domainOfController(member.name());
    }
    for (const auto &[identity, join] : pendingJoins) {
        view.failureDomains[identity] = domainOfController(join.member.name());
    }
    log.setPromotionOrder(promotionOrder(view, settings.membership, now));
    const auto change = nextMembershipChange(view, settings.membership, now);
    if (!change) {
        return;
    }
    if (log.proposeMembershipChange(change->add, change->member, now)) {
        return; // another change is in progress; the next call decides again
    }
    pendingJoins.erase(change->member.identity());
    log_line {"membership_change"}
        .with("add", change->add)
        .with("identity", change->member.identity())
        .with("address", change->member.address())
        .with("members", log.state().membership.members_size())
        .with("reason", change->reason);
}

void work_controller::rejectPendingRequests()
{
    for (const auto &command : std::exchange(pending, {})) {
        answerKind(command.replyTo, messages::ANSWER_NO_LEADER);
    }
    for (const auto &[index, batch] : std::exchange(inFlight, {})) {
        for (const auto &to : batch.replies) {
            answerKind(to, messages::ANSWER_NO_LEADER);
        }
    }
}

void work_controller::updateLeadership(time_point now, std::int64_t wallMs)
{
    const auto &view = log.state();
    if (dispatch && (view.role != replica_role::Leader || dispatch->term != view.term)) {
        log_line {"leading_ended"}
            .with("term", dispatch->term)
            .with("discarded_orders", dispatch->effects.orders.size());
        dispatch.reset();
        areOrdersHeld = false;
    }
    if (view.role != replica_role::Leader) {
        log.setPromotionOrder({}); // until this controller leads and knows which others work
        rejectPendingRequests();
        return;
    }
    if (!dispatch && log.hasAppliedAll() && !isStopping && hasLease(view, now)) {
        rejectPendingRequests();
        router.startTerm(now);
        dispatch = startDispatch(state, settings.dispatch, view.term, now, wallMs);
        shedding = {};
        forgetSilentPeers(now);
        for (const auto &[name, peer] : peers) {
            if (peer.canCallPolicy) {
                registerCaller(*dispatch, name, peer.process, peer.lastHelloAt);
            }
        }
        leadingSince = now;
        announceLeadership(now);
        metrics.countTermLed();
        log_line {"leading"}
            .with("term", view.term)
            .with("applied", view.appliedIndex)
            .with("jobs", state.jobs.size())
            .with("targets", state.targets.size())
            .with("configuration", state.configuration.version());
    }
}

void work_controller::sendEffects(time_point now)
{
    if (!dispatch) {
        return;
    }
    if (!log.isServing(now)) {
        // The lease has expired, so another controller may lead by now. The orders wait: if the
        // lease is renewed in this term, no other has led; if the term ends, they are discarded.
        if (!std::exchange(areOrdersHeld, true)) {
            log_line {"orders_held", log_line::severity::Warning}
                .with("term", dispatch->term)
                .with("orders", dispatch->effects.orders.size());
        }
        return;
    }
    const bool wereOrdersHeld = std::exchange(areOrdersHeld, false);
    for (auto &order : std::exchange(dispatch->effects.orders, {})) {
        if (!mayStillSend(*dispatch, order, now)) {
            continue;
        }
        if (wereOrdersHeld) {
            delayOrder(*dispatch, order, now);
        }
        const auto target = state.targets.find(order.target);
        const auto failureDomain = target == state.targets.end()
            ? std::string {}
            : target->second.registration.failure_domain();
        router.send(order, dispatch->targets.size(), failureDomain, now);
    }
    router.flush(now);
    for (const auto &call : std::exchange(dispatch->effects.admissions, {})) {
        messages::work_envelope envelope;
        envelope.set_from(settings.name);
        *envelope.mutable_admission() = call.request;
        hooks.sendToPeer(call.caller, envelope);
    }
}

std::error_code work_controller::flush(time_point now, std::int64_t wallMs)
{
    auto &activities = metrics.activities();
    const activity_scope scope {activities, activity::Replication};
    flushTime = now;
    // Heartbeats are sent on time even when a turn takes long.
    log.tick(now);
    log.sendReadyMessages();
    updateLeadership(now, wallMs);
    // A leader places what has been committed since the last turn in this one. Another's entries
    // are not applied here: that this controller's own proposals were replaced is noticed first.
    if (dispatch) {
        if (const auto error = log.applyReadyEntries(now)) {
            return error;
        }
    }
    if (dispatch && log.isServing(now)) {
        recordTurn(shedding, now);
        {
            const activity_scope tracking {activities, activity::Tracking};
            tickTracking(*dispatch, now, wallMs);
        }
        const activity_scope placement {activities, activity::Placement};
        tickPlacement(*dispatch, now);
        reportWaits(now);
    }
    proposePending(now, wallMs);
    if (const auto error = log.flush(now)) {
        return error;
    }
    updateLeadership(now, wallMs);
    const activity_scope orders {activities, activity::Orders};
    sendEffects(monotonicNow());
    return {};
}

void work_controller::prepareToStop(time_point now)
{
    isStopping = true;
    log.transferLeadership(now);
}

void work_controller::setDispatchSettings(const dispatch_settings &changed)
{
    settings.dispatch = changed;
    if (dispatch) {
        dispatch->settings = changed;
    }
}

} // namespace filbert

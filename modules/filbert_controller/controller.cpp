#include "controller.h"

#include "commit_effects.h"
#include "leadership.h"
#include "operations.h"
#include "target_leases.h"
#include "work_requests.h"

#include <utility>

namespace filbert {

namespace {

constexpr std::size_t maxCommandsPerEntry = 2'000;
constexpr std::size_t expectedRecordBytes = 256;

bool needsLeader(const messages::envelope &envelope)
{
    return envelope.body_case() != messages::envelope::kReplication;
}

} // namespace

controller::controller(const controller_settings &settings, const replication_settings &replication,
                       const stored_state &stored, std::uint64_t seed, log_store &store,
                       controller_outbox &outbox, time_point now)
    : store {store}
    , outbox {outbox}
{
    state.settings = settings;
    state.log = makeReplicatedLog(stored, replication, seed, now);
    if (stored.snapshot.index() > 0) {
        FILBERT_INVARIANT(!restoreCell(stored.snapshotData, &state.cell),
                          "a stored snapshot can be parsed");
    }
}

void controller::handleMessage(const std::string &peer, const messages::envelope &envelope,
                               time_point now)
{
    if (!needsLeader(envelope)) {
        handleReplicationMessage(state.log, envelope.replication(), now, &state.effects);
        return;
    }
    const reply_address from {peer, envelope.exchange()};
    if (!state.isLeading || state.isStopping || !hasLease(state.log, now)) {
        redirectToLeader(state, from);
        return;
    }
    handleRequest(from, envelope, now);
}

void controller::reportUnreadableMessage(const std::string &peer, std::size_t bytes, time_point now)
{
    ++state.unreadable.messages;
    if (const auto leftOut = state.unreadable.messageLimit.admit(now)) {
        log_line {"message_unreadable", log_line::severity::Warning}
            .with("peer", peer)
            .with("bytes", bytes)
            .with("left_out", *leftOut);
    }
}

void controller::handleRequest(const reply_address &from, const messages::envelope &envelope,
                               time_point now)
{
    using body = messages::envelope::BodyCase;
    const bool addsWork = envelope.body_case() == body::kDispatch
        || envelope.body_case() == body::kSubmit || envelope.body_case() == body::kApply;
    if (addsWork && state.isDiskFull) {
        refuse(state, from, error_kind::DiskFull, "");
        return;
    }
    switch (envelope.body_case()) {
    case body::kHello:
        handleHello(state, from, envelope.hello(), now);
        break;
    case body::kDispatch:
        handleDispatch(state, from, envelope.dispatch(), now);
        break;
    case body::kEnd:
        handleEnd(state, from, envelope.end(), now);
        break;
    case body::kAnnounce:
        handleAnnouncement(state, from, envelope.announce());
        break;
    case body::kHeartbeat:
        handleHeartbeat(state, from, envelope.heartbeat(), now);
        break;
    case body::kSubmit:
        handleSubmission(state, from, envelope.submit());
        break;
    case body::kChange:
        handleJobChange(state, from, envelope.change());
        break;
    case body::kQuery:
        handleJobQuery(state, from, envelope.query(), now);
        break;
    case body::kApply:
        handleApply(state, from, envelope.apply());
        break;
    case body::kStatus:
        handleStatusRequest(state, from, envelope.status(), now);
        break;
    case body::kMember:
        handleMemberChange(state, from, envelope.member(), now);
        break;
    default:
        refuse(state, from, error_kind::Malformed,
               "controllers do not handle messages of this kind");
    }
}

void controller::tick(time_point now)
{
    tickLog(state.log, now, &state.effects);
    if (state.isStopping) {
        redirectWaitingRequests(state);
    }
    if (state.isStopping && isIdle() && !state.log.transferDeadline) {
        startLeadershipTransfer(state.log, now, &state.effects);
    }
    if (state.isLeading && hasLease(state.log, now)) {
        expireTargets(state, now);
        endExpiredQuarantines(state.scheduler, now);
    }
}

void controller::updateLeadership(time_point now)
{
    if (state.isLeading && state.log.role != replica_role::Leader) {
        stopLeading(state);
    }
    // Every entry of the log must be applied first, or the leader's state would lack placements
    // that are proposed but not committed yet.
    const bool hasAppliedAll = isReadyLeader(state.log)
        && state.log.appliedIndex == lastIndex(state.log) && state.effects.entriesToApply.empty()
        && !state.effects.mustInstall;
    if (!state.isLeading && hasAppliedAll && !state.isStopping) {
        startLeading(state, now);
    }
}

void controller::removeUnreadableCommands(messages::command_batch *batch,
                                          std::vector<reply_address> *replies, time_point now)
{
    messages::command_batch readable;
    readable.set_wall_ms(batch->wall_ms());
    std::vector<reply_address> remainingReplies;
    for (int i = 0; i < batch->commands_size(); ++i) {
        const auto &command = batch->commands(i);
        const auto &to = (*replies)[static_cast<std::size_t>(i)];
        if (canBeReadBack(command)) {
            *readable.add_commands() = command;
            remainingReplies.push_back(to);
        } else {
            refuseCommand(state, command, to, now);
        }
    }
    *batch = std::move(readable);
    *replies = std::move(remainingReplies);
}

void controller::proposePending(time_point now, std::int64_t wallMs)
{
    if (!state.isLeading) {
        return;
    }
    if (hasLease(state.log, now) && !state.isStopping) {
        runScheduler(state, now);
    }
    std::size_t proposed = 0;
    while (proposed < state.pending.size()) {
        messages::command_batch batch;
        batch.set_wall_ms(wallMs);
        std::vector<reply_address> replies;
        for (; proposed < state.pending.size() && replies.size() < maxCommandsPerEntry;
             ++proposed) {
            *batch.add_commands() = std::move(state.pending[proposed].command);
            replies.push_back(state.pending[proposed].replyTo);
        }
        auto payload = batch.SerializeAsString();
        // A committed entry that no controller can parse would be skipped by all of them, with all
        // the commands in it.
        if (!messages::command_batch {}.ParseFromString(payload)) {
            removeUnreadableCommands(&batch, &replies, now);
            if (batch.commands().empty()) {
                continue;
            }
            payload = batch.SerializeAsString();
        }
        if (propose(state.log, {std::move(payload)}, now, &state.effects)) {
            // The batch was neither queued nor sent, but the scheduler holds reservations for it:
            // start over.
            for (const auto &to : replies) {
                redirectToLeader(state, to);
            }
            stopLeading(state);
            return;
        }
        state.inFlight[lastIndex(state.log)] = std::move(replies);
    }
    state.pending.clear();
}

void controller::sendAll(std::vector<messages::replication_message> *messages)
{
    for (const auto &message : std::exchange(*messages, {})) {
        outbox.sendToMember(recipientOf(state.log, message), message);
    }
}

void controller::installSnapshot()
{
    state.effects.mustInstall = false;
    FILBERT_INVARIANT(!restoreCell(*state.log.snapshotData, &state.cell),
                      "a received snapshot can be parsed");
    log_line {"snapshot_installed"}.with("index", state.log.snapshot.index());
}

void controller::applyCommitted(time_point now)
{
    for (const auto &entry : std::exchange(state.effects.entriesToApply, {})) {
        applyEntry(state, entry, now);
        state.log.digestIndex = entry.index();
        state.log.digest = state.cell.digest;
    }
}

std::error_code controller::startSnapshot()
{
    snapshot.emplace();
    snapshot->index = state.log.appliedIndex;
    const auto records = state.cell.placements.size() + state.cell.jobs.size()
        + state.cell.idempotencyRecords.size();
    // Growth would copy all of it in one turn.
    snapshot->data.reserve(records * expectedRecordBytes);
    if (const auto error = store.startSnapshot(snapshotHeaderAt(state.log, snapshot->index))) {
        return error;
    }
    snapshot->data += filbert::startSnapshot(state.cell);
    return store.addSnapshotChunk(snapshot->data);
}

std::error_code controller::continueSnapshot()
{
    std::string chunk;
    const bool isLast = readSnapshotChunk(state.cell, state.settings.snapshotChunkRecords, &chunk);
    snapshot->data += chunk;
    if (const auto error = store.addSnapshotChunk(chunk)) {
        return error;
    }
    if (!isLast) {
        return {};
    }
    if (const auto error = store.finishSnapshot()) {
        return error;
    }
    log_line {"snapshot_taken"}.with("index", snapshot->index).with("bytes", snapshot->data.size());
    compactLog(state.log, snapshot->index, std::move(snapshot->data));
    snapshot.reset();
    return {};
}

std::error_code controller::compact(time_point now)
{
    const auto entriesSince = state.log.appliedIndex - state.log.snapshot.index();
    const bool isDue = entriesSince > 0 && now >= earliestSnapshotAt
        && (entriesSince >= state.settings.snapshotEntries
            || store.logBytes() >= state.settings.snapshotBytes);
    if (!snapshot && !isDue) {
        return {};
    }
    const auto error = snapshot ? continueSnapshot() : startSnapshot();
    if (error == error_kind::DiskFull) {
        snapshot.reset();
        earliestSnapshotAt = now + state.settings.snapshotRetryDelay;
        return {};
    }
    return error;
}

std::error_code controller::flush(time_point now, std::int64_t wallMs)
{
    updateLeadership(now);
    proposePending(now, wallMs);
    auto &effects = state.effects;
    while (effects.mustPersist || effects.mustInstall || !effects.messagesBeforeSync.empty()
           || !effects.messagesAfterSync.empty() || !effects.entriesToApply.empty()) {
        sendAll(&effects.messagesBeforeSync);
        if (effects.mustInstall) {
            snapshot.reset(); // the state that it is read from is replaced
        }
        const auto error = persistEffects(state.log, store, now, &effects);
        if (error == error_kind::DiskFull) {
            // Nothing was written, so nothing may be sent. The entries are written again later.
            if (!std::exchange(state.isDiskFull, true)) {
                log_line {"disk_full", log_line::severity::Error}.with("role",
                                                                       roleName(state.log.role));
            }
            effects.messagesAfterSync.clear();
            break;
        }
        if (error) {
            return error;
        }
        state.isDiskFull = false;
        sendAll(&effects.messagesAfterSync);
        if (effects.mustInstall) {
            installSnapshot();
        }
        applyCommitted(now);
    }
    updateLeadership(now);
    for (const auto &message : std::exchange(state.outbox, {})) {
        outbox.sendToGateway(message.gateway, message.envelope);
    }
    return compact(now);
}

bool controller::isIdle() const
{
    return state.log.role == replica_role::Leader && state.pending.empty() && state.inFlight.empty()
        && state.log.appliedIndex == lastIndex(state.log);
}

} // namespace filbert

#include "log_member.h"

#include "log_access.h"
#include "log_effects.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace filbert {

log_member::log_member(const replication_settings &settings, const snapshot_settings &snapshots,
                       const stored_state &stored, std::uint64_t seed, log_store &store,
                       log_member_hooks hooks, time_point now)
    : log {makeReplicatedLog(stored, settings, seed, now)}
    , snapshots {snapshots}
    , store {store}
    , hooks {std::move(hooks)}
{
    if (stored.snapshot.index() > 0) {
        this->hooks.restore(stored.snapshotData);
    }
}

void log_member::handleMessage(const messages::replication_message &message, time_point now)
{
    lastContactAt[message.from()] = now;
    handleReplicationMessage(log, message, now, &effects);
}

void log_member::tick(time_point now)
{
    const auto roleBefore = log.role;
    tickLog(log, now, &effects);
    if (roleBefore == replica_role::Leader && log.role != replica_role::Leader) {
        log_line {"leadership_lost"}
            .with("term", log.term)
            .with("cause", "no answer from a quorum");
    }
}

std::error_code log_member::propose(std::string payload, time_point now, std::uint64_t *index)
{
    const auto error = filbert::propose(log, {std::move(payload)}, now, &effects);
    *index = error ? 0 : lastIndex(log);
    return error;
}

std::error_code log_member::proposeMembershipChange(bool add, const messages::member &member,
                                                    time_point now)
{
    return changeMembership(log, add, member, now, &effects);
}

void log_member::transferLeadership(time_point now)
{
    if (log.role == replica_role::Leader && !log.transferDeadline) {
        startLeadershipTransfer(log, now, &effects);
    }
}

void log_member::sendMessages(std::vector<messages::replication_message> *messages)
{
    for (const auto &message : std::exchange(*messages, {})) {
        hooks.send(recipientOf(log, message), message);
    }
}

std::error_code log_member::compact(time_point now)
{
    const auto entriesSinceSnapshot = log.appliedIndex - log.snapshot.index();
    const bool isDue = entriesSinceSnapshot > 0 && !syncing && now >= nextSnapshotAttempt
        && effects.entriesToApply.empty()
        && (entriesSinceSnapshot >= snapshots.entries || store.logBytes() >= snapshots.bytes);
    if (!isDue) {
        return {};
    }
    auto data = hooks.makeSnapshot();
    const auto error = store.saveSnapshot(snapshotHeaderAt(log, log.appliedIndex), data);
    if (error == error_kind::DiskFull) {
        nextSnapshotAttempt = now + snapshots.retryDelay;
        log_line {"snapshot_failed", log_line::severity::Warning}.with("error", error.message());
        return {};
    }
    if (error) {
        return error;
    }
    log_line {"snapshot_taken"}.with("index", log.appliedIndex).with("bytes", data.size());
    compactLog(log, log.appliedIndex, std::move(data));
    return {};
}

std::size_t log_member::applyCommitted(std::size_t maxEntries)
{
    const auto count = std::min(maxEntries, effects.entriesToApply.size());
    const auto end = effects.entriesToApply.begin() + static_cast<std::ptrdiff_t>(count);
    const std::vector<messages::log_entry> entries {
        std::make_move_iterator(effects.entriesToApply.begin()), std::make_move_iterator(end)};
    effects.entriesToApply.erase(effects.entriesToApply.begin(), end);
    for (const auto &entry : entries) {
        hooks.apply(entry);
    }
    return count;
}

bool log_member::hasWork(std::size_t remainingEntries) const
{
    const bool canPersist = !syncing
        && (effects.mustPersist || effects.mustInstall || !effects.messagesAfterSync.empty());
    const bool canApply =
        remainingEntries > 0 && !effects.entriesToApply.empty() && !effects.mustInstall;
    return canPersist || canApply || !effects.messagesBeforeSync.empty();
}

/** Makes the effects durable, or starts to: then there is a pending sync afterwards. */
std::error_code log_member::persist(time_point now)
{
    if (!store.syncsInBackground() || effects.mustInstall || !effects.mustPersist) {
        return persistEffects(log, store, now, &effects);
    }
    if (const auto error = store.startAppend(log.term, log.votedFor, effects.entriesToPersist)) {
        return error;
    }
    effects.mustPersist = false;
    effects.entriesToPersist.clear();
    const auto index = lastIndex(log);
    syncing = {index, termAt(log, index).value_or(0), std::exchange(effects.messagesAfterSync, {})};
    return {};
}

std::error_code log_member::finishSync(time_point now)
{
    const auto result = store.takeSyncResult();
    if (!result) {
        return {};
    }
    if (*result) {
        return *result;
    }
    auto finished = std::move(*std::exchange(syncing, std::nullopt));
    // If the entry is still there, so are all before it. Otherwise a new leader has replaced some,
    // and the next write makes the log durable as it is now.
    if (termAt(log, finished.lastIndex) == finished.lastTerm) {
        handlePersisted(log, finished.lastIndex, now, &effects);
    }
    sendMessages(&finished.messages);
    return {};
}

std::error_code log_member::applyReadyEntries(time_point now)
{
    if (syncing) {
        if (const auto error = finishSync(now)) {
            return error;
        }
    }
    if (!effects.mustInstall) {
        applyCommitted(maxEntriesPerFlush);
    }
    return {};
}

std::error_code log_member::flush(time_point now)
{
    if (syncing) {
        if (const auto error = finishSync(now)) {
            return error;
        }
    }
    std::size_t remainingEntries = maxEntriesPerFlush;
    while (hasWork(remainingEntries)) {
        sendMessages(&effects.messagesBeforeSync);
        if (!syncing) {
            const auto error = persist(now);
            if (error == error_kind::DiskFull) {
                // Nothing was written, so the messages that depend on it must not be sent. The
                // write is repeated at the next flush.
                if (!std::exchange(hasFullDisk, true)) {
                    log_line {"disk_full", log_line::severity::Error}.with("role",
                                                                           roleName(log.role));
                }
                effects.messagesAfterSync.clear();
                break;
            }
            if (error) {
                return error;
            }
            hasFullDisk = false;
        }
        if (!syncing) {
            sendMessages(&effects.messagesAfterSync);
            if (std::exchange(effects.mustInstall, false)) {
                hooks.restore(*log.snapshotData);
                log_line {"snapshot_installed"}.with("index", log.snapshot.index());
            }
        }
        if (!effects.mustInstall) {
            remainingEntries -= applyCommitted(remainingEntries);
        }
    }
    return compact(now);
}

bool log_member::isServing(time_point now) const
{
    return isReadyLeader(log) && hasLease(log, now) && !log.transferDeadline;
}

bool log_member::hasAppliedAll() const
{
    return isReadyLeader(log) && log.appliedIndex == lastIndex(log)
        && effects.entriesToApply.empty() && !effects.mustInstall;
}

time_point log_member::lastContactWith(const std::string &identity) const
{
    const auto found = lastContactAt.find(identity);
    return found == lastContactAt.end() ? time_point {} : found->second;
}

} // namespace filbert

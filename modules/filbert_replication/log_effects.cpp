#include "log_effects.h"

namespace filbert {

std::error_code persistEffects(replicated_log_state &log, log_store &store, time_point now,
                               replication_effects *effects)
{
    if (effects->mustInstall) {
        if (effects->mustTruncateTail) {
            if (const auto error = store.truncateAfter(log.snapshot.index())) {
                return error;
            }
        }
        if (const auto error = store.saveSnapshot(log.snapshot, *log.snapshotData)) {
            return error;
        }
        effects->mustTruncateTail = false;
    }
    if (!effects->mustPersist) {
        return {};
    }
    if (const auto error = store.append(log.term, log.votedFor, effects->entriesToPersist)) {
        return error;
    }
    effects->mustPersist = false;
    effects->entriesToPersist.clear();
    handlePersisted(log, lastIndex(log), now, effects);
    return {};
}

messages::member recipientOf(const replicated_log_state &log,
                             const messages::replication_message &message)
{
    if (const auto *member = findMember(log.membership, message.to())) {
        return *member;
    }
    messages::member unknown;
    unknown.set_identity(message.to());
    return unknown;
}

} // namespace filbert

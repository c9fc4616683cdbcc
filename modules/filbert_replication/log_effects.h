#pragma once

#include "filbert_storage/filbert_storage.h"
#include "replicated_log.h"

namespace filbert {

/** Writes what the effects require to the disk, with one sync, and then calls handlePersisted().

    What was written is removed from the effects. effects.mustInstall stays set: the caller has to
    replace its state by the snapshot.

    @return DiskFull if there was no room, in which case what was not written stays in the effects;
            StorageFailed if the process must stop
*/
std::error_code persistEffects(replicated_log_state &log, log_store &store, time_point now,
                               replication_effects *effects);

/** @return the member that a message is for; only its identity is set if this member's log does not
    hold the membership that contains it yet */
messages::member recipientOf(const replicated_log_state &log,
                             const messages::replication_message &message);

} // namespace filbert

#pragma once

#include "filbert_storage/filbert_storage.h"
#include "replicated_log.h"

namespace filbert {

/** Writes what a step of the log wants on the disk, with one sync, and tells the log that it is
    there. What was written is taken off the effects; effects.mustInstall stays for the caller,
   whose state the snapshot replaces.

    @return DiskFull if nothing was written, StorageFailed if the process must stop
*/
std::error_code persistEffects(replicated_log_state &log, log_store &store, time_point now,
                               replication_effects *effects);

/** @return whom a message goes to; with an identity alone where the membership that names it is not
    known here yet */
messages::member addresseeOf(const replicated_log_state &log,
                             const messages::replication_message &message);

} // namespace filbert

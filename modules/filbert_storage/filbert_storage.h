#pragma once

/** @file
    Durable storage of one member of the replicated log, in the files of its data folder.

    A data folder holds the identity of the member, a log that is split into segment files, and
    snapshots of the replicated state. A frame is the unit that is written and synced at once, with
    a checksum. Written data counts as stored only after it is synced. At start the store
    distinguishes a torn frame, which a crash during the last write leaves at the end of the log
    and which is cut off, from damage to synced data, with which a process must not start.

    - file_system.h: the file operations that storage needs, as an interface, and the real files.
    - sync_thread.h: syncs in the background, so that an event loop goes on meanwhile.
    - log_store.h: term, vote, log entries and snapshots in these files.

    Depends on: filbert_core, filbert_messages, xxHash.
*/

#include "file_system.h"
#include "log_store.h"
#include "sync_thread.h"

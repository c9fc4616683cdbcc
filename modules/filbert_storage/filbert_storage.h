#pragma once

/** @file
    Files of one data folder: identity, segmented log, snapshots. Everything is synced before it
    counts; damage is told from a torn end.

    Depends on: filbert_core, filbert_messages, xxHash.
*/

#include "file_system.h"
#include "log_store.h"

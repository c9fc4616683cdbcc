#pragma once

/** @file
    The replicated log: elections, replication, snapshots, membership, leases, as pure steps.

    Depends on: filbert_core, filbert_messages, filbert_storage (types only).
*/

#include "formation.h"
#include "log_effects.h"
#include "log_member.h"
#include "replicated_log.h"

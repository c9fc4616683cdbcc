#pragma once

/** @file
    The controller's role: it carries the replicated state, and as the leader decides every
    placement. Messages and time come in, messages and synced writes go out.

    Depends on: filbert_cell, filbert_policy, filbert_replication, filbert_storage.
*/

#include "controller.h"

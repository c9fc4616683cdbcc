#pragma once

/** @file
    The replicated state of a cell and the commands that change it: configuration with its audit
    trail, targets, placements, jobs, idempotency records. Every promise about them is checked
    where a command is applied.

    Depends on: filbert_core, filbert_messages, filbert_configuration, xxHash.
*/

#include "cell_state.h"

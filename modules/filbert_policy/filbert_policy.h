#pragma once

/** @file
    The decisions: what starts next and where. Pure state and free functions.

    Depends on: filbert_core, filbert_messages (resources only).
*/

#include "resource_amounts.h"
#include "scheduler.h"
#include "target_index.h"

#pragma once

/** @file
    The leader's decisions on staged jobs: which task starts next, where, and what is believed of
    each target. Pure steps over plain structs; what must happen comes out as commands of the log,
    orders to targets and requests to the policy service.

    Depends on: filbert_core, filbert_work.
*/

#include "admission_desk.h"
#include "dispatch_state.h"
#include "interference.h"
#include "scheduling.h"
#include "target_conversation.h"

#pragma once

/** @file
    Staged jobs as replicated state: what was accepted, what runs where, what has ended.

    A job has steps, a step has tasks, a task has runs one after the other. Each change is a command
    of the replicated log; applying it is deterministic and refuses whatever would break a promise:
    two runs of one task, a start before its order, a start of what nobody asked for.
    Depends on: filbert_core, filbert_messages, filbert_policy (amounts of resources).
*/

#include "queue_lookup.h"
#include "task_name.h"
#include "work_commands.h"
#include "work_snapshot.h"
#include "work_state.h"

#pragma once

/** @file
    The replicated state of staged jobs: which jobs were accepted, which tasks run on which targets,
    and what has ended.

    - A job consists of steps, and a step of identical tasks. A step may depend on earlier steps of
      the job. A job may repeat; each repetition is an occurrence.
    - A run is one execution of a task on a target. A task has at most one run at a time; the next
      one has a higher number and continues from the newest known checkpoint.
    - An incarnation is one lifetime of a target's process. A target that is restarted keeps its id
      and reports a higher incarnation number.
    - The tasks of a gang run together: one success completes the step, and runs that fail together
      count as one failure.
    - A best-effort step reserves no cores; its tasks use the cores that others leave idle.
    - The tasks of a long-running step are started again whenever they end, until the job is
      cancelled.

    The messages use older names for some of these: `born` is the number of an incarnation,
    `fills_gaps` marks a best-effort step and `lasts` a long-running one, and a `drop` command
    abandons a run, so that its task waits again.

    - A cancel is early if the job was not known. A submission of it that arrives later is refused.

    Every change is a command of the replicated log. Applying a command is deterministic, so that
    all controllers hold the same state at the same index of the log. A command that would violate a
    guarantee is refused: a second run of a task that is running or complete, a start before the
    steps that the task depends on have completed, or a start of a task of no accepted job.

    Depends on: filbert_core, filbert_messages, filbert_policy (resource amounts).
*/

#include "early_cancels.h"
#include "evacuation.h"
#include "queue_lookup.h"
#include "target_checks.h"
#include "task_name.h"
#include "team_succession.h"
#include "value_limits.h"
#include "work_commands.h"
#include "work_snapshot.h"
#include "work_state.h"

#pragma once

/** @file
    Scheduling of staged jobs by the controller that leads.

    A job has steps, and a step has tasks. This module decides which waiting task starts next and on
    which target, follows each run of a task until it has ended, and stops and restarts runs where
    that is needed.

    All of it is plain structs and functions without input or output: each function takes the
    dispatch_state and the current time, and leaves what has to be done in dispatch_state::effects
   as commands for the replicated log, orders for targets and requests for the policy service. The
    caller carries these out and reports the outcome back.

    Terms:
    - target: a back end that runs tasks. Each start of its process is a new incarnation.
    - run: one attempt to execute a task, numbered per task.
    - order: one call of a target: to start or stop a run, to set its work rate, or a poll.
    - poll: an order that asks what a target runs and which runs have ended there. It renews the
      target's lease, and it is a long poll: the target may hold it until a run ends.
    - lease: until it expires a target may run its tasks without contact with a leader. Once it has
      surely expired, the runs of a silent target may start elsewhere.
    - quarantine: a period in which a target that keeps failing gets no new work.
    - ticket: the permission of the policy service to start tasks of a step on a target; admission
   is the request for it.
    - gang: a step whose tasks start together or not at all.
    - placement pass: one walk through all waiting tasks that reserves starts on targets.

    Depends on: filbert_core, filbert_work.
*/

#include "admission_desk.h"
#include "dispatch_state.h"
#include "interference.h"
#include "scheduling.h"
#include "target_conversation.h"

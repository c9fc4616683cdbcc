#pragma once

/** @file
    The replicated state of a cell, and the commands that change it.

    A cell is one installation with its controllers, gateways and targets. Every controller applies
    the same commands of the replicated log in the same order, and so keeps the same state: the
    configuration with its audit trail, targets, placements, jobs and idempotency records. Limits
    and invariants are checked where a command is applied, whatever the leader checked before it
    proposed the command.

    Terms:
    - Command: an entry of the replicated log that changes the state.
    - Target: a registered back end that runs tasks. Its epoch rises with each restart.
    - Placement: one start of a task on one target, from its commit to its end.
    - Job: one or more tasks that a team submitted to a queue. Each task keeps its own state.
    - Idempotency record: maps a caller's idempotency key to its placement or job, and later to the
      stored answer, so that a repeated request does not run twice.
    - Delta: what one version of the configuration changed against the version before.
    - Audit trail: who changed the configuration or what operators did, and the rejected changes.
    - Snapshot: the whole state at one index of the log. It is read in chunks while further commands
      are applied.

    Depends on: filbert_core, filbert_messages, filbert_configuration, filbert_policy (resource
    amounts only), xxHash.
*/

#include "cell_state.h"

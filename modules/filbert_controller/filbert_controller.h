#pragma once

/** @file
    The controller of a cell, without its sockets and clock: messages and time come in, messages
    and synced writes come out.

    - A cell has several controllers. They replicate one log of commands, and each applies it to its
      copy of the cell's state. The leader decides on all changes; followers redirect requests.
    - Gateways connect to the leader on behalf of clients, of operators and of targets, the back
      ends that run tasks. A gateway serves while it holds a configuration lease.
    - The leader gives each task a placement, the right to run on one target, and renews each
      target's lease with its heartbeats. A target whose lease expires is removed.
    - A gang is a job whose tasks start together; an idempotent one runs all of its tasks or none.

    Depends on: filbert_cell, filbert_policy, filbert_replication, filbert_storage.
*/

#include "controller.h"

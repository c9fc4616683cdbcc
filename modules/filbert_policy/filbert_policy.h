#pragma once

/** @file
    The placement policy: it decides which waiting work starts next, and on which target.

    The scheduler keeps all teams, targets, waiting work and running tasks in memory, as plain data
    that free functions change. It reads no clock and sends nothing: the caller passes the time,
    and carries out what schedule() decides. Only the leading controller runs it.

    Terms:
    - Target: a back end that runs tasks. It has a capacity, lies in one failure domain, and offers
      one or more services.
    - Service pool: all targets that offer one service.
    - Work item: an urgent request, which is a single task, or a job with the tasks that wait. Its
      work id identifies it.
    - Work class: Urgent (a caller waits for the answer), Batch (each task starts by itself) or
      Gang (all tasks start at once or none does).
    - Team: a customer, with a weight for fair sharing and an upper limit on what it uses at once.
    - Placement: one start of one task on one target.
    - Reservation: capacity that is kept free for a gang that has waited too long, either on some
      targets or in a whole service pool.
    - Quarantine: a period in which a target gets no work, after several failures in a row.
      Afterwards it is probed with one task at a time until a task succeeds.

    Depends on: filbert_core, filbert_messages (resources only).
*/

#include "resource_amounts.h"
#include "scheduler.h"
#include "target_index.h"

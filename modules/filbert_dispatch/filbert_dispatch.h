#pragma once

/** @file
    Scheduling of staged jobs by the controller that leads.

    A job has steps, and a step has tasks. This module decides which waiting task starts next and on
    which target, follows each run of a task until it has ended, and stops and restarts runs where
    that is needed.

    All of it is plain structs and functions without input or output, except for log lines. Each
    function takes the dispatch_state and the current time. What has to be done it leaves in
    dispatch_state::effects: commands for the replicated log, orders for targets and requests for
    the policy service. The caller carries these out and reports the outcome back.

    Terms:
    - target: a back end that runs tasks. Each start of its process is a new incarnation.
    - occurrence: one execution of a job; a job may be repeated.
    - run: one attempt to execute a task, numbered per task.
    - order: one call of a target: to start or stop a run, to set its work rate, or a poll.
    - poll: an order that asks what a target runs and which runs have ended there. It renews the
      target's lease, and it is a long poll: the target may hold it until a run ends.
    - lease: until it expires a target may run its tasks without contact with a leader. Once it has
      certainly expired, the tasks of a silent target may start elsewhere.
    - quarantine: a period in which a target that keeps failing gets no new work.
    - ticket: the permission of the policy service to start tasks of a step on a target.
    - admission: the request to the policy service for tickets.
    - gang: a step whose tasks start together or not at all.
    - latency-sensitive step: one with a latency target.
    - best-effort step: one that reserves no cores and uses those that other steps leave idle.
    - share: the number of jobs per second that a team is owed when capacity is short: its weight.
    - slack: how much later a step could start and its job still end within its objective.
    - placement pass: one iteration over all waiting tasks that reserves starts on targets.

    Depends on: filbert_core, filbert_work.
*/

#include "admission_requests.h"
#include "cold_reports.h"
#include "cold_targets.h"
#include "dispatch_state.h"
#include "interference.h"
#include "job_acceptance.h"
#include "job_admission.h"
#include "load_shedding.h"
#include "pending_jobs.h"
#include "report_checks.h"
#include "scheduling.h"
#include "speed_tracking.h"
#include "start_checks.h"
#include "target_orders.h"
#include "target_speeds.h"
#include "target_tracking.h"
#include "team_shares.h"

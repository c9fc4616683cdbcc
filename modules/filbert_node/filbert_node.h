#pragma once

/** @file
    The processes of a cell that runs staged jobs, without their sockets and files: messages and
    time come in, and messages and orders go out through hooks.

    - A controller (work_controller) replicates the state of all jobs. One controller of a cell, the
      leader, schedules the jobs and sends orders to targets, the back ends that run tasks.
    - Every other process reaches the current leader through a leader_client. It announces itself to
      all controllers by periodic hellos, which a controller answers with a welcome that names the
      leader and the members.
    - With many targets, the leader spreads its orders over relays: processes that pass orders on to
      targets near them and return the answers. An order_router picks the relay for each target.
    - work_metrics and entry_metrics hold what a controller and an entry host (a host with a
      gateway) report to Prometheus.

    Depends on: filbert_replication, filbert_dispatch.
*/

#include "domain_traffic.h"
#include "leader_client.h"
#include "order_router.h"
#include "work_controller.h"
#include "work_metrics.h"

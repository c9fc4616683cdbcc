#pragma once

/** @file
    The gateway: the process through which callers, job submitters, targets and operators reach a
    cell over HTTP. It authenticates requests and relays them to the leader, the controller that
    currently decides for the cell.

    - A placement is one start of one task on one target, the back end that runs it. The leader
      decides on placements; gateways relay its orders to start and stop tasks to the targets.
    - A caller's synchronous request to a service becomes a placement, too: the leader grants a
      target, and the gateway calls that target and returns its answer. Failed calls are retried
      within a retry budget, but a request that may have run is repeated only if its service is
      idempotent.
    - A gateway keeps no durable state. It holds a copy of the configuration under a lease
      (configuration_lease) that it renews by periodic hellos, and accepts no work without one.
    - controller_links exchanges messages with the controllers. It finds the leader, follows
      redirects, and sends unanswered requests again where that is safe.
    - Sockets stay outside: the program connects the gateway to its ports (caller_port, target_port,
      controller_transport) and passes it the time. socket_transport is the ZeroMQ implementation
      of controller_transport.

    Depends on: filbert_configuration, filbert_transport, prometheus-cpp.
*/

#include "configuration_lease.h"
#include "controller_links.h"
#include "gateway.h"
#include "gateway_metrics.h"

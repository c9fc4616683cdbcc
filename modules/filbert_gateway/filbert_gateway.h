#pragma once

/** @file
    The gateway's role: callers, targets and operators over HTTP on one side, the leading controller
    on the other. No durable state.

    Depends on: filbert_configuration, filbert_transport, prometheus-cpp.
*/

#include "configuration_lease.h"
#include "controller_links.h"
#include "gateway.h"
#include "gateway_metrics.h"

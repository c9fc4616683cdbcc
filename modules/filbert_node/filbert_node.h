#pragma once

/** @file
    The parts of a process that takes staged jobs: the controller, which replicates and leads, and
    the link by which every other process reaches whichever controller leads.

    Depends on: filbert_replication, filbert_dispatch.
*/

#include "leader_link.h"
#include "order_relay.h"
#include "work_controller.h"
#include "work_metrics.h"

#pragma once

/** @file
    Basic types and services that every module uses: durations and clocks, the list of all errors
    (error_kind), structured log lines, program settings, runtime-checked invariants, and the times
    that a loop spends on its activities, and texts that come from other processes.

    Depends on: gflags, glog.
*/

#include "activity_times.h"
#include "clock.h"
#include "error_kind.h"
#include "event_limit.h"
#include "invariant.h"
#include "log_line.h"
#include "settings.h"
#include "text.h"

#pragma once

/** @file
    Basic types and services that every module uses: durations and clocks, the list of all errors
    (error_kind), structured log lines, program settings, runtime-checked invariants, and the times
    that a loop spends on its activities.

    Depends on: gflags, glog.
*/

#include "activity_times.h"
#include "clock.h"
#include "error_kind.h"
#include "invariant.h"
#include "log_line.h"
#include "settings.h"

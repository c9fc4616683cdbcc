#pragma once

/** @file
    What every module needs: time, the closed list of errors, log lines, settings, invariants.

    Depends on: gflags, glog.
*/

#include "clock.h"
#include "error_kind.h"
#include "invariant.h"
#include "log_line.h"
#include "settings.h"

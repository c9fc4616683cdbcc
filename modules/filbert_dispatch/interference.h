#pragma once

#include "dispatch_state.h"

namespace filbert {

/** Lowers the work rate of best-effort runs on a target while a latency-sensitive run there is near
    its latency target, and raises it again step by step afterwards.

    @param target  as its last poll has shown it
*/
void reviewInterference(dispatch_state &state, tracked_target &target, time_point now);

/** Decides the work rate of best-effort runs on a target.

    @param worstTail  the largest tail latency of a run there, as a fraction of its latency target
    @param workRate   the present work rate in percent
    @return the new work rate in percent
*/
int nextWorkRate(double worstTail, int workRate);

} // namespace filbert

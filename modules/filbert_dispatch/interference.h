#pragma once

#include "dispatch_state.h"

namespace filbert {

/** Slows tasks that fill gaps down where a task that serves beside them nears its latency target,
    and lets them work again by steps once it is calm.

    @param target  as its last look has shown it
*/
void reviewInterference(dispatch_state &state, target_conversation &target, time_point now);

/** Decides at which share tasks that fill should work.

    @param worstTail  the largest tail of a serving task there, as a part of its target
    @param pace       percent at which they work now
    @return percent at which they should work from now on
*/
int nextPace(double worstTail, int pace);

} // namespace filbert

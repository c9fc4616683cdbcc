#pragma once

#include "dispatch_state.h"

namespace filbert {

/** Learns the speed of a target from the ends that it lists in its answer to a poll. Call it before
    the ends are proposed, which marks them as known.

    Only runs that this leader started, with one order, and that ended well count. Not those that
    went on from a checkpoint, were paced, wait for others (gangs), share cores (best-effort and
    latency-sensitive ones), ran beside best-effort work, or began while the target was cold.
*/
void learnFromEnds(dispatch_state &state, tracked_target &target,
                   const registered_target &registered, const order_answer &answer, time_point now);

/** Takes over from a report for how long its target will still be slow after its start. */
void noteColdTime(tracked_target &target, std::int64_t coldMs, time_point now);

/** Compares the targets if that is due, and logs whether their speeds are in use. */
void reviewTargetSpeeds(dispatch_state &state, time_point now);

} // namespace filbert

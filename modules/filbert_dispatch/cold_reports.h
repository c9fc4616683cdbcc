#pragma once

#include "dispatch_state.h"

namespace filbert {

/** @file
    What targets report about being slow after a start. Only the leader keeps it: a new one learns
    it from the next report of each target, and takes them for warm until then.
*/

/** Keeps what a target reports about being slow until its incarnation is registered. */
void announceColdPeriod(dispatch_state &state, const messages::target_life &report, time_point now);

/** Takes over what the present incarnation of a target has reported before it was registered. */
void takeAnnouncedColdPeriod(dispatch_state &state, tracked_target &target, time_point now);

/** @return the number of targets that have reported that they are still slow after a start */
std::size_t countColdTargets(const dispatch_state &state, time_point now);

} // namespace filbert

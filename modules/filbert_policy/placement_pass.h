#pragma once

#include "scheduler.h"

#include <string>
#include <vector>

namespace filbert {

/** Rejects urgent requests that did not start before their deadline. */
void expireUrgentWork(scheduler_state &state, time_point now, schedule_result *result);

/** Starts the work of the given classes that fits. The team with the lowest weighted usage goes
    first; each start is followed by a new comparison of the teams.
*/
void runPlacementPass(scheduler_state &state, const std::vector<work_class> &classes,
                      time_point now, schedule_result *result);

/** Brings a team's decayed usage history up to now; to be called before its usage changes. */
void updateUsageHistory(const scheduler_state &state, team_state &team, time_point now);

/** Releases every reservation of a gang, of targets and of a service pool. */
void releaseReservation(scheduler_state &state, std::uint64_t workId);

/** Releases the reservation that a target belongs to, if any, including its other targets. */
void releaseReservationOn(scheduler_state &state, std::uint32_t target);

/** Describes the resource of which no single target has enough for one task. */
std::string describeMissingResource(const scheduler_state &state, const work_item &item);

} // namespace filbert

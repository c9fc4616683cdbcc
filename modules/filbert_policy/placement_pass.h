#pragma once

#include "scheduler.h"

#include <string>
#include <vector>

namespace filbert {

/** Refuses urgent requests whose time to wait is over. */
void expireUrgent(scheduler_state &state, time_point now, schedule_result *result);

/** Starts what fits of some classes, the team that is furthest below its share first. */
void runPass(scheduler_state &state, const std::vector<work_class> &classes, time_point now,
             schedule_result *result);

/** Brings a team's decayed history up to now; before any change of what it uses. */
void settleHistory(const scheduler_state &state, team_view &team, time_point now);

/** Gives up the reservation of a gang, or every one that holds a target. */
void dropReservation(scheduler_state &state, std::uint64_t ticket);
void dropReservationsOf(scheduler_state &state, std::uint32_t target);

/** @return which resource no target has enough of, in words */
std::string missingResource(const scheduler_state &state, const work_item &item);

} // namespace filbert

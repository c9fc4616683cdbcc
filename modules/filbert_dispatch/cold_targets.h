#pragma once

#include "filbert_core/filbert_core.h"
#include "filbert_policy/resource_amounts.h"

#include <cstdint>

namespace filbert {

/** @file
    Targets that are slow for some time after their start.

    A target reports for how long it will still be cold. Meanwhile it gets a part of its capacity
    used that grows until it is warm, and work prefers warm targets: urgent work always, other work
    unless its data is elsewhere. This only chooses among targets: where most of the capacity is
    cold, work does not wait for it to warm up, since it ends sooner if it starts slowly.
*/

/** The time for which a target will still be slow, as it reports it. */
struct cold_period
{
    time_point warmAt; // 0 = it is warm
    milliseconds longest; // the longest remaining time that it has reported while it was cold
};

/** Takes over what a target reports. @param left  how long it will still be slow; 0 = it is warm */
void updateColdPeriod(cold_period &cold, milliseconds left, time_point now);

/** @return how long a target will still be slow; 0 = it is warm */
milliseconds coldTimeLeft(const cold_period &cold, time_point now);

/** @return the fraction of its capacity that a target should use now: it rises to 1 when it is
    warm */
double usableFraction(const cold_period &cold, time_point now);

/** Whether a target that is still cold may take a task. It may always take one if it has none, so
    that large tasks can start there too.
    @param free      of its capacity
    @param need      of the task
    @param fraction  as of usableFraction() */
bool isWithinColdLimit(const resource_amounts &capacity, const resource_amounts &free,
                       const resource_amounts &need, double fraction);

/** What a placement knows about the duration of a task. */
struct cold_task
{
    milliseconds estimate; // 0 = unknown
    bool isUrgent = false; // it belongs to the most urgent queues, or has no slack for a slow start
    bool isSlowStartHarmless = false; // it runs for so long that the first seconds do not matter
};

/** @return what a slow start costs, in the unit of fitCost(); 0 on a warm target
    @param left  how long the target will still be slow */
double coldCost(const cold_task &task, milliseconds left);

} // namespace filbert

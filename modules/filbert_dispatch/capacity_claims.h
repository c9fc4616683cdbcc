#pragma once

#include "dispatch_state.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>

namespace filbert {

/** How many tasks of one size fit into the free capacity of a service, as of the first question in
    a pass, and how many of these places steps without tickets have claimed. */
struct fitting_tasks
{
    std::int64_t tasks = 0; // that fit into the free capacity of all targets
    std::int64_t targets = 0; // with free capacity for at least one
    bool isPossible = false; // whether one would fit if a target had no other work
    std::int64_t claimed = 0;
    // Whether nothing is left for steps of quick and of slow policies: claims only grow in a pass.
    bool isExhausted[2] = {};
};

/** Cores, memory, accelerators and the required label of a task. */
using task_size = std::tuple<std::int64_t, std::int64_t, std::int64_t, std::string_view>;

/** The capacity of a service that waiting steps are to get, in the order of a pass. A step claims
    what it has tickets or a pending call for. Steps after it make calls for what is left, so that
    their tickets do not expire unused. */
struct capacity_claims
{
    std::map<task_size, fitting_tasks> bySize;
    resource_amounts freeClaimed; // of the capacity that is free now
    // What runs release before a ticket expires that is requested now, less what is claimed: of
    // targets' work without accelerators, and with them.
    bool isReleaseKnown = false;
    resource_amounts releasing[2];
};

/** The calls that a pass may request. A request that waits for longer than until the next passes
    would be bound too early to its step. */
struct call_budget
{
    double callerMs = 0; // time that callers have until the next passes
    std::size_t waiting = 0; // requests without a caller
    std::size_t waitingSlow = 0; // those of them that are not quick
    std::size_t freeCallers = 0;
    std::map<std::pair<int, bool>, std::size_t> waitingByKind; // by rank and whether they are quick
};

/** Adds what a run has released when it ended. */
void addRelease(release_estimate &estimate, const resource_amounts &released, time_point now);

/** @return what runs are expected to release within a period */
resource_amounts expectedRelease(const release_estimate &estimate, milliseconds period,
                                 time_point now);

/** How many tasks of a step may still claim what capacity. */
struct claimable_tasks
{
    std::int64_t free = 0; // in capacity that is free now
    std::int64_t releasing = 0; // in capacity that is released soon
};

/** @param need     of one task
    @param waiting  tasks that have no place yet
    @param free     the capacity of the service that is free now
    @param fitting  the places for tasks of this size
    @param callsPerFreePlace  how many tasks may claim a place that is free now
    @return for how many of the tasks the claims of the steps before leave capacity */
claimable_tasks claimableTasks(const capacity_claims &claims, const resource_amounts &need,
                               std::int64_t waiting, const resource_amounts &free,
                               const fitting_tasks &fitting, std::int64_t callsPerFreePlace);

/** Claims capacity for a step: first what is free, then what is released soon. */
void claimCapacity(capacity_claims &claims, const resource_amounts &need,
                   const claimable_tasks &tasks, fitting_tasks &fitting);

/** Whether a request for a call may still be made in this pass, which takes some time of a caller.
 */
bool mayRequestCall(const call_budget &budget, int rank, bool isQuick);

/** Counts a request that is made in this pass. */
void countCall(call_budget &budget, int rank, bool isQuick, milliseconds duration);

} // namespace filbert

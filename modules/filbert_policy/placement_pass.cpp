#include "placement_pass.h"

#include <algorithm>
#include <limits>

namespace filbert {

namespace {

constexpr milliseconds preemptionPause {2'000}; // between two preemptions for one work item
constexpr milliseconds defaultRunTime {3'600'000}; // assumed for tasks without an estimate
constexpr std::size_t maxRemovedIds = 256; // removed work ids that a team's queue may always hold

/** Whether the policy has the reserve, preemption and reservations that come with work classes. */
bool usesWorkClasses(const scheduler_state &state)
{
    return state.settings.kind == policy_kind::Filbert;
}

std::uint64_t releaseCountOf(const scheduler_state &state, const std::string &service)
{
    const auto pool = state.index.pools.find(service);
    return pool == state.index.pools.end() ? 0 : pool->second.releaseCount;
}

/** Whether a task that is not urgent leaves the reserved fraction of all pools that its target
    belongs to and that urgent work uses.
*/
bool leavesUrgentReserve(const scheduler_state &state, const target_entry &target,
                         const resource_amounts &need)
{
    if (!usesWorkClasses(state)) {
        return true;
    }
    return std::all_of(target.services.begin(), target.services.end(), [&](const auto &service) {
        if (!state.urgentServices.contains(service)) {
            return true;
        }
        const auto &pool = state.index.pools.at(service);
        const auto usableFraction = 1 - state.settings.urgentReserveFraction;
        const auto isWithin = [&](std::int64_t used, std::int64_t added, std::int64_t capacity) {
            return static_cast<double>(used + added)
                <= static_cast<double>(capacity) * usableFraction;
        };
        return isWithin(pool.used.milliCores, need.milliCores, pool.capacity.milliCores)
            && isWithin(pool.used.slots, need.slots, pool.capacity.slots);
    });
}

/** @return a target for one task of a work item, or -1 */
std::int64_t chooseTarget(const scheduler_state &state, const work_item &item)
{
    if (state.settings.kind == policy_kind::Filbert) {
        const auto found = findTarget(state.index, item.service, item.need, item.excludedTargets);
        const bool isExclusionStrict =
            item.kind != work_class::Urgent || item.excludedTargets.empty();
        // A caller waits, so a target that failed recently is better than none.
        return found >= 0 || isExclusionStrict
            ? found
            : findTarget(state.index, item.service, item.need, {});
    }
    return findFirstTarget(state.index, item.service, item.need);
}

/** Starts a task: its resources are in use from now on. */
void startTask(scheduler_state &state, const work_item &item, std::int32_t taskIndex,
               std::uint32_t target, time_point now, schedule_result *result)
{
    const auto placementId = state.nextPlacementId++;
    auto &team = state.teams[item.team];
    updateUsageHistory(state, team, now);
    running_task running {target,       item.workId,       taskIndex, item.kind, item.team,
                          item.service, estimateKey(item), item.need, now,       item.isIdempotent};
    addRunningTask(state, placementId, std::move(running));
    result->placements.push_back({placementId, item.workId, taskIndex, target});
}

/** Stops idempotent batch tasks so that an urgent task fits.

    Of the candidate targets, the one where the least run time is lost is chosen. The scan starts at
    a target that depends on the work id, so that urgent tasks do not all preempt on the same few.
*/
void preemptFor(scheduler_state &state, work_item &item, time_point now, schedule_result *result)
{
    const bool isTooEarly = now - item.waitingSince < state.settings.preemptionDelay
        || (item.preemptedAt.ms != 0 && now - item.preemptedAt < preemptionPause);
    if (!usesWorkClasses(state) || isTooEarly) {
        return;
    }
    std::vector<std::uint64_t> best;
    std::int64_t bestLoss = std::numeric_limits<std::int64_t>::max();
    std::size_t scanned = 0;
    const auto count = state.index.targets.size();
    for (std::size_t i = 0; i < count && scanned < state.settings.maxPreemptionCandidates; ++i) {
        const auto number = (i + static_cast<std::size_t>(item.workId)) % count;
        const auto &target = state.index.targets[number];
        if (!target.isEligible || !offersService(target, item.service)) {
            continue;
        }
        ++scanned;
        std::vector<std::pair<std::int64_t, std::uint64_t>> victims; // run time lost, placement id
        for (const auto placementId : state.runningOnTarget[number]) {
            const auto &task = state.running.at(placementId);
            if (task.kind == work_class::Batch && task.isIdempotent && !task.isStopping) {
                victims.emplace_back((now - task.startedAt).count, placementId);
            }
        }
        std::sort(victims.begin(), victims.end());
        auto available = freeResources(target);
        std::int64_t loss = 0;
        std::vector<std::uint64_t> chosen;
        for (const auto &[lost, placementId] : victims) {
            if (fitsWithin(item.need, available)) {
                break;
            }
            available += state.running.at(placementId).need;
            loss += lost;
            chosen.push_back(placementId);
        }
        if (fitsWithin(item.need, available) && !chosen.empty() && loss < bestLoss) {
            bestLoss = loss;
            best = std::move(chosen);
        }
    }
    for (const auto placementId : best) {
        state.running.at(placementId).isStopping = true;
        result->stops.push_back({placementId});
        item.preemptedAt = now;
    }
}

/** Whether a target belongs to a pool that is reserved for a gang. */
bool isReservedForGang(const scheduler_state &state, const target_entry &target)
{
    return !state.reservingGangByService.empty()
        && std::any_of(target.services.begin(), target.services.end(), [&](const auto &service) {
               return state.reservingGangByService.contains(service);
           });
}

/** Starts one task of an urgent or batch work item, if it fits. */
bool placeTask(scheduler_state &state, work_item &item, time_point now, schedule_result *result)
{
    const auto target = chooseTarget(state, item);
    if (target < 0) {
        if (item.kind == work_class::Urgent) {
            preemptFor(state, item, now, result);
        }
        return false;
    }
    const auto number = static_cast<std::uint32_t>(target);
    const auto &chosen = state.index.targets[number];
    if (item.kind != work_class::Urgent
        && (isReservedForGang(state, chosen) || !leavesUrgentReserve(state, chosen, item.need))) {
        return false;
    }
    const auto taskIndex = item.tasks.back();
    item.tasks.pop_back();
    startTask(state, item, taskIndex, number, now, result);
    return true;
}

/** @return how long until all tasks of a target have ended, by what is known of their run times */
milliseconds timeUntilIdle(const scheduler_state &state, std::uint32_t target, time_point now)
{
    milliseconds latest;
    for (const auto placementId : state.runningOnTarget[target]) {
        const auto &task = state.running.at(placementId);
        const auto estimate = state.usageEstimates.find(task.estimateKey);
        const bool hasEstimate =
            estimate != state.usageEstimates.end() && estimate->second.runTime.count > 0;
        const auto runTime = hasEstimate ? estimate->second.runTime : defaultRunTime;
        latest = std::max(latest, runTime - (now - task.startedAt));
    }
    return latest;
}

/** Whether some target has the capacity for two tasks of a gang, so that the gang need not wait for
    whole targets: resources that are freed on any of them add up.
*/
bool canShareTargets(const scheduler_state &state, const work_item &item)
{
    return std::any_of(state.index.targets.begin(), state.index.targets.end(),
                       [&](const auto &target) {
                           return target.isEligible && offersService(target, item.service)
                               && fitsWithin(item.need + item.need, target.capacity);
                       });
}

/** Reserves the targets that are expected to be empty first and that together can run the whole
    gang. If all candidates together cannot, nothing is reserved.
*/
void reserveTargets(scheduler_state &state, const work_item &item, time_point now)
{
    std::vector<std::pair<std::int64_t, std::uint32_t>> candidates;
    for (std::uint32_t i = 0; i < state.index.targets.size(); ++i) {
        const auto &target = state.index.targets[i];
        if (target.isEligible && target.reservedFor == 0 && offersService(target, item.service)
            && fitsWithin(item.need, target.capacity)) {
            candidates.emplace_back(timeUntilIdle(state, i, now).count, i);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    std::size_t placeable = 0;
    std::vector<std::uint32_t> chosen;
    for (const auto &[end, number] : candidates) {
        auto available = state.index.targets[number].capacity;
        while (placeable < item.tasks.size() && fitsWithin(item.need, available)) {
            available -= item.need;
            ++placeable;
        }
        chosen.push_back(number);
        if (placeable >= item.tasks.size()) {
            break;
        }
    }
    if (placeable < item.tasks.size()) {
        return;
    }
    for (const auto number : chosen) {
        setReservation(state.index, number, item.workId);
    }
    state.reservedTargetsByGang[item.workId] = std::move(chosen);
}

/** Makes a reservation for a gang that has waited long enough, so that other batch work does not
    delay it further.

    If its tasks are small, the whole pool is reserved: the gang starts as soon as enough tasks have
    ended anywhere in the pool. If each of its tasks fills a target, it needs whole targets, so some
    targets are reserved and drained of their tasks.
*/
void reserveForGang(scheduler_state &state, const work_item &item, time_point now)
{
    if (!canShareTargets(state, item)) {
        reserveTargets(state, item, now);
    } else if (!state.reservingGangByService.contains(item.service)) {
        state.reservingGangByService[item.service] = item.workId;
    }
}

/** Ends the reservation of a pool for a gang, if there is one. */
void releasePool(scheduler_state &state, std::uint64_t workId)
{
    const auto ended = std::erase_if(state.reservingGangByService, [&](const auto &reservation) {
        return reservation.second == workId;
    });
    if (ended > 0) {
        // Work of any pool that shares targets with this one may be blocked and can now be retried.
        for (auto &[name, pool] : state.index.pools) {
            ++pool.releaseCount;
        }
    }
}

/** Whether the total of a pool's free resources suffices for a gang. This cheap check comes before
    the search for targets.
*/
bool hasTotalCapacity(const scheduler_state &state, const work_item &item)
{
    const auto pool = state.index.pools.find(item.service);
    if (pool == state.index.pools.end()) {
        return false;
    }
    return fitsWithin(scaledBy(item.need, item.tasks.size()),
                      pool->second.capacity - pool->second.used);
}

/** Starts all waiting tasks of a gang if they fit at once, also on the targets reserved for it.
    Otherwise makes a reservation for the gang once it has waited long enough.
*/
bool placeGang(scheduler_state &state, work_item &item, time_point now, schedule_result *result)
{
    const auto reserved = state.reservedTargetsByGang.find(item.workId);
    if (reserved != state.reservedTargetsByGang.end()) {
        for (const auto number : reserved->second) {
            setReservation(state.index, number, 0);
        }
    }
    std::vector<std::uint32_t> chosen;
    const auto taskCount = hasTotalCapacity(state, item) ? item.tasks.size() : 0;
    for (std::size_t i = 0; i < taskCount; ++i) {
        const auto target = chooseTarget(state, item);
        const bool isSuitable = target >= 0
            && leavesUrgentReserve(state, state.index.targets[static_cast<std::size_t>(target)],
                                   item.need);
        if (!isSuitable) {
            break;
        }
        chosen.push_back(static_cast<std::uint32_t>(target));
        addUsage(state.index, chosen.back(), item.service, item.need);
    }
    for (const auto number : chosen) {
        undoUsage(state.index, number, item.service, item.need);
    }
    if (chosen.size() < item.tasks.size()) {
        if (reserved != state.reservedTargetsByGang.end()) {
            for (const auto number : reserved->second) {
                setReservation(state.index, number, item.workId);
            }
        } else if (usesWorkClasses(state)
                   && now - item.waitingSince >= state.settings.gangReservationDelay) {
            reserveForGang(state, item, now);
        }
        return false;
    }
    state.reservedTargetsByGang.erase(item.workId);
    releasePool(state, item.workId);
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        startTask(state, item, item.tasks[i], chosen[i], now, result);
    }
    item.tasks.clear();
    return true;
}

/** Whether a work item might start, or lead to a reservation or preemption, if it is tried now. */
bool isWorthTrying(const scheduler_state &state, const work_item &item, time_point now)
{
    const bool isIncomplete = item.tasks.size() < static_cast<std::size_t>(item.minTasksToStart);
    if (item.notBefore > now || item.tasks.empty() || isIncomplete) {
        return false;
    }
    const bool mayReserve = item.kind == work_class::Gang && usesWorkClasses(state)
        && now - item.waitingSince >= state.settings.gangReservationDelay
        && !state.reservedTargetsByGang.contains(item.workId)
        && !state.reservingGangByService.contains(item.service);
    const bool mayPreempt = item.kind == work_class::Urgent && usesWorkClasses(state)
        && now - item.waitingSince >= state.settings.preemptionDelay;
    return !item.isBlocked || mayReserve || mayPreempt
        || item.releaseCountWhenBlocked != releaseCountOf(state, item.service);
}

/** Whether the next start of a work item keeps its team within the upper limit. */
bool isWithinLimit(const scheduler_state &state, const work_item &item)
{
    const auto &team = state.teams.at(item.team);
    const auto taskCount = item.kind == work_class::Gang ? item.tasks.size() : 1;
    return fitsWithin(team.used + scaledBy(item.need, taskCount), team.limit);
}

/** Removes the ids of work that no longer waits from a team's queue. The queue is rebuilt only when
    more than half of it may be removed, so the amortized cost is constant for each id.
*/
void discardRemovedIds(const scheduler_state &state, const team_state &team, work_class kind,
                       std::deque<std::uint64_t> *queue)
{
    while (!queue->empty() && !state.waiting.contains(queue->front())) {
        queue->pop_front();
    }
    const auto waiting = team.waitingCount[static_cast<std::size_t>(kind)];
    if (queue->size() <= 2 * waiting + maxRemovedIds) {
        return;
    }
    std::unordered_set<std::uint64_t> seen; // work that was queued again is in the queue twice
    std::erase_if(*queue, [&](auto workId) {
        return !state.waiting.contains(workId) || !seen.insert(workId).second;
    });
}

/** Removes a work item all of whose tasks have started. */
void removeIfStarted(scheduler_state &state, std::uint64_t workId)
{
    const auto &item = state.waiting.at(workId);
    if (item.tasks.empty()) {
        --state.teams[item.team].waitingCount[static_cast<std::size_t>(item.kind)];
        state.waiting.erase(workId);
    }
}

/** Starts the first of a team's work items that fits. @return whether one was started */
bool placeNextOf(scheduler_state &state, team_state &team, const std::vector<work_class> &classes,
                 time_point now, schedule_result *result)
{
    for (const auto kind : classes) {
        auto &queue = team.waitingIds[static_cast<std::size_t>(kind)];
        discardRemovedIds(state, team, kind, &queue);
        std::size_t scanned = 0;
        for (std::size_t i = 0; i < queue.size() && scanned < state.settings.maxItemsScanned; ++i) {
            const auto workId = queue[i];
            const auto found = state.waiting.find(workId);
            if (found == state.waiting.end()) {
                continue;
            }
            auto &item = found->second;
            ++scanned;
            if (!isWorthTrying(state, item, now) || !isWithinLimit(state, item)) {
                continue;
            }
            const bool isPlaced = kind == work_class::Gang ? placeGang(state, item, now, result)
                                                           : placeTask(state, item, now, result);
            if (isPlaced) {
                removeIfStarted(state, workId);
                return true;
            }
            item.isBlocked = true;
            item.releaseCountWhenBlocked = releaseCountOf(state, item.service);
        }
    }
    return false;
}

/** @return since when the longest waiting of the first items of a team's queues has waited */
time_point oldestWaiting(const scheduler_state &state, const team_state &team,
                         const std::vector<work_class> &classes)
{
    time_point oldest {std::numeric_limits<std::int64_t>::max()};
    for (const auto kind : classes) {
        for (const auto workId : team.waitingIds[static_cast<std::size_t>(kind)]) {
            const auto found = state.waiting.find(workId);
            if (found != state.waiting.end()) {
                oldest = std::min(oldest, found->second.waitingSince);
                break;
            }
        }
    }
    return oldest;
}

/** A team that has work waiting, during a pass. */
struct competing_team
{
    team_state *team = nullptr;
    double usage = 0; // weighted by the share
    time_point oldest;
    bool isExhausted = false; // nothing more of it can start in this pass
};

bool goesBefore(const competing_team &a, const competing_team &b)
{
    return a.usage != b.usage ? a.usage < b.usage : a.oldest < b.oldest;
}

} // namespace

void expireUrgentWork(scheduler_state &state, time_point now, schedule_result *result)
{
    while (!state.startDeadlines.empty() && state.startDeadlines.begin()->first <= now) {
        const auto workId = state.startDeadlines.begin()->second;
        state.startDeadlines.erase(state.startDeadlines.begin());
        const auto found = state.waiting.find(workId);
        if (found == state.waiting.end()) {
            continue;
        }
        const bool isLimit = !isWithinLimit(state, found->second);
        result->refusals.push_back(
            {workId, isLimit ? error_kind::LimitReached : error_kind::NoCapacity});
        removeWork(state, workId);
    }
}

void runPlacementPass(scheduler_state &state, const std::vector<work_class> &classes,
                      time_point now, schedule_result *result)
{
    std::vector<competing_team> competitors;
    for (auto &entry : state.teams) {
        auto &team = entry.second;
        const bool hasWork = std::any_of(classes.begin(), classes.end(), [&](auto kind) {
            return team.waitingCount[static_cast<std::size_t>(kind)] > 0;
        });
        if (hasWork) {
            competitors.push_back(
                {&team, weightedUsage(state, team, now), oldestWaiting(state, team, classes)});
        }
    }
    while (true) {
        competing_team *best = nullptr;
        for (auto &each : competitors) {
            if (!each.isExhausted && (best == nullptr || goesBefore(each, *best))) {
                best = &each;
            }
        }
        if (best == nullptr) {
            return;
        }
        if (placeNextOf(state, *best->team, classes, now, result)) {
            best->usage = weightedUsage(state, *best->team, now);
            best->oldest = oldestWaiting(state, *best->team, classes);
        } else {
            best->isExhausted = true;
        }
    }
}

void releaseReservation(scheduler_state &state, std::uint64_t workId)
{
    releasePool(state, workId);
    const auto found = state.reservedTargetsByGang.find(workId);
    if (found == state.reservedTargetsByGang.end()) {
        return;
    }
    for (const auto number : found->second) {
        setReservation(state.index, number, 0);
    }
    state.reservedTargetsByGang.erase(found);
}

void releaseReservationOn(scheduler_state &state, std::uint32_t target)
{
    const auto workId = state.index.targets[target].reservedFor;
    if (workId != 0) {
        releaseReservation(state, workId);
    }
}

std::string describeMissingResource(const scheduler_state &state, const work_item &item)
{
    resource_amounts largest;
    for (const auto &target : state.index.targets) {
        if (offersService(target, item.service)) {
            largest = componentMax(largest, target.capacity);
        }
    }
    const auto &need = item.need;
    if (need.accelerators > largest.accelerators) {
        return "accelerators " + std::to_string(need.accelerators) + ", the largest target has "
            + std::to_string(largest.accelerators);
    }
    if (need.milliCores > largest.milliCores) {
        return "milli_cores " + std::to_string(need.milliCores) + ", the largest target has "
            + std::to_string(largest.milliCores);
    }
    if (need.memoryMb > largest.memoryMb) {
        return "memory_mb " + std::to_string(need.memoryMb) + ", the largest target has "
            + std::to_string(largest.memoryMb);
    }
    return "no single target has enough of all resources";
}

} // namespace filbert

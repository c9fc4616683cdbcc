#include "scheduler.h"

#include "placement_pass.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace filbert {

namespace {

constexpr double peakUsageDecay = 0.9; // of the learned CPU and memory usage, per successful task

/** Makes a target eligible exactly if it is available and not quarantined. */
void refreshEligibility(scheduler_state &state, const std::string &name)
{
    const auto found = state.index.byName.find(name);
    if (found == state.index.byName.end()) {
        return;
    }
    const auto &health = state.health[name];
    setEligible(state.index, found->second, health.isAvailable && !health.isQuarantined);
}

/** @return how many work items of a class a team may have waiting */
std::size_t maxWaitingItems(const scheduler_state &state, work_class kind)
{
    return kind == work_class::Urgent ? state.settings.maxUrgentWaiting
                                      : state.settings.maxJobsWaiting;
}

/** @return how long work waits before the next attempt, doubling with each failure */
milliseconds backoffAfter(const scheduler_state &state, int failures)
{
    constexpr int maxDoublings = 16;
    const auto &settings = state.settings;
    const auto doublings = std::min(std::max(failures - 1, 0), maxDoublings);
    return std::min(settings.maxRetryBackoff, settings.retryBackoff * (1LL << doublings));
}

/** Appends work to its team's queue. */
void enqueue(scheduler_state &state, work_item &&item)
{
    auto &team = state.teams[item.team];
    const auto kind = static_cast<std::size_t>(item.kind);
    team.waitingIds[kind].push_back(item.workId);
    ++team.waitingCount[kind];
    if (item.startDeadline.ms != 0) {
        state.startDeadlines.emplace(item.startDeadline, item.workId);
    }
    const auto workId = item.workId;
    state.waiting.insert_or_assign(workId, std::move(item));
}

/** Starts a quarantine, twice as long as the one before if there was no success in between. */
void quarantine(scheduler_state &state, const std::string &name, target_health &health,
                time_point now)
{
    const auto &settings = state.settings;
    health.quarantinePeriod = health.quarantinePeriod.count == 0
        ? settings.initialQuarantine
        : std::min(settings.maxQuarantine, health.quarantinePeriod * 2);
    health.quarantinedUntil = now + health.quarantinePeriod;
    health.isQuarantined = true;
    log_line {"target_quarantined", log_line::severity::Warning}
        .with("target", name)
        .with("distinct_jobs", health.consecutiveFailures.size())
        .with("until_ms", health.quarantinePeriod.count);
    refreshEligibility(state, name);
}

} // namespace

void setTeam(scheduler_state &state, const std::string &name, double share,
             const resource_amounts &limit)
{
    auto &team = state.teams[name];
    team.name = name;
    team.share = share > 0 ? share : 1;
    team.limit = limit;
}

void setUrgentServices(scheduler_state &state, std::set<std::string> services)
{
    state.urgentServices = std::move(services);
}

void updateTarget(scheduler_state &state, target_entry entry, bool isAvailable)
{
    const auto name = entry.name;
    auto &health = state.health[name];
    health.isAvailable = isAvailable;
    entry.isEligible = isAvailable && !health.isQuarantined;
    const auto found = state.index.byName.find(name);
    if (found != state.index.byName.end()) {
        entry.isProbing = state.index.targets[found->second].isProbing;
    }
    if (found != state.index.byName.end() && !isAvailable) {
        releaseReservationOn(state, found->second);
    }
    const auto number = upsertTarget(state.index, entry);
    if (state.runningOnTarget.size() <= number) {
        state.runningOnTarget.resize(number + 1);
    }
}

void unregisterTarget(scheduler_state &state, const std::string &name)
{
    const auto found = state.index.byName.find(name);
    if (found == state.index.byName.end()) {
        return;
    }
    removeTarget(state.index, found->second);
    state.health[name].isAvailable = false;
}

std::error_code addWork(scheduler_state &state, work_item &&item, time_point now)
{
    auto &team = state.teams[item.team];
    const auto kind = static_cast<std::size_t>(item.kind);
    if (team.waitingCount[kind] >= maxWaitingItems(state, item.kind)) {
        return error_kind::Overloaded;
    }
    if (!fitsWithin(item.declaredNeed, team.limit)) {
        return error_kind::LimitReached;
    }
    const auto estimate = state.usageEstimates.find(estimateKey(item));
    item.need = item.declaredNeed;
    if (estimate != state.usageEstimates.end()) {
        const auto estimatedNeed = componentMax(item.declaredNeed, estimate->second.peakUsage);
        const bool isFeasible = fitsWithin(estimatedNeed, team.limit)
            && couldEverFit(state.index, item.service, estimatedNeed);
        item.need = isFeasible ? estimatedNeed : item.declaredNeed;
    }
    const bool canNeverRun = item.kind == work_class::Urgent
        && state.index.pools.contains(item.service)
        && state.index.pools.at(item.service).targetCount > 0
        && findTarget(state.index, item.service, item.need, {}) < 0
        && !couldEverFit(state.index, item.service, item.need);
    if (canNeverRun) {
        return error_kind::NeverFits;
    }
    item.waitingSince = now;
    enqueue(state, std::move(item));
    return {};
}

void requeueTask(scheduler_state &state, work_item &&item, std::int32_t taskIndex, time_point now)
{
    const auto found = state.waiting.find(item.workId);
    if (found != state.waiting.end()) {
        auto &waitingItem = found->second;
        waitingItem.tasks.push_back(taskIndex);
        waitingItem.failures += item.failures;
        waitingItem.notBefore = now + backoffAfter(state, waitingItem.failures);
        return;
    }
    item.tasks = {taskIndex};
    item.need = item.declaredNeed;
    item.waitingSince = now;
    if (item.failures > 0) {
        item.notBefore = now + backoffAfter(state, item.failures);
    }
    enqueue(state, std::move(item));
}

void setMinTasksToStart(scheduler_state &state, std::uint64_t workId, std::int32_t minTasksToStart)
{
    const auto found = state.waiting.find(workId);
    if (found != state.waiting.end()) {
        found->second.minTasksToStart = minTasksToStart;
        found->second.isBlocked = false;
    }
}

std::string estimateKey(const work_item &item)
{
    return item.team + "/" + (item.name.empty() ? item.service : item.name);
}

void removeWork(scheduler_state &state, std::uint64_t workId)
{
    const auto found = state.waiting.find(workId);
    if (found == state.waiting.end()) {
        return;
    }
    // The work id stays in the team's queue, where it is skipped.
    --state.teams[found->second.team].waitingCount[static_cast<std::size_t>(found->second.kind)];
    state.waiting.erase(found);
    releaseReservation(state, workId);
}

void addRunningTask(scheduler_state &state, std::uint64_t placementId, running_task &&task)
{
    addUsage(state.index, task.target, task.service, task.need);
    state.teams[task.team].used += task.need;
    state.runningOnTarget[task.target].insert(placementId);
    state.running.emplace(placementId, std::move(task));
}

void releaseTask(scheduler_state &state, std::uint64_t placementId, time_point now)
{
    const auto found = state.running.find(placementId);
    if (found == state.running.end()) {
        return;
    }
    const auto task = std::move(found->second);
    state.running.erase(found);
    auto &team = state.teams[task.team];
    updateUsageHistory(state, team, now);
    team.used -= task.need;
    FILBERT_INVARIANT(fitsWithin({}, team.used), "the usage of a team is never negative");
    state.runningOnTarget[task.target].erase(placementId);
    removeUsage(state.index, task.target, task.service, task.need);
}

void recordTaskResult(scheduler_state &state, std::uint64_t placementId, bool succeeded,
                      time_point now)
{
    const auto found = state.running.find(placementId);
    if (found == state.running.end()) {
        return;
    }
    const auto &task = found->second;
    auto &target = state.index.targets[task.target];
    auto &health = state.health[target.name];
    if (succeeded) {
        auto &estimate = state.usageEstimates[task.estimateKey];
        const auto runTime = now - task.startedAt;
        estimate.runTime = estimate.runTime.count == 0
            ? runTime
            : milliseconds {(estimate.runTime.count * 3 + runTime.count) / 4};
        estimate.peakUsage.milliCores = static_cast<std::int64_t>(
            static_cast<double>(estimate.peakUsage.milliCores) * peakUsageDecay);
        estimate.peakUsage.memoryMb = static_cast<std::int64_t>(
            static_cast<double>(estimate.peakUsage.memoryMb) * peakUsageDecay);
        health.consecutiveFailures.clear();
        health.reportingGateways.clear();
        health.quarantinePeriod = {};
        setProbing(state.index, task.target, false);
        return;
    }
    recordTargetFailure(state, target.name, task.workId, now);
}

void recordTargetFailure(scheduler_state &state, const std::string &target, std::uint64_t workId,
                         time_point now)
{
    const auto found = state.index.byName.find(target);
    if (found == state.index.byName.end()) {
        return;
    }
    auto &health = state.health[target];
    health.consecutiveFailures.insert(workId);
    const bool isProbing = state.index.targets[found->second].isProbing;
    if (!health.isQuarantined
        && (health.consecutiveFailures.size() >= state.settings.failuresBeforeQuarantine
            || isProbing)) {
        quarantine(state, target, health, now);
    }
}

void recordUnreachable(scheduler_state &state, const unreachable_report &report, time_point now)
{
    auto &health = state.health[report.target];
    health.reportingGateways.insert(report.gateway);
    if (report.placementId < health.firstCountablePlacement
        || health.reportingGateways.size() < report.requiredReporters) {
        return;
    }
    health.firstCountablePlacement = state.nextPlacementId;
    recordTargetFailure(state, report.target, report.placementId, now);
}

void clearUnreachable(scheduler_state &state, const std::string &target)
{
    auto &health = state.health[target];
    if (!std::exchange(health.reportingGateways, {}).empty()) {
        health.consecutiveFailures.clear();
        health.isQuarantined = false;
        health.quarantinePeriod = {};
    }
}

void endExpiredQuarantines(scheduler_state &state, time_point now)
{
    for (auto &[name, health] : state.health) {
        if (!health.isQuarantined || now < health.quarantinedUntil) {
            continue;
        }
        health.isQuarantined = false;
        const auto found = state.index.byName.find(name);
        if (found != state.index.byName.end()) {
            setProbing(state.index, found->second, true);
        }
        log_line {"target_probed"}.with("target", name);
        refreshEligibility(state, name);
    }
}

void recordUsage(scheduler_state &state, std::uint64_t placementId, const resource_amounts &used)
{
    const auto found = state.running.find(placementId);
    if (found == state.running.end()) {
        return;
    }
    const auto &capacity = state.index.targets[found->second.target].capacity;
    const auto isImplausible = !fitsWithin({}, used) || !fitsWithin(used, capacity);
    if (isImplausible) {
        return;
    }
    auto &estimate = state.usageEstimates[found->second.estimateKey];
    estimate.peakUsage = componentMax(estimate.peakUsage, used);
    estimate.peakUsage.slots = 1;
}

void updateUsageHistory(const scheduler_state &state, team_state &team, time_point now)
{
    const auto elapsed = static_cast<double>((now - team.usageHistoryAt).count);
    if (elapsed <= 0) {
        return;
    }
    const auto halfLife = static_cast<double>(state.settings.historyHalfLife.count);
    const double decay = std::exp2(-elapsed / halfLife);
    const double current = dominantShare(team.used, state.index.totalCapacity);
    team.usageHistory = team.usageHistory * decay + current * (1 - decay);
    team.usageHistoryAt = now;
}

double weightedUsage(const scheduler_state &state, team_state &team, time_point now)
{
    const auto &settings = state.settings;
    switch (settings.kind) {
    case policy_kind::WeightedFair:
        return static_cast<double>(team.used.slots) / team.share;
    case policy_kind::DominantShare:
        return dominantShare(team.used, state.index.totalCapacity) / team.share;
    case policy_kind::FirstComeFirstFit:
    case policy_kind::StrictPriority:
        return 0; // teams are ordered by their longest waiting work alone
    case policy_kind::Filbert:
        break;
    }
    updateUsageHistory(state, team, now);
    const double current = dominantShare(team.used, state.index.totalCapacity);
    return (current * (1 - settings.historyWeight) + team.usageHistory * settings.historyWeight)
        / team.share;
}

wait_reason explainWaiting(const scheduler_state &state, std::uint64_t workId, time_point now)
{
    const auto found = state.waiting.find(workId);
    if (found == state.waiting.end()) {
        return {"it is not queued at present", 0, {}};
    }
    const auto &item = found->second;
    const auto &team = state.teams.at(item.team);
    wait_reason reason;
    reason.waited = now - item.waitingSince;
    for (const auto other : team.waitingIds[static_cast<std::size_t>(item.kind)]) {
        reason.position += state.waiting.contains(other) ? 1 : 0;
        if (other == workId) {
            break;
        }
    }
    const auto pool = state.index.pools.find(item.service);
    if (pool == state.index.pools.end() || pool->second.targetCount == 0) {
        reason.text = "no target offers service " + item.service + " at present";
    } else if (!couldEverFit(state.index, item.service, item.need)) {
        reason.text =
            "no target has the capacity for one task: " + describeMissingResource(state, item);
    } else if (!fitsWithin(team.used + item.need, team.limit)) {
        reason.text = "team " + item.team + " is at its upper limit";
    } else if (item.notBefore > now) {
        reason.text = "a task failed; the next attempt is in "
            + std::to_string((item.notBefore - now).count) + " ms";
    } else if (state.reservedTargetsByGang.contains(workId)) {
        reason.text = "targets are reserved for it and are being drained";
    } else if (const auto reservation = state.reservingGangByService.find(item.service);
               reservation != state.reservingGangByService.end() && reservation->second == workId) {
        reason.text =
            "the targets of its service are reserved for it until enough capacity is free";
    } else if (item.kind == work_class::Gang) {
        const bool isIncomplete =
            item.tasks.size() < static_cast<std::size_t>(item.minTasksToStart);
        reason.text = isIncomplete
            ? "one of its tasks ended early; the others are being stopped to restart with it"
            : "waiting for capacity to start all " + std::to_string(item.tasks.size())
                + " tasks at once";
    } else {
        reason.text = "all targets are full; teams that use less of their share go first";
    }
    return reason;
}

std::size_t countWaiting(const scheduler_state &state, work_class kind)
{
    std::size_t count = 0;
    for (const auto &[name, team] : state.teams) {
        count += team.waitingCount[static_cast<std::size_t>(kind)];
    }
    return count;
}

schedule_result schedule(scheduler_state &state, time_point now)
{
    schedule_result result;
    expireUrgentWork(state, now, &result);
    const auto kind = state.settings.kind;
    if (kind == policy_kind::Filbert || kind == policy_kind::StrictPriority) {
        runPlacementPass(state, {work_class::Urgent}, now, &result);
        runPlacementPass(state, {work_class::Gang}, now, &result);
        runPlacementPass(state, {work_class::Batch}, now, &result);
    } else {
        runPlacementPass(state, {work_class::Urgent, work_class::Gang, work_class::Batch}, now,
                         &result);
    }
    return result;
}

} // namespace filbert

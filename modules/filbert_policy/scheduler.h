#pragma once

#include "filbert_core/filbert_core.h"
#include "target_index.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace filbert {

/** How work is ordered and targets are chosen. Filbert is the policy in use; the others are
    baselines for benchmarks.
*/
enum class policy_kind {
    Filbert, // work classes, dominant share with history, best fit, reservations, preemption
    FirstComeFirstFit,
    WeightedFair, // running tasks by team weight; no work classes
    DominantShare, // dominant resource fairness; no work classes, no history
    StrictPriority, // work classes in order, first come first fit within each
};

/** Parameters of the policy. */
struct policy_settings
{
    policy_kind kind = policy_kind::Filbert;
    milliseconds historyHalfLife {300'000}; // of the decayed usage history of a team
    double historyWeight = 0.9; // of the history in a team's weighted usage; the rest is current
    double urgentReserveFraction = 0.03; // of a pool's cores and slots, for urgent work only
    std::size_t maxUrgentWaiting = 2'000; // per team
    std::size_t maxJobsWaiting = 50'000; // per team
    milliseconds gangReservationDelay {2'000}; // waiting time before a gang reserves
    milliseconds preemptionDelay {300}; // waiting time before urgent work stops batch tasks
    milliseconds retryBackoff {500}; // after a first failure; doubles with each further one
    milliseconds maxRetryBackoff {60'000};
    milliseconds initialQuarantine {30'000}; // doubles with each further quarantine
    milliseconds maxQuarantine {600'000};
    std::size_t failuresBeforeQuarantine = 3; // failures in a row, each of different work
    std::size_t maxItemsScanned = 16; // work items of a team and class scanned for each start
    std::size_t maxPreemptionCandidates = 64; // candidate targets for one urgent task
};

/** How work is scheduled. The values index the arrays of team_state. */
enum class work_class {
    Urgent, // a caller waits; may preempt idempotent batch tasks
    Batch, // each task starts by itself
    Gang // all waiting tasks start at once or none does
};

/** Work to place: an urgent request, which has one task, or a job with the tasks that wait. */
struct work_item
{
    std::uint64_t workId = 0; // of a request, or the id of a job, whose top bit is clear
    work_class kind = work_class::Batch;
    std::string team;
    std::string service;
    std::string queue;
    std::string name; // of the job; usage estimates are kept by name
    resource_amounts declaredNeed; // of one task
    resource_amounts need; // of one task: declared, or the estimate where that is larger
    std::vector<std::int32_t> tasks; // indices of the waiting tasks; a request has only 0
    std::int32_t size = 1; // tasks of the whole job
    std::int32_t minTasksToStart = 1; // waiting tasks that any start requires; all of a gang
    std::vector<std::string> excludedTargets; // names; targets where it failed before
    time_point waitingSince;
    time_point startDeadline; // latest start of urgent work; 0 = none
    time_point notBefore; // earliest start, after a failure
    milliseconds runTime; // declared; 0 = unknown
    bool isIdempotent = false;
    std::uint64_t releaseCountWhenBlocked = 0; // of its pool, when it was blocked
    bool isBlocked = false; // it did not fit; tried again once the release count has changed
    int failures = 0;
    time_point preemptedAt; // when tasks were last stopped for it
};

/** A placed task whose resources are in use. */
struct running_task
{
    std::uint32_t target = 0; // number in the target index
    std::uint64_t workId = 0;
    std::int32_t taskIndex = 0;
    work_class kind = work_class::Batch;
    std::string team;
    std::string service;
    std::string estimateKey; // see estimateKey()
    resource_amounts need;
    time_point startedAt;
    bool isIdempotent = false;
    bool isStopping = false; // preempted
};

/** What a team may use, uses and waits for. */
struct team_state
{
    std::string name;
    double share = 1; // weight for fair sharing
    resource_amounts limit;
    resource_amounts used;
    double usageHistory = 0; // exponentially decayed mean of the dominant share
    time_point usageHistoryAt; // when the history was last updated
    std::array<std::deque<std::uint64_t>, 3> waitingIds; // by class; may hold ids of removed work
    std::array<std::size_t, 3> waitingCount {}; // work items in the queue, by class
};

/** Availability and recent failures of a target. It outlives the target's removal. */
struct target_health
{
    std::set<std::uint64_t> consecutiveFailures; // ids of work that failed since the last success
    std::uint64_t firstCountablePlacement = 0; // reports on earlier placements are ignored
    std::set<std::string> reportingGateways; // that could not reach it since a success
    time_point quarantinedUntil;
    milliseconds quarantinePeriod; // length of the latest quarantine; 0 = none since a success
    bool isQuarantined = false;
    bool isAvailable = false; // may get work, unless quarantined
};

/** What is learned from finished and running tasks of one name. */
struct usage_estimate
{
    resource_amounts peakUsage; // largest reported usage; CPU and memory decay with each success
    milliseconds runTime; // moving average; 0 = unknown
};

/** Why a work item waits. */
struct wait_reason
{
    std::string text; // for a person
    std::int32_t position = 0; // in its team's queue, from 1; 0 = it does not wait
    milliseconds waited;
};

/** All work and capacity as the leader sees them. It is not replicated: each new leader rebuilds it
    from the replicated state.
*/
struct scheduler_state
{
    policy_settings settings;
    target_index index;
    std::map<std::string, team_state> teams;
    std::unordered_map<std::uint64_t, work_item> waiting; // by work id
    std::unordered_map<std::uint64_t, running_task> running; // by placement id
    std::vector<std::unordered_set<std::uint64_t>> runningOnTarget; // placement ids by target
    std::map<std::string, target_health> health; // by target name
    std::unordered_map<std::string, usage_estimate> usageEstimates; // see estimateKey()
    std::set<std::string> urgentServices;
    std::map<std::uint64_t, std::vector<std::uint32_t>> reservedTargetsByGang; // targets by gang
    std::map<std::string, std::uint64_t> reservingGangByService; // gangs by service
    std::uint64_t nextPlacementId = 1;
    std::multimap<time_point, std::uint64_t> startDeadlines; // of urgent work
};

/** One task to start. */
struct placement_decision
{
    std::uint64_t placementId = 0;
    std::uint64_t workId = 0;
    std::int32_t taskIndex = 0;
    std::uint32_t target = 0; // number in the target index
};

/** An urgent request that did not start before its deadline. */
struct refusal_decision
{
    std::uint64_t workId = 0;
    error_kind kind = error_kind::NoCapacity;
};

/** A running task to stop so that urgent work can use its resources. */
struct stop_decision
{
    std::uint64_t placementId = 0;
};

/** The decisions of one call of schedule(). */
struct schedule_result
{
    std::vector<placement_decision> placements;
    std::vector<refusal_decision> refusals;
    std::vector<stop_decision> stops;
};

/** Adds a team, or changes its share and limit. @param share not above 0 counts as 1 */
void setTeam(scheduler_state &state, const std::string &name, double share,
             const resource_amounts &limit);

/** Sets which services run urgent tasks; a fraction of their pools is reserved for urgent work. */
void setUrgentServices(scheduler_state &state, std::set<std::string> services);

/** Adds a target or applies a change of it.

    @param entry        of a known target, usage, reservation and probing stay as they are
    @param isAvailable  whether it may get work; a quarantined target gets none either way
*/
void updateTarget(scheduler_state &state, target_entry entry, bool isAvailable);

/** Removes a target whose tasks have all been released. */
void unregisterTarget(scheduler_state &state, const std::string &name);

/** Queues work.

    @return LimitReached if one such task exceeds the team's limit, NeverFits if the work is urgent
            and no known target could ever run it, Overloaded if too many work items of the team
            wait; the work is not queued then
*/
std::error_code addWork(scheduler_state &state, work_item &&item, time_point now);

/** Queues a task again, together with the job's other waiting tasks if there are any.

    @param item       the job; its failures delay the next start
    @param taskIndex  of the task in the job
*/
void requeueTask(scheduler_state &state, work_item &&item, std::int32_t taskIndex, time_point now);

/** Removes waiting work, in constant time. */
void removeWork(scheduler_state &state, std::uint64_t workId);

/** Changes how many tasks must start together; an unknown work id is ignored. */
void setMinTasksToStart(scheduler_state &state, std::uint64_t workId, std::int32_t minTasksToStart);

/** @return the key under which usage and run time of such work are learned */
std::string estimateKey(const work_item &item);

/** Adds a running task, also one that was placed before this leader started. */
void addRunningTask(scheduler_state &state, std::uint64_t placementId, running_task &&task);

/** Releases the resources of a task that has ended. */
void releaseTask(scheduler_state &state, std::uint64_t placementId, time_point now);

/** Records how a task ended: run time and usage of its name, or a failure of its target. */
void recordTaskResult(scheduler_state &state, std::uint64_t placementId, bool succeeded,
                      time_point now);

/** Counts a failure on a target. After several failures in a row, of different work, the target is
    quarantined; while it is probed, the first failure suffices.

    @param target  name; a target that has been removed is ignored
    @param workId  of the work that failed
*/
void recordTargetFailure(scheduler_state &state, const std::string &target, std::uint64_t workId,
                         time_point now);

/** A gateway's report of a placement that it could not deliver to the target. */
struct unreachable_report
{
    std::string target;
    std::uint64_t placementId = 0;
    std::string gateway; // that reports it
    std::size_t requiredReporters = 1; // distinct gateways that must report before it counts
};

/** Counts a placement that could not be delivered as a failure of its target. Placements that were
    decided before the last counted report may have been lost in the same outage, so they do not
    count again.

    @see recordTargetFailure
*/
void recordUnreachable(scheduler_state &state, const unreachable_report &report, time_point now);

/** Clears the failures and the quarantine of a target that was reported unreachable. It has
    restarted, so the cause no longer applies.
*/
void clearUnreachable(scheduler_state &state, const std::string &target);

/** Records the usage that a target reports for a running task. Values below 0 or above the target's
    capacity are ignored.
*/
void recordUsage(scheduler_state &state, std::uint64_t placementId, const resource_amounts &used);

/** Decides what starts now. The resources of each placement are in use from then on; the caller
    releases them with releaseTask() if the task does not start.
*/
schedule_result schedule(scheduler_state &state, time_point now);

/** @return why the work of an id waits */
wait_reason explainWaiting(const scheduler_state &state, std::uint64_t workId, time_point now);

/** Ends the quarantines that have expired; those targets are then probed. */
void endExpiredQuarantines(scheduler_state &state, time_point now);

/** @return what a team uses in relation to its share; the team with the lowest value goes first */
double weightedUsage(const scheduler_state &state, team_state &team, time_point now);

/** @return the number of waiting work items of a class, over all teams */
std::size_t countWaiting(const scheduler_state &state, work_class kind);

} // namespace filbert

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

/** Which work comes first and where it goes; the baselines are for measuring against. */
enum class policy_kind {
    Filbert, // urgent first, dominant share with history, best fit, reservations
    FirstComeFirstFit,
    WeightedFair, // weighted tasks running, no classes
    DominantShare, // DRF without classes or history
    StrictPriority, // classes, then first come
};

/** Constants of the policy. */
struct policy_settings
{
    policy_kind kind = policy_kind::Filbert;
    milliseconds historyHalfLife {300'000};
    double historyWeight = 0.9;
    double urgentReserve = 0.03; // part of a pool's cores that only urgent work takes
    std::size_t maxUrgentWaiting = 2'000; // of one team
    std::size_t maxJobsWaiting = 50'000; // of one team
    milliseconds reserveGangAfter {2'000};
    milliseconds preemptAfter {300}; // an urgent task waits that long before others are stopped
    milliseconds retryBackoff {500};
    milliseconds retryBackoffMax {60'000};
    milliseconds quarantineFirst {30'000};
    milliseconds quarantineMax {600'000};
    std::size_t quarantineJobs = 3; // failures of that many different jobs in a row
    std::size_t jobsLookedAt = 16; // of one team in one pass
    std::size_t preemptionTargets = 64; // looked at for one urgent task
};

enum class work_class { Urgent, Batch, Gang };

/** Work to place: an urgent request, or a job with the tasks that wait. */
struct work_item
{
    std::uint64_t ticket = 0; // of a request, or the job's id with the top bit clear
    work_class kind = work_class::Batch;
    std::string team;
    std::string service;
    std::string queue;
    std::string name; // of the job, for learning
    resource_amounts declared;
    resource_amounts need; // declared, or learned if that is more
    std::vector<std::int32_t> tasks; // that wait; a request has one, number 0
    std::int32_t size = 1; // of the whole job
    std::int32_t together = 1; // tasks that must wait before any is started: all of a gang's
    std::vector<std::string> avoid;
    time_point since;
    time_point giveUpAt; // urgent only
    time_point notBefore;
    milliseconds runTime; // declared; 0 = unknown
    bool isIdempotent = false;
    std::uint64_t blockedAt = 0; // pool releases when it last did not fit
    bool isBlocked = false;
    int failures = 0;
    time_point preemptedAt;
};

/** What runs, as the scheduler remembers it. */
struct running_task
{
    std::uint32_t target = 0;
    std::uint64_t ticket = 0;
    std::int32_t task = 0;
    work_class kind = work_class::Batch;
    std::string team;
    std::string service;
    std::string learnName;
    resource_amounts need;
    time_point since;
    bool isIdempotent = false;
    bool isStopping = false;
};

/** One team's standing. */
struct team_view
{
    std::string name;
    double share = 1;
    resource_amounts limit;
    resource_amounts used;
    double history = 0; // decayed mean of the dominant share
    time_point historyAt;
    std::array<std::deque<std::uint64_t>, 3> waiting; // tickets by class; may hold ended ones
    std::array<std::size_t, 3> waitingCount {};
};

/** What is known of a target's failures. */
struct target_health
{
    std::set<std::uint64_t> failedJobs; // in a row
    std::uint64_t nextEvidence = 0; // placements from here on may count as unreachable
    std::set<std::string> witnesses; // gateways that could not reach it, since the last success
    time_point quarantinedUntil;
    milliseconds nextQuarantine;
    bool isQuarantined = false;
    bool isHeard = false;
};

/** What was learned of jobs of one name. */
struct learned_size
{
    resource_amounts seen;
    milliseconds runTime;
};

/** Why a piece of work waits. */
struct wait_reason
{
    std::string text;
    std::int32_t position = 0;
    milliseconds waited;
};

/** The leader's view of all work and room; rebuilt from the replicated state by each new leader. */
struct scheduler_state
{
    policy_settings settings;
    target_index index;
    std::map<std::string, team_view> teams;
    std::unordered_map<std::uint64_t, work_item> waiting;
    std::unordered_map<std::uint64_t, running_task> running; // by placement
    std::vector<std::unordered_set<std::uint64_t>> runningOnTarget;
    std::map<std::string, target_health> health;
    std::unordered_map<std::string, learned_size> learned;
    std::set<std::string> urgentServices;
    std::map<std::uint64_t, std::vector<std::uint32_t>> reservations; // targets by gang ticket
    std::map<std::string, std::uint64_t> heldPools; // by service: the gang that gathers free room
    std::uint64_t nextPlacement = 1;
    std::multimap<time_point, std::uint64_t> giveUps;
};

/** One task to start. */
struct placement_decision
{
    std::uint64_t placement = 0;
    std::uint64_t ticket = 0;
    std::int32_t task = 0;
    std::uint32_t target = 0;
};

/** An urgent request that got no room in time. */
struct refusal_decision
{
    std::uint64_t ticket = 0;
    error_kind kind = error_kind::NoCapacity;
};

/** A running task to stop, so that urgent work gets its room. */
struct stop_decision
{
    std::uint64_t placement = 0;
};

/** What a pass of schedule() decided. */
struct schedule_result
{
    std::vector<placement_decision> placements;
    std::vector<refusal_decision> refusals;
    std::vector<stop_decision> stops;
};

/** Takes over a team's share and limit, or forgets a team that has gone. */
void setTeam(scheduler_state &state, const std::string &name, double share,
             const resource_amounts &limit);

/** Names the services whose tasks are urgent; a part of their pools is kept from other work. */
void setUrgentServices(scheduler_state &state, std::set<std::string> services);

/** Takes in a target or its change. @param isHeard whether it may get work, but for quarantine */
void setTarget(scheduler_state &state, target_view view, bool isHeard);

/** Forgets a target whose tasks have all been released. */
void dropTarget(scheduler_state &state, const std::string &name);

/** Takes in work.

    @return LimitReached if the team could never run one such task, NeverFits if no known target
            could, Overloaded if too much of the team's waits; nothing is kept then
*/
std::error_code addWork(scheduler_state &state, work_item &&item, time_point now);

/** Lets tasks of a known or forgotten job wait again. */
void returnTask(scheduler_state &state, work_item &&item, std::int32_t task, time_point now);

/** Forgets waiting work; constant time. */
void dropWork(scheduler_state &state, std::uint64_t ticket);

/** Changes how many tasks of waiting work must start together. @param ticket may be unknown */
void setTogether(scheduler_state &state, std::uint64_t ticket, std::int32_t together);

/** @return the name that sizes and run times of such work are learned under */
std::string learnName(const work_item &item);

/** Takes over what runs already, when a leader starts. */
void noteRunning(scheduler_state &state, std::uint64_t placement, running_task &&task);

/** Gives the room of an ended task back. */
void releaseTask(scheduler_state &state, std::uint64_t placement, time_point now);

/** Learns from a task's end: sizes and times of its name, failures of its target. */
void noteResult(scheduler_state &state, std::uint64_t placement, bool succeeded, time_point now);

/** Counts a failure that lies with a target; after several of different work in a row it gets none.

    @param target  name of it; one that has gone is passed over
    @param ticket  what failed there
*/
void noteFailure(scheduler_state &state, const std::string &target, std::uint64_t ticket,
                 time_point now);

/** A placement that never reached its target. */
struct unreachable_report
{
    std::string target;
    std::uint64_t placement = 0;
    std::string gateway; // that could not bring it there
    std::size_t witnesses = 1; // different gateways that must have said so before it counts
};

/** Counts a placement that never reached its target. Those decided before the last one that was
    counted were lost together with it, and are no further evidence. @see noteFailure */
void noteUnreachable(scheduler_state &state, const unreachable_report &report, time_point now);

/** A target has started anew, so that what kept requests from it has gone. */
void forgetUnreachable(scheduler_state &state, const std::string &target);

/** Learns from a target's report on a running task. */
void noteUsage(scheduler_state &state, std::uint64_t placement, const resource_amounts &used);

/** Decides what starts now. Rooms are taken at once; the caller releases what comes to nothing. */
schedule_result schedule(scheduler_state &state, time_point now);

/** @param ticket of waiting work @return why it waits */
wait_reason explainWaiting(const scheduler_state &state, std::uint64_t ticket, time_point now);

/** Ends quarantines whose time is over. */
void reviewQuarantines(scheduler_state &state, time_point now);

/** A team's weighted use; the lowest comes first. */
double weightedUse(const scheduler_state &state, team_view &team, time_point now);

/** @return how many wait, of one class */
std::size_t countWaiting(const scheduler_state &state, work_class kind);

} // namespace filbert

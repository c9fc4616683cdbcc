#pragma once

#include "filbert_work/filbert_work.h"

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

/** Timeouts, periods and limits for the leader's communication with targets. */
struct dispatch_settings
{
    // Outlasts an election (1 s), the first call of a new leader and one lost poll. A target grants
    // no lease longer than its own maximum, see maxTargetLease.
    milliseconds targetLease {5'000};
    milliseconds longestLease {6'000}; // the longest lease that a target grants; from the settings
    milliseconds lookWait {1'500}; // a poll returns by then; a lease is longer than two polls
    // Where best-effort runs share a target with latency-sensitive ones.
    milliseconds busyLookWait {400};
    milliseconds startTimeout {150}; // many round trips; sending a start again does no harm
    milliseconds firstRetryPause {20}; // after the first timeout, since urgent work waits
    milliseconds orderTimeout {700}; // of stops and work rates, which nothing waits for
    // No process ends and starts again between two polls that are this close to each other.
    milliseconds sameLifeSpan {400};
    milliseconds lookGrace {700}; // added to the wait of a poll
    milliseconds retryPause {150}; // between tries of one order; an unreachable target costs little
    // Where answers get lost, short timeouts and a second try cost less than they save.
    milliseconds lossSpan {5'000}; // a lost answer counts for that long
    std::size_t lossyTargets = 2; // that lost an answer; a single one may be at fault itself
    milliseconds lossyLookWait {250}; // a third of the shortest usual task
    milliseconds lossyLookGrace {150};
    milliseconds lossyStartTimeout {70}; // ten round trips between failure domains
    milliseconds startSpan {2'200}; // an unanswered start is withdrawn after that: three tries
    milliseconds contactSpan {3'300}; // two missed reports of 1.5 s: no new work for that target
    milliseconds lateOrderSpan {12'000}; // an unanswered order may still be carried out this late
    milliseconds stallSpan {2'500}; // without progress; longer than a restore from a checkpoint
    milliseconds firstAvoidance {3'000}; // of a target that failed several jobs in a row
    milliseconds longestAvoidance {12'000};
    int failuresBeforeAvoidance = 3; // in a row, from different jobs
    milliseconds ticketMargin {250}; // a start must reach its target before its ticket expires
    milliseconds targetsPeriod {20}; // between ticks of all targets, for what is due by time alone
    milliseconds passPeriod {100}; // between passes while tasks wait and nothing changes
    milliseconds retention {130'000}; // of ended jobs: what the platform requires and a margin
    double urgentHeadroom = 0.08; // fraction of a service's cores kept for its most urgent queue
};

enum class run_phase { Ordered, Started, Stopping };

/** What the leader knows about a run beyond the replicated state. */
struct run_view
{
    std::uint32_t run = 0;
    run_phase phase = run_phase::Started;
    bool isOrderOpen = false; // a start or stop was sent and is not answered yet
    bool isDropProposed = false; // the log is to record that the run is over without an end
    bool mayBeThere = true; // some start order may have arrived there
    time_point orderedAt;
    time_point startedAt;
    time_point retryAt;
    time_point confirmedAt; // when the target confirmed the last start or stop; 0 = not yet
    // Until then a late order to the previous incarnation may still start the run in this one.
    time_point mayLingerUntil;
    std::string ticket;
    int percent = 0;
    time_point progressAt;
    time_point seenAt; // when a poll last listed it; 0 = never
    std::int64_t tailMs = 0; // of a task with a latency target
    std::int64_t coresInUse = 0; // of any other task, in thousandths
    int pace = 100; // in percent, as last ordered
    std::string checkpoint;
};

/** What the leader knows about the current incarnation of a target beyond the replicated state. */
struct target_conversation
{
    std::string id;
    std::int64_t born = 0;
    std::optional<std::int64_t> clockMs; // last known reading of the target's clock
    time_point clockAt; // when that reading arrived
    std::int64_t leaseUntil = 0; // the latest expiry that was sent, on the target's clock
    time_point lapseBy; // by then all leases of earlier terms have expired
    time_point heardAt; // time of the last report or answer
    time_point answeredAt; // to an order, which shows that the connection works in both directions
    bool isSuspect = false; // an order got no answer, and neither did any that was sent later
    bool isLookOpen = false;
    time_point lookAt; // the next poll is sent no earlier
    time_point lookSentAt;
    time_point lookedAt; // when the last poll was answered; 0 = it was not
    std::uint64_t proposedEnds = 0; // number of the last reported end proposed to the log
    std::uint64_t acknowledged = 0; // number of the last end that a poll acknowledged
    std::uint64_t sequence = 0; // of the last report
    resource_amounts planned; // by proposed starts
    std::int64_t plannedFill = 0;
    std::map<task_name, run_view> runs;
    std::map<task_name, std::uint32_t> strays; // runs that nobody ordered, to be stopped
    std::set<std::string> failedJobs; // since the last run that ended well
    time_point avoidUntil;
    milliseconds avoidance;
    std::optional<time_point> leavingSince; // when it reported that it ends
    time_point leavesAt; // while it drains: it stays until then
    bool isLeaveProposed = false;
    bool isReviewDue = true; // what it runs and has ended is not fully known
};

/** What is known about the admission of a step: the targets on which the policy service lets it
    run, and the tickets for these. */
struct admission_view
{
    struct ticket
    {
        std::string text;
        time_point issuedAt;
    };
    std::unordered_map<std::string, ticket> admitted; // by target
    std::unordered_set<std::string> asked; // targets named in answered requests
    std::size_t openRequests = 0; // those without an answer yet
    time_point notBefore;
};

/** A request to the policy service that waits for a caller or for its answer. */
struct open_admission
{
    task_name step;
    std::vector<std::string> targets;
    milliseconds expected; // how long the call should take
    int priority = 0;
    time_point since;
    std::string caller; // the process that makes the call; empty = it waits for one
    time_point sentAt;
};

/** A process that can call the policy service. */
struct admission_caller
{
    time_point heardAt;
    std::uint64_t process = 0; // distinguishes processes that have had the same name
    std::uint64_t openRequest = 0;
};

/** What the leader derives from a job to decide which of its steps come next. */
struct job_view
{
    std::map<std::uint32_t, time_point> begunAt; // by occurrence
    // By step: the longest path of estimates from the start of the step to the end of the job.
    std::vector<milliseconds> chainFrom;
    milliseconds chain; // of the whole job
    std::set<std::pair<std::uint32_t, std::uint32_t>> open; // (occurrence, step) with waiting tasks
    std::set<std::pair<std::uint32_t, std::uint32_t>> coming; // those soon to be pending
};

enum class order_kind { Start, Stop, Look, Pace };

/** One call of a target; which of the fields apply depends on the kind. */
struct target_order
{
    order_kind kind = order_kind::Look;
    std::string target;
    std::int64_t born = 0;
    std::string address;
    task_name task;
    std::uint32_t run = 0;
    std::string spec;
    std::string checkpoint;
    std::string ticket;
    std::int64_t leaseUntil = 0; // on the target's clock; 0 = the lease stays as it is
    std::uint64_t fencingToken = 0; // the leader's term
    std::uint64_t lastEndTaken = 0; // ends up to this number are in the log
    milliseconds wait; // how long the target may hold a poll until a run ends
    int pace = 100;
    milliseconds timeout;
    time_point sentAt;
    std::uint64_t carriedId = 0; // set if another process makes the call
};

enum class order_result {
    Done,
    Fenced, // the target has had an order from a leader of a later term
    Old, // the run or a later one of its task was stopped or has ended there
    Late, // the lease that the order granted had expired on arrival
    NoRoom,
    BadTicket,
    Unhealthy, // the target cannot work at present
    WrongLife, // another target or incarnation answers at this address
    Rejected, // the target could not read the order
    Unanswered, // the order may have been carried out, or may still be
    Unreachable, // not a byte of the order was sent
    CarrierLost, // the relay is silent: nothing is known about the target
};

/** @return the name of a result in logs and metrics */
std::string_view resultName(order_result result);

/** A run that a target lists in its answer to a poll. */
struct reported_run
{
    task_name task;
    std::uint32_t run = 0;
    std::string checkpoint;
    int percent = 0;
    // Tail latency in ms if the task has a latency target, else cores in use, in thousandths.
    std::int64_t gauge = 0;
};

/** The end of a run that a target lists in its answer to a poll. */
struct reported_end
{
    std::uint64_t number = 0;
    task_name task;
    std::uint32_t run = 0;
    messages::end_kind kind = messages::END_UNKNOWN;
    std::string checkpoint;
};

/** The answer to an order, or the failure to get one. */
struct order_answer
{
    order_result result = order_result::Unanswered;
    std::optional<std::int64_t> clockMs;
    std::optional<std::int64_t> born;
    std::vector<reported_run> runs;
    std::vector<reported_end> ends;
};

/** A request for the process that is to call the policy service with it. */
struct admission_call
{
    std::string caller;
    messages::admission_request request;
};

/** What the caller has to carry out: commands to propose, orders to send, requests to pass on. */
struct dispatch_effects
{
    std::vector<messages::work_command> commands;
    std::vector<target_order> orders;
    std::vector<admission_call> admissions;
};

/** All that only a serving leader knows; it starts empty with each term. */
struct dispatch_state
{
    dispatch_settings settings;
    const work_state *work = nullptr;
    std::uint64_t term = 0;
    time_point leadingSince;
    std::map<std::string, target_conversation> targets; // by id
    std::map<std::string, job_view> jobs; // by id; without ended ones
    std::map<task_name, std::string> planned; // proposed starts: target by task
    std::map<task_name, admission_view> admissions; // by step (index 0)
    std::map<std::uint64_t, open_admission> openAdmissions;
    std::map<std::string, admission_caller> callers;
    std::map<std::string, resource_amounts> teamPlanned;
    std::map<task_name, std::string> plannedTickets;
    std::set<std::pair<std::string, std::uint32_t>> begun; // (job, occurrence)
    std::uint64_t lastAdmission = 0;
    std::map<std::string, time_point> lostAnswers; // by target: when its last answer got lost
    time_point forgetAt;
    std::set<std::string> changedTargets; // ids of those with new events since the last tick
    time_point targetsAt; // the next tick of all targets, not only of the changed ones
    bool isChanged = true; // the next pass may find something to place
    // The next pass even if nothing changes: tickets and quarantines end by time alone.
    time_point passAt;
    time_point passNotBefore; // many pending steps make a pass long: passes are further apart then
    std::size_t waitingSteps = 0; // as of the last pass
    std::uint64_t passes = 0;
    dispatch_effects effects;
};

/** @return the name of a task's step: the task name with index 0 */
inline task_name stepOf(const task_name &name)
{
    return {name.job, name.occurrence, name.step, 0};
}

/** @return an estimate of the target's clock that is not below its true reading
    @param target  a reading of its clock must be known */
std::int64_t clockAtMost(const target_conversation &target, time_point now);

/** @return an estimate of the target's clock that is not above its true reading
    @param target  a reading of its clock must be known */
std::int64_t clockAtLeast(const target_conversation &target, time_point now);

/** Reserves resources for a start, from its proposal until it is committed or refused. */
void planStart(dispatch_state &state, const task_name &task, target_conversation &target);

/** Releases the reservation of a start, if there is one. */
void unplanStart(dispatch_state &state, const task_name &task);

/** Creates the state of a new term from the replicated state.

    @param work    must outlive the result
    @param wallMs  wall clock time in ms
*/
dispatch_state startDispatch(const work_state &work, const dispatch_settings &settings,
                             std::uint64_t term, time_point now, std::int64_t wallMs);

/** Updates the state after a command of the log was committed and applied.
    @param refused  whether applying it changed nothing */
void afterCommand(dispatch_state &state, const messages::work_command &command, bool refused,
                  time_point now);

/** Does what is due: retries, polls, expired leases, occurrences, the removal of ended jobs, a
    placement pass, admission requests. */
void stepDispatch(dispatch_state &state, time_point now, std::int64_t wallMs);

} // namespace filbert

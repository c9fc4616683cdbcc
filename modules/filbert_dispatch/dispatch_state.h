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

/** Times and bounds of the leader's dealings with targets. */
struct dispatch_settings
{
    // Outlasts an election (1 s), the first call of a new leader and one lost look; a target grants
    // no longer lease than its own maximum, see longestLease.
    milliseconds targetLease {5'000};
    milliseconds longestLease {6'000}; // that a target grants; from the settings
    milliseconds lookWait {
        1'500}; // a look returns by then; two fit into a lease with room to spare
    milliseconds busyLookWait {400}; // where tasks that fill gaps work beside tasks that serve
    milliseconds startTimeout {150}; // many round trips; a start may be sent again without harm
    milliseconds firstRetryPause {20}; // after the first time-out, since urgent work waits
    milliseconds orderTimeout {700}; // of stops and throttles, which nobody waits for
    milliseconds sameLifeSpan {400}; // no process ends and starts again between two looks so close
    milliseconds lookGrace {700}; // on top of a look's wait
    milliseconds retryPause {150}; // between tries of one order; an unreachable target costs little
    // Where answers get lost on their way, a short wait and a second try cost less than they save.
    milliseconds lossSpan {5'000}; // an answer lost so lately counts
    std::size_t lossyTargets = 2; // that have lost one in that span; one alone may be its own fault
    milliseconds lossyLookWait {250}; // a third of the shortest usual task
    milliseconds lossyLookGrace {150};
    milliseconds lossyStartTimeout {70}; // ten round trips between failure domains
    milliseconds startSpan {2'200}; // a start without an answer is taken back after three tries
    milliseconds contactSpan {3'300}; // two missed reports of 1.5 s: no new work for that target
    milliseconds lateOrderSpan {12'000}; // an order without an answer may be carried out so late
    milliseconds stallSpan {2'500}; // without any progress, longer than a restore from a checkpoint
    milliseconds firstAvoidance {3'000}; // of a target that failed several jobs in a row
    milliseconds longestAvoidance {12'000};
    int failuresBeforeAvoidance = 3; // in a row, from different jobs
    milliseconds ticketMargin {250}; // a start must reach its target before its ticket ends
    milliseconds targetsPeriod {20}; // between looks through all targets: what time alone brings
    milliseconds passPeriod {100}; // between passes while something waits and nothing changes
    milliseconds retention {130'000}; // of ended jobs: what the platform asks for and a margin
    double urgentHeadroom = 0.08; // of a service's cores, kept for its most urgent queue
};

enum class run_phase { Ordered, Started, Stopping };

/** What the leader knows of one run beyond the replicated state. */
struct run_view
{
    std::uint32_t run = 0;
    run_phase phase = run_phase::Started;
    bool isOrderOpen = false; // a start or stop is under way
    bool isDropProposed = false; // it is being given up in the log
    bool mayBeThere = true; // some start order may have reached the target
    time_point orderedAt;
    time_point startedAt;
    time_point retryAt;
    time_point confirmedAt; // a start or stop was answered
    time_point mayLingerUntil; // an order to the life before may begin it in this one until then
    std::string ticket;
    int percent = 0;
    time_point progressAt;
    time_point seenAt; // the last look that listed it; 0 = none has
    std::int64_t tailMs = 0; // of a task that serves
    std::int64_t coresInUse = 0; // of any other
    int pace = 100; // percent that the task was told to work at
    std::string checkpoint;
};

/** What the leader knows of one target's life beyond the replicated state. */
struct target_conversation
{
    std::string id;
    std::int64_t born = 0;
    std::optional<std::int64_t> clockMs; // its last known reading
    time_point clockAt; // when that reading came
    std::int64_t leaseUntil = 0; // the latest end that it may have been told, on its clock
    time_point lapseBy; // every lease of the term before has ended by then
    time_point heardAt; // a report or an answer
    time_point answeredAt; // an answer to a call: the way there works in both directions
    bool isSuspect = false; // a call got no answer, and none that was sent later has got one
    bool isLookOpen = false;
    time_point lookAt; // the next look, not before
    time_point lookSentAt;
    time_point lookedAt; // the last look was answered by this life then; 0 = it was not
    std::uint64_t proposedEnds = 0; // number of the last end that was proposed
    std::uint64_t acknowledged = 0; // number of the last end that a look has acknowledged
    std::uint64_t sequence = 0; // of its last report
    resource_amounts planned; // of starts that are proposed
    std::int64_t plannedFill = 0;
    std::map<task_name, run_view> runs;
    std::map<task_name, std::uint32_t> strays; // runs that nobody asked for, to be stopped
    std::set<std::string> failedJobs; // since its last good end
    time_point avoidUntil;
    milliseconds avoidance;
    std::optional<time_point> leavingSince; // it said good-bye
    time_point leavesAt; // while draining: not before
    bool isLeaveProposed = false;
    bool isReviewDue = true; // what it runs and has ended is not known in full
};

/** Whether a policy lets a step run on a target, and with which ticket. */
struct admission_view
{
    struct ticket
    {
        std::string text;
        time_point issuedAt;
    };
    std::unordered_map<std::string, ticket> admitted; // by target
    std::unordered_set<std::string> asked; // targets that were named in an answered request
    std::size_t openRequests = 0; // that have no answer yet
    time_point notBefore;
};

/** A request to the policy service, waiting or under way. */
struct open_admission
{
    task_name step;
    std::vector<std::string> targets;
    milliseconds expected; // time that the service takes for it
    int priority = 0;
    time_point since;
    std::string caller; // process that makes the call; empty = waits for one
    time_point sentAt;
};

/** A process that can call the policy service. */
struct admission_caller
{
    time_point heardAt;
    std::uint64_t process = 0; // differs between two processes of one name
    std::uint64_t openRequest = 0;
};

/** What the leader works out of a job for ordering it. */
struct job_view
{
    std::map<std::uint32_t, time_point> begunAt; // by occurrence
    std::vector<milliseconds> chainFrom; // by step: the longest chain of estimates from there on
    milliseconds chain; // of the whole job
    std::set<std::pair<std::uint32_t, std::uint32_t>> open; // (occurrence, step) with waiting tasks
    std::set<std::pair<std::uint32_t, std::uint32_t>> coming; // those whose turn comes soon
};

enum class order_kind { Start, Stop, Look, Pace };

/** One call of a target. */
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
    std::int64_t leaseUntil = 0; // on the target's clock; 0 = leave the lease as it is
    std::uint64_t fencingToken = 0; // the leader's term
    std::uint64_t lastEndTaken = 0; // ends up to here are taken note of
    milliseconds wait; // of a look, for an end
    int pace = 100;
    milliseconds timeout;
    time_point sentAt;
    std::uint64_t carriedId = 0; // where another process makes the call
};

enum class order_result {
    Done,
    Fenced, // a leader of a later term was there
    Old, // the run, or a later one, was stopped or has ended there
    Late, // the order's lease was over when it came
    NoRoom,
    BadTicket,
    Unhealthy, // the target does nothing now
    WrongLife, // another target answers at this address
    Rejected, // it could not be read there
    Unanswered, // it may have been carried out, or be carried out later
    Unreachable, // not a byte of it has left
    CarrierLost, // the process that carries orders is silent: nothing is known of the target
};

/** @param result any @return its name in logs */
std::string_view resultName(order_result result);

/** One run that a target reports. */
struct reported_run
{
    task_name task;
    std::uint32_t run = 0;
    std::string checkpoint;
    int percent = 0;
    std::int64_t gauge = 0; // tail in ms of a task that serves, else cores in use, in thousandths
};

/** One end that a target reports. */
struct reported_end
{
    std::uint64_t number = 0;
    task_name task;
    std::uint32_t run = 0;
    messages::end_kind kind = messages::END_UNKNOWN;
    std::string checkpoint;
};

/** What a target answered. */
struct order_answer
{
    order_result result = order_result::Unanswered;
    std::optional<std::int64_t> clockMs;
    std::optional<std::int64_t> born;
    std::vector<reported_run> runs;
    std::vector<reported_end> ends;
};

/** A request that goes out to a process which calls the policy service. */
struct admission_call
{
    std::string caller;
    messages::admission_request request;
};

/** What must be done after a step. */
struct dispatch_effects
{
    std::vector<messages::work_command> commands;
    std::vector<target_order> orders;
    std::vector<admission_call> admissions;
};

/** Everything that only a serving leader knows; it starts empty with each term. */
struct dispatch_state
{
    dispatch_settings settings;
    const work_state *work = nullptr;
    std::uint64_t term = 0;
    time_point leadingSince;
    std::map<std::string, target_conversation> targets; // by id
    std::map<std::string, job_view> jobs; // by id; those that are not ended
    std::map<task_name, std::string> planned; // proposed starts: task to target
    std::map<task_name, admission_view> admissions; // by step: index 0
    std::map<std::uint64_t, open_admission> openAdmissions;
    std::map<std::string, admission_caller> callers;
    std::map<std::string, resource_amounts> teamPlanned;
    std::map<task_name, std::string> plannedTickets;
    std::set<std::pair<std::string, std::uint32_t>> begun; // proposed occurrences
    std::uint64_t lastAdmission = 0;
    std::map<std::string, time_point> lostAnswers; // by target: when an answer of it got lost
    time_point forgetAt;
    std::set<std::string> changedTargets; // ids of those that an event has touched
    time_point targetsAt; // when all are looked through the next time
    bool isChanged = true; // the next pass may find something to place
    time_point passAt; // the next pass even if nothing changed: tickets and avoidances end by time
    time_point passNotBefore; // many waiting steps make a pass long: fewer passes then
    std::size_t waitingSteps = 0; // as of the last pass
    std::uint64_t passes = 0;
    dispatch_effects effects;
};

/** @return the name of a step: index 0 stands for all */
inline task_name stepOf(const task_name &name)
{
    return {name.job, name.occurrence, name.step, 0};
}

/** @return an estimate of the target's clock that is not below its true reading */
std::int64_t clockAtMost(const target_conversation &target, time_point now);

/** @return an estimate of the target's clock that is not above its true reading */
std::int64_t clockAtLeast(const target_conversation &target, time_point now);

/** Keeps room for a start from its proposal until it is committed or refused. */
void planStart(dispatch_state &state, const task_name &task, target_conversation &target);

/** Gives back what planStart() has kept; one that was not planned is passed over. */
void unplanStart(dispatch_state &state, const task_name &task);

/** Starts a term: takes over what the replicated state says. */
dispatch_state startDispatch(const work_state &work, const dispatch_settings &settings,
                             std::uint64_t term, time_point now, std::int64_t wallMs);

/** Takes a committed command in. @param refused whether applying it changed nothing */
void afterCommand(dispatch_state &state, const messages::work_command &command, bool refused,
                  time_point now);

/** Lets time pass: retries, looks, lapses, placements, admissions, due occurrences. */
void stepDispatch(dispatch_state &state, time_point now, std::int64_t wallMs);

} // namespace filbert

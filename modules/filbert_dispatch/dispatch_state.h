#pragma once

#include "cold_targets.h"
#include "job_admission.h"
#include "round_trip_estimate.h"
#include "target_speeds.h"
#include "team_shares.h"

#include "filbert_work/filbert_work.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
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
    // The longest lease that a target grants; from the settings.
    milliseconds maxTargetLease {6'000};
    milliseconds pollWait {1'500}; // a poll returns by then; a lease is longer than two polls
    // Instead of pollWait on a target with both best-effort and latency-sensitive runs.
    milliseconds mixedLoadPollWait {400};
    // Many round trips; sending a start again does no harm. Longer where answers take longer.
    milliseconds startTimeout {150};
    // Starts under way to one target at a time, as many as its connections for orders. The others
    // wait with the leader, so that no timeout counts the time that they wait for a connection.
    std::size_t maxPendingStarts = 4;
    milliseconds initialRetryDelay {20}; // after the first timeout, since urgent work waits
    milliseconds orderTimeout {700}; // of stops and work rates; no task waits for these
    // A target that answered a poll this recently is taken for the same incarnation: no process
    // ends and starts again within this time.
    milliseconds sameIncarnationWindow {400};
    milliseconds pollGracePeriod {700}; // the timeout of a poll is its wait and this
    // Between attempts of one order; at this rate an unreachable target costs little.
    milliseconds retryDelay {150};
    // While the network loses answers, the lossy values below replace the usual ones: short
    // timeouts and a second attempt then cost less than they save.
    milliseconds answerLossWindow {5'000}; // a lost answer counts for this long
    // Number of targets whose answers were lost, and the fraction of the targets in contact: single
    // targets may be at fault themselves.
    std::size_t lossyTargetThreshold = 2;
    double lossyTargetFraction = 0.04;
    milliseconds lossyPollWait {250}; // a third of the shortest usual task
    // Polls of all targets while answers get lost. A poll takes the leader and its relay 0.1 ms of
    // processor time each; with more targets than this allows, each is polled more rarely.
    std::int64_t maxLossyPollsPerSecond = 1'500;
    // Of a target without runs on which a late start may begin one. Two such polls, one of them
    // lost, and a stop fit into the time that an orphan run may take to be stopped.
    milliseconds idlePollWait {1'000};
    milliseconds lossyPollGracePeriod {150};
    // Ten round trips between failure domains. Longer where answers take longer.
    milliseconds lossyStartTimeout {70};
    // Early retries of starts that each start permits on average, so that retries cannot become the
    // larger part of the load.
    double retriesPerStart = 0.5;
    double maxRetryTokens = 50; // early retries permitted at once
    // After this time, three attempts, a start without an answer is not sent again but withdrawn.
    milliseconds startRetryPeriod {2'200};
    milliseconds contactTimeout {3'300}; // two missed reports of 1.5 s: then no new work
    milliseconds maxOrderDelay {12'000}; // an unanswered order may still be carried out this late
    milliseconds maxWallClockError {5'000}; // between the wall clocks of two hosts
    // A run without progress for this long is stopped; a restore from a checkpoint takes less.
    milliseconds stallTimeout {2'500};
    milliseconds initialQuarantine {3'000}; // of a target that failed several jobs in a row
    milliseconds maxQuarantine {12'000};
    int failuresBeforeQuarantine = 3; // in a row, from different jobs
    // A start must reach its target before its ticket expires. The margin is longer while starts
    // take longer, up to a fraction of the time for which a ticket is valid.
    milliseconds ticketMargin {250};
    std::int64_t maxTicketMarginDivisor = 2;
    // At the latest after this time a target is ticked again, even if nothing was due earlier.
    milliseconds maxTargetPause {1'000};
    // Between reviews of the requests to the policy service, unless one was made, was answered or
    // can be sent.
    milliseconds admissionReviewPeriod {20};
    // A caller gets further quick requests while those that it has take less than this time. It
    // then has work until the leader's next turn, also where turns are long.
    milliseconds maxQueuedAdmissionTime {100};
    milliseconds passPeriod {100}; // between passes while tasks wait and nothing changes
    // A run under which its target was heard after this time does not crash targets by starting.
    milliseconds crashWindow {500};
    // A target that ran for less before it crashed may be at fault itself.
    milliseconds minSoundLifetime {10'000};
    // Between counts of the pending jobs: a quarter of how old the count may be.
    milliseconds pendingCountPeriod {500};
    milliseconds jobRetention {130'000}; // of ended jobs: the platform's minimum and a margin
    double urgentHeadroom = 0.08; // fraction of a service's cores kept for its most urgent queue
};

enum class run_phase { Ordered, Started, Stopping };

/** What the leader knows about a run beyond the replicated state. */
struct run_view
{
    std::uint32_t run = 0;
    run_phase phase = run_phase::Started;
    bool isOrderPending = false; // a start or stop was sent and is not answered yet
    bool isAbandonmentProposed = false; // a command that ends it without a report was proposed
    // At least one start order may have arrived, apart from one that is pending.
    bool mayHaveReachedTarget = true;
    time_point
        placedAt; // when this leader placed it; 0 = without a ticket, or an earlier leader did
    time_point orderedAt; // when its start was sent first; 0 = not yet
    std::uint64_t startNumber = 0; // starts wait for their target in this order
    int startAttempts = 0;
    time_point startedAt;
    time_point retryAt;
    time_point confirmedAt; // when the target confirmed the last start or stop; 0 = not yet
    std::string ticket;
    time_point ticketExpiresAt; // 0 = it needs no ticket, or an earlier leader has sent it
    int percentDone = 0;
    time_point lastProgressAt;
    time_point lastListedAt; // when a poll last listed it; 0 = never
    // When the latest poll was sent whose answer listed it as running: it had not ended before.
    time_point hadNotEndedAt;
    // When a poll sent after confirmedAt was first answered without listing it; it counts only if
    // it is later than confirmedAt.
    time_point unlistedSince;
    std::int64_t tailLatencyMs = 0; // of a task with a latency target
    std::int64_t milliCoresInUse = 0; // of any other task
    int workRate = 100; // in percent, as last ordered
    std::string checkpoint;
};

/** A start that got no answer. It may be carried out late, also by a later incarnation. */
struct unanswered_start
{
    std::uint32_t run = 0;
    time_point mayArriveUntil;
};

/** A run that a target has, or may begin by a late start, although the log does not have it. */
struct orphan_run
{
    std::uint32_t run = 0;
    time_point nextStopAt;
    time_point confirmedAt; // when the target confirmed its stop; 0 = not yet
    bool isListed = false; // by the target
};

/** What the leader knows about the current incarnation of a target beyond the replicated state. */
struct tracked_target
{
    std::string id;
    std::int64_t incarnation = 0;
    std::optional<std::int64_t> clockMs; // last known reading of the target's clock
    time_point clockReadAt; // when that reading arrived
    time_point registeredAt; // when this incarnation was registered, or the term began
    std::int64_t leaseExpiresAt = 0; // the latest expiry that was sent, on the target's clock
    time_point lastLeaseSentAt; // when the last order that grants a lease was sent
    // By then all leases have expired that this leader has not granted to this incarnation: those
    // of earlier terms, and those that orders to earlier incarnations granted to this one.
    time_point otherLeasesExpireBy;
    time_point lastContactAt; // time of the last report or answer
    // Time of the last answer to an order: the connection works in both directions then.
    time_point lastAnswerAt;
    bool isSuspect = false; // an order got no answer, nor did any that was sent later
    bool isPollPending = false;
    time_point nextPollAt; // the next poll is sent no earlier
    time_point pollSentAt;
    time_point pollAnsweredAt; // when the last poll was answered; 0 = it was not
    std::uint64_t lastProposedEnd = 0; // number of the last reported end proposed to the log
    std::uint64_t lastAcknowledgedEnd = 0; // number of the last end that a poll acknowledged
    time_point allEndsListedUntil; // all ends that occurred before this time have been listed
    std::uint64_t reportSequence = 0; // of the last report
    resource_amounts reservedResources; // by proposed starts
    std::int64_t reservedBestEffortCores = 0;
    std::map<task_name, run_view> runs;
    std::map<task_name, orphan_run> orphanRuns; // to be stopped
    std::map<task_name, unanswered_start> unansweredStarts; // of all incarnations
    // Until then orders to a previous incarnation may arrive. Those that this leader has not sent
    // may begin any run.
    time_point lateOrdersUntil;
    // Runs that were abandoned because this incarnation is silent. If it has crashed, they count.
    std::map<task_name, messages::suspected_run> lostRuns;
    std::set<std::string> failedJobs; // since the last run that ended well
    time_point quarantinedUntil;
    milliseconds quarantinePeriod;
    std::optional<time_point> leavingSince; // when it reported that it is about to end
    time_point drainDeadline; // when a draining target ends; 0 = not draining
    cold_period cold;
    bool isRemovalProposed = false;
    target_speed speed;
    bool isInventoryStale = true; // its runs and ended runs are not fully known
    time_point dueAt; // when it is ticked next, unless it changes before; see dueTargets
};

/** What an incarnation of a target that is not registered yet has reported about being slow. */
struct announced_cold_period
{
    std::int64_t incarnation = 0;
    cold_period cold;
};

/** What is known about the admission of a step: the targets on which the policy service lets it
    run, and the tickets for these. */
struct admission_view
{
    struct ticket
    {
        std::string text;
        time_point issuedAt;
        bool isUsed = false; // a task was placed with it
        // Where its target is in the list of a certain version; see service_targets.
        mutable std::uint64_t listVersion = 0;
        mutable std::optional<std::size_t> listIndex;
    };
    std::unordered_map<std::string, ticket> tickets; // by target
    std::unordered_set<std::string> requestedTargets; // targets named in answered requests
    std::size_t pendingRequests = 0; // those without an answer yet
    time_point nextRequestAt;
    time_point newestTicketAt; // when the newest ticket was issued; 0 = there is none
    // Since when the step has had a request that no caller has got; 0 = it has none. A request that
    // is withdrawn and made anew keeps this time.
    time_point waitsSince;
    time_point withdrawnAt; // when its last request was withdrawn
    bool hasNewTickets = false; // an answer has arrived since a pass last tried the step
};

/** The ticket of a start that was proposed. */
struct reserved_ticket
{
    std::string text;
    time_point placedAt;
    time_point expiresAt; // 0 = none is needed
};

/** What a call of the policy service is for. */
enum class call_purpose {
    First, // the first tickets of a step: the best fits, targets without free capacity last
    Further, // targets that were not named before
    Renewal, // targets whose earlier tickets expire
};
constexpr std::size_t callPurposeCount = 3;

/** What decides which of the waiting requests gets a caller first: the order of the pass that made
    them. */
struct call_order
{
    int rank = 0; // see pending_step::rank
    bool isBeyondShare = false; // see pending_step::isBeyondShare
    std::size_t place = 0; // of the step among the pending ones
};

/** A request to the policy service that waits for a caller or for its answer. */
struct pending_admission
{
    std::uint64_t id = 0;
    task_name step;
    std::vector<std::string> targets;
    milliseconds expectedDuration; // how long the call should take
    call_purpose purpose = call_purpose::First;
    call_order order;
    time_point requestedAt;
    time_point waitsSince; // see admission_view::waitsSince
    bool wasSent = false; // to any caller; such a request is not withdrawn
    std::string caller; // the process that makes the call; empty = it waits for one
    time_point sentAt;
    time_point expectedAt; // when the answer should come, after those of earlier calls
};

/** A process that can call the policy service. */
struct admission_caller
{
    time_point lastContactAt;
    bool isAvoided = false; // a request got no answer: it gets no other one before its next hello
    std::uint64_t process = 0; // distinguishes successive processes of one name
    std::set<std::uint64_t> pendingRequests; // the service handles them one after the other
    time_point busyUntil; // when the last of these should have been handled
};

/** What the leader derives from a job to decide which of its steps come next. */
struct job_view
{
    const work_job *record = nullptr; // outlives the view, which ends with the job
    std::map<std::uint32_t, time_point> occurrenceBegunAt; // by occurrence
    // By step: the longest path of estimates from the start of the step to the end of the job.
    std::vector<milliseconds> criticalPathFrom;
    milliseconds criticalPath; // of the whole job
    // Pairs of occurrence and step, of steps with waiting tasks.
    std::set<std::pair<std::uint32_t, std::uint32_t>> pendingSteps;
    std::set<std::pair<std::uint32_t, std::uint32_t>> upcomingSteps; // pending soon
    waiting_work waiting; // without long-running steps
    // Whether a step may have tickets that no pass has tried yet; see
    // admission_view::hasNewTickets.
    bool mayHaveNewTickets = false;
    bool isCharged = false; // to its team; see team_shares
    bool isBeyondShare = false; // its team had sent more than it was owed when it was accepted
};

enum class order_kind { Start, Stop, Poll, SetWorkRate };

/** One call of a target; which of the fields apply depends on the kind. */
struct target_order
{
    order_kind kind = order_kind::Poll;
    std::string target;
    std::int64_t incarnation = 0;
    std::string address;
    task_name task;
    std::uint32_t run = 0;
    std::string spec;
    std::string checkpoint;
    std::string ticket;
    std::int64_t leaseExpiresAt = 0; // on the target's clock; 0 = the lease stays as it is
    std::uint64_t term = 0; // of the leader that sent it; not carried by relays
    std::uint64_t fencingToken = 0; // see fencingTokenFor()
    std::uint64_t lastAppliedEnd = 0; // ends up to this number are in the log
    milliseconds pollWait; // how long the target may hold a poll until a run ends
    int workRate = 100;
    milliseconds timeout;
    time_point sentAt;
    std::uint64_t relayId = 0; // set if another process makes the call
};

enum class order_result {
    Done,
    Fenced, // the target has had an order of a later leader, or to a later incarnation of it
    Superseded, // the run or a later one of its task was stopped or has ended there
    LeaseExpired, // the lease that the order granted had expired on arrival
    NoCapacity,
    InvalidTicket,
    Unhealthy, // the target cannot work at present
    WrongIncarnation, // another target or incarnation answers at this address
    Rejected, // the target could not read the order
    Unanswered, // the order may have been carried out, or may still be
    Unreachable, // not a byte of the order was sent
    RelayLost, // the relay is silent: nothing is known about the target
};

/** @return the name of a result in logs and metrics */
std::string_view resultName(order_result result);

/** A run that a target lists in its answer to a poll. */
struct reported_run
{
    task_name task;
    std::uint32_t run = 0;
    std::string checkpoint;
    int percentDone = 0;
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
    std::optional<std::int64_t> incarnation;
    std::vector<reported_run> runs;
    std::vector<reported_end> ends;
    bool hasUnreadableRows = false; // the target listed more, which could not be read
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

/** The targets of one service, with what stays the same until a target is registered anew. */
struct service_targets
{
    struct entry
    {
        tracked_target *target = nullptr;
        const registered_target *registered = nullptr;
        std::string_view rack; // points into the labels of the registration
    };

    std::uint64_t version = 0; // differs between all lists that were ever collected
    std::vector<entry> entries;
    std::unordered_map<std::string_view, std::size_t> indexById;
};

/** The capacity that runs release, learned from those that have ended: amounts whose weights decay
    with age, so that the sum divided by the time constant is a rate. */
struct release_estimate
{
    double milliCores = 0;
    double accelerators = 0;
    time_point updatedAt;
};

/** Targets that are kept free for a gang until all its members can start. */
struct gang_reservation
{
    std::string service;
    std::map<std::string, std::size_t> members; // by target
    resource_amounts need; // of a member
    int rank = 0; // work of this rank or a higher one waits
    bool isLate = false; // the gang is late; only one such at a time has a reservation
    time_point madeAt;
    time_point updatedAt;
    time_point plannedStartAt; // as expected when it was made
    time_point expectedStartAt; // as expected now
    time_point endsAt; // at the latest
    // What was left idle on these targets, in milli-cores x ms, and the bound on it.
    std::int64_t idleCoreMs = 0;
    std::int64_t maxIdleCoreMs = 0;
};

/** What is remembered of the reservations of a gang that waits. */
struct gang_plan_attempt
{
    time_point nextAt;
    std::int64_t idleCoreMs = 0; // left idle by its earlier reservations
};

/** What the leader has done since its term began. */
struct dispatch_totals
{
    std::uint64_t passes = 0;
    std::uint64_t orderedSteps = 0; // pending steps, summed over the passes
    std::uint64_t triedSteps = 0; // of those: steps for which a pass looked for capacity
    std::uint64_t unplacedSteps = 0; // of those: steps for which it found too little
    std::uint64_t consideredCandidates = 0; // targets considered for a step
    std::uint64_t proposedStarts = 0;
    // Calls of the policy service by purpose, and the targets that they named.
    std::uint64_t firstRequests = 0;
    std::uint64_t furtherRequests = 0;
    std::uint64_t renewals = 0;
    std::uint64_t namedTargets = 0;
    std::uint64_t withdrawnRequests = 0; // before a caller got them
    std::uint64_t issuedTickets = 0;
    std::uint64_t unusedTickets = 0; // of these: renewed without a start in between
    // Summed over reviews: time that callers were idle, and such while a request waited.
    std::uint64_t idleCallerMs = 0;
    std::uint64_t needlesslyIdleCallerMs = 0;
    std::uint64_t gangReservations = 0;
    std::uint64_t gangIdleCoreMs = 0; // left idle by those that have ended, in cores x ms
    std::uint64_t rankedTargets = 0; // targets considered for such a request
    std::uint64_t starts = 0; // orders, with repetitions
    std::uint64_t stops = 0;
    std::uint64_t polls = 0;
};

/** What only a serving leader knows. It is rebuilt from the replicated state in each term. */
struct dispatch_state
{
    dispatch_settings settings;
    const work_state *work = nullptr;
    std::uint64_t term = 0;
    time_point leadingSince;
    std::map<std::string, tracked_target> targets; // by id
    // By service; derived from `targets` when a pass needs it, empty while they change.
    std::map<std::string, service_targets> targetsByService;
    std::map<std::string, announced_cold_period> announcedColdPeriods; // by target, cold ones only
    std::uint64_t lastListVersion = 0; // of service_targets
    std::map<std::string, job_view> jobs; // by id; without ended ones
    std::set<std::string> repeatingJobs; // ids of those that begin occurrences at set times
    std::map<task_name, std::string> reservedStarts; // proposed starts: target by task
    std::map<task_name, admission_view> admissions; // by step (index 0)
    std::map<std::uint64_t, pending_admission> pendingAdmissions;
    std::map<std::string, admission_caller> callers; // those heard from recently, by name
    std::map<std::string, resource_amounts> teamReserved;
    std::map<task_name, reserved_ticket> reservedTickets; // of proposed starts
    std::map<task_name, gang_reservation> gangReservations; // by step
    std::map<task_name, gang_plan_attempt> gangPlans; // by step, of gangs that wait
    std::map<task_name, std::string> abandonments; // proposed ones: target by task
    std::map<task_name, std::string> suspectStarts; // target by task, see crash_suspects.h
    std::set<std::string> begunJobs; // confirmed by targets, but not by the log yet
    std::map<accepting_queue, std::int64_t> begunByQueue; // of these, as of the last count
    time_point nextPendingCountAt;
    std::uint64_t seenOwnerChanges = 0; // see work_state
    std::deque<std::pair<time_point, early_cancel>> earlyCancels; // by when they are forgotten
    std::set<std::pair<std::string, std::uint32_t>> proposedOccurrences; // (job, occurrence)
    std::uint64_t lastAdmissionId = 0;
    bool areAdmissionsDue = true; // a request may have become possible, or superfluous
    time_point nextAdmissionReviewAt; // the next review even if nothing has happened
    time_point lastAdmissionReviewAt;
    time_point nextAdmissionWaitLogAt;
    std::uint64_t admissionReviews = 0;
    // A slow request that has waited too long takes the last caller from quick ones no earlier.
    time_point nextOverdueCallAt;
    std::size_t idleCallers = 0; // as of the last review
    bool areRequestsWaiting = false; // for a caller, as of the last review
    time_point lastQuickCallAt; // when a quick request was last made; 0 = never
    // By service, and whether the runs held accelerators: targets with these serve other steps.
    std::map<std::pair<std::string, bool>, release_estimate> releases;
    std::map<std::string, time_point> lostAnswers; // by target: when its last answer got lost
    // As of the last count. Others may be gone for good, and are known as long as nothing takes
    // their place.
    std::size_t targetsInContact = 0;
    time_point nextContactCountAt;
    target_speeds speeds; // of all targets, learned in this term
    time_point nextSpeedLogAt;
    round_trip_estimate startAnswerTime; // from sending a start to its answer, of all targets
    round_trip_estimate placementTime; // from placing a task to the answer to its start
    double retryTokens = 0; // early retries of starts that are permitted at present
    std::uint64_t lastStartNumber = 0;
    time_point nextCleanupAt;
    std::set<std::string> changedTargets; // ids of those with new events since the last tick
    std::set<std::pair<time_point, std::string>> dueTargets; // ids, by tracked_target::dueAt
    std::uint64_t targetTicks = 0; // how often a target was ticked; shows the cost of tracking
    bool isPassDue = true; // the next pass may find something to place
    // When the next pass runs even if nothing changes: tickets and quarantines expire.
    time_point nextPassAt;
    // No change causes a pass before this time. It is later after a long pass, as many pending
    // steps cause.
    time_point earliestPassAt;
    std::size_t pendingStepCount = 0; // as of the last pass
    team_shares teamShares;
    std::unordered_map<std::string, share_claims> shareClaims; // by service, as of the last pass
    job_admission jobAdmission;
    dispatch_totals totals;
    dispatch_effects effects;
};

/** @return the name of a task's step: the task name with index 0 */
inline task_name stepNameOf(const task_name &name)
{
    return {name.job, name.occurrence, name.step, 0};
}

/** @return an estimate of the target's clock that is not below its true reading
    @param target  a reading of its clock must be known */
std::int64_t clockUpperBound(const tracked_target &target, time_point now);

/** @return an estimate of the target's clock that is not above its true reading
    @param target  a reading of its clock must be known */
std::int64_t clockLowerBound(const tracked_target &target, time_point now);

/** Reserves resources for a start, from its proposal until it is committed or refused. */
void reserveStart(dispatch_state &state, const task_name &task, tracked_target &target);

/** Releases the reservation of a start, if there is one. */
void releaseStart(dispatch_state &state, const task_name &task);

/** Creates the state of a new term from the replicated state.

    @param work    must outlive the result
    @param wallMs  wall clock time in ms
*/
dispatch_state startDispatch(const work_state &work, const dispatch_settings &settings,
                             std::uint64_t term, time_point now, std::int64_t wallMs);

/** Updates the state after a command of the log was committed and applied.
    @param refused  whether applying it changed nothing */
void handleCommittedCommand(dispatch_state &state, const messages::work_command &command,
                            bool refused, time_point now);

/** Does what is due for targets and jobs: retries, polls, expired leases, occurrences, the removal
    of ended jobs. */
void tickTracking(dispatch_state &state, time_point now, std::int64_t wallMs);

/** Does what is due for waiting tasks: a placement pass, admission requests. */
void tickPlacement(dispatch_state &state, time_point now);

/** Does all that is due. */
void tickDispatch(dispatch_state &state, time_point now, std::int64_t wallMs);

} // namespace filbert

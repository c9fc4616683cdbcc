#pragma once

#include "filbert_core/filbert_core.h"
#include "filbert_policy/resource_amounts.h"
#include "task_name.h"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace filbert {

enum class task_status { Waiting, Running, Done };

enum class job_status { Queued, Active, Completed, Failed, Cancelled };

/** @return the name of a job's status as clients see it, e.g. "active" */
std::string_view statusName(job_status status);

/** Where callers reach a queue, which identifies it for as long as it is configured there. Its name
    is a label of the operator, who may change it or give it to another queue. */
struct queue_place
{
    std::string_view host;
    std::string_view pathPrefix;

    bool operator==(const queue_place &other) const = default;
};

struct queue_place_hash
{
    std::size_t operator()(const queue_place &place) const;
};

/** The configured queues by place. */
using queue_index = std::unordered_map<queue_place, const messages::work_queue *, queue_place_hash>;

/** What a job keeps of the queue that accepted it. */
struct accepting_queue
{
    std::string host;
    std::string pathPrefix;
    std::string name;

    auto operator<=>(const accepting_queue &other) const = default;
};

/** What decides where callers find a job, and which of them. */
struct job_access
{
    accepting_queue queue;
    std::string team; // empty = none
    bool isOpenToAll = false; // it was accepted by a queue that required no key
    std::vector<std::uint64_t> teamKeys; // fingerprints of the team's keys at acceptance

    auto operator<=>(const job_access &other) const = default;
};

/** The cancelling of a job that was not known. Its submission may have been delayed, and must not
   be accepted when it arrives. */
struct early_cancel
{
    std::string job;
    job_access caller; // where and by whom it was cancelled; with the caller's own key only

    auto operator<=>(const early_cancel &other) const = default;
};

/** A task: its current run, if it has one, and what the next run needs. */
struct work_task
{
    task_status status = task_status::Waiting;
    std::uint32_t run = 0; // number of the latest run that was started
    std::uint32_t failures = 0; // runs that failed
    std::string checkpoint; // the newest known one; if empty, the next run starts from scratch
    std::string target; // id of the current run's target, while Running
    std::int64_t incarnation = 0; // of the target when the run was ordered
    std::uint32_t crashes = 0; // incarnations of targets that surely crashed while it ran there
    std::uint32_t possibleCrashes = 0; // those, and others that crashed while it may have run there
    std::uint32_t suspicion = 0; // of having caused them; see suspicionWeight()
};

/** Suspicion at which a task is held to crash its targets: its job fails.

    Two crashes are enough if no other job could have caused the second. Where others could have
    caused each of them as well, it takes three or four. */
constexpr std::uint32_t convictingSuspicion = 10;

/** A job fails for no fewer crashes, however strong the suspicion: a target may have crashed before
    the start arrived. A new leader does not know whether it did. */
constexpr std::uint32_t minConvictingCrashes = 2;
constexpr std::uint32_t minConvictingPossibleCrashes = 4;

/** @return whether the next start of a task is a trial: it was suspected more than weakly, or more
    than once. The end of a target alone makes no trial of all that it ran. */
bool needsTrial(const work_task &task);

/** Adds a crash to what is held against a task.
    @return whether the task is convicted of crashing its targets */
bool addSuspicion(work_task &task, const messages::suspected_run &run);

/** @return by how much a crash raises the suspicion against a task that ran on the target */
std::uint32_t suspicionWeight(messages::suspicion_kind kind);

/** The progress of one step in one occurrence of a job. */
struct step_record
{
    std::vector<work_task> tasks;
    std::uint32_t doneTasks = 0; // derived: tasks that are done
    std::uint32_t runningTasks = 0; // derived: tasks that are running
    bool isGangDone = false; // the success of one member completes a gang
    std::uint32_t gangFailures = 0; // failed runs, whatever the number of members that failed
    std::uint32_t failedRun = 0; // the last run that was counted in gangFailures
};

/** One repetition of a job's steps. */
struct occurrence_record
{
    std::vector<step_record> steps;
};

/** An accepted job and its progress. */
struct work_job
{
    messages::staged_job job;
    job_status status = job_status::Queued;
    std::map<std::uint32_t, occurrence_record> occurrences; // those that have begun, by number
    std::int64_t endedWallMs = 0; // by the leader's wall clock; 0 until the job has ended
    std::uint32_t runningTasks = 0; // derived: tasks that are running, in all occurrences
    bool hasStarted = false; // the start of a task was ordered
    // A target has confirmed that a task runs or ran. Also true for a job that ended before.
    bool hasBegun = false;

    bool hasEnded() const
    {
        return status == job_status::Completed || status == job_status::Failed
            || status == job_status::Cancelled;
    }
};

/** The newest incarnation that is known of one target, and the runs that are charged to it. */
struct registered_target
{
    messages::target_life registration;
    std::uint64_t lastAppliedEnd = 0; // number of the last end that was reported and applied
    bool hasEnded = false;
    // When this incarnation replaced an earlier one, by the leader's wall clock; 0 = it did not.
    std::int64_t restartedWallMs = 0;
    std::uint32_t restarts = 0; // number of incarnations known before this one

    // Derived:
    std::set<task_name> runs; // on this incarnation, or on an earlier one of the same id
    resource_amounts used; // reserved by these runs
    std::int64_t bestEffortCores = 0; // milli-cores of best-effort runs; `used` excludes them
    int latencySensitiveRuns = 0; // runs with a latency target
};

/** The whole state of staged jobs, equal on all controllers at the same index of the log.

    Snapshots store the configuration, the jobs, the targets, the evacuated failure domains and the
    early cancels; members marked as derived are computed from them.
*/
struct work_state
{
    messages::work_configuration configuration;
    std::unordered_map<std::string, work_job> jobs; // by id
    std::map<std::string, registered_target> targets; // by id
    std::set<std::string> evacuatedDomains; // failure domains in which nothing starts
    std::set<early_cancel> earlyCancels;

    // Derived:
    std::map<std::string, resource_amounts> teamUsage; // by team, of its running tasks
    // Accepted jobs of which no task has begun on a target; without queues that have none.
    std::map<accepting_queue, std::int64_t> pendingByQueue;
    std::map<std::string, std::size_t> earlyCancelsByTeam; // without teams that have none
    std::uint64_t ownerChanges = 0; // configurations that gave jobs to other teams
};

/** @return the specification of a step, which must exist in the job */
const messages::step_spec &stepSpecOf(const work_job &job, std::uint32_t step);

/** @return the task, or nullptr if its job, occurrence, step or index does not exist */
work_task *findTask(work_state &state, const task_name &name);
const work_task *findTask(const work_state &state, const task_name &name);

/** @return the record of the step that a task belongs to, or nullptr if there is none */
const step_record *findStep(const work_state &state, const task_name &name);

/** @return the resources that a task of the step uses, as they are charged to its team */
resource_amounts taskDemand(const messages::step_spec &spec);

/** @return the resources that a task reserves on its target: no cores in a best-effort step */
resource_amounts targetReservation(const messages::step_spec &spec);

/** @return the milli-cores that a task of a best-effort step uses if they are idle, otherwise 0 */
std::int64_t bestEffortCoresOf(const messages::step_spec &spec);

/** @return whether all steps that a step depends on are complete */
bool isStepReady(const work_job &job, const occurrence_record &occurrence, std::uint32_t step);

/** @return whether all tasks of a step, or one task of a gang, have succeeded */
bool isStepDone(const messages::step_spec &spec, const step_record &step);

/** @return the team of that name, or nullptr */
const messages::work_team *findTeam(const messages::work_configuration &configuration,
                                    const std::string &name);

/** @return the place of a queue; refers to the queue's strings */
queue_place placeOf(const messages::work_queue &queue);

/** @return the queue that accepted the job */
accepting_queue acceptingQueueOf(const messages::staged_job &job);

/** @return the queue of that name, or nullptr */
const messages::work_queue *findQueue(const messages::work_configuration &configuration,
                                      const std::string &name);

/** @return the queue at that place, or nullptr */
const messages::work_queue *findQueueAt(const messages::work_configuration &configuration,
                                        const queue_place &place);

/** @return the queue of a job as it is configured now or, if no queue is configured at its place
   any more, as it was when the job was accepted */
const messages::work_queue &queueOf(const work_state &state, const work_job &job);

/** @return the same, found with an index of the configured queues */
const messages::work_queue &queueOf(const queue_index &queues, const work_job &job);

/** Whether callers find the jobs that one queue has accepted at another: at the same place,
   whatever its name, or where the queue of that name has moved, if none is left at its place.
    @param queue  a configured queue */
bool hasJobsOf(const messages::work_configuration &configuration, const messages::work_queue &queue,
               const accepting_queue &accepting);

/** @return whether a usage is within a cap
    @param cap  a field of 0 is unlimited */
bool isWithinCap(const resource_amounts &usage, const messages::resources &cap);

/** Computes all derived members from the stored ones, after a snapshot was read. */
void rebuildDerivedState(work_state &state);

/** Reserves the resources of a run on its target and charges them to its team, or releases them.
    @param sign 1 to reserve, -1 to release */
void updateReservations(work_state &state, const task_name &name, const std::string &target,
                        int sign);

} // namespace filbert

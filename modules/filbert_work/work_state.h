#pragma once

#include "filbert_core/filbert_core.h"
#include "filbert_policy/resource_amounts.h"
#include "task_name.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbert {

enum class task_status { Waiting, Running, Done };

enum class job_status { Queued, Active, Completed, Failed, Cancelled };

/** @param status any @return its name in answers, e.g. "active" */
std::string_view statusName(job_status status);

/** One task: its present run if it has one, and what is kept for the next. */
struct work_task
{
    task_status status = task_status::Waiting;
    std::uint32_t run = 0; // the highest that was started
    std::uint32_t failures = 0; // runs that ended by a fault
    std::string checkpoint; // the newest that is known; empty = from the start
    std::string target; // where the present run is, while Running
    std::int64_t born = 0; // of the target's life that it was started on
};

struct step_record
{
    std::vector<work_task> tasks;
    std::uint32_t done = 0;
    std::uint32_t running = 0;
    bool isGangDone = false; // one member's good end stands for all
    std::uint32_t gangFailures = 0;
    std::uint32_t failedRun = 0; // the last run that counted as a failure of the gang
};

/** One of the times that a job's steps run. */
struct occurrence_record
{
    std::vector<step_record> steps;
};

struct work_job
{
    messages::staged_job job;
    job_status status = job_status::Queued;
    std::map<std::uint32_t, occurrence_record> occurrences; // those that have begun
    std::int64_t endedWallMs = 0;
    std::uint32_t running = 0; // tasks, in all occurrences
    bool hasStarted = false;

    bool isEnded() const
    {
        return status == job_status::Completed || status == job_status::Failed
            || status == job_status::Cancelled;
    }
};

/** The newest life that is known under one id of a target. */
struct life_record
{
    messages::target_life about;
    std::uint64_t lastEndTaken = 0; // number of the last end that was taken
    bool isOver = false;
    std::set<task_name> runs; // on this life, or on one before it under the same id
    resource_amounts used; // by these; cores of steps that fill gaps are in fillCores instead
    std::int64_t fillCores = 0;
    int serving = 0; // runs with a latency target
};

/** All that must survive: one value on every controller at the same index of the log.

    Jobs, lives and the configuration are stored; what is marked as derived follows from them.
*/
struct work_state
{
    messages::work_configuration configuration;
    std::unordered_map<std::string, work_job> jobs; // by id
    std::map<std::string, life_record> lives; // by id of the target

    std::map<std::string, resource_amounts> teamUse; // derived
    std::map<std::string, std::int64_t> pendingByQueue; // derived: accepted, no task started yet
};

/** @return the step's description @param name of a task in it; the job must have it */
const messages::step_spec &specOf(const work_job &job, std::uint32_t step);

/** @return the record, or nullptr if there is no such job, occurrence, step or index */
work_task *findTask(work_state &state, const task_name &name);
const work_task *findTask(const work_state &state, const task_name &name);

/** @return the step's record, or nullptr */
const step_record *findStep(const work_state &state, const task_name &name);

/** @return all that a task of the step takes, as teams are charged for it */
resource_amounts wholeNeedOf(const messages::step_spec &spec);

/** @return what a task takes of its target: no cores if its step fills gaps */
resource_amounts reservedBy(const messages::step_spec &spec);

/** @return cores that a task of the step uses if they are there: 0 unless it fills gaps */
std::int64_t fillCoresOf(const messages::step_spec &spec);

/** Whether all steps that a step depends on have ended well. */
bool isStepReady(const work_job &job, const occurrence_record &occurrence, std::uint32_t step);

/** Whether a step's work is complete. */
bool isStepDone(const messages::step_spec &spec, const step_record &step);

/** @return the team's record in the configuration, or nullptr */
const messages::work_team *findTeam(const messages::work_configuration &configuration,
                                    const std::string &name);

/** @return the queue's record in the configuration, or nullptr */
const messages::work_queue *findQueue(const messages::work_configuration &configuration,
                                      const std::string &name);

/** @return the queue of a job: as configured now, or as the job was accepted if it was removed */
const messages::work_queue &queueOf(const work_state &state, const work_job &job);

/** Whether a use is within a cap. @param cap 0 = unlimited, field by field */
bool isWithinCap(const resource_amounts &use, const messages::resources &cap);

/** Works the derived parts out anew, after a snapshot was read. */
void deriveAll(work_state &state);

/** Books a run on its target's life and team, or takes it off. @param sign 1 or -1 */
void bookRun(work_state &state, const task_name &name, const std::string &target, int sign);

} // namespace filbert

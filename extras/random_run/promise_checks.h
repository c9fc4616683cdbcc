#pragma once

#include "filbert_core/filbert_core.h"
#include "filbert_policy/resource_amounts.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace filbert {

/** A task that a target was ordered to run. */
struct started_task
{
    std::string team;
    std::string body; // of a synchronous request
    std::uint64_t jobId = 0;
    std::int32_t taskIndex = 0;
    resource_amounts need;
    bool isIdempotent = false;
};

/** Checks the guarantees that the scheduler gives to its users.

    The checks consider only what actually ran on the targets and what callers were told, not the
    scheduler's own state. A violation throws std::logic_error.
*/
class promise_checks
{
public:
    /** Records that a task has started on a target and checks all guarantees. */
    void taskStarted(const std::string &target, std::uint64_t placement, const started_task &task,
                     const resource_amounts &capacity)
    {
        running[{target, placement}] = task;
        ++starts;
        log_line {"task_started"}
            .with("target", target)
            .with("placement", placement)
            .with("body", task.body)
            .with("job", task.jobId)
            .with("task", task.taskIndex);
        resource_amounts usedOnTarget;
        resource_amounts usedByTeam;
        for (const auto &[where, other] : running) {
            const bool isSelf = where == std::pair {target, placement};
            if (where.first == target) {
                usedOnTarget += other.need;
            }
            if (other.team == task.team) {
                usedByTeam += other.need;
            }
            FILBERT_INVARIANT(isSelf || task.jobId == 0 || other.jobId != task.jobId
                                  || other.taskIndex != task.taskIndex,
                              "a job's task runs on one target at a time");
        }
        FILBERT_INVARIANT(fitsWithin(usedOnTarget, capacity),
                          "the tasks running on a target fit its capacity");
        const auto limit = slotLimits.find(task.team);
        FILBERT_INVARIANT(limit == slotLimits.end() || usedByTeam.slots <= limit->second,
                          "a team's running tasks stay within its upper limit");
        if (!task.isIdempotent) {
            const auto name = task.jobId != 0
                ? "job " + std::to_string(task.jobId) + "/" + std::to_string(task.taskIndex)
                : task.body;
            const auto runs = ++runCounts[name];
            if (runs > 1) {
                log_line {"ran_again", log_line::severity::Error}
                    .with("what", name)
                    .with("target", target)
                    .with("placement", placement);
            }
            FILBERT_INVARIANT(runs == 1, "a non-idempotent request runs at most once");
        }
        executedBodies.insert(task.body);
        FILBERT_INVARIANT(!notRunBodies.contains(task.body),
                          "a request that was refused as not run has never run");
    }

    /** Records that a task has ended on a target, for whatever reason. */
    void taskStopped(const std::string &target, std::uint64_t placement)
    {
        running.erase({target, placement});
    }

    /** Records that a caller which sent a request once was told that it had not run. */
    void recordNotRun(const std::string &body)
    {
        FILBERT_INVARIANT(!executedBodies.contains(body),
                          "a request that was refused as not run has never run");
        notRunBodies.insert(body);
    }

    std::map<std::string, std::int64_t> slotLimits; // by team
    std::uint64_t starts = 0; // of tasks, on all targets

private:
    std::map<std::pair<std::string, std::uint64_t>, started_task> running;
    std::map<std::string, int> runCounts;
    std::set<std::string> executedBodies;
    std::set<std::string> notRunBodies;
};

} // namespace filbert

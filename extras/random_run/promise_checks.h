#pragma once

#include "filbert_core/filbert_core.h"
#include "filbert_policy/resource_amounts.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace filbert {

/** What a target was told to run. */
struct started_task
{
    std::string team;
    std::string body; // of a synchronous request
    std::uint64_t jobId = 0;
    std::int32_t taskIndex = 0;
    resource_amounts need;
    bool isIdempotent = false;
};

/** The brief's promises, checked from outside on what really happened at the targets. */
class promise_checks
{
public:
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
        resource_amounts onTarget;
        resource_amounts ofTeam;
        for (const auto &[where, other] : running) {
            const bool isSelf = where == std::pair {target, placement};
            if (where.first == target) {
                onTarget += other.need;
            }
            if (other.team == task.team) {
                ofTeam += other.need;
            }
            FILBERT_INVARIANT(isSelf || task.jobId == 0 || other.jobId != task.jobId
                                  || other.taskIndex != task.taskIndex,
                              "no task runs in two places");
        }
        FILBERT_INVARIANT(fitsWithin(onTarget, capacity), "no target is overcommitted in fact");
        const auto limit = slotLimits.find(task.team);
        FILBERT_INVARIANT(limit == slotLimits.end() || ofTeam.slots <= limit->second,
                          "no team has more running than its limit");
        if (!task.isIdempotent) {
            const auto name = task.jobId != 0
                ? "job " + std::to_string(task.jobId) + "/" + std::to_string(task.taskIndex)
                : task.body;
            const auto runs = ++runsOf[name];
            if (runs > 1) {
                log_line {"ran_again", log_line::severity::Error}
                    .with("what", name)
                    .with("target", target)
                    .with("placement", placement);
            }
            FILBERT_INVARIANT(runs == 1, "a non-idempotent request runs at most once");
        }
        ranBodies.insert(task.body);
        FILBERT_INVARIANT(!notRunBodies.contains(task.body), "a refusal that says not run is true");
    }

    void taskStopped(const std::string &target, std::uint64_t placement)
    {
        running.erase({target, placement});
    }

    /** A caller was told that a request, which it sent once only, was not run. */
    void toldNotRun(const std::string &body)
    {
        FILBERT_INVARIANT(!ranBodies.contains(body), "a refusal that says not run is true");
        notRunBodies.insert(body);
    }

    std::map<std::string, std::int64_t> slotLimits;
    std::uint64_t starts = 0;

private:
    std::map<std::pair<std::string, std::uint64_t>, started_task> running;
    std::map<std::string, int> runsOf;
    std::set<std::string> ranBodies;
    std::set<std::string> notRunBodies;
};

} // namespace filbert

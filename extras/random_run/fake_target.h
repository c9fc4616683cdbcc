#pragma once

#include "promise_checks.h"
#include "virtual_time.h"

#include "filbert_messages/filbert_messages.h"
#include "filbert_policy/resource_amounts.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace filbert {

/** A target that follows the interface between cells and targets.

    It measures leases on its own clock, starts each placement at most once and reports truthfully
    what runs and what has finished.
*/
class fake_target
{
public:
    fake_target(virtual_time &time, promise_checks &checks, std::string name,
                resource_amounts capacity)
        : time {time}
        , checks {checks}
        , name {std::move(name)}
        , capacity {capacity}
    {
        restart();
    }

    /** Restarts the target: all running tasks are lost, and its clock starts from zero. */
    void restart()
    {
        for (const auto &[placement, task] : running) {
            checks.taskStopped(name, placement);
        }
        running.clear();
        finished.clear();
        ++epoch;
        startedPlacements.clear();
        leaseExpiresAt = 0;
        clock.offset = -time.now.ms * clock.ratePerMille / 1'000 + 1;
        isAnnounced = false;
        isLeaving = false;
        isDrained = false;
    }

    std::int64_t clockMs() const { return clock.read(time.now).ms; }

    /** Starts a task unless its epoch, start deadline or the target's lease is no longer valid.

        @param taskEpoch  epoch of the target that the start was meant for
        @param startBy    latest start on the target's clock, in milliseconds
        @param onEnd      called if the task runs to its end, but not if it is stopped
        @return empty if the task has started, otherwise the reason why not
    */
    std::string start(std::uint64_t placement, std::int64_t taskEpoch, std::int64_t startBy,
                      const started_task &task, std::int64_t runMs, std::function<void()> onEnd)
    {
        stopAfterLeaseExpiry();
        if (taskEpoch == epoch && startedPlacements.contains(placement)) {
            return "started before";
        }
        if (taskEpoch != epoch || clockMs() > startBy || clockMs() > leaseExpiresAt) {
            return "refused";
        }
        FILBERT_INVARIANT(!isDrained, "a drained target receives no more work");
        startedPlacements.insert(placement);
        running[placement] = task;
        checks.taskStarted(name, placement, task, capacity);
        time.schedule(runMs, [this, placement, taskEpoch, onEnd = std::move(onEnd)] {
            stopAfterLeaseExpiry();
            if (epoch == taskEpoch && running.erase(placement) > 0) {
                checks.taskStopped(name, placement);
                finished[placement] = false;
                onEnd();
            }
        });
        return {};
    }

    void stop(std::uint64_t placement)
    {
        if (running.erase(placement) > 0) {
            checks.taskStopped(name, placement);
            finished[placement] = true;
        }
    }

    /** Stops all tasks if the lease has expired, as a target does without being told to. */
    void stopAfterLeaseExpiry()
    {
        if (clockMs() <= leaseExpiresAt) {
            return;
        }
        for (const auto &[placement, task] : running) {
            checks.taskStopped(name, placement);
            finished[placement] = true;
        }
        running.clear();
    }

    virtual_time &time;
    promise_checks &checks;
    std::string name;
    resource_amounts capacity;
    skewed_clock clock;
    std::int64_t epoch = 0;
    std::int64_t leaseExpiresAt = 0;
    std::map<std::uint64_t, started_task> running;
    std::map<std::uint64_t, bool> finished; // not yet acknowledged; true = stopped
    std::set<std::uint64_t> startedPlacements;
    bool isAnnounced = false;
    bool isLeaving = false;
    bool isDrained = false; // the cell has reported that it sends no more work
};

} // namespace filbert

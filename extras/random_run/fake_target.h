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

/** A target by the interface: leases in its own clock, each start at most once, honest reports. */
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

    /** Everything that ran is gone; the clock starts anew. */
    void restart()
    {
        for (const auto &[placement, task] : running) {
            checks.taskStopped(name, placement);
        }
        running.clear();
        finished.clear();
        ++epoch;
        startedEver.clear();
        leaseExpiresAt = 0;
        clock.offset = -time.now.ms * clock.perMille / 1'000 + 1;
        isAnnounced = false;
        isLeaving = false;
        isDrained = false;
    }

    std::int64_t clockMs() const { return clock.read(time.now).ms; }

    /** Tries to start; @return empty or why not */
    std::string start(std::uint64_t placement, std::int64_t ofEpoch, std::int64_t startBy,
                      const started_task &task, std::int64_t runMs, std::function<void()> onEnd)
    {
        dropAfterLease();
        if (ofEpoch == epoch && startedEver.contains(placement)) {
            return "started before";
        }
        if (ofEpoch != epoch || clockMs() > startBy || clockMs() > leaseExpiresAt) {
            return "refused";
        }
        FILBERT_INVARIANT(!isDrained, "a drained target gets no more work");
        startedEver.insert(placement);
        running[placement] = task;
        checks.taskStarted(name, placement, task, capacity);
        time.after(runMs, [this, placement, ofEpoch, onEnd = std::move(onEnd)] {
            dropAfterLease();
            if (epoch == ofEpoch && running.erase(placement) > 0) {
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

    /** A target stops everything by itself when its lease has ended. */
    void dropAfterLease()
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
    std::map<std::uint64_t, bool> finished; // until acknowledged: whether it was stopped
    std::set<std::uint64_t> startedEver;
    bool isAnnounced = false;
    bool isLeaving = false;
    bool isDrained = false; // the cell has said that nothing more will come
};

} // namespace filbert

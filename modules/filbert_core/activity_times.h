#pragma once

#include "clock.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace filbert {

/** What the loop of a program does. */
enum class activity {
    Waiting, // for events, together with the sockets and timers that the library serves
    Messages, // from other processes
    Replication, // of the log: proposals, appends, snapshots
    Application, // of committed commands
    Tracking, // of targets: timeouts, retries, polls
    Placement, // of waiting tasks
    Orders, // to targets and their answers
    Logging,
};

constexpr std::size_t activityCount = 8;

/** @return the name of an activity in logs and metrics, e.g. "placement" */
std::string_view activityName(activity which);

/** Adds up the time that the loop of a program spends on each activity.

    One activity is current at any time. An activity_scope changes it for a while, so that nested
    activities are not counted twice. It is made for one thread.
*/
class activity_times
{
public:
    struct entry
    {
        std::int64_t microseconds = 0;
        std::uint64_t count = 0; // how often it began
    };

    activity_times() = default;

    /** Makes an activity the current one. @return the one that was current before */
    activity begin(activity which);

    /** Returns to an activity that begin() has returned. */
    void resume(activity which);

    /** @return the time spent on each activity so far, in the order of the enumerators */
    std::array<entry, activityCount> totals() const;

private:
    using clock = std::chrono::steady_clock;

    void switchTo(activity which);

    activity current = activity::Waiting;
    clock::time_point since = clock::now();
    std::array<clock::duration, activityCount> durations {};
    std::array<std::uint64_t, activityCount> counts {};
};

using activity_totals = std::array<activity_times::entry, activityCount>;

/** Makes an activity the current one for as long as the object exists. */
class activity_scope
{
public:
    activity_scope(activity_times &times, activity which)
        : times {times}
        , previous {times.begin(which)}
    {
    }
    ~activity_scope() { times.resume(previous); }
    activity_scope(const activity_scope &) = delete;
    activity_scope &operator=(const activity_scope &) = delete;

private:
    activity_times &times;
    activity previous;
};

} // namespace filbert

#pragma once

#include "filbert_core/filbert_core.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbert {

/** What is known of the speed of one incarnation of a target. */
struct target_speed
{
    // Of the latest runs that count: ln of the time that each took, relative to runs of its group.
    // A ring: nextEntry is the oldest one once it is full.
    std::vector<float> entries;
    std::size_t nextEntry = 0;
    // ln of the time that work takes there, relative to a typical target: above 0 on a slow target,
    // 0 on an unknown one, and on all targets while they differ by no more than the noise.
    double logSlowness = 0;
    time_point disturbedUntil; // runs that began before say nothing about the speed
};

/** Runs that are compared with one another. */
struct run_group
{
    double mean = 0; // of ln(duration / estimate), on a typical target
    int runs = 0; // that the mean is derived from, up to the number that it remembers
    time_point lastRunAt;
};

/** What a review has found. */
struct speed_review
{
    std::size_t knownTargets = 0; // those with enough runs
    std::size_t slowest = 0; // index of a target; only if any is known
    std::size_t fastest = 0;
    double spread = 0; // standard deviation of ln of the times that work takes on them
    double noise = 0; // standard error of these
};

/** What is known of the speeds of all targets together. */
struct target_speeds
{
    std::unordered_map<std::string, run_group> groups; // by name
    bool areInUse = false; // the targets differ by more than the noise
    bool isReviewDue = false; // something was recorded since the last review
    time_point nextReviewAt;
    std::uint64_t countedRuns = 0;
    speed_review lastReview;
};

/** A run that ended well and undisturbed. */
struct finished_run
{
    std::string queueGroup; // runs of the same queue or image; large
    std::string stepGroup; // runs of the same step, whose estimates are off by the same; or empty
    milliseconds estimate; // of its step
    milliseconds duration;
};

/** Records how long a run took on a target. Runs with a short estimate are ignored, since their
    duration shows the network rather than the target. */
void recordFinishedRun(target_speeds &speeds, target_speed &target, const finished_run &run,
                       time_point now);

/** Makes a target unknown: it has proved to be at fault, so that its past runs show nothing. */
void forgetSpeed(target_speed &target);

/** Records that runs on a target are disturbed. @param until  runs begun by then do not count */
void noteDisturbance(target_speed &target, time_point until);

/** Whether a review is due: one a second while runs are recorded. */
bool isSpeedReviewDue(const target_speeds &speeds, time_point now);

/** Compares the targets with one another and sets target_speed::logSlowness of each.

    A target takes the median of its latest runs, so that single runs that hung or did nothing do
    not count. One that seems much faster than the typical target is treated as unknown, since it
   may not do the work.
*/
speed_review reviewSpeeds(target_speeds &speeds, const std::vector<target_speed *> &targets,
                          time_point now);

/** @return the cost of placing a task on a target with a certain speed, in the unit of fitCost();
            below 0 on a fast target

    The faster target counts in full if the task has no slack, and less the longer its slack is
    against its work. Work of the most urgent priority always counts half of it or more.
    @param estimate  of the task
    @param slack     below 0 if its job is late
    @param isUrgent  whether its queue has the most urgent priority
*/
double speedCost(const target_speed &target, milliseconds estimate, milliseconds slack,
                 bool isUrgent);

} // namespace filbert

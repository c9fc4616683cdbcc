#pragma once

#include "filbert_policy/filbert_policy.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace filbert {

/** A stream of similar work that arrives during a trial. */
struct work_stream
{
    std::string team;
    std::string service;
    work_class kind = work_class::Batch;
    resource_amounts need;
    int tasks = 1;
    double arrivalsPerSecond = 0; // mean of a Poisson process
    double meanRunMs = 1'000; // of one task, log-normally distributed
    double runLogSigma = 0.5; // standard deviation of the run time's logarithm
    bool isIdempotent = true;
    std::int64_t burstPeriodMs = 0; // 0 = no bursts
    int burstSize = 0; // arrivals in each burst
};

/** A number of identical targets. */
struct target_group
{
    std::string name;
    int count = 0;
    resource_amounts capacity;
    std::vector<std::string> services;
};

/** The targets, teams, work and faults of a trial. A time of 0 disables a fault. */
struct trial_plan
{
    std::string name;
    std::vector<target_group> groups;
    std::map<std::string, double> shares; // by team
    std::vector<work_stream> streams;
    std::set<std::string> urgentServices;
    std::int64_t lengthMs = 600'000;
    std::int64_t warmUpMs = 60'000;
    std::int64_t cancelAtMs = 0; // half of the waiting batch work is cancelled
    std::int64_t failTargetsAtMs = 0; // targets named "...r0" fail all tasks for a minute
    std::int64_t loseDomainAtMs = 0; // a third of the targets is unavailable for a minute
    double sizeErrorLog10 = 0; // actual use differs from declared use by up to this power of ten
};

/** Waiting times of one class, in milliseconds. */
struct wait_statistics
{
    std::size_t count = 0;
    double p50 = 0;
    double p99 = 0;
};

/** Measured results of a trial. */
struct trial_results
{
    wait_statistics urgent;
    wait_statistics batch;
    wait_statistics gang;
    double slotUse = 0; // fraction of all slots, mean over time
    double coreUse = 0;
    double acceleratorUse = 0; // mean over the time when work waited for accelerators
    double shareDeviationMean = 0; // of backlogged teams, relative to their fair fraction
    double shareDeviationWorst = 0;
    double wastedFraction = 0; // task time lost to stopped tasks, of all task time
    double decisionP50Us = 0; // elapsed time of a pass, per placement
    double decisionP99Us = 0;
    std::size_t placements = 0;
    std::size_t refused = 0; // work that the scheduler didn't accept or later gave up
    std::size_t failed = 0; // tasks that ended on a failing target
};

/** Runs a trial under a policy. The same seed gives the same arrivals for every policy. */
trial_results runTrial(const trial_plan &plan, const policy_settings &settings, std::uint64_t seed);

} // namespace filbert

#pragma once

#include "filbert_policy/filbert_policy.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace filbert {

/** A kind of work that arrives in a trial. */
struct work_stream
{
    std::string team;
    std::string service;
    work_class kind = work_class::Batch;
    resource_amounts need;
    int tasks = 1;
    double perSecond = 0; // arrivals, Poisson
    double meanRunMs = 1'000; // of one task, log-normal
    double runSpread = 0.5; // sigma of the logarithm
    bool isIdempotent = true;
    std::int64_t burstEveryMs = 0; // every so often ...
    int burstSize = 0; // ... so many at once
};

/** Identical targets. */
struct target_group
{
    std::string name;
    int count = 0;
    resource_amounts capacity;
    std::vector<std::string> services;
};

/** A cell and what happens to it. */
struct trial_plan
{
    std::string name;
    std::vector<target_group> groups;
    std::map<std::string, double> shares; // by team
    std::vector<work_stream> streams;
    std::set<std::string> urgentServices;
    std::int64_t lengthMs = 600'000;
    std::int64_t warmUpMs = 60'000;
    std::int64_t cancelAtMs = 0; // half of what waits is cancelled
    std::int64_t poisonAtMs = 0; // one target of each group fails everything for a while
    std::int64_t loseDomainAtMs = 0; // a third of the targets goes for a minute
    double sizeErrorLog10 = 0; // true use is declared use times up to this power of ten
};

/** Waiting times of one class, in milliseconds. */
struct wait_figures
{
    std::size_t count = 0;
    double p50 = 0;
    double p99 = 0;
};

/** What a trial came to. */
struct trial_figures
{
    wait_figures urgent;
    wait_figures batch;
    wait_figures gang;
    double slotUse = 0; // part of all slots, mean over time
    double coreUse = 0;
    double acceleratorUse = 0; // while work for them waited
    double shareDistanceMean = 0; // of teams with work waiting all the time, of their due part
    double shareDistanceWorst = 0;
    double wastedPart = 0; // task time lost by preemption, of all task time
    double decisionP50Us = 0; // processor time for one placement
    double decisionP99Us = 0;
    std::size_t placements = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
};

/** Runs a plan under a policy. The same seed gives the same arrivals for every policy. */
trial_figures runTrial(const trial_plan &plan, const policy_settings &settings, std::uint64_t seed);

} // namespace filbert

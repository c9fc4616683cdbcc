/** @file filbert-policy-bench: compares the scheduling policy with baselines and measures the cost
    of its decisions.

    Prints one line of key=value pairs for each trial, which scripts/plot_policy.py plots.
*/

#include "policy_trial.h"

#include <chrono>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(trial, "policies", "kind of trial: policies, mishaps, size or memory");
DEFINE_string(seeds, "1,2", "seeds of the arrival times, comma-separated");
DEFINE_int64(length_ms, 660'000, "length of a trial in virtual time");
DEFINE_double(history_weight, -1, "the policy's history weight; below 0 = its default");
DEFINE_double(urgent_reserve, -1, "the policy's urgent reserve fraction; below 0 = its default");
DEFINE_string(only, "", "run only the policy of this name; empty = all");

namespace filbert {

namespace {

struct named_policy
{
    policy_kind kind;
    const char *name;
};

constexpr named_policy policies[] = {
    {policy_kind::Filbert, "filbert"},
    {policy_kind::FirstComeFirstFit, "first_come_first_fit"},
    {policy_kind::WeightedFair, "weighted_fair"},
    {policy_kind::DominantShare, "dominant_share"},
    {policy_kind::StrictPriority, "strict_priority"},
};

/** A co-operative at peak load: urgent quotes, and enough reports and proofs to fill all targets.
 */
trial_plan cooperativePlan()
{
    trial_plan plan;
    plan.name = "cooperative";
    plan.groups = {
        {"order", 35, {32'000, 64'000, 0, 8}, {"quote", "report"}},
        {"studio", 13, {128'000, 512'000, 8, 8}, {"proof"}},
    };
    plan.shares = {{"desk", 30}, {"books", 20}, {"stock", 10}, {"studio", 25}, {"press", 15}};
    plan.urgentServices = {"quote"};
    plan.streams = {
        {"desk",
         "quote",
         work_class::Urgent,
         {2'000, 1'000, 0, 1},
         1,
         900,
         100,
         0.5,
         true,
         20'000,
         60},
        {"books", "report", work_class::Batch, {4'000, 6'000, 0, 1}, 1, 12, 20'000, 0.8},
        {"stock", "report", work_class::Batch, {4'000, 6'000, 0, 1}, 1, 12, 20'000, 0.8},
        {"studio", "proof", work_class::Batch, {12'000, 30'000, 1, 1}, 1, 4, 40'000, 0.8},
        {"press", "proof", work_class::Batch, {12'000, 30'000, 1, 1}, 1, 3, 40'000, 0.8},
        {"press", "proof", work_class::Gang, {12'000, 30'000, 1, 1}, 12, 0.03, 30'000, 0.3},
    };
    return plan;
}

/** A trust before the evening peak: urgent badges, and portraits and screening in the background.
 */
trial_plan trustPlan()
{
    trial_plan plan;
    plan.name = "trust";
    plan.groups = {
        {"badge", 35, {32'000, 128'000, 0, 8}, {"badge", "archive"}},
        {"photo", 13, {64'000, 128'000, 8, 8}, {"portrait"}},
    };
    plan.shares = {
        {"badges", 25}, {"archive", 10}, {"audit", 15}, {"portraits", 30}, {"screening", 20}};
    plan.urgentServices = {"badge"};
    plan.streams = {
        {"badges",
         "badge",
         work_class::Urgent,
         {1'000, 1'000, 0, 1},
         1,
         1'200,
         80,
         0.5,
         true,
         30'000,
         100},
        {"archive", "archive", work_class::Batch, {4'000, 12'000, 0, 1}, 1, 12, 20'000, 0.8},
        {"audit", "archive", work_class::Batch, {4'000, 12'000, 0, 1}, 1, 12, 20'000, 0.8},
        {"portraits", "portrait", work_class::Batch, {6'000, 12'000, 1, 1}, 1, 4, 25'000, 0.8},
        {"screening", "portrait", work_class::Batch, {6'000, 12'000, 1, 1}, 1, 3, 30'000, 0.8},
        {"screening", "portrait", work_class::Gang, {6'000, 12'000, 1, 1}, 8, 0.05, 30'000, 0.3},
    };
    return plan;
}

trial_plan withFaults(trial_plan plan)
{
    plan.name += "_mishaps";
    plan.cancelAtMs = 200'000;
    plan.failTargetsAtMs = 300'000;
    plan.loseDomainAtMs = 420'000;
    plan.sizeErrorLog10 = 0.3;
    return plan;
}

policy_settings settingsOf(policy_kind kind)
{
    policy_settings settings;
    settings.kind = kind;
    if (FLAGS_history_weight >= 0) {
        settings.historyWeight = FLAGS_history_weight;
    }
    if (FLAGS_urgent_reserve >= 0) {
        settings.urgentReserveFraction = FLAGS_urgent_reserve;
    }
    return settings;
}

void print(const trial_plan &plan, const char *policy, const std::string &seed,
           const trial_results &results)
{
    std::cout << "trial=" << plan.name << " policy=" << policy << " seed=" << seed
              << " urgent_p50_ms=" << results.urgent.p50 << " urgent_p99_ms=" << results.urgent.p99
              << " batch_p50_ms=" << results.batch.p50 << " batch_p99_ms=" << results.batch.p99
              << " gang_p50_ms=" << results.gang.p50 << " gang_p99_ms=" << results.gang.p99
              << " gangs_started=" << results.gang.count << " slot_use=" << results.slotUse
              << " core_use=" << results.coreUse << " accelerator_use=" << results.acceleratorUse
              << " share_mean=" << results.shareDeviationMean
              << " share_worst=" << results.shareDeviationWorst
              << " wasted=" << results.wastedFraction
              << " decision_p50_us=" << results.decisionP50Us
              << " decision_p99_us=" << results.decisionP99Us
              << " placements=" << results.placements << " refused=" << results.refused
              << " failed=" << results.failed << std::endl;
}

void runPolicies(bool hasFaults)
{
    for (auto plan : {cooperativePlan(), trustPlan()}) {
        if (hasFaults) {
            plan = withFaults(plan);
        }
        plan.lengthMs = FLAGS_length_ms;
        for (const auto &seed : splitList(FLAGS_seeds)) {
            for (const auto &policy : policies) {
                if (FLAGS_only.empty() || FLAGS_only == policy.name) {
                    print(plan, policy.name, seed,
                          runTrial(plan, settingsOf(policy.kind), std::stoull(seed)));
                }
            }
        }
    }
}

/** Measures the cost of a decision for growing numbers of targets and teams, with about 95 % of
   each cell in use. */
void runSizes()
{
    for (const int targets : {48, 200, 800, 3'200, 14'000}) {
        trial_plan plan;
        plan.name = "size_" + std::to_string(targets);
        plan.groups = {{"host", targets, {64'000, 256'000, 0, 18}, {"live", "work"}}};
        plan.urgentServices = {"live"};
        const int teams = std::clamp(targets / 32, 4, 440);
        const double perTarget = 1.0 / teams * targets;
        for (int i = 0; i < teams; ++i) {
            const auto name = "team" + std::to_string(i);
            plan.shares[name] = 1 + i % 5;
            plan.streams.push_back({name,
                                    "live",
                                    work_class::Urgent,
                                    {1'000, 2'000, 0, 1},
                                    1,
                                    0.05 * perTarget,
                                    2'000,
                                    0.5});
            plan.streams.push_back({name,
                                    "work",
                                    work_class::Batch,
                                    {3'000, 8'000, 0, 1},
                                    4,
                                    0.12 * perTarget,
                                    40'000,
                                    0.6});
        }
        plan.lengthMs = 60'000;
        plan.warmUpMs = 30'000;
        print(plan, "filbert", "1", runTrial(plan, settingsOf(policy_kind::Filbert), 1));
    }
}

std::int64_t residentKb()
{
    std::ifstream status {"/proc/self/status"};
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stoll(line.substr(6));
        }
    }
    return 0;
}

/** Measures the scheduler's memory for each running task, with 14,000 targets. */
void runMemory()
{
    scheduler_state scheduler;
    constexpr int targets = 14'000;
    for (int i = 0; i < targets; ++i) {
        target_entry entry;
        entry.name = "host" + std::to_string(i);
        entry.failureDomain = "d" + std::to_string(i % 8);
        entry.capacity = {64'000, 256'000, 0, 18};
        entry.services = {"work"};
        updateTarget(scheduler, entry, true);
    }
    const auto before = residentKb();
    std::cout << "tasks=0 resident_kb=" << before << "\n";
    std::uint64_t placement = 0;
    for (const std::uint64_t tasks : {50'000, 100'000, 150'000, 200'000, 250'000}) {
        while (placement < tasks) {
            running_task task;
            task.target = static_cast<std::uint32_t>(placement % targets);
            task.workId = placement;
            task.team = "team" + std::to_string(placement % 440);
            task.service = "work";
            task.estimateKey = task.team + "/work";
            task.need = {3'000, 8'000, 0, 1};
            addRunningTask(scheduler, ++placement, std::move(task));
        }
        std::cout << "tasks=" << tasks << " resident_kb=" << residentKb() << " bytes_per_task="
                  << (residentKb() - before) * 1'024 / static_cast<std::int64_t>(tasks)
                  << std::endl;
    }
}

} // namespace

} // namespace filbert

int main(int argc, char **argv)
{
    using namespace filbert;
    settings_check check {
        readSettings(&argc, &argv, "Compares the scheduling policy with baselines.")};
    startLog(argv[0]);
    silenceLog();
    if (!check.isValid()) {
        return 2;
    }
    if (FLAGS_trial == "size") {
        runSizes();
    } else if (FLAGS_trial == "memory") {
        runMemory();
    } else {
        runPolicies(FLAGS_trial == "mishaps");
    }
    return 0;
}

#include "load_shedding.h"

#include "scheduling.h"

#include <algorithm>
#include <utility>

namespace filbert {

namespace {

// Urgent jobs have a slack of 350 ms or more, and wait for some nine turns.
constexpr milliseconds longTurn {40};
constexpr milliseconds reviewPeriod {200}; // five long turns
constexpr int refusalSteps = 20; // the level at which all jobs would be refused
// A review raises the level by the ratio of the mean turn to a long one, and lowers it by one: an
// accepted job makes work for about a second, but a burst lasts only some seconds.
constexpr std::int64_t maxLevelIncrease = 4;
constexpr int maxRefusalLevel = 18; // what is accepted shows whether there is time again
// Jobs beyond the share of their team are refused in advance of those that would be next. The part
// that is refused stays the same over some hundred jobs.
constexpr int maxAdvancedCredit = 5 * refusalSteps;
constexpr std::size_t maxRefusedJobs = 10'000; // ids that are remembered: 1 MB
constexpr milliseconds refusalMemory {30'000}; // longer than callers go on trying

bool isLasting(const messages::staged_job &job)
{
    const auto &steps = job.steps();
    return std::any_of(steps.begin(), steps.end(), [](const auto &step) { return step.lasts(); });
}

bool canBeInTime(const messages::staged_job &job, const messages::work_queue &queue,
                 milliseconds waited)
{
    const auto paths = criticalPathsOf(job);
    const auto criticalPath = *std::max_element(paths.begin(), paths.end());
    return isLasting(job) || job.repeat_count() > 0
        || waited + criticalPath <= objectiveOf(queue, criticalPath);
}

} // namespace

int refusedPercent(const load_shedding &shedding)
{
    constexpr int percent = 100;
    return shedding.refusalLevel * percent / refusalSteps;
}

void recordTurn(load_shedding &shedding, time_point now)
{
    if (shedding.lastReviewAt.ms == 0) {
        shedding.lastReviewAt = now;
        return;
    }
    ++shedding.turns;
    const auto elapsed = now - shedding.lastReviewAt;
    if (elapsed < reviewPeriod) {
        return;
    }
    shedding.lastReviewAt = now;
    const milliseconds meanTurn {elapsed.count / std::exchange(shedding.turns, 0)};
    const bool isOverloaded = meanTurn > longTurn;
    // A pause of the process, or work that comes up once, makes one review find long turns.
    const bool wasOverloaded = std::exchange(shedding.wasOverloaded, isOverloaded);
    const auto before = shedding.refusalLevel;
    if (!isOverloaded) {
        shedding.refusalLevel = std::max(before - 1, 0);
    } else if (wasOverloaded) {
        const auto increase = std::min(meanTurn.count / longTurn.count, maxLevelIncrease);
        shedding.refusalLevel = std::min(before + static_cast<int>(increase), maxRefusalLevel);
    }
    if (shedding.refusalLevel != before) {
        log_line {"load_shedding"}
            .with("refused_percent", refusedPercent(shedding))
            .with("mean_turn_ms", meanTurn.count)
            .with("refused_jobs", shedding.firstRefusedAt.size());
    }
    std::erase_if(shedding.firstRefusedAt,
                  [&](const auto &each) { return now - each.second >= refusalMemory; });
}

bool refusesJob(load_shedding &shedding, const std::string &id, const messages::staged_job &job,
                const messages::work_queue &queue, time_point now, bool isBeyondShare)
{
    if (shedding.refusalLevel == 0) {
        return false;
    }
    if (const auto refusedAt = firstRefusal(shedding, id)) {
        return !canBeInTime(job, queue, now - *refusedAt);
    }
    shedding.refusalCredit += shedding.refusalLevel;
    const int neededCredit = isBeyondShare ? -maxAdvancedCredit : refusalSteps;
    if (shedding.refusalCredit < neededCredit) {
        return false;
    }
    shedding.refusalCredit -= refusalSteps;
    rememberRefusal(shedding, id, now);
    return true;
}

std::optional<time_point> firstRefusal(const load_shedding &shedding, const std::string &id)
{
    const auto refused = shedding.firstRefusedAt.find(id);
    return refused == shedding.firstRefusedAt.end() ? std::nullopt
                                                    : std::optional {refused->second};
}

void rememberRefusal(load_shedding &shedding, const std::string &id, time_point now)
{
    if (shedding.firstRefusedAt.size() < maxRefusedJobs) {
        shedding.firstRefusedAt.emplace(id, now);
    }
}

} // namespace filbert

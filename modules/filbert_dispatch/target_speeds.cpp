#include "target_speeds.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace filbert {

namespace {

// Two turns of the loops of leader, relay and target, and the network, are at most some 50 ms.
constexpr milliseconds minEstimate {100};
// Entries kept for each target: the median of so many differs by 0.14 where estimates are off by
// 0.9 of themselves, less than targets do.
constexpr std::size_t maxEntries = 32;
constexpr std::size_t minEntries = 6; // of a known target
// A target with this many entries counts half: few runs prove little.
constexpr double halfWeightEntries = 4;
constexpr int minGroupRuns = 4; // before others are compared with a group
constexpr int maxGroupRuns = 64; // that the mean of a group remembers
constexpr std::size_t maxGroups = 4'096; // at some 200 bytes each
constexpr milliseconds groupRetention {30'000}; // without a run
constexpr milliseconds reviewPeriod {1'000};
constexpr std::size_t minKnownTargets = 8; // fewer show a spread by chance
// The variance between equal targets is that of the noise, which is known within a factor of two.
constexpr double useVarianceRatio = 3.0;
constexpr double endUseVarianceRatio = 2.0;
// How far the older and the newer runs of targets agree, in standard deviations of what equal
// targets show: more than these do not show by chance in a day of reviews.
constexpr double useAgreement = 4.5;
constexpr double endUseAgreement = 2.5;
constexpr double minSpread = 0.1; // a difference of a tenth moves no job into its objective
constexpr double maxLogSlowness = 1.0; // slower targets, by a factor of e, are all alike
// A target at twice the speed of the typical one rather ends its runs without doing the work.
constexpr double maxCredibleLogSpeed = 0.7;
constexpr double deviationsPerMad = 1.4826; // of a normal distribution
constexpr double medianVarianceFactor = 1.571; // pi / 2, against that of the mean
// In the unit of fitCost(), an accelerator left idle: a target that is slower by a factor of e
// costs as much as one that is empty against one that is full.
constexpr double logSlownessCost = 1.0;
constexpr double minUrgentWeight = 0.5;

double medianOf(std::vector<double> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/** What the entries of one known target show. */
struct entry_summary
{
    std::size_t index = 0; // of the target
    double median = 0;
    double variance = 0; // of the median
    double olderMedian = 0; // of the older half of the entries
    double newerMedian = 0;
};

entry_summary summaryOf(const target_speed &target, std::size_t index)
{
    std::vector<double> values {target.entries.begin(), target.entries.end()};
    std::rotate(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(target.nextEntry),
                values.end()); // the oldest first
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::vector<double> older {values.begin(), middle};
    std::vector<double> newer {middle, values.end()};
    entry_summary summary;
    summary.index = index;
    summary.olderMedian = medianOf(older);
    summary.newerMedian = medianOf(newer);
    summary.median = medianOf(values);
    std::transform(values.begin(), values.end(), values.begin(),
                   [&](double value) { return std::abs(value - summary.median); });
    const double deviation = medianOf(values) * deviationsPerMad;
    summary.variance =
        medianVarianceFactor * deviation * deviation / static_cast<double>(values.size());
    return summary;
}

/** Adds a run to the mean of a group. @return its difference from the runs before, or nothing if
    these are too few */
std::optional<double> addToGroup(target_speeds &speeds, const std::string &name, double logRatio,
                                 double logSlowness, time_point now)
{
    auto found = speeds.groups.find(name);
    if (found == speeds.groups.end()) {
        if (name.empty() || speeds.groups.size() >= maxGroups) {
            return std::nullopt;
        }
        found = speeds.groups.emplace(name, run_group {}).first;
    }
    auto &group = found->second;
    const double difference = logRatio - group.mean;
    const bool isComparable = group.runs >= minGroupRuns;
    group.runs = std::min(group.runs + 1, maxGroupRuns);
    group.mean += (difference - logSlowness) / group.runs;
    group.lastRunAt = now;
    return isComparable ? std::optional {difference} : std::nullopt;
}

void addEntry(target_speed &target, double difference)
{
    const auto entry = static_cast<float>(difference);
    if (target.entries.size() < maxEntries) {
        target.entries.push_back(entry);
        return;
    }
    target.entries[target.nextEntry] = entry;
    target.nextEntry = (target.nextEntry + 1) % maxEntries;
}

double varianceOf(const std::vector<entry_summary> &summaries, double centre)
{
    double sum = 0;
    for (const auto &each : summaries) {
        const double difference = std::clamp(each.median - centre, -maxLogSlowness, maxLogSlowness);
        sum += difference * difference;
    }
    return sum / static_cast<double>(summaries.size());
}

/** @return how far the older and the newer runs of the targets agree on which are slow: the
    correlation in Fisher's z, in standard deviations. Equal targets show about 0, whatever the
    distribution of the runs is, and also if runs of one step are alike. */
double agreementOf(const std::vector<entry_summary> &summaries)
{
    const auto count = static_cast<double>(summaries.size());
    double olderMean = 0;
    double newerMean = 0;
    for (const auto &each : summaries) {
        olderMean += each.olderMedian / count;
        newerMean += each.newerMedian / count;
    }
    double covariance = 0;
    double olderVariance = 0;
    double newerVariance = 0;
    for (const auto &each : summaries) {
        const double older = each.olderMedian - olderMean;
        const double newer = each.newerMedian - newerMean;
        covariance += older * newer;
        olderVariance += older * older;
        newerVariance += newer * newer;
    }
    const double scale = std::sqrt(olderVariance * newerVariance);
    constexpr double almostOne = 0.999'999; // Fisher's z of 1 is infinite
    const double correlation = scale > 0 ? std::min(covariance / scale, almostOne) : 0.0;
    return std::atanh(std::max(correlation, 0.0)) * std::sqrt(count - 3);
}

/** Whether targets differ by more than the noise. @param wereInUse  less is enough to stay in use
 */
bool doTargetsDiffer(double variance, double noise, double agreement, bool wereInUse)
{
    const double ratio = wereInUse ? endUseVarianceRatio : useVarianceRatio;
    return variance > ratio * noise && variance > minSpread * minSpread
        && agreement > (wereInUse ? endUseAgreement : useAgreement);
}

double learnedSlowness(const entry_summary &summary, double centre, std::size_t entries)
{
    const double difference = summary.median - centre;
    if (difference < -maxCredibleLogSpeed) {
        return 0;
    }
    const auto count = static_cast<double>(entries);
    return std::min(difference, maxLogSlowness) * count / (count + halfWeightEntries);
}

} // namespace

void recordFinishedRun(target_speeds &speeds, target_speed &target, const finished_run &run,
                       time_point now)
{
    if (run.estimate < minEstimate || run.duration.count <= 0) {
        return;
    }
    const double logRatio =
        std::log(static_cast<double>(run.duration.count) / static_cast<double>(run.estimate.count));
    const auto inQueue = addToGroup(speeds, run.queueGroup, logRatio, target.logSlowness, now);
    const auto inStep = addToGroup(speeds, run.stepGroup, logRatio, target.logSlowness, now);
    ++speeds.countedRuns;
    speeds.isReviewDue = true;
    if (const auto difference = inStep ? inStep : inQueue) {
        addEntry(target, *difference);
    }
}

void forgetSpeed(target_speed &target)
{
    target.entries.clear();
    target.nextEntry = 0;
    target.logSlowness = 0;
}

void noteDisturbance(target_speed &target, time_point until)
{
    target.disturbedUntil = std::max(target.disturbedUntil, until);
}

bool isSpeedReviewDue(const target_speeds &speeds, time_point now)
{
    return speeds.isReviewDue && now >= speeds.nextReviewAt;
}

speed_review reviewSpeeds(target_speeds &speeds, const std::vector<target_speed *> &targets,
                          time_point now)
{
    speeds.isReviewDue = false;
    speeds.nextReviewAt = now + reviewPeriod;
    std::erase_if(speeds.groups,
                  [&](const auto &each) { return now - each.second.lastRunAt >= groupRetention; });
    std::vector<entry_summary> summaries;
    std::vector<double> medians;
    double noise = 0;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        targets[i]->logSlowness = 0;
        if (targets[i]->entries.size() >= minEntries) {
            summaries.push_back(summaryOf(*targets[i], i));
            medians.push_back(summaries.back().median);
            noise += summaries.back().variance;
        }
    }
    speed_review review;
    review.knownTargets = summaries.size();
    speeds.lastReview = review;
    if (summaries.size() < minKnownTargets) {
        speeds.areInUse = false;
        return review;
    }
    noise /= static_cast<double>(summaries.size());
    const double centre = medianOf(medians);
    const double variance = varianceOf(summaries, centre);
    speeds.areInUse = doTargetsDiffer(variance, noise, agreementOf(summaries), speeds.areInUse);
    review.spread = std::sqrt(variance);
    review.noise = std::sqrt(noise);
    const auto isFaster = [](const auto &a, const auto &b) { return a.median < b.median; };
    const auto [fastest, slowest] =
        std::minmax_element(summaries.begin(), summaries.end(), isFaster);
    review.fastest = fastest->index;
    review.slowest = slowest->index;
    speeds.lastReview = review;
    if (speeds.areInUse) {
        for (const auto &summary : summaries) {
            auto &target = *targets[summary.index];
            target.logSlowness = learnedSlowness(summary, centre, target.entries.size());
        }
    }
    return review;
}

double speedCost(const target_speed &target, milliseconds estimate, milliseconds slack,
                 bool isUrgent)
{
    if (target.logSlowness == 0) {
        return 0;
    }
    const auto work = static_cast<double>(std::max<std::int64_t>(estimate.count, 1));
    const auto spare = static_cast<double>(std::max<std::int64_t>(slack.count, 0));
    const double weight = work / (work + spare);
    return logSlownessCost * target.logSlowness
        * std::max(weight, isUrgent ? minUrgentWeight : 0.0);
}

} // namespace filbert

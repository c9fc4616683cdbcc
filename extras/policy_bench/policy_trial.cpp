#include "policy_trial.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <queue>

namespace filbert {

namespace {

constexpr std::int64_t faultDurationMs = 60'000;
constexpr std::int64_t urgentStartTimeoutMs = 5'000;
constexpr std::int64_t stopDelayMs = 200; // from the stop order until the capacity is free
constexpr std::int64_t sampleIntervalMs = 500;
constexpr std::int64_t failingRunMs = 100;

double percentileOf(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank),
                     values.end());
    return values[rank];
}

wait_statistics statisticsOf(const std::vector<double> &waits)
{
    return {waits.size(), percentileOf(waits, 0.5), percentileOf(waits, 0.99)};
}

/** Discrete-event simulation that drives the production scheduler with arrivals, task ends and
    faults.
*/
class trial
{
public:
    trial(const trial_plan &plan, const policy_settings &settings, std::uint64_t seed)
        : plan {plan}
        , random {seed}
    {
        scheduler.settings = settings;
        for (const auto &[name, share] : plan.shares) {
            setTeam(scheduler, name, share, limitOf({}));
        }
        setUrgentServices(scheduler, plan.urgentServices);
        addTargets();
        for (std::size_t i = 0; i < plan.streams.size(); ++i) {
            scheduleArrivals(i);
        }
    }

    trial_results run()
    {
        while (!events.empty() && events.top().at <= plan.lengthMs) {
            now = events.top().at;
            while (!events.empty() && events.top().at == now) {
                const auto event = events.top();
                events.pop();
                handleEvent(event);
            }
            injectFaults();
            endExpiredQuarantines(scheduler, {now});
            runScheduler();
            sample();
        }
        return computeResults();
    }

private:
    enum class event_kind { Arrival, Burst, End, Stopped, Wake };

    struct event
    {
        std::int64_t at = 0;
        std::uint64_t number = 0; // keeps the order of events with the same time
        event_kind kind = event_kind::Arrival;
        std::uint64_t subject = 0; // index of a stream, or placement id

        bool operator<(const event &other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    /** Work that has arrived, or one of its tasks that runs. */
    struct task_run
    {
        std::size_t stream = 0;
        std::int64_t since = 0; // time of arrival or of the task's start
        bool isFailing = false;
        work_item item;
        std::int32_t task = 0;
    };

    void addTargets()
    {
        int number = 0;
        for (const auto &group : plan.groups) {
            for (int i = 0; i < group.count; ++i, ++number) {
                target_entry entry;
                entry.name = group.name + std::to_string(i);
                entry.failureDomain = "d" + std::to_string(number % 3);
                entry.capacity = group.capacity;
                entry.services = group.services;
                targetEntries.push_back(entry);
                updateTarget(scheduler, entry, true);
            }
        }
    }

    void scheduleEvent(std::int64_t when, event_kind kind, std::uint64_t subject)
    {
        events.push({when, ++lastEventNumber, kind, subject});
    }

    void scheduleArrivals(std::size_t stream)
    {
        const auto &work = plan.streams[stream];
        std::mt19937_64 generator {random()};
        if (work.arrivalsPerSecond > 0) {
            std::exponential_distribution<double> gap {work.arrivalsPerSecond / 1'000};
            for (double when = gap(generator); when < static_cast<double>(plan.lengthMs);
                 when += gap(generator)) {
                scheduleEvent(static_cast<std::int64_t>(when), event_kind::Arrival, stream);
            }
        }
        if (work.burstPeriodMs > 0) {
            for (std::int64_t when = 0; when < plan.lengthMs; when += work.burstPeriodMs) {
                scheduleEvent(when, event_kind::Burst, stream);
            }
        }
        std::lognormal_distribution<double> length {
            std::log(work.meanRunMs) - work.runLogSigma * work.runLogSigma / 2, work.runLogSigma};
        runLengths.push_back(length);
        generators.push_back(std::mt19937_64 {random()});
    }

    void handleArrival(std::size_t stream)
    {
        const auto &work = plan.streams[stream];
        work_item item;
        item.workId = ++lastWorkId;
        item.kind = work.kind;
        item.team = work.team;
        item.service = work.service;
        item.queue = work.service;
        item.declaredNeed = work.need;
        item.declaredNeed.slots = 1;
        item.size = work.tasks;
        item.isIdempotent = work.isIdempotent;
        for (int i = 0; i < work.tasks; ++i) {
            item.tasks.push_back(i);
        }
        if (work.kind == work_class::Urgent) {
            item.startDeadline = {now + urgentStartTimeoutMs};
            scheduleEvent(now + urgentStartTimeoutMs, event_kind::Wake, 0);
            scheduleEvent(now + scheduler.settings.preemptionDelay.count, event_kind::Wake, 0);
        }
        arrivedWork[item.workId] = {stream, now, false, item, 0};
        const auto workId = item.workId;
        if (addWork(scheduler, std::move(item), {now})) {
            ++result.refused;
            arrivedWork.erase(workId);
        }
    }

    void handleEvent(const event &event)
    {
        switch (event.kind) {
        case event_kind::Arrival:
            handleArrival(event.subject);
            break;
        case event_kind::Burst:
            for (int i = 0; i < plan.streams[event.subject].burstSize; ++i) {
                handleArrival(event.subject);
            }
            break;
        case event_kind::End:
            endTask(event.subject, false);
            break;
        case event_kind::Stopped:
            endTask(event.subject, true);
            break;
        case event_kind::Wake:
            break;
        }
    }

    void endTask(std::uint64_t placement, bool isStopped)
    {
        const auto found = running.find(placement);
        if (found == running.end()) {
            return;
        }
        auto run = std::move(found->second);
        running.erase(found);
        const auto took = static_cast<double>(now - run.since);
        const bool mustRetry = isStopped || run.isFailing;
        (isStopped ? wastedMs : usefulMs) += took;
        if (!isStopped) {
            recordTaskResult(scheduler, placement, !run.isFailing, {now});
        }
        result.failed += run.isFailing ? 1 : 0;
        releaseTask(scheduler, placement, {now});
        if (mustRetry) {
            run.item.failures = run.isFailing ? 1 : 0;
            requeueTask(scheduler, std::move(run.item), run.task, {now});
            scheduleEvent(now + 500, event_kind::Wake, 0);
        }
    }

    void runScheduler()
    {
        const auto started = std::chrono::steady_clock::now();
        const auto decided = schedule(scheduler, {now});
        const auto took =
            std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - started)
                .count();
        if (!decided.placements.empty()) {
            decisionUs.push_back(took / static_cast<double>(decided.placements.size()));
        }
        result.refused += decided.refusals.size();
        for (const auto &stop : decided.stops) {
            scheduleEvent(now + stopDelayMs, event_kind::Stopped, stop.placementId);
        }
        for (const auto &placed : decided.placements) {
            startTask(placed);
        }
    }

    void startTask(const placement_decision &placed)
    {
        auto &origin = arrivedWork.at(placed.workId);
        const auto stream = origin.stream;
        const auto &task = scheduler.running.at(placed.placementId);
        if (now >= plan.warmUpMs) {
            const auto waited = static_cast<double>(now - origin.since);
            auto &waits = task.kind == work_class::Urgent ? urgentWaits
                : task.kind == work_class::Gang           ? gangWaits
                                                          : batchWaits;
            waits.push_back(waited);
            ++result.placements;
        }
        const auto &target = scheduler.index.targets[placed.target];
        const bool isFailing = now >= plan.failTargetsAtMs
            && now < plan.failTargetsAtMs + faultDurationMs && plan.failTargetsAtMs > 0
            && target.name.ends_with("r0");
        const auto runMs = isFailing
            ? failingRunMs
            : std::max<std::int64_t>(
                1, static_cast<std::int64_t>(runLengths[stream](generators[stream])));
        running[placed.placementId] = {stream, now, isFailing, origin.item, placed.taskIndex};
        scheduleEvent(now + runMs, event_kind::End, placed.placementId);
        if (plan.sizeErrorLog10 > 0) {
            std::uniform_real_distribution<double> error {-plan.sizeErrorLog10,
                                                          plan.sizeErrorLog10};
            auto used =
                origin.item.declaredNeed; // actual use is independent of the learned estimate
            used.milliCores = static_cast<std::int64_t>(static_cast<double>(used.milliCores)
                                                        * std::pow(10, error(random)));
            recordUsage(scheduler, placed.placementId, used);
        }
    }

    void injectFaults()
    {
        if (plan.cancelAtMs > 0 && now >= plan.cancelAtMs && !hasCancelled) {
            hasCancelled = true;
            std::vector<std::uint64_t> workIds;
            for (const auto &[workId, item] : scheduler.waiting) {
                if (workId % 2 == 0 && item.kind == work_class::Batch) {
                    workIds.push_back(workId);
                }
            }
            for (const auto workId : workIds) {
                removeWork(scheduler, workId);
            }
        }
        const bool isUnavailable = plan.loseDomainAtMs > 0 && now >= plan.loseDomainAtMs
            && now < plan.loseDomainAtMs + faultDurationMs;
        if (isUnavailable != isDomainUnavailable) {
            isDomainUnavailable = isUnavailable;
            for (const auto &entry : targetEntries) {
                if (entry.failureDomain == "d0") {
                    setUnavailable(entry, isUnavailable);
                }
            }
        }
    }

    /** Removes a target with all its running tasks from the scheduler, or adds it again. */
    void setUnavailable(const target_entry &entry, bool isUnavailable)
    {
        updateTarget(scheduler, entry, !isUnavailable);
        if (!isUnavailable) {
            return;
        }
        const auto number = scheduler.index.byName.at(entry.name);
        const auto lost = scheduler.runningOnTarget[number];
        for (const auto placement : lost) {
            endTask(placement, true);
        }
    }

    void sample()
    {
        if (now < plan.warmUpMs || now < nextSample) {
            return;
        }
        nextSample = now + sampleIntervalMs;
        resource_amounts used;
        const auto &total = scheduler.index.totalCapacity;
        for (const auto &target : scheduler.index.targets) {
            used += target.used;
        }
        ++samples;
        slotUse += fraction(used.slots, total.slots);
        coreUse += fraction(used.milliCores, total.milliCores);
        bool waitsForAccelerators = false;
        for (const auto &[name, team] : scheduler.teams) {
            for (const auto kind : {work_class::Batch, work_class::Gang}) {
                const auto &queue = team.waitingIds[static_cast<std::size_t>(kind)];
                for (std::size_t i = 0; i < std::min<std::size_t>(queue.size(), 4); ++i) {
                    const auto found = scheduler.waiting.find(queue[i]);
                    waitsForAccelerators |=
                        found != scheduler.waiting.end() && found->second.need.accelerators > 0;
                }
            }
        }
        if (waitsForAccelerators && total.accelerators > 0) {
            ++acceleratorSamples;
            acceleratorUse += fraction(used.accelerators, total.accelerators);
        }
        for (const auto &[name, team] : scheduler.teams) {
            const bool hasBacklog = team.waitingCount[1] + team.waitingCount[2] > 0;
            backloggedSamples[name] += hasBacklog ? 1 : 0;
            meanShare[name] += dominantShare(team.used, total);
        }
    }

    static double fraction(std::int64_t used, std::int64_t total)
    {
        return total > 0 ? static_cast<double>(used) / static_cast<double>(total) : 0;
    }

    /** Measures how far the use of each backlogged team deviates from its fair fraction.

        Teams count as backlogged if they had work waiting in at least 90 % of the samples. The fair
        fraction refers to what all backlogged teams that compete for the same targets used
        together.
    */
    void measureShares()
    {
        std::map<std::string, std::set<std::string>> competitors; // by service
        for (const auto &work : plan.streams) {
            if (backloggedSamples[work.team] * 10 >= samples * 9) {
                competitors[work.service].insert(work.team);
            }
        }
        int counted = 0;
        for (const auto &[service, teams] : competitors) {
            double sumShare = 0;
            double sumUse = 0;
            for (const auto &name : teams) {
                sumShare += plan.shares.at(name);
                sumUse += meanShare[name];
            }
            for (const auto &name : teams) {
                const double fairFraction = plan.shares.at(name) / sumShare;
                const double deviation =
                    std::abs(meanShare[name] / sumUse - fairFraction) / fairFraction;
                result.shareDeviationMean += deviation;
                result.shareDeviationWorst = std::max(result.shareDeviationWorst, deviation);
                ++counted;
            }
        }
        result.shareDeviationMean /= std::max(counted, 1);
    }

    trial_results computeResults()
    {
        result.urgent = statisticsOf(urgentWaits);
        result.batch = statisticsOf(batchWaits);
        result.gang = statisticsOf(gangWaits);
        const auto count = static_cast<double>(std::max<std::int64_t>(samples, 1));
        result.slotUse = slotUse / count;
        result.coreUse = coreUse / count;
        result.acceleratorUse =
            acceleratorUse / static_cast<double>(std::max<std::int64_t>(acceleratorSamples, 1));
        result.wastedFraction = wastedMs / std::max(wastedMs + usefulMs, 1.0);
        result.decisionP50Us = percentileOf(decisionUs, 0.5);
        result.decisionP99Us = percentileOf(decisionUs, 0.99);
        measureShares();
        return result;
    }

    trial_plan plan;
    std::mt19937_64 random;
    scheduler_state scheduler;
    std::priority_queue<event> events;
    std::vector<target_entry> targetEntries;
    std::vector<std::lognormal_distribution<double>> runLengths;
    std::vector<std::mt19937_64> generators;
    std::unordered_map<std::uint64_t, task_run> arrivedWork; // by work id
    std::unordered_map<std::uint64_t, task_run> running;
    std::vector<double> urgentWaits;
    std::vector<double> batchWaits;
    std::vector<double> gangWaits;
    std::vector<double> decisionUs;
    std::map<std::string, double> meanShare;
    std::map<std::string, std::int64_t> backloggedSamples;
    trial_results result;
    std::int64_t now = 0;
    std::int64_t nextSample = 0;
    std::int64_t samples = 0;
    std::int64_t acceleratorSamples = 0;
    std::uint64_t lastEventNumber = 0;
    std::uint64_t lastWorkId = 0;
    double slotUse = 0;
    double coreUse = 0;
    double acceleratorUse = 0;
    double wastedMs = 0;
    double usefulMs = 0;
    bool hasCancelled = false;
    bool isDomainUnavailable = false;
};

} // namespace

trial_results runTrial(const trial_plan &plan, const policy_settings &settings, std::uint64_t seed)
{
    return trial {plan, settings, seed}.run();
}

} // namespace filbert

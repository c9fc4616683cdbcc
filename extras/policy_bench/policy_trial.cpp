#include "policy_trial.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <queue>

namespace filbert {

namespace {

constexpr std::int64_t outageMs = 60'000;
constexpr std::int64_t urgentPatienceMs = 5'000;
constexpr std::int64_t stopMs = 200; // from the order to stop until the room is free
constexpr std::int64_t sampleMs = 500;
constexpr std::int64_t poisonedRunMs = 100;

double percentileOf(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank),
                     values.end());
    return values[rank];
}

wait_figures figuresOf(const std::vector<double> &waits)
{
    return {waits.size(), percentileOf(waits, 0.5), percentileOf(waits, 0.99)};
}

/** One trial under way: arrivals, ends and mishaps by time, around the product's scheduler. */
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
            planArrivals(i);
        }
    }

    trial_figures run()
    {
        while (!events.empty() && events.top().at <= plan.lengthMs) {
            now = events.top().at;
            while (!events.empty() && events.top().at == now) {
                const auto event = events.top();
                events.pop();
                take(event);
            }
            takeMishaps();
            endExpiredQuarantines(scheduler, {now});
            decide();
            sample();
        }
        return figures();
    }

private:
    enum class event_kind { Arrival, Burst, End, Stopped, Wake };

    struct event
    {
        std::int64_t at = 0;
        std::uint64_t order = 0;
        event_kind kind = event_kind::Arrival;
        std::uint64_t subject = 0; // stream or placement

        bool operator<(const event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    struct running_run
    {
        std::size_t stream = 0;
        std::int64_t since = 0;
        bool isPoisoned = false;
        work_item item;
        std::int32_t task = 0;
    };

    void addTargets()
    {
        int number = 0;
        for (const auto &group : plan.groups) {
            for (int i = 0; i < group.count; ++i, ++number) {
                target_entry view;
                view.name = group.name + std::to_string(i);
                view.failureDomain = "d" + std::to_string(number % 3);
                view.capacity = group.capacity;
                view.services = group.services;
                views.push_back(view);
                updateTarget(scheduler, view, true);
            }
        }
    }

    void at(std::int64_t when, event_kind kind, std::uint64_t subject)
    {
        events.push({when, ++lastOrder, kind, subject});
    }

    void planArrivals(std::size_t stream)
    {
        const auto &work = plan.streams[stream];
        std::mt19937_64 own {random()};
        if (work.perSecond > 0) {
            std::exponential_distribution<double> gap {work.perSecond / 1'000};
            for (double when = gap(own); when < static_cast<double>(plan.lengthMs);
                 when += gap(own)) {
                at(static_cast<std::int64_t>(when), event_kind::Arrival, stream);
            }
        }
        if (work.burstEveryMs > 0) {
            for (std::int64_t when = 0; when < plan.lengthMs; when += work.burstEveryMs) {
                at(when, event_kind::Burst, stream);
            }
        }
        std::lognormal_distribution<double> length {
            std::log(work.meanRunMs) - work.runSpread * work.runSpread / 2, work.runSpread};
        lengths.push_back(length);
        generators.push_back(std::mt19937_64 {random()});
    }

    void arrive(std::size_t stream)
    {
        const auto &work = plan.streams[stream];
        work_item item;
        item.workId = ++lastTicket;
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
            item.startDeadline = {now + urgentPatienceMs};
            at(now + urgentPatienceMs, event_kind::Wake, 0);
            at(now + scheduler.settings.preemptionDelay.count, event_kind::Wake, 0);
        }
        known[item.workId] = {stream, now, false, item, 0};
        const auto ticket = item.workId;
        if (addWork(scheduler, std::move(item), {now})) {
            ++result.refused;
            known.erase(ticket);
        }
    }

    void take(const event &event)
    {
        switch (event.kind) {
        case event_kind::Arrival:
            arrive(event.subject);
            break;
        case event_kind::Burst:
            for (int i = 0; i < plan.streams[event.subject].burstSize; ++i) {
                arrive(event.subject);
            }
            break;
        case event_kind::End:
            end(event.subject, false);
            break;
        case event_kind::Stopped:
            end(event.subject, true);
            break;
        case event_kind::Wake:
            break;
        }
    }

    void end(std::uint64_t placement, bool isStopped)
    {
        const auto found = running.find(placement);
        if (found == running.end()) {
            return;
        }
        auto run = std::move(found->second);
        running.erase(found);
        const auto took = static_cast<double>(now - run.since);
        const bool mustRunAgain = isStopped || run.isPoisoned;
        (isStopped ? wastedMs : usefulMs) += took;
        if (!isStopped) {
            recordTaskResult(scheduler, placement, !run.isPoisoned, {now});
        }
        result.failed += run.isPoisoned ? 1 : 0;
        releaseTask(scheduler, placement, {now});
        if (mustRunAgain) {
            run.item.failures = run.isPoisoned ? 1 : 0;
            requeueTask(scheduler, std::move(run.item), run.task, {now});
            at(now + 500, event_kind::Wake, 0);
        }
    }

    void decide()
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
            at(now + stopMs, event_kind::Stopped, stop.placementId);
        }
        for (const auto &placed : decided.placements) {
            start(placed);
        }
    }

    void start(const placement_decision &placed)
    {
        auto &origin = known.at(placed.workId);
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
        const bool isPoisoned = now >= plan.poisonAtMs && now < plan.poisonAtMs + outageMs
            && plan.poisonAtMs > 0 && target.name.ends_with("r0");
        const auto runMs = isPoisoned
            ? poisonedRunMs
            : std::max<std::int64_t>(
                1, static_cast<std::int64_t>(lengths[stream](generators[stream])));
        running[placed.placementId] = {stream, now, isPoisoned, origin.item, placed.taskIndex};
        at(now + runMs, event_kind::End, placed.placementId);
        if (plan.sizeErrorLog10 > 0) {
            std::uniform_real_distribution<double> error {-plan.sizeErrorLog10,
                                                          plan.sizeErrorLog10};
            auto used =
                origin.item.declaredNeed; // what a task really uses does not follow what is learned
            used.milliCores = static_cast<std::int64_t>(static_cast<double>(used.milliCores)
                                                        * std::pow(10, error(random)));
            recordUsage(scheduler, placed.placementId, used);
        }
    }

    void takeMishaps()
    {
        if (plan.cancelAtMs > 0 && now >= plan.cancelAtMs && !hasCancelled) {
            hasCancelled = true;
            std::vector<std::uint64_t> tickets;
            for (const auto &[ticket, item] : scheduler.waiting) {
                if (ticket % 2 == 0 && item.kind == work_class::Batch) {
                    tickets.push_back(ticket);
                }
            }
            for (const auto ticket : tickets) {
                removeWork(scheduler, ticket);
            }
        }
        const bool isOut = plan.loseDomainAtMs > 0 && now >= plan.loseDomainAtMs
            && now < plan.loseDomainAtMs + outageMs;
        if (isOut != isDomainOut) {
            isDomainOut = isOut;
            for (const auto &view : views) {
                if (view.failureDomain == "d0") {
                    loseOrReturn(view, isOut);
                }
            }
        }
    }

    void loseOrReturn(const target_entry &view, bool isOut)
    {
        updateTarget(scheduler, view, !isOut);
        if (!isOut) {
            return;
        }
        const auto number = scheduler.index.byName.at(view.name);
        const auto lost = scheduler.runningOnTarget[number];
        for (const auto placement : lost) {
            end(placement, true);
        }
    }

    void sample()
    {
        if (now < plan.warmUpMs || now < nextSample) {
            return;
        }
        nextSample = now + sampleMs;
        resource_amounts used;
        const auto &total = scheduler.index.totalCapacity;
        for (const auto &target : scheduler.index.targets) {
            used += target.used;
        }
        ++samples;
        slotUse += part(used.slots, total.slots);
        coreUse += part(used.milliCores, total.milliCores);
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
            acceleratorUse += part(used.accelerators, total.accelerators);
        }
        for (const auto &[name, team] : scheduler.teams) {
            const bool isHungry = team.waitingCount[1] + team.waitingCount[2] > 0;
            hungrySamples[name] += isHungry ? 1 : 0;
            meanShare[name] += dominantShare(team.used, total);
        }
    }

    static double part(std::int64_t used, std::int64_t total)
    {
        return total > 0 ? static_cast<double>(used) / static_cast<double>(total) : 0;
    }

    /** How far each team that always had work waiting is from its part of what those teams got
        together that compete for the same targets. */
    void measureShares()
    {
        std::map<std::string, std::set<std::string>> rivals; // by service
        for (const auto &work : plan.streams) {
            if (hungrySamples[work.team] * 10 >= samples * 9) {
                rivals[work.service].insert(work.team);
            }
        }
        int counted = 0;
        for (const auto &[service, teams] : rivals) {
            double sumShare = 0;
            double sumUse = 0;
            for (const auto &name : teams) {
                sumShare += plan.shares.at(name);
                sumUse += meanShare[name];
            }
            for (const auto &name : teams) {
                const double due = plan.shares.at(name) / sumShare;
                const double distance = std::abs(meanShare[name] / sumUse - due) / due;
                result.shareDistanceMean += distance;
                result.shareDistanceWorst = std::max(result.shareDistanceWorst, distance);
                ++counted;
            }
        }
        result.shareDistanceMean /= std::max(counted, 1);
    }

    trial_figures figures()
    {
        result.urgent = figuresOf(urgentWaits);
        result.batch = figuresOf(batchWaits);
        result.gang = figuresOf(gangWaits);
        const auto count = static_cast<double>(std::max<std::int64_t>(samples, 1));
        result.slotUse = slotUse / count;
        result.coreUse = coreUse / count;
        result.acceleratorUse =
            acceleratorUse / static_cast<double>(std::max<std::int64_t>(acceleratorSamples, 1));
        result.wastedPart = wastedMs / std::max(wastedMs + usefulMs, 1.0);
        result.decisionP50Us = percentileOf(decisionUs, 0.5);
        result.decisionP99Us = percentileOf(decisionUs, 0.99);
        measureShares();
        return result;
    }

    trial_plan plan;
    std::mt19937_64 random;
    scheduler_state scheduler;
    std::priority_queue<event> events;
    std::vector<target_entry> views;
    std::vector<std::lognormal_distribution<double>> lengths;
    std::vector<std::mt19937_64> generators;
    std::unordered_map<std::uint64_t, running_run> known; // by ticket
    std::unordered_map<std::uint64_t, running_run> running;
    std::vector<double> urgentWaits;
    std::vector<double> batchWaits;
    std::vector<double> gangWaits;
    std::vector<double> decisionUs;
    std::map<std::string, double> meanShare;
    std::map<std::string, std::int64_t> hungrySamples;
    trial_figures result;
    std::int64_t now = 0;
    std::int64_t nextSample = 0;
    std::int64_t samples = 0;
    std::int64_t acceleratorSamples = 0;
    std::uint64_t lastOrder = 0;
    std::uint64_t lastTicket = 0;
    double slotUse = 0;
    double coreUse = 0;
    double acceleratorUse = 0;
    double wastedMs = 0;
    double usefulMs = 0;
    bool hasCancelled = false;
    bool isDomainOut = false;
};

} // namespace

trial_figures runTrial(const trial_plan &plan, const policy_settings &settings, std::uint64_t seed)
{
    return trial {plan, settings, seed}.run();
}

} // namespace filbert

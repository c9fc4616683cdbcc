#include "job_admission.h"

#include "scheduling.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <limits>

namespace filbert {

namespace {

constexpr milliseconds servedPeriod {500};
// The rate is that of the shortest time, in periods, in which so many tasks were served: it then
// is known to about a fifth (the square root of the number), and follows a change within seconds.
constexpr std::int64_t minServedTasks = 20;
// A queue that was contended for this long and was served less than before is starved. Its rate
// then is less than if the next three jobs ended now: that many may be missing by chance in a time
// in which none was seen (95 % confidence).
constexpr milliseconds minStarvedTime {10'000};
constexpr std::int64_t unseenJobs = 3;
// Shorter ones show the pace of passes and of answers of the policy service rather than capacity.
constexpr milliseconds minServedTime {1'000};
// A wait below this is the way of a start to its target: a pass, a policy call, a commit.
constexpr milliseconds minContendedWait {250};
// A result that comes later than this many times its objective is of no use to its caller.
constexpr std::int64_t maxUsefulObjectives = 3;
// A job is refused if it would be late even if its queue were served at twice the rate. A wrong
// refusal costs the caller the whole value; a job that is late after all costs others little, since
// it goes after those that can be in time.
constexpr std::int64_t lateMargin = 2;
constexpr milliseconds minRetryDelay {1'000}; // callers are told whole seconds
// Callers try a job four times; what is known about the wait is outdated long before.
constexpr milliseconds maxRetryDelay {20'000};
constexpr std::int64_t retrySpreadDivisor = 2; // returns are spread over half of the delay
constexpr std::int64_t minRetrySpread = 2; // seconds at which jobs refused together can return
constexpr double maxWaitMs = 86'400'000; // a day; also where hardly anything is served
constexpr time_point endOfTime {std::numeric_limits<std::int64_t>::max()};
constexpr std::size_t maxTrackedSubmissions = 20'000; // 4 MB
constexpr std::size_t maxComparisons = 1'000; // between two calls of their reader

std::size_t indexOf(work_class rank)
{
    return static_cast<std::size_t>(rank);
}

waiting_work &operator+=(waiting_work &sum, const waiting_work &work)
{
    sum.ready += work.ready;
    sum.unstarted += work.unstarted;
    return sum;
}

waiting_work &operator-=(waiting_work &sum, const waiting_work &work)
{
    sum.ready -= work.ready;
    sum.unstarted -= work.unstarted;
    return sum;
}

/** @return the work of the entries up to a latest start */
waiting_work sumUntil(const std::vector<waiting_entry> &entries, time_point latestStart)
{
    const auto after = std::upper_bound(
        entries.begin(), entries.end(), latestStart,
        [](time_point limit, const waiting_entry &entry) { return limit < entry.latestStart; });
    return after == entries.begin() ? waiting_work {} : std::prev(after)->work;
}

/** @return what waits in the classes before one, and in this up to a latest start */
waiting_work waitingBefore(const queue_flow &flow, work_class rank, time_point latestStart)
{
    waiting_work sum;
    for (std::size_t i = 0; i <= indexOf(rank); ++i) {
        sum += sumUntil(flow.waiting[i], i < indexOf(rank) ? endOfTime : latestStart);
        sum += flow.committed[i];
        sum += flow.underWay[i];
    }
    return sum;
}

waiting_work allWaiting(const queue_flow &flow)
{
    return waitingBefore(flow, work_class::Late, endOfTime);
}

served_work &servedNow(queue_flow &flow, time_point now)
{
    const auto number = now.ms / servedPeriod.count;
    auto &period = flow.served[static_cast<std::size_t>(number) % flow.served.size()];
    if (period.number != number) {
        period = {};
        period.number = number;
    }
    return period;
}

/** What was served in some time. */
struct served_sum
{
    std::int64_t cores = 0;
    std::int64_t tasks = 0;
    milliseconds elapsed;
};

/** @return the sum over the shortest time until now with enough tasks, or over all of it */
served_sum recentlyServed(const queue_flow &flow, time_point since, time_point now)
{
    served_work sum;
    served_sum result;
    const auto current = now.ms / servedPeriod.count;
    const auto oldest = std::max(current - static_cast<std::int64_t>(flow.served.size()) + 1,
                                 since.ms / servedPeriod.count);
    for (auto number = current; number >= oldest; --number) {
        const auto &period = flow.served[static_cast<std::size_t>(number) % flow.served.size()];
        if (period.number == number) {
            sum.startedCores += period.startedCores;
            sum.endedCores += period.endedCores;
            sum.startedTasks += period.startedTasks;
            sum.endedTasks += period.endedTasks;
        }
        // More starts than ends while a burst fills idle targets; later it is the same.
        result.cores = std::max(sum.startedCores, sum.endedCores);
        result.tasks = std::max(sum.startedTasks, sum.endedTasks);
        result.elapsed = now - time_point {std::max(number * servedPeriod.count, since.ms)};
        if (result.elapsed >= minServedTime && result.tasks >= minServedTasks) {
            break;
        }
    }
    return result;
}

/** @return milli-cores per millisecond; nothing if too little is known
    @param jobCores  that the tasks of a job reserve which are ready first */
std::optional<double> servedRate(const queue_flow &flow, time_point since, std::int64_t jobCores,
                                 time_point now)
{
    const auto served = recentlyServed(flow, since, now);
    const auto elapsed = static_cast<double>(served.elapsed.count);
    if (served.elapsed >= minServedTime && served.tasks >= minServedTasks) {
        return static_cast<double>(served.cores) / elapsed;
    }
    if (served.elapsed < minStarvedTime || jobCores == 0 || flow.endedTasks < minServedTasks) {
        return std::nullopt;
    }
    return static_cast<double>(served.cores + unseenJobs * jobCores) / elapsed;
}

milliseconds waitFor(std::int64_t milliCores, double rate)
{
    const auto wait = static_cast<double>(milliCores) / rate;
    return milliseconds {static_cast<std::int64_t>(std::min(wait, maxWaitMs))};
}

bool isContended(const queue_flow &flow, time_point now)
{
    const auto waiting = allWaiting(flow).ready;
    if (waiting == 0) {
        return false;
    }
    const auto rate = servedRate(flow, {}, 0, now);
    return !rate || waitFor(waiting, *rate) > minContendedWait;
}

waiting_work workOf(const messages::staged_job &job)
{
    waiting_work work;
    for (const auto &spec : job.steps()) {
        const auto cores = countedCores(spec) * std::max(spec.count(), 1);
        work.unstarted += cores;
        work.ready += spec.depends_on().empty() ? cores : 0;
    }
    return work;
}

/** @return when a refused job should come again: after a delay, but early enough that all of the
    spread comes before the latest time. It differs between jobs that are refused together. */
milliseconds retryDelay(const std::string &id, milliseconds delay, milliseconds latest)
{
    const milliseconds maxDelay {std::min(latest, maxRetryDelay).count * retrySpreadDivisor
                                 / (retrySpreadDivisor + 1)};
    const auto capped = std::max(std::min(delay, maxDelay), minRetryDelay);
    // In whole seconds, since callers are told no others.
    const auto seconds = capped.count / minRetryDelay.count;
    const auto spread = std::max(seconds / retrySpreadDivisor + 1, minRetrySpread);
    const auto hash = static_cast<std::int64_t>(std::hash<std::string> {}(id) >> 1U);
    return minRetryDelay * (seconds + hash % spread);
}

void remember(job_admission &admission, const submission &submitted, work_class rank,
              const std::optional<wait_forecast> &forecast, milliseconds waited, time_point now)
{
    const auto &queue = submitted.queue->name();
    accepted_submission accepted;
    accepted.firstSubmittedAt = now - waited;
    accepted.acceptedAt = now;
    accepted.queue = queue;
    accepted.rank = rank;
    accepted.work = workOf(*submitted.job);
    if (forecast && rank != work_class::Late) {
        accepted.expectedWait = forecast->untilStart;
    }
    if (admission.submissions.size() < maxTrackedSubmissions
        && admission.submissions.emplace(*submitted.id, accepted).second) {
        admission.flows[queue].underWay[indexOf(rank)] += accepted.work;
    }
}

} // namespace

std::string_view reasonName(refusal_reason reason)
{
    constexpr std::array<std::string_view, refusalReasonCount> names {
        "none", "invalid", "long_turns", "would_be_late", "beyond_share", "too_wide", "cancelled"};
    return names[static_cast<std::size_t>(reason)];
}

std::int64_t countedCores(const messages::step_spec &spec)
{
    return std::max<std::int64_t>(spec.need().milli_cores(), 1);
}

bool hasNoObjective(const messages::staged_job &job)
{
    const auto &steps = job.steps();
    return job.repeat_count() > 0
        || std::any_of(steps.begin(), steps.end(), [](const auto &step) { return step.lasts(); });
}

std::optional<wait_forecast> forecastWait(const job_admission &admission, const std::string &queue,
                                          work_class rank, time_point latestStart,
                                          std::int64_t jobCores, time_point now)
{
    const auto found = admission.flows.find(queue);
    if (found == admission.flows.end()) {
        return std::nullopt;
    }
    const auto &flow = found->second;
    if (flow.contendedSince.ms == 0) {
        return std::nullopt;
    }
    const auto rate = servedRate(flow, flow.contendedSince, jobCores, now);
    if (!rate) {
        return std::nullopt;
    }
    const auto before = waitingBefore(flow, rank, latestStart);
    const auto all = allWaiting(flow);
    return wait_forecast {waitFor(before.ready, *rate), waitFor(before.unstarted, *rate),
                          waitFor(all.unstarted, *rate)};
}

submission_decision decideSubmission(job_admission &admission, load_shedding &shedding,
                                     const submission &submitted, time_point now)
{
    const auto &id = *submitted.id;
    const auto &job = *submitted.job;
    const auto rank = submitted.isBeyondShare ? work_class::BeyondShare : work_class::WithinShare;
    submission_decision decision;
    if (hasNoObjective(job)) {
        return decision;
    }
    if (submitted.isTooWide) {
        decision.reason = refusal_reason::TooWide;
        decision.retryAfter = retryDelay(id, maxRetryDelay, maxRetryDelay); // targets may be added
        return decision;
    }
    const auto refusedAt = firstRefusal(shedding, id);
    decision.waited = refusedAt ? now - *refusedAt : milliseconds {};
    const auto paths = criticalPathsOf(job);
    const auto path =
        paths.empty() ? milliseconds {} : *std::max_element(paths.begin(), paths.end());
    const auto objective = objectiveOf(*submitted.queue, path);
    const auto initialSlack = std::max(objective - path, milliseconds {});
    const auto startAndEnd = std::min(submitted.startAndEnd, milliseconds {initialSlack.count / 2});
    const auto mayWait = objective - path - startAndEnd - decision.waited;
    const auto forecast = forecastWait(admission, submitted.queue->name(), rank, now + mayWait,
                                       workOf(job).ready, now);
    decision.expectedWait = forecast ? forecast->untilStart : milliseconds {};
    const bool isLate = forecast && forecast->total > mayWait * lateMargin;
    if (isLate) {
        const auto usefulWait =
            mayWait + milliseconds {objective.count * (maxUsefulObjectives - 1)};
        if (!refusedAt || forecast->totalIfLate > usefulWait) {
            const auto missing =
                (refusedAt ? forecast->totalIfLate - usefulWait : forecast->total - mayWait);
            // It returns while half of its time is left, if that can be told in whole seconds: the
            // rate may rise until then, as it does when a burst of more urgent work ends.
            const milliseconds half {mayWait.count / 2};
            const auto latest = half >= minRetryDelay ? half : maxRetryDelay;
            decision.reason =
                submitted.isBeyondShare ? refusal_reason::BeyondShare : refusal_reason::WouldBeLate;
            decision.retryAfter = retryDelay(id, missing, latest);
            rememberRefusal(shedding, id, now);
            return decision;
        }
    }
    if (refusesJob(shedding, id, job, *submitted.queue, now, submitted.isBeyondShare)) {
        decision.reason = refusal_reason::LongTurns;
        // The shortest that callers can be told; a leader has time again within some seconds.
        decision.retryAfter = minRetryDelay;
        return decision;
    }
    remember(admission, submitted, isLate ? work_class::Late : rank, forecast, decision.waited,
             now);
    return decision;
}

void beginReview(job_admission &admission)
{
    for (auto &[queue, flow] : admission.flows) {
        for (auto &entries : flow.waiting) {
            entries.clear();
        }
        flow.committed = {};
    }
}

void addWaiting(job_admission &admission, const std::string &queue, work_class rank,
                const waiting_entry &entry)
{
    admission.flows[queue].waiting[indexOf(rank)].push_back(entry);
}

void endReview(job_admission &admission, time_point now)
{
    for (auto &[queue, flow] : admission.flows) {
        for (auto &entries : flow.waiting) {
            std::sort(entries.begin(), entries.end(),
                      [](const auto &a, const auto &b) { return a.latestStart < b.latestStart; });
            waiting_work sum;
            for (auto &entry : entries) {
                sum += entry.work;
                entry.work = sum;
            }
        }
        if (!isContended(flow, now)) {
            flow.contendedSince = {};
        } else if (flow.contendedSince.ms == 0) {
            flow.contendedSince = now;
        }
    }
}

std::optional<time_point> recordCommitted(job_admission &admission, const std::string &id)
{
    const auto found = admission.submissions.find(id);
    if (found == admission.submissions.end() || found->second.isCommitted) {
        return std::nullopt;
    }
    auto &accepted = found->second;
    auto &flow = admission.flows[accepted.queue];
    flow.underWay[indexOf(accepted.rank)] -= accepted.work;
    flow.committed[indexOf(accepted.rank)] += accepted.work;
    accepted.isCommitted = true;
    const auto firstSubmittedAt = accepted.firstSubmittedAt;
    if (!accepted.expectedWait) {
        admission.submissions.erase(found); // there is nothing to compare its wait with
    }
    return firstSubmittedAt;
}

void recordStarted(job_admission &admission, const std::string &queue, const std::string &id,
                   std::int64_t milliCores, time_point now)
{
    auto &period = servedNow(admission.flows[queue], now);
    period.startedCores += milliCores;
    ++period.startedTasks;
    const auto accepted = admission.submissions.extract(id);
    if (accepted && accepted.mapped().expectedWait
        && admission.comparisons.size() < maxComparisons) {
        admission.comparisons.push_back(
            {queue, *accepted.mapped().expectedWait, now - accepted.mapped().acceptedAt});
    }
}

void recordEnded(job_admission &admission, const std::string &queue, std::int64_t milliCores,
                 time_point now)
{
    auto &flow = admission.flows[queue];
    ++flow.endedTasks;
    auto &period = servedNow(flow, now);
    period.endedCores += milliCores;
    ++period.endedTasks;
}

void forgetSubmission(job_admission &admission, const std::string &id)
{
    const auto forgotten = admission.submissions.extract(id);
    if (forgotten && !forgotten.mapped().isCommitted) {
        const auto &accepted = forgotten.mapped();
        admission.flows[accepted.queue].underWay[indexOf(accepted.rank)] -= accepted.work;
    }
}

} // namespace filbert

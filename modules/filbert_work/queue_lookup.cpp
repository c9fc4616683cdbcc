#include "queue_lookup.h"

#include "value_limits.h"

#include <algorithm>
#include <array>
#include <climits>
#include <set>
#include <sodium.h>
#include <utility>

namespace filbert {

namespace {

constexpr int maxTasksInStep = 10'000; // a step of this size takes 1 MB of replicated state
constexpr std::int64_t maxTasksInJob = 100'000; // in all of its occurrences
constexpr int maxPriority = 1'000'000;
constexpr double maxSlackFactor = 10'000;

bool isEqualInConstantTime(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

bool isAmount(const messages::resources &amount)
{
    return amount.milli_cores() >= 0 && amount.memory_mb() >= 0 && amount.accelerators() >= 0;
}

bool isAdmissionPolicy(const messages::admission_policy &policy)
{
    return isDuration(policy.decide_ms()) && isDuration(policy.per_target_ms())
        && isDuration(policy.ticket_ms());
}

std::optional<std::string> findQueueProblem(const messages::work_queue &queue)
{
    if (queue.priority() < 0 || queue.priority() > maxPriority || queue.max_attempts() < 0) {
        return "expected a priority from 0 to " + std::to_string(maxPriority)
            + " and attempts of 0 or more";
    }
    if (!(queue.slack_factor() >= 0 && queue.slack_factor() <= maxSlackFactor)) {
        return "expected a slack factor from 0 to 10000";
    }
    if (!isDuration(queue.latency_objective_ms()) || !isAdmissionPolicy(queue.admission())) {
        return "expected durations from 0 to a year";
    }
    return std::nullopt;
}

/** Validates when a job's occurrences are due, and how many tasks they have in all. */
std::optional<std::string> findRepetitionProblem(const messages::staged_job &job)
{
    if (job.repeat_count() < 0 || (job.repeat_count() > 1 && !isDuration(job.interval_ms()))) {
        return "expected a repeat count of 0 or more and an interval from 0 to a year";
    }
    if (job.first_due_wall_ms() < 0 || job.first_due_wall_ms() > maxWallMs) {
        return "expected a first time in milliseconds since 1970";
    }
    std::int64_t tasks = 0;
    for (const auto &step : job.steps()) {
        tasks += step.count();
    }
    if (tasks > maxTasksInJob / std::max(job.repeat_count(), 1)) {
        return "expected at most " + std::to_string(maxTasksInJob) + " tasks in all";
    }
    return std::nullopt;
}

std::optional<std::string> findStepProblem(const messages::staged_job &job, int step)
{
    const auto &spec = job.steps(step);
    const auto prefix = "step " + std::to_string(step) + ": ";
    if (spec.count() < 1 || spec.count() > maxTasksInStep) {
        return prefix + "expected a task count from 1 to " + std::to_string(maxTasksInStep);
    }
    if (!isAmount(spec.need()) || spec.max_per_target() < 0 || spec.max_away() < 0) {
        return prefix + "expected resource amounts and limits of 0 or more";
    }
    if (!isDuration(spec.estimate_ms()) || !isDuration(spec.latency_target_ms())) {
        return prefix + "expected durations from 0 to a year";
    }
    for (const auto dependency : spec.depends_on()) {
        if (dependency < 0 || dependency >= step) {
            return prefix + "expected dependencies on earlier steps only";
        }
    }
    return std::nullopt;
}

} // namespace

const messages::work_queue *findQueueByPath(const messages::work_configuration &configuration,
                                            const std::string &host, const std::string &path)
{
    const messages::work_queue *best = nullptr;
    for (const auto &queue : configuration.queues()) {
        const bool isMatch = queue.host() == host && path.starts_with(queue.path_prefix());
        if (isMatch
            && (best == nullptr || queue.path_prefix().size() > best->path_prefix().size())) {
            best = &queue;
        }
    }
    return best;
}

const messages::work_team *findTeamByKey(const messages::work_configuration &configuration,
                                         const std::string &key)
{
    for (const auto &team : configuration.teams()) {
        for (const auto &each : team.keys()) {
            if (isEqualInConstantTime(each, key)) {
                return &team;
            }
        }
    }
    return nullptr;
}

job_access accessOf(const messages::staged_job &job)
{
    return {acceptingQueueOf(job),
            job.team(),
            job.taken_under().is_open(),
            {job.team_keys().begin(), job.team_keys().end()}};
}

std::uint64_t keyFingerprint(const std::string &key)
{
    std::array<unsigned char, crypto_generichash_BYTES> digest {};
    crypto_generichash(digest.data(), digest.size(),
                       reinterpret_cast<const unsigned char *>(key.data()), key.size(), nullptr, 0);
    std::uint64_t fingerprint = 0;
    for (std::size_t i = 0; i < sizeof fingerprint; ++i) { // the same on hosts of any byte order
        fingerprint = fingerprint << CHAR_BIT | digest[i];
    }
    return std::max<std::uint64_t>(fingerprint, 1);
}

job_access accessUnder(const messages::work_queue &queue, const job_caller &caller)
{
    std::vector<std::uint64_t> keys;
    if (caller.key != 0) {
        keys.push_back(caller.key);
    }
    return {{queue.host(), queue.path_prefix(), queue.name()}, caller.team, queue.is_open(), keys};
}

bool isVisible(const messages::work_configuration &configuration, const messages::work_queue &queue,
               const job_caller &caller, const job_access &access)
{
    const auto &keys = access.teamKeys;
    const bool isOwnTeam = !caller.team.empty() && caller.team == access.team;
    const bool hasOwnKey =
        caller.key != 0 && std::find(keys.begin(), keys.end(), caller.key) != keys.end();
    const bool isOpenNow = queue.is_open()
        && placeOf(queue) == queue_place {access.queue.host, access.queue.pathPrefix};
    return (isOwnTeam || hasOwnKey || access.isOpenToAll || isOpenNow)
        && hasJobsOf(configuration, queue, access.queue);
}

std::optional<std::string> findProblem(const messages::work_configuration &configuration)
{
    std::set<std::string> services;
    for (const auto &service : configuration.services()) {
        services.insert(service.name());
    }
    std::set<std::pair<std::string, std::string>> routes;
    for (const auto &queue : configuration.queues()) {
        if (!services.contains(queue.service())) {
            return "queue " + queue.name() + ": unknown service " + queue.service();
        }
        if (!routes.emplace(queue.host(), queue.path_prefix()).second) {
            return "queue " + queue.name() + ": another queue has the same host and path prefix";
        }
        if (const auto problem = findQueueProblem(queue)) {
            return "queue " + queue.name() + ": " + *problem;
        }
    }
    std::set<std::string> keys;
    for (const auto &team : configuration.teams()) {
        if (team.weight() < 0 || !isAmount(team.cap())) {
            return "team " + team.name() + ": expected a weight and a cap of 0 or more";
        }
        for (const auto &key : team.keys()) {
            if (!keys.insert(key).second) {
                return "team " + team.name() + ": another team has one of its keys";
            }
        }
    }
    return std::nullopt;
}

std::optional<std::string> findProblem(const messages::staged_job &job)
{
    if (job.steps().empty() || job.steps_size() > maxSteps) {
        return "expected 1 to " + std::to_string(maxSteps) + " steps";
    }
    for (int step = 0; step < job.steps_size(); ++step) {
        if (auto problem = findStepProblem(job, step)) {
            return problem;
        }
    }
    return findRepetitionProblem(job);
}

} // namespace filbert

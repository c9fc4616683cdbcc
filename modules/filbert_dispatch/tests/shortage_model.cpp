#include "shortage_model.h"

#include <algorithm>
#include <cmath>

namespace filbert {

namespace {

constexpr int targetCount = 30;
constexpr std::int32_t coresPerTarget = 16'000;
constexpr std::int64_t tickMs = 10;
constexpr std::int64_t reportPeriodMs = 500;
constexpr int maxAttempts = 4;
constexpr double lateValue = 0.2;
constexpr std::int64_t maxUsefulObjectives = 3;
constexpr double secondsPerMs = 1e-3;

struct queue_profile
{
    const char *name;
    int priority;
    double slackFactor;
    std::int64_t latencyObjectiveMs;
    double medianTaskMs;
    double spread; // of the logarithm of a task's duration
    int maxTasks; // of a step
    int steps;
    std::int32_t maxCores;
};

constexpr queue_profile profiles[] = {
    {"urgent", 0, 1.5, 400, 400, 0.4, 4, 1, 2'000},
    {"middle", 1, 1.8, 1'000, 800, 0.6, 4, 2, 4'000},
    {"batch", 2, 2.5, 2'000, 1'500, 0.8, 4, 2, 4'000},
};

double workOf(const messages::staged_job &job)
{
    double work = 0;
    for (const auto &spec : job.steps()) {
        work += static_cast<double>(spec.count()) * static_cast<double>(spec.need().milli_cores())
            * static_cast<double>(spec.estimate_ms()) * secondsPerMs * secondsPerMs;
    }
    return work;
}

} // namespace

shortage_model::shortage_model(const shortage_settings &settings)
    : settings {settings}
    , random {settings.seed}
{
    messages::work_command command;
    auto *configuration = command.mutable_configure();
    *configuration = state.configuration;
    configuration->set_version(2);
    configuration->clear_queues();
    configuration->clear_teams();
    for (const auto &profile : profiles) {
        auto *queue = configuration->add_queues();
        queue->set_name(profile.name);
        queue->set_path_prefix(std::string {"/"} + profile.name + "/");
        queue->set_service("orders");
        queue->set_priority(profile.priority);
        queue->set_max_attempts(4);
        queue->set_slack_factor(profile.slackFactor);
        queue->set_latency_objective_ms(profile.latencyObjectiveMs);
    }
    for (const auto &team : settings.teams) {
        auto *added = configuration->add_teams();
        added->set_name(team.name);
        added->set_weight(team.weight);
    }
    apply(command);
    for (int i = 0; i < targetCount; ++i) {
        registerTarget("t" + std::to_string(i), 1, coresPerTarget);
    }
    now = {beginMs};
    startLeading();
    reportTargets();
}

messages::staged_job shortage_model::makeJob(const std::string &queue)
{
    const auto &profile = *std::find_if(std::begin(profiles), std::end(profiles),
                                        [&](const auto &each) { return each.name == queue; });
    std::lognormal_distribution<double> duration {std::log(profile.medianTaskMs), profile.spread};
    std::uniform_int_distribution<int> tasks {1, profile.maxTasks};
    std::uniform_int_distribution<std::int32_t> cores {1, profile.maxCores / 1'000};
    messages::staged_job job;
    for (int i = 0; i < profile.steps; ++i) {
        auto *spec = job.add_steps();
        *spec = step(tasks(random), cores(random) * 1'000);
        spec->set_estimate_ms(std::llround(duration(random)));
        if (i > 0) {
            spec->add_depends_on(i - 1);
        }
    }
    return job;
}

double shortage_model::capacityInJobs() const
{
    shortage_model sample {{}};
    constexpr int samples = 3'000;
    double work = 0;
    for (int i = 0; i < samples; ++i) {
        work += workOf(sample.makeJob(profiles[static_cast<std::size_t>(i) % 3].name));
    }
    return targetCount * coresPerTarget * secondsPerMs / (work / samples);
}

bool shortage_model::isBurst() const
{
    return elapsedMs() >= settings.burstAt.count
        && elapsedMs() < settings.burstAt.count + settings.burstDuration.count;
}

void shortage_model::submit(const team_load &team)
{
    const auto id = "j" + std::to_string(records.size());
    auto &record = records[id];
    record.team = team.name;
    record.queue = team.queue.empty() ? profiles[records.size() % 3].name : team.queue;
    record.job = makeJob(record.queue);
    record.job.set_id(id);
    record.job.set_team(team.name);
    record.job.set_queue(record.queue);
    const auto &queue = *findQueue(state.configuration, record.queue);
    *record.job.mutable_taken_under() = queue;
    const auto paths = criticalPathsOf(record.job);
    record.objectiveMs = objectiveOf(queue, *std::max_element(paths.begin(), paths.end())).count;
    record.submittedMs = elapsedMs();
    record.work = workOf(record.job);
    offer(id);
}

void shortage_model::offer(const std::string &id)
{
    auto &record = records.at(id);
    const auto &queue = *findQueue(state.configuration, record.queue);
    ++record.attempts;
    submission_decision decision;
    if (settings.refuses) {
        decision = decideSubmission(*leader, shedding, id, record.job, queue, record.team, now);
    }
    if (decision.reason == refusal_reason::None) {
        messages::work_command command;
        *command.mutable_accept() = record.job;
        command.mutable_accept()->set_accepted_wall_ms(wallMs - decision.waited.count);
        leader->effects.commands.push_back(std::move(command));
        return;
    }
    ++record.refusals;
    record.isRefused = record.attempts == maxAttempts;
    if (!record.isRefused) {
        const auto seconds = (decision.retryAfter.count + 999) / 1'000;
        ++returnsBySecond[(elapsedMs() + seconds * 1'000) / 1'000];
        returns.emplace(elapsedMs() + seconds * 1'000, id);
    }
}

void shortage_model::submitJobs()
{
    while (!returns.empty() && returns.begin()->first <= elapsedMs()) {
        const auto id = returns.begin()->second;
        returns.erase(returns.begin());
        offer(id);
    }
    if (elapsedMs() >= settings.duration.count) {
        return;
    }
    for (const auto &team : settings.teams) {
        const auto rate = team.jobsPerSecond * (isBurst() ? team.burstFactor : 1.0);
        std::poisson_distribution<int> jobs {rate * static_cast<double>(tickMs) * secondsPerMs};
        for (int i = jobs(random); i > 0; --i) {
            submit(team);
        }
    }
}

void shortage_model::startTasks()
{
    for (const auto &order : pendingOrders(order_kind::Start)) {
        const auto &spec = stepSpecOf(state.jobs.at(order.task.job), order.task.step);
        startedJobs.insert(order.task.job);
        running.emplace(elapsedMs() + spec.estimate_ms(),
                        running_task {order.task, order.run, order.target});
    }
    answerOrders(order_kind::Start, order_result::Done);
    answerOrders(order_kind::Stop, order_result::Done);
}

void shortage_model::endTasks()
{
    while (!running.empty() && running.begin()->first <= elapsedMs()) {
        const auto ended = running.begin()->second;
        running.erase(running.begin());
        const auto command = endCommand(ended.task, ended.run, ended.target, messages::END_DONE,
                                        ++lastEnds[ended.target]);
        applyCommand(state, command, wallMs);
        handleCommittedCommand(*leader, command, false, now);
        auto &record = records.at(ended.task.job);
        if (state.jobs.at(ended.task.job).status == job_status::Completed
            && record.completedMs == 0) {
            record.completedMs = elapsedMs();
        }
    }
}

void shortage_model::reportTargets()
{
    for (int i = 0; i < targetCount; ++i) {
        const auto id = "t" + std::to_string(i);
        reportTarget(id);
        order_answer list;
        for (const auto &[endsAt, each] : running) {
            if (each.target == id) {
                const auto &spec = stepSpecOf(state.jobs.at(each.task.job), each.task.step);
                const auto left = static_cast<double>(endsAt - elapsedMs())
                    / static_cast<double>(spec.estimate_ms());
                list.runs.push_back(
                    {each.task, each.run, {}, static_cast<int>(100.0 * (1.0 - left)), 0});
            }
        }
        answerOrders(order_kind::Poll, order_result::Done, id, list);
    }
}

void shortage_model::playTick()
{
    submitJobs();
    tickOnce();
    startTasks();
    endTasks();
    if (elapsedMs() % reportPeriodMs == 0) {
        reportTargets();
    }
    for (const auto &each : std::exchange(leader->jobAdmission.comparisons, {})) {
        comparisons.push_back(each);
    }
    now = now + milliseconds {tickMs};
    wallMs += tickMs;
}

void shortage_model::run()
{
    constexpr std::int64_t maxAfterMs = 60'000;
    while (elapsedMs() < settings.duration.count
           || (elapsedMs() < settings.duration.count + maxAfterMs
               && (!leader->jobs.empty() || !returns.empty()))) {
        playTick();
    }
}

shortage_result shortage_model::resultOf(milliseconds from, milliseconds until,
                                         const std::string &team, const std::string &queue,
                                         double minSize) const
{
    std::map<std::string, std::vector<double>> works;
    for (const auto &[id, record] : records) {
        works[record.queue].push_back(record.work);
    }
    std::map<std::string, std::pair<double, double>> meanAndMin; // by queue
    for (auto &[name, each] : works) {
        std::sort(each.begin(), each.end());
        double sum = 0;
        for (const auto work : each) {
            sum += work;
        }
        const auto count = static_cast<double>(each.size());
        meanAndMin[name] = {sum / count, each[static_cast<std::size_t>(minSize * (count - 1))]};
    }
    shortage_result result;
    for (const auto &[id, record] : records) {
        const auto [mean, min] = meanAndMin[record.queue];
        if (record.submittedMs < from.count || record.submittedMs >= until.count
            || (!team.empty() && record.team != team) || (!queue.empty() && record.queue != queue)
            || (minSize > 0 && record.work < min)) {
            continue;
        }
        const auto value = std::min(0.3 + 0.7 * record.work / mean, 4.0);
        const auto took = record.completedMs - record.submittedMs;
        const bool isDone = record.completedMs > 0;
        const bool isInTime = isDone && took <= record.objectiveMs;
        const bool isLate = isDone && !isInTime && took <= maxUsefulObjectives * record.objectiveMs;
        ++result.submitted;
        result.possibleValue += value;
        result.value += isInTime ? value : isLate ? lateValue * value : 0.0;
        result.inTime += isInTime ? 1 : 0;
        result.late += isLate ? 1 : 0;
        result.refused += record.isRefused ? 1 : 0;
        result.refusals += record.refusals;
        result.unfinished += !isDone && !record.isRefused ? 1 : 0;
    }
    return result;
}

int shortage_model::countRefusedThatRan() const
{
    return static_cast<int>(std::count_if(records.begin(), records.end(), [&](const auto &each) {
        return each.second.isRefused && startedJobs.contains(each.first);
    }));
}

double shortage_model::worstReturnPeak() const
{
    int total = 0;
    int worst = 0;
    for (const auto &[second, count] : returnsBySecond) {
        total += count;
        worst = std::max(worst, count);
    }
    const auto seconds = static_cast<double>(returnsBySecond.size());
    return total == 0 ? 0.0 : worst * seconds / total;
}

} // namespace filbert

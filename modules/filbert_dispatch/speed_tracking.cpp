#include "speed_tracking.h"

#include <algorithm>
#include <cmath>

namespace filbert {

namespace {

constexpr int minStepPeers = 8; // tasks of a step whose runs are compared with one another
constexpr milliseconds logPeriod {60'000}; // while speeds are in use
constexpr int fullWorkRate = 100;
constexpr std::int64_t maxColdMs = 3'600'000; // a report may be wrong

bool isBestEffort(const dispatch_state &state, const task_name &task)
{
    const auto job = state.work->jobs.find(task.job);
    return job != state.work->jobs.end() && stepSpecOf(job->second, task.step).fills_gaps();
}

/** Whether the duration of a run depends on nothing but its work and its target. */
bool isComparable(const messages::step_spec &spec, const work_task &record, const run_view &run,
                  const tracked_target &target)
{
    const bool hasOwnCores = !spec.lasts() && !spec.fills_gaps() && spec.latency_target_ms() == 0;
    const bool isWhole = record.checkpoint.empty() && run.workRate == fullWorkRate;
    const bool isStartKnown =
        run.phase == run_phase::Started && run.orderedAt.ms > 0 && run.startAttempts == 1;
    return hasOwnCores && isWhole && isStartKnown && !spec.is_gang()
        && run.startedAt >= target.speed.disturbedUntil;
}

/** Names the groups of a run. Work that is far from its data takes longer: it has its own. */
finished_run finishedRunOf(const work_job &job, const task_name &task,
                           const messages::step_spec &spec, const registered_target &registered)
{
    const auto &labels = registered.registration.labels();
    const bool isFar = !spec.data_rack().empty()
        && (labels.size() < 2 || labels.Get(labels.size() - 1) != spec.data_rack());
    const std::string suffix = isFar ? "/far" : "/near";
    finished_run finished;
    finished.queueGroup = spec.image().empty() ? job.job.queue() : spec.image();
    finished.queueGroup.insert(0, spec.image().empty() ? "queue/" : "image/").append(suffix);
    if (spec.count() >= minStepPeers) {
        auto step = task;
        step.index = 0;
        finished.stepGroup = toString(step).insert(0, "step/").append(suffix);
    }
    finished.estimate = {spec.estimate_ms()};
    return finished;
}

void learnFromEnd(dispatch_state &state, tracked_target &target,
                  const registered_target &registered, const reported_end &end, time_point now)
{
    const auto run = target.runs.find(end.task);
    const auto job = state.work->jobs.find(end.task.job);
    const auto *record = findTask(*state.work, end.task);
    if (run == target.runs.end() || run->second.run != end.run || record == nullptr
        || job == state.work->jobs.end() || end.kind != messages::END_DONE) {
        return;
    }
    const auto &spec = stepSpecOf(job->second, end.task.step);
    if (!isComparable(spec, *record, run->second, target)) {
        return;
    }
    auto finished = finishedRunOf(job->second, end.task, spec, registered);
    finished.duration = now - run->second.startedAt;
    recordFinishedRun(state.speeds, target.speed, finished, now);
}

double speedOf(double logSlowness)
{
    return std::exp(-logSlowness);
}

} // namespace

void learnFromEnds(dispatch_state &state, tracked_target &target,
                   const registered_target &registered, const order_answer &answer, time_point now)
{
    const auto isOfBestEffort = [&](const auto &each) { return isBestEffort(state, each.task); };
    if (registered.bestEffortCores > 0 || target.reservedBestEffortCores > 0
        || std::any_of(answer.ends.begin(), answer.ends.end(), isOfBestEffort)) {
        noteDisturbance(target.speed, now);
    }
    const auto lastKnownEnd = std::max(target.lastProposedEnd, registered.lastAppliedEnd);
    for (const auto &end : answer.ends) {
        if (end.number > lastKnownEnd) {
            learnFromEnd(state, target, registered, end, now);
        }
    }
}

void noteColdTime(tracked_target &target, std::int64_t coldMs, time_point now)
{
    if (coldMs > 0) {
        noteDisturbance(target.speed, now + milliseconds {std::min(coldMs, maxColdMs)});
    }
}

void reviewTargetSpeeds(dispatch_state &state, time_point now)
{
    auto &speeds = state.speeds;
    if (!isSpeedReviewDue(speeds, now)) {
        return;
    }
    std::vector<target_speed *> targets;
    std::vector<const std::string *> ids;
    for (auto &[id, target] : state.targets) {
        targets.push_back(&target.speed);
        ids.push_back(&id);
    }
    const bool wereInUse = speeds.areInUse;
    const auto review = reviewSpeeds(speeds, targets, now);
    const bool isLogged =
        speeds.areInUse != wereInUse || (speeds.areInUse && now >= state.nextSpeedLogAt);
    if (!isLogged || review.knownTargets == 0) {
        return;
    }
    state.nextSpeedLogAt = now + logPeriod;
    log_line {"target_speeds"}
        .with("in_use", speeds.areInUse)
        .with("known_targets", review.knownTargets)
        .with("targets", targets.size())
        .with("runs", speeds.countedRuns)
        .with("spread", review.spread)
        .with("noise", review.noise)
        .with("slowest", *ids[review.slowest])
        .with("slowest_speed", speedOf(targets[review.slowest]->logSlowness))
        .with("fastest", *ids[review.fastest])
        .with("fastest_speed", speedOf(targets[review.fastest]->logSlowness));
}

} // namespace filbert

#include "target_conversation.h"

#include "interference.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace filbert {

namespace {

constexpr double slowestRate = 0.97; // a target's clock may run 2 % slow; 1 % of margin
// The leader before counted from a reading that was up to 3.3 s old, of a clock up to 2 % slow.
constexpr milliseconds leaseSlack {100};
constexpr milliseconds lookPauseAfterFault {250};
constexpr milliseconds answeredSpan {2'000}; // a lease is renewed for a target that answered lately
constexpr milliseconds stopPause {400};
constexpr milliseconds checkpointSpan {700}; // for a stop that saves, before its target leaves
constexpr std::int64_t targetsPerMillisecond = 15; // that a look through all of them takes

const life_record *lifeOf(const dispatch_state &state, const std::string &id)
{
    const auto found = state.work->lives.find(id);
    return found == state.work->lives.end() ? nullptr : &found->second;
}

void propose(dispatch_state &state, messages::work_command &&command)
{
    state.effects.commands.push_back(std::move(command));
}

void proposeDrop(dispatch_state &state, const task_name &task, run_view &run,
                 const std::string &target, const std::string &reason)
{
    if (std::exchange(run.isDropProposed, true)) {
        return;
    }
    log_line {"run_given_up"}
        .with("task", textOf(task))
        .with("run", run.run)
        .with("target", target)
        .with("reason", reason);
    messages::work_command command;
    auto *drop = command.mutable_drop();
    *drop->mutable_task() = referenceTo(task);
    drop->set_run(run.run);
    drop->set_checkpoint(run.checkpoint);
    propose(state, std::move(command));
}

std::int64_t leaseEndFor(const dispatch_state &state, target_conversation &target, time_point now)
{
    const auto span = std::min(state.settings.targetLease, state.settings.longestLease);
    const auto until = clockAtMost(target, now) + span.count;
    target.leaseUntil = std::max(target.leaseUntil, until);
    return until;
}

/** Notes that a target which answers has left an order without an answer. */
void noteLostAnswer(dispatch_state &state, const std::string &target, time_point now)
{
    const bool wasLossy = losesAnswers(state);
    state.lostAnswers[target] = now;
    if (!wasLossy && losesAnswers(state)) {
        log_line {"answers_get_lost", log_line::severity::Warning}
            .with("targets", state.lostAnswers.size())
            .with("last", target);
    }
}

target_order orderFor(const dispatch_state &state, const target_conversation &target,
                      const life_record &life, order_kind kind, time_point now)
{
    target_order order;
    order.kind = kind;
    order.target = target.id;
    order.born = target.born;
    order.address = life.about.address();
    order.fencingToken = state.term;
    order.timeout = state.settings.orderTimeout;
    order.sentAt = now;
    return order;
}

void sendStart(dispatch_state &state, target_conversation &target, const life_record &life,
               const task_name &task, run_view &run, time_point now)
{
    auto order = orderFor(state, target, life, order_kind::Start, now);
    const auto &job = state.work->jobs.at(task.job);
    order.task = task;
    order.run = run.run;
    order.spec = job.job.spec();
    order.checkpoint = run.checkpoint;
    order.ticket = run.ticket;
    order.leaseUntil = leaseEndFor(state, target, now);
    order.timeout =
        losesAnswers(state) ? state.settings.lossyStartTimeout : state.settings.startTimeout;
    run.isOrderOpen = true;
    state.effects.orders.push_back(std::move(order));
}

void sendStop(dispatch_state &state, target_conversation &target, const life_record &life,
              const task_name &task, std::uint32_t run, time_point now)
{
    auto order = orderFor(state, target, life, order_kind::Stop, now);
    order.task = task;
    order.run = run;
    state.effects.orders.push_back(std::move(order));
}

bool isFaultOfTarget(order_result result)
{
    return result == order_result::Unhealthy || result == order_result::Unreachable
        || result == order_result::Unanswered;
}

void avoid(dispatch_state &state, target_conversation &target, const std::string &reason,
           time_point now)
{
    const auto doubled = target.avoidance + target.avoidance;
    target.avoidance =
        std::clamp(doubled, state.settings.firstAvoidance, state.settings.longestAvoidance);
    target.avoidUntil = now + target.avoidance;
    target.failedJobs.clear();
    state.isChanged = true;
    log_line {"target_avoided", log_line::severity::Warning}
        .with("target", target.id)
        .with("reason", reason)
        .with("for_ms", target.avoidance.count);
}

void noteFailure(dispatch_state &state, target_conversation &target, const task_name &task,
                 const std::string &reason, time_point now)
{
    target.failedJobs.insert(task.job);
    const auto bound = static_cast<std::size_t>(state.settings.failuresBeforeAvoidance);
    if (now >= target.avoidUntil && target.failedJobs.size() >= bound) {
        avoid(state, target, reason, now);
    }
}

void noteSuccess(target_conversation &target)
{
    target.failedJobs.clear();
    target.avoidance = {};
}

/** A reading counts if it is ahead of what is known: one that was delayed says less. */
void takeClock(target_conversation &target, std::int64_t clockMs, time_point now)
{
    if (!target.clockMs || clockMs >= clockAtLeast(target, now)) {
        target.clockMs = clockMs;
        target.clockAt = now;
    }
}

/** An order has got no answer: either that was lost, or the target is silent. */
void noteSilence(dispatch_state &state, target_conversation &target, const target_order &order,
                 order_result result, time_point now)
{
    if (target.answeredAt >= order.sentAt) {
        if (result == order_result::Unanswered) {
            noteLostAnswer(state, target.id, now);
        }
        return;
    }
    const auto patience = state.settings.lossyLookWait + state.settings.lossyLookGrace;
    const bool mayBeLost = losesAnswers(state) && now - target.answeredAt < patience;
    if (mayBeLost || std::exchange(target.isSuspect, true)) {
        return;
    }
    // No new work until it answers: most often its process has ended, or its host is cut off.
    target.isReviewDue = true;
    log_line {"target_suspect", log_line::severity::Warning}
        .with("target", target.id)
        .with("result", resultName(result))
        .with("heard_ms_ago", (now - target.heardAt).count);
}

void answerStart(dispatch_state &state, target_conversation &target, const target_order &order,
                 order_result result, run_view &run, time_point now)
{
    run.isOrderOpen = false;
    if (result == order_result::Done || result == order_result::Old) {
        run.confirmedAt = now;
        run.mayBeThere = true;
        if (run.phase == run_phase::Ordered) {
            run.phase = run_phase::Started;
            run.startedAt = now;
            run.progressAt = now;
        }
        target.lookAt = std::min(target.lookAt, now);
        return;
    }
    log_line {"start_not_taken", log_line::severity::Warning}
        .with("task", textOf(order.task))
        .with("run", order.run)
        .with("target", target.id)
        .with("result", resultName(result))
        .with("waited_ms", (now - run.orderedAt).count);
    const bool mayBeLost = result == order_result::Unanswered && losesAnswers(state);
    if (isFaultOfTarget(result) && !mayBeLost) {
        noteFailure(state, target, order.task, "its starts fail", now);
    }
    run.mayBeThere =
        run.mayBeThere || result == order_result::Unanswered || result == order_result::CarrierLost;
    const bool mayTryAgain =
        (result == order_result::Unanswered || result == order_result::Unreachable
         || result == order_result::CarrierLost)
        && now - run.orderedAt < state.settings.startSpan;
    if (mayTryAgain) {
        const bool isSoon =
            losesAnswers(state) || now - run.orderedAt < state.settings.startTimeout * 2;
        run.retryAt = now + (isSoon ? state.settings.firstRetryPause : state.settings.retryPause);
        return;
    }
    if (run.mayBeThere) {
        requestStop(state, order.task, "its start has no clear answer", now);
        return;
    }
    proposeDrop(state, order.task, run, target.id, std::string {resultName(result)});
}

void answerStop(dispatch_state &state, target_conversation &target, const target_order &order,
                order_result result, time_point now)
{
    if (result == order_result::Done) {
        target.strays.erase(order.task);
    }
    const auto found = target.runs.find(order.task);
    if (found == target.runs.end() || found->second.run != order.run) {
        return;
    }
    auto &run = found->second;
    run.isOrderOpen = false;
    if (result != order_result::Done && result != order_result::Old) {
        run.retryAt = now + stopPause;
        return;
    }
    run.confirmedAt = now;
    const auto *task = findTask(*state.work, order.task);
    if (task != nullptr && task->born != target.born) {
        proposeDrop(state, order.task, run, target.id, "its life is over");
        return;
    }
    target.lookAt = std::min(target.lookAt, now);
}

void updateRun(const reported_run &report, bool serves, run_view &run, time_point now)
{
    if (run.phase == run_phase::Ordered) {
        run.phase = run_phase::Started;
        run.startedAt = now;
        run.progressAt = now;
    }
    if (report.percent != run.percent) {
        run.progressAt = now;
    }
    run.seenAt = now;
    run.percent = report.percent;
    if (!report.checkpoint.empty()) {
        run.checkpoint = report.checkpoint;
    }
    (serves ? run.tailMs : run.coresInUse) = report.gauge;
}

void takeReportedRuns(dispatch_state &state, target_conversation &target,
                      const order_answer &answer, std::set<task_name> *present, time_point now)
{
    for (const auto &report : answer.runs) {
        const auto found = target.runs.find(report.task);
        if (found == target.runs.end() || found->second.run != report.run) {
            if (target.strays.emplace(report.task, report.run).second) {
                log_line {"stray_run", log_line::severity::Warning}
                    .with("task", textOf(report.task))
                    .with("run", report.run)
                    .with("target", target.id);
            }
            continue;
        }
        present->insert(report.task);
        const auto job = state.work->jobs.find(report.task.job);
        const bool serves = job != state.work->jobs.end()
            && specOf(job->second, report.task.step).latency_target_ms() > 0;
        updateRun(report, serves, found->second, now);
    }
}

void takeReportedEnds(dispatch_state &state, target_conversation &target, const life_record &life,
                      const order_answer &answer, std::set<task_name> *present, time_point now)
{
    messages::work_command command;
    auto *batch = command.mutable_end();
    const auto known = std::max(target.proposedEnds, life.lastSeen);
    for (const auto &end : answer.ends) {
        present->insert(end.task);
        if (end.number <= known) {
            continue;
        }
        batch->set_last_seen(std::max(batch->last_seen(), end.number));
        auto *out = batch->add_ends();
        *out->mutable_task() = referenceTo(end.task);
        out->set_run(end.run);
        out->set_kind(end.kind);
        out->set_checkpoint(end.checkpoint);
        if (end.kind == messages::END_FAILED) {
            noteFailure(state, target, end.task, "tasks fail there", now);
        } else if (end.kind == messages::END_DONE) {
            noteSuccess(target);
        }
    }
    if (batch->ends_size() > 0) {
        batch->set_target(target.id);
        batch->set_born(target.born);
        target.proposedEnds = batch->last_seen();
        propose(state, std::move(command));
    }
}

/** Runs that a target neither lists as running nor as ended. */
void reviewAbsent(dispatch_state &state, target_conversation &target, const target_order &look,
                  const std::set<task_name> &present, time_point now)
{
    for (auto &[task, run] : target.runs) {
        if (present.contains(task) || run.isOrderOpen || run.isDropProposed
            || run.phase == run_phase::Ordered) {
            continue;
        }
        const bool isKnownBefore = run.confirmedAt < look.sentAt && run.confirmedAt.ms > 0;
        if (run.phase == run_phase::Stopping && isKnownBefore) {
            proposeDrop(state, task, run, target.id, "stopped, or never begun");
        } else if (run.phase == run_phase::Started && (isKnownBefore || run.confirmedAt.ms == 0)) {
            // A start of the leader before may still be on its way; a stop makes it void.
            requestStop(state, task, "the target does not list it", now);
        }
    }
}

void answerLook(dispatch_state &state, target_conversation &target, const life_record &life,
                const target_order &order, const order_answer &answer, time_point now)
{
    const bool isNewest = order.sentAt == target.lookSentAt;
    if (isNewest) {
        target.isLookOpen = false;
        const bool mayBeLost = answer.result == order_result::Unanswered && losesAnswers(state);
        const bool isRepeatedAtOnce = answer.result == order_result::Done || mayBeLost;
        target.lookAt = isRepeatedAtOnce ? now : now + lookPauseAfterFault;
    }
    if (answer.result != order_result::Done) {
        log_line {"look_failed", log_line::severity::Warning}
            .with("target", target.id)
            .with("result", resultName(answer.result))
            .with("heard_ms_ago", (now - target.heardAt).count);
        return;
    }
    target.isReviewDue = false;
    target.acknowledged = std::max(target.acknowledged, order.lastSeen);
    std::set<task_name> present;
    takeReportedRuns(state, target, answer, &present, now);
    takeReportedEnds(state, target, life, answer, &present, now);
    reviewAbsent(state, target, order, present, now);
    reviewInterference(state, target, now);
}

void sendLook(dispatch_state &state, target_conversation &target, const life_record &life,
              time_point now)
{
    auto order = orderFor(state, target, life, order_kind::Look, now);
    const bool isIdle = target.runs.empty();
    const bool isMixed = life.serving > 0 && life.fillCores > 0;
    const bool isStopping =
        std::any_of(target.runs.begin(), target.runs.end(), [](const auto &each) {
            return each.second.phase == run_phase::Stopping && each.second.confirmedAt.ms > 0;
        });
    if (target.clockMs && !isIdle && !target.leavingSince && now - target.heardAt < answeredSpan) {
        order.leaseUntil = leaseEndFor(state, target, now);
    }
    const bool isFirst = !target.clockMs;
    const bool isLossy = losesAnswers(state);
    if (!isIdle && !isFirst && !isStopping) {
        order.wait = isLossy ? state.settings.lossyLookWait
            : isMixed        ? state.settings.busyLookWait
                             : state.settings.lookWait;
    } else if (isStopping) {
        order.wait = state.settings.retryPause;
    }
    order.lastSeen = life.lastSeen;
    order.timeout =
        order.wait + (isLossy ? state.settings.lossyLookGrace : state.settings.lookGrace);
    target.isLookOpen = true;
    target.lookSentAt = now;
    state.effects.orders.push_back(std::move(order));
}

bool needsLook(const dispatch_state &state, const target_conversation &target,
               const life_record &life, time_point now)
{
    if (target.proposedEnds > life.lastSeen) {
        return false; // until these are committed
    }
    const bool isHeard = now - target.heardAt < state.settings.contactSpan;
    return !target.runs.empty()
        || (isHeard && (life.lastSeen > target.acknowledged || target.isReviewDue));
}

bool hasLapsed(const target_conversation &target, time_point now)
{
    // Leases of the term before are bounded by time alone: the first reading of a clock may have
    // been on its way for long, so that nothing can be counted from it.
    return now > target.lapseBy
        && (!target.clockMs || clockAtLeast(target, now) > target.leaseUntil);
}

void stepRuns(dispatch_state &state, target_conversation &target, const life_record &life,
              time_point now)
{
    for (auto &[task, run] : target.runs) {
        const auto &job = state.work->jobs.at(task.job);
        const auto *record = findTask(*state.work, task);
        const bool isOfOldLife = record != nullptr && record->born != target.born;
        if (run.phase != run_phase::Stopping && (job.isEnded() || isOfOldLife)) {
            run.phase = run_phase::Stopping;
            run.confirmedAt = {};
            run.retryAt = now;
        }
        if (run.isOrderOpen || run.isDropProposed || now < run.retryAt) {
            continue;
        }
        if (run.phase == run_phase::Ordered) {
            sendStart(state, target, life, task, run, now);
        } else if (run.phase == run_phase::Stopping && run.confirmedAt.ms == 0) {
            run.isOrderOpen = true;
            sendStop(state, target, life, task, run.run, now);
        }
    }
    for (const auto &[task, run] : target.strays) {
        if (now >= target.lookSentAt + state.settings.retryPause) {
            sendStop(state, target, life, task, run, now);
        }
    }
}

void giveUpLapsed(dispatch_state &state, target_conversation &target)
{
    target.isReviewDue = true;
    for (auto &[task, run] : target.runs) {
        proposeDrop(state, task, run, target.id, "the lease of its target has ended");
    }
}

/** Stops what looks have listed for long without any progress: it may hang there. How long no look
    came says nothing about the run. */
void reviewProgress(dispatch_state &state, target_conversation &target, time_point now)
{
    for (auto &[task, run] : target.runs) {
        const auto &spec = specOf(state.work->jobs.at(task.job), task.step);
        const bool isWatched = run.phase == run_phase::Started && !spec.lasts()
            && !spec.fills_gaps() && run.pace == 100;
        const auto stalled = run.seenAt - std::max(run.progressAt, run.startedAt);
        if (isWatched && stalled > state.settings.stallSpan) {
            requestStop(state, task, "it makes no progress", now);
            if (now >= target.avoidUntil) {
                avoid(state, target, "a task there makes no progress", now);
            }
        }
    }
}

/** Moves what a leaving target would not finish; what lasts goes at once. */
void reviewDrain(dispatch_state &state, target_conversation &target, time_point now)
{
    for (auto &[task, run] : target.runs) {
        if (run.phase != run_phase::Started) {
            continue;
        }
        const auto &spec = specOf(state.work->jobs.at(task.job), task.step);
        if (spec.lasts()) {
            requestStop(state, task, "its target is leaving", now);
            continue;
        }
        const auto since = std::max<std::int64_t>((now - run.startedAt).count, 1);
        const double left = run.percent > 0
            ? static_cast<double>(since) * (100.0 - run.percent) / run.percent
            : static_cast<double>(spec.estimate_ms());
        const bool canFinish = now + milliseconds {std::llround(left)} <= target.leavesAt;
        if (!canFinish && spec.checkpoints() && now + checkpointSpan >= target.leavesAt) {
            requestStop(state, task, "its target leaves before it can end", now);
        }
    }
}

} // namespace

std::string_view resultName(order_result result)
{
    constexpr std::string_view names[] = {"done",     "fenced",     "old",         "late",
                                          "no_room",  "bad_ticket", "unhealthy",   "wrong_life",
                                          "rejected", "unanswered", "unreachable", "carrier_lost"};
    return names[static_cast<std::size_t>(result)];
}

std::int64_t clockAtMost(const target_conversation &target, time_point now)
{
    return *target.clockMs + (now - target.clockAt).count;
}

std::int64_t clockAtLeast(const target_conversation &target, time_point now)
{
    const auto elapsed = static_cast<double>((now - target.clockAt).count);
    return *target.clockMs + static_cast<std::int64_t>(elapsed * slowestRate);
}

bool losesAnswers(const dispatch_state &state)
{
    return state.lostAnswers.size() >= state.settings.lossyTargets;
}

bool takesWork(const dispatch_state &state, const target_conversation &target,
               const life_record &life, time_point now)
{
    return !life.isOver && !life.about.is_draining()
        && life.about.born() == target.born && target.clockMs && !target.leavingSince
        && !target.isSuspect && now >= target.avoidUntil
        && now - target.heardAt < state.settings.contactSpan;
}

void syncTargets(dispatch_state &state, const std::string &id, time_point now)
{
    const auto *life = lifeOf(state, id);
    if (life == nullptr) {
        return;
    }
    if (life->isOver) {
        state.targets.erase(id);
        return;
    }
    state.changedTargets.insert(id);
    auto &target = state.targets[id];
    if (target.born != life->about.born()) {
        const auto before = std::move(target);
        target = {};
        target.runs = before.runs; // stopped in the new life too, see stepRuns
        for (auto &[task, run] : target.runs) {
            run.isOrderOpen = false; // its answer would be of the life before
        }
        target.planned = before.planned;
        target.plannedFill = before.plannedFill;
        target.id = id;
        target.born = life->about.born();
        target.heardAt = now;
        target.lapseBy = state.leadingSince
            + clockRateMargin(std::min(state.settings.targetLease, state.settings.longestLease))
            + leaseSlack;
    }
    target.proposedEnds = std::max(target.proposedEnds, life->lastSeen);
    std::erase_if(target.runs, [&](const auto &each) { return !life->runs.contains(each.first); });
    for (const auto &task : life->runs) {
        auto &run = target.runs[task];
        const auto *record = findTask(*state.work, task);
        if (run.run == record->run) {
            continue;
        }
        run = {};
        run.run = record->run;
        run.startedAt = now;
        run.progressAt = now;
        run.checkpoint = record->checkpoint;
    }
}

bool takeReport(dispatch_state &state, const messages::target_life &life, time_point now)
{
    const auto *known = lifeOf(state, life.id());
    const bool isOldNews = known != nullptr
        && (known->about.born() > life.born()
            || (known->isOver && known->about.born() == life.born()));
    if (isOldNews) {
        log_line {"late_report"}.with("target", life.id()).with("born", life.born());
        return false;
    }
    const auto found = state.targets.find(life.id());
    const bool isSameLife = known != nullptr && known->about.born() == life.born();
    if (isSameLife && found != state.targets.end()) {
        auto &target = found->second;
        const auto sequence = static_cast<std::uint64_t>(life.sequence());
        if (sequence <= target.sequence) {
            return false; // overtaken by a later one
        }
        target.sequence = sequence;
        target.heardAt = now;
        takeClock(target, life.clock_ms(), now);
        if (life.is_draining() && target.leavesAt.ms == 0) {
            target.leavesAt = now + milliseconds {life.remaining_ms()};
        }
    }
    auto comparable = life;
    comparable.clear_clock_ms();
    comparable.clear_sequence();
    comparable.clear_remaining_ms();
    comparable.clear_cold_ms();
    const bool isUnchanged =
        isSameLife && known->about.SerializeAsString() == comparable.SerializeAsString();
    if (isUnchanged) {
        return false;
    }
    messages::work_command command;
    *command.mutable_target() = comparable;
    propose(state, std::move(command));
    return true;
}

void takeLeave(dispatch_state &state, const std::string &id, time_point now)
{
    const auto found = state.targets.find(id);
    if (found == state.targets.end() || found->second.leavingSince) {
        return;
    }
    found->second.leavingSince = now;
    log_line {"target_left"}.with("target", id).with("runs", found->second.runs.size());
}

void requestStop(dispatch_state &state, const task_name &task, const std::string &reason,
                 time_point now)
{
    const auto *record = findTask(*state.work, task);
    if (record == nullptr || record->status != task_status::Running) {
        return;
    }
    const auto target = state.targets.find(record->target);
    if (target == state.targets.end()) {
        return;
    }
    const auto found = target->second.runs.find(task);
    if (found == target->second.runs.end() || found->second.phase == run_phase::Stopping) {
        return;
    }
    auto &run = found->second;
    state.changedTargets.insert(record->target);
    log_line {"run_stopping"}
        .with("task", textOf(task))
        .with("run", run.run)
        .with("target", record->target)
        .with("percent", run.percent)
        .with("reason", reason);
    run.phase = run_phase::Stopping;
    run.confirmedAt = {};
    run.retryAt = now;
}

void orderStart(dispatch_state &state, const messages::start_run_command &start,
                const std::string &ticket, time_point now)
{
    const auto *life = lifeOf(state, start.target());
    const auto found = state.targets.find(start.target());
    if (life == nullptr || found == state.targets.end()) {
        return;
    }
    const auto task = nameOf(start.task());
    auto &run = found->second.runs[task];
    run = {};
    run.run = start.run();
    run.phase = run_phase::Ordered;
    run.mayBeThere = false;
    run.orderedAt = now;
    run.checkpoint = start.checkpoint();
    run.ticket = ticket;
    sendStart(state, found->second, *life, task, run, now);
}

void takeOrderAnswer(dispatch_state &state, const target_order &order, const order_answer &answer,
                     time_point now)
{
    const auto found = state.targets.find(order.target);
    const auto *life = lifeOf(state, order.target);
    if (order.fencingToken != state.term || found == state.targets.end() || life == nullptr) {
        return; // of an earlier term, or of a target that has gone
    }
    auto &target = found->second;
    const bool isOfThisLife =
        order.born == target.born && (!answer.born || *answer.born == target.born);
    if (!isOfThisLife) {
        if (order.kind == order_kind::Look && order.born == target.born) {
            target.isLookOpen = false;
            target.lookAt = now + lookPauseAfterFault;
        }
        return;
    }
    state.changedTargets.insert(order.target);
    const bool isCarried = answer.result != order_result::CarrierLost;
    const bool hasAnswered = isCarried && answer.result != order_result::Unanswered
        && answer.result != order_result::Unreachable && answer.result != order_result::WrongLife;
    if (hasAnswered) {
        if (target.isSuspect) {
            noteLostAnswer(state, target.id, now); // it was there all the time
        }
        target.heardAt = now;
        target.answeredAt = now;
        state.isChanged = state.isChanged || target.isSuspect;
        target.isSuspect = false;
    } else if (isCarried) {
        noteSilence(state, target, order, answer.result, now);
    }
    if (answer.clockMs) {
        takeClock(target, *answer.clockMs, now);
    }
    switch (order.kind) {
    case order_kind::Start: {
        const auto run = target.runs.find(order.task);
        if (run != target.runs.end() && run->second.run == order.run) {
            if (run->second.phase == run_phase::Ordered) {
                answerStart(state, target, order, answer.result, run->second, now);
            } else {
                run->second.isOrderOpen = false;
            }
        }
        break;
    }
    case order_kind::Stop:
        answerStop(state, target, order, answer.result, now);
        break;
    case order_kind::Look:
        answerLook(state, target, *life, order, answer, now);
        break;
    case order_kind::Pace:
        break; // the next look shows whether it worked
    }
}

namespace {

void stepTarget(dispatch_state &state, target_conversation &target, time_point now)
{
    const auto &id = target.id;
    const auto *life = lifeOf(state, id);
    if (life == nullptr || life->about.born() != target.born) {
        return;
    }
    // A target whose good-bye was not acknowledged runs on for seconds, so that only the end of its
    // lease says that its runs are over; it is not renewed any more.
    if (target.leavingSince && (target.runs.empty() || hasLapsed(target, now))) {
        if (!std::exchange(target.isLeaveProposed, true)) {
            messages::work_command command;
            command.set_target_left(id);
            propose(state, std::move(command));
        }
        return;
    }
    if (!target.runs.empty() && hasLapsed(target, now)) {
        giveUpLapsed(state, target);
        return;
    }
    if (life->about.is_draining()) {
        reviewDrain(state, target, now);
    }
    reviewProgress(state, target, now);
    stepRuns(state, target, *life, now);
    const bool isLookLost = losesAnswers(state)
        && now - target.lookSentAt
            > state.settings.lossyLookWait + state.settings.lossyLookGrace;
    if ((!target.isLookOpen || isLookLost) && now >= target.lookAt
        && needsLook(state, target, *life, now)) {
        sendLook(state, target, *life, now);
    }
}

} // namespace

void stepTargets(dispatch_state &state, time_point now)
{
    std::erase_if(state.lostAnswers, [&](const auto &each) {
        return now - each.second >= state.settings.lossSpan;
    });
    const auto changed = std::exchange(state.changedTargets, {});
    if (now >= state.targetsAt) {
        const auto count = static_cast<std::int64_t>(state.targets.size());
        state.targetsAt =
            now + state.settings.targetsPeriod + milliseconds {count / targetsPerMillisecond};
        for (auto &[id, target] : state.targets) {
            stepTarget(state, target, now);
        }
        return;
    }
    for (const auto &id : changed) {
        const auto found = state.targets.find(id);
        if (found != state.targets.end()) {
            stepTarget(state, found->second, now);
        }
    }
}

} // namespace filbert

#include "interference.h"

#include "target_orders.h"

#include <algorithm>

namespace filbert {

namespace {

// A tail latency is a rough figure from the last half second: the thresholds leave a margin on both
// sides.
constexpr double nearTarget = 0.85;
constexpr double calmTail = 0.6;
constexpr int paceStep = 25; // percent, upwards: four calm polls until the full work rate
constexpr int fullPace = 100;

} // namespace

int nextWorkRate(double worstTail, int pace)
{
    if (worstTail >= nearTarget) {
        return pace > fullPace / 2 ? fullPace / 4 : 0;
    }
    return worstTail <= calmTail ? std::min(pace + paceStep, fullPace) : pace;
}

void reviewInterference(dispatch_state &state, tracked_target &target, time_point now)
{
    double worstTail = 0;
    for (const auto &[task, run] : target.runs) {
        const auto &spec = stepSpecOf(state.work->jobs.at(task.job), task.step);
        if (spec.latency_target_ms() > 0 && run.phase == run_phase::Started) {
            worstTail = std::max(worstTail,
                                 static_cast<double>(run.tailLatencyMs)
                                     / static_cast<double>(spec.latency_target_ms()));
        }
    }
    const auto &life = state.work->targets.at(target.id);
    for (auto &[task, run] : target.runs) {
        const auto &spec = stepSpecOf(state.work->jobs.at(task.job), task.step);
        if (!spec.fills_gaps() || run.phase != run_phase::Started) {
            continue;
        }
        const auto pace = nextWorkRate(worstTail, run.workRate);
        if (pace == run.workRate) {
            continue;
        }
        log_line {"pace_changed"}
            .with("task", toString(task))
            .with("target", target.id)
            .with("worst_tail_share", worstTail)
            .with("from_percent", run.workRate)
            .with("to_percent", pace);
        run.workRate = pace;
        run.lastProgressAt = now;
        auto order = orderFor(state, target, life, order_kind::SetWorkRate, now);
        order.task = task;
        order.run = run.run;
        order.workRate = pace;
        state.effects.orders.push_back(std::move(order));
    }
}

} // namespace filbert

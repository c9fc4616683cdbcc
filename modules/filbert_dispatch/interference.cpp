#include "interference.h"

#include "target_orders.h"

#include <algorithm>

namespace filbert {

namespace {

// A tail latency is a rough figure from the last half second: the thresholds leave a margin on both
// sides.
constexpr double highTailFraction = 0.85;
constexpr double lowTailFraction = 0.6;
constexpr int workRateStep = 25; // percent, upwards: four calm polls until the full work rate
constexpr int fullWorkRate = 100;

} // namespace

int nextWorkRate(double worstTail, int workRate)
{
    if (worstTail >= highTailFraction) {
        return workRate > fullWorkRate / 2 ? fullWorkRate / 4 : 0;
    }
    return worstTail <= lowTailFraction ? std::min(workRate + workRateStep, fullWorkRate)
                                        : workRate;
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
    const auto &registered = state.work->targets.at(target.id);
    for (auto &[task, run] : target.runs) {
        const auto &spec = stepSpecOf(state.work->jobs.at(task.job), task.step);
        if (!spec.fills_gaps() || run.phase != run_phase::Started) {
            continue;
        }
        const auto newWorkRate = nextWorkRate(worstTail, run.workRate);
        if (newWorkRate == run.workRate) {
            continue;
        }
        log_line {"pace_changed"}
            .with("task", toString(task))
            .with("target", target.id)
            .with("worst_tail_share", worstTail)
            .with("from_percent", run.workRate)
            .with("to_percent", newWorkRate);
        run.workRate = newWorkRate;
        run.lastProgressAt = now;
        auto order = orderFor(state, target, registered, order_kind::SetWorkRate, now);
        order.task = task;
        order.run = run.run;
        order.workRate = newWorkRate;
        state.effects.orders.push_back(std::move(order));
    }
}

} // namespace filbert

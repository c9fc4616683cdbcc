#include "preemption.h"

#include "step_order.h"
#include "target_conversation.h"

#include <algorithm>
#include <vector>

namespace filbert {

namespace {

// Twice the time for a stop, a restore and another wait for capacity and a ticket.
constexpr milliseconds slackToSpare {4'000};
// A stop, the renewal of tickets and a start take 2 s. With more slack than this, most gangs find
// capacity without preemption.
constexpr milliseconds slackOfUrgency {5'000};
constexpr std::uint32_t mostRuns =
    4; // of a task that may be stopped again: it has to complete at some time

/** How a target gets the capacity for one more member. */
struct room_plan
{
    placement_candidate *room = nullptr;
    std::vector<task_name> victims; // runs to stop; none = it has the capacity, or runs there are
                                    // already being stopped
};

bool isStopping(const run_view &run)
{
    return run.phase == run_phase::Stopping;
}

bool mayBeStopped(const placement_pass &pass, const pending_step &step, const task_name &task,
                  const run_view &run)
{
    const auto view = pass.state.jobs.find(task.job);
    if (run.phase != run_phase::Started || view == pass.state.jobs.end() || run.run > mostRuns) {
        return false;
    }
    const auto &spec = stepSpecOf(pass.state.work->jobs.at(task.job), task.step);
    if (spec.lasts() || spec.is_gang() || spec.fills_gaps() || !spec.checkpoints()) {
        return false;
    }
    const auto other = pendingStepOf(pass.state, pass.queues, task, view->second, pass.now);
    return other.queue->priority() > step.queue->priority() && other.slackMs > slackToSpare.count;
}

resource_amounts needOf(const placement_pass &pass, const task_name &task)
{
    return targetReservation(stepSpecOf(pass.state.work->jobs.at(task.job), task.step));
}

/** @return the runs to stop for one member, chosen from the largest on, or nothing if stopping all
    of them would not be enough */
std::optional<room_plan> planRoom(const placement_pass &pass, const pending_step &step,
                                  placement_candidate &room)
{
    room_plan plan {&room, {}};
    auto left = room.free;
    std::vector<std::pair<resource_amounts, task_name>> candidates;
    for (const auto &[task, run] : room.target->runs) {
        if (isStopping(run)) {
            left += needOf(pass, task);
        } else if (mayBeStopped(pass, step, task, run)) {
            candidates.emplace_back(needOf(pass, task), task);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
        return std::tie(a.first.accelerators, a.first.milliCores)
            > std::tie(b.first.accelerators, b.first.milliCores);
    });
    for (const auto &[need, task] : candidates) {
        if (fits(step.need, left)) {
            break;
        }
        left += need;
        plan.victims.push_back(task);
    }
    return fits(step.need, left) ? std::optional {plan} : std::nullopt;
}

} // namespace

bool preemptFor(placement_pass &pass, const pending_step &step, service_view &service,
                std::size_t members)
{
    if (step.slackMs > slackOfUrgency.count) {
        return false;
    }
    const auto *view = admissionOf(pass, step);
    std::vector<room_plan> plans;
    for (auto &room : service.candidates) {
        if (room.reservedRank != noReservation || !isEligible(step, room)
            || !isAdmitted(step, view, room)) {
            continue;
        }
        if (auto plan = planRoom(pass, step, room)) {
            plans.push_back(std::move(*plan));
        }
    }
    if (plans.size() < members) {
        return false;
    }
    std::stable_sort(plans.begin(), plans.end(), [](const auto &a, const auto &b) {
        return a.victims.size() < b.victims.size();
    });
    plans.resize(members);
    for (const auto &plan : plans) {
        plan.room->reservedRank = step.rank;
        for (const auto &task : plan.victims) {
            requestStop(pass.state, task, "a gang of a higher priority needs its capacity",
                        pass.now);
        }
    }
    return true;
}

} // namespace filbert

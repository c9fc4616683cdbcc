#include "preemption.h"

#include "step_order.h"
#include "target_tracking.h"

#include <algorithm>
#include <vector>

namespace filbert {

namespace {

// Twice the time for a stop, a restore and another wait for capacity and a ticket.
constexpr milliseconds minVictimSlack {4'000};
// A stop, the renewal of tickets and a start take 2 s. With more slack than this, most gangs find
// capacity without preemption.
constexpr milliseconds maxGangSlack {5'000};
// A task with more runs than this is not stopped again, since it has to complete at some time.
constexpr std::uint32_t maxVictimRuns = 4;

/** How a target gets the capacity for one more member. */
struct preemption_plan
{
    placement_candidate *candidate = nullptr;
    // Runs to stop. None if it has the capacity or gets it from runs that are already being
    // stopped.
    std::vector<task_name> victims;
};

bool isStopping(const run_view &run)
{
    return run.phase == run_phase::Stopping;
}

bool isPreemptible(const placement_pass &pass, const pending_step &step, const task_name &task,
                   const run_view &run)
{
    const auto view = pass.state.jobs.find(task.job);
    if (run.phase != run_phase::Started || view == pass.state.jobs.end()
        || run.run > maxVictimRuns) {
        return false;
    }
    const auto &spec = stepSpecOf(pass.state.work->jobs.at(task.job), task.step);
    if (spec.lasts() || spec.is_gang() || spec.fills_gaps() || !spec.checkpoints()) {
        return false;
    }
    const auto victim = pendingStepOf(pass.state, pass.queues, task, view->second, pass.now);
    return victim.queue->priority() > step.queue->priority()
        && victim.slackMs > minVictimSlack.count;
}

resource_amounts reservationOf(const placement_pass &pass, const task_name &task)
{
    return targetReservation(stepSpecOf(pass.state.work->jobs.at(task.job), task.step));
}

/** @return the runs to stop for one member, chosen from the largest on, or nothing if stopping all
    of them would not be enough */
std::optional<preemption_plan> planPreemption(const placement_pass &pass, const pending_step &step,
                                              placement_candidate &candidate)
{
    preemption_plan plan {&candidate, {}};
    auto free = candidate.free;
    std::vector<std::pair<resource_amounts, task_name>> preemptible;
    for (const auto &[task, run] : candidate.target->runs) {
        if (isStopping(run)) {
            free += reservationOf(pass, task);
        } else if (isPreemptible(pass, step, task, run)) {
            preemptible.emplace_back(reservationOf(pass, task), task);
        }
    }
    std::sort(preemptible.begin(), preemptible.end(), [](const auto &a, const auto &b) {
        return std::tie(a.first.accelerators, a.first.milliCores)
            > std::tie(b.first.accelerators, b.first.milliCores);
    });
    for (const auto &[need, task] : preemptible) {
        if (fits(step.need, free)) {
            break;
        }
        free += need;
        plan.victims.push_back(task);
    }
    return fits(step.need, free) ? std::optional {plan} : std::nullopt;
}

} // namespace

bool preemptFor(placement_pass &pass, const pending_step &step, service_view &service,
                std::size_t members)
{
    if (step.slackMs > maxGangSlack.count) {
        return false;
    }
    const auto *view = admissionOf(pass, step);
    std::vector<preemption_plan> plans;
    for (auto &candidate : service.candidates) {
        const bool isReservedForOther =
            candidate.reservedRank != noReservation && candidate.reservedFor != step.name;
        if (isReservedForOther || !isEligible(step, candidate)
            || !isAdmitted(step, view, candidate)) {
            continue;
        }
        if (auto plan = planPreemption(pass, step, candidate)) {
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
        plan.candidate->reservedRank = step.rank;
        for (const auto &task : plan.victims) {
            requestStop(pass.state, task, "a gang of a higher priority needs its capacity",
                        pass.now);
        }
    }
    return true;
}

} // namespace filbert

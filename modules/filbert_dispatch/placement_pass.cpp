#include "placement_pass.h"

#include "target_conversation.h"

#include <algorithm>

namespace filbert {

namespace {

constexpr double fillShare = 0.6; // fraction of its cores that a best-effort task must find unused

// Terms of fitCost(). Their unit is an accelerator left idle, which packing is to avoid.
constexpr double farFromDataCost =
    20.0; // a task runs half as long again: more than any packing gains
constexpr double sameTargetCost =
    4.0; // of long-running tasks: the end of one target must not stop many

bool hasLabel(const placement_candidate &room, const std::string &label)
{
    const auto &labels = room.life->registration.labels();
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

void addRoom(service_view &view, tracked_target &target, const registered_target &life)
{
    placement_candidate room;
    room.target = &target;
    room.life = &life;
    room.capacity = amountsOf(life.registration.capacity());
    room.free = room.capacity - life.used - target.reservedResources;
    room.unusedCores = room.free.milliCores - life.bestEffortCores - target.reservedBestEffortCores;
    const auto &labels = life.registration.labels();
    room.rack =
        labels.size() > 1 ? std::string_view {labels.Get(labels.size() - 1)} : std::string_view {};
    view.totalCores += room.capacity.milliCores;
    view.freeCores += std::max<std::int64_t>(room.unusedCores, 0);
    view.maxFreeCores = std::max(view.maxFreeCores, room.free.milliCores);
    view.maxFreeAccelerators = std::max(view.maxFreeAccelerators, room.free.accelerators);
    view.candidateById.emplace(target.id, view.candidates.size());
    view.candidates.push_back(room);
}

int countOnTarget(const pending_step &step, const std::string &target)
{
    const auto found = step.tasksByTarget.find(target);
    return found == step.tasksByTarget.end() ? 0 : found->second;
}

} // namespace

bool fits(const resource_amounts &need, const resource_amounts &room)
{
    return need.milliCores <= room.milliCores && need.memoryMb <= room.memoryMb
        && need.accelerators <= room.accelerators;
}

service_view &serviceOf(placement_pass &pass, const std::string &service)
{
    const auto found = pass.services.find(service);
    if (found != pass.services.end()) {
        return found->second;
    }
    auto &view = pass.services[service];
    for (auto &[id, target] : pass.state.targets) {
        const auto life = pass.state.work->targets.find(id);
        if (life != pass.state.work->targets.end() && life->second.registration.service() == service
            && acceptsWork(pass.state, target, life->second, pass.now)) {
            addRoom(view, target, life->second);
        }
    }
    for (const auto &queue : pass.state.work->configuration.queues()) {
        if (queue.service() == service) {
            view.urgentPriority = std::min(view.urgentPriority, queue.priority());
        }
    }
    return view;
}

std::unordered_map<std::string_view, int> countTasksByTarget(const placement_pass &pass,
                                                             const task_name &step)
{
    std::unordered_map<std::string_view, int> counts;
    const auto &record = *findStep(*pass.state.work, step);
    auto name = step;
    for (std::uint32_t i = 0; i < record.tasks.size(); ++i) {
        const auto &task = record.tasks[i];
        if (task.status == task_status::Running) {
            ++counts[task.target];
            continue;
        }
        name.index = i;
        const auto planned = pass.state.reservedStarts.find(name);
        if (planned != pass.state.reservedStarts.end()) {
            ++counts[planned->second];
        }
    }
    return counts;
}

bool dependsOnTaskCounts(const messages::step_spec &spec)
{
    return spec.lasts() || spec.max_per_target() > 0;
}

bool isEligible(const pending_step &step, const placement_candidate &room)
{
    return room.reservedRank >= step.rank && fits(step.need, room.capacity)
        && hasLabel(room, step.spec->required_label());
}

bool hasCapacityFor(const placement_pass &pass, const pending_step &step,
                    const service_view &service, const placement_candidate &room)
{
    if (!fits(step.need, room.free)) {
        return false;
    }
    const auto &spec = *step.spec;
    if (spec.fills_gaps()) {
        const auto wanted = static_cast<double>(spec.need().milli_cores()) * fillShare;
        return room.life->latencySensitiveRuns == 0
            && static_cast<double>(room.unusedCores) >= wanted;
    }
    if (spec.latency_target_ms() > 0
        && room.life->bestEffortCores + room.target->reservedBestEffortCores > 0) {
        return false;
    }
    if (spec.max_per_target() > 0
        && countOnTarget(step, room.target->id) >= spec.max_per_target()) {
        return false;
    }
    const bool isUrgent = step.queue->priority() <= service.urgentPriority;
    if (service.urgentPriority > 0 || isUrgent || spec.lasts()) {
        return true;
    }
    const auto kept = static_cast<double>(service.totalCores) * pass.state.settings.urgentHeadroom;
    return static_cast<double>(service.freeCores - spec.need().milli_cores()) >= kept;
}

double fitCost(const pending_step &step, const placement_candidate &room)
{
    const auto &spec = *step.spec;
    const auto cores = std::max<double>(static_cast<double>(room.capacity.milliCores), 1.0);
    double cost = static_cast<double>(room.free.accelerators - step.need.accelerators);
    if (spec.fills_gaps()) {
        cost -= static_cast<double>(room.unusedCores) / cores;
    } else {
        cost += static_cast<double>(room.free.milliCores - step.need.milliCores) / cores;
        cost += static_cast<double>(room.life->bestEffortCores) / cores;
    }
    if (!spec.data_rack().empty() && spec.data_rack() != room.rack) {
        cost += farFromDataCost;
    }
    if (spec.lasts()) {
        cost += sameTargetCost * countOnTarget(step, room.target->id);
    }
    return cost;
}

bool isWithinTeamCap(const placement_pass &pass, const pending_step &step, std::size_t tasks)
{
    const auto &team = step.job->job.team();
    const auto *configured = findTeam(pass.state.work->configuration, team);
    if (configured == nullptr) {
        return true; // the queue is open to all, so that the job has no team
    }
    auto use = scaledBy(taskDemand(*step.spec), tasks);
    const auto add = [&](const std::map<std::string, resource_amounts> &uses) {
        const auto found = uses.find(team);
        if (found != uses.end()) {
            use += found->second;
        }
    };
    add(pass.state.work->teamUsage);
    add(pass.state.teamReserved);
    return isWithinCap(use, configured->cap());
}

const admission_view *admissionOf(const placement_pass &pass, const pending_step &step)
{
    const auto view = pass.state.admissions.find(step.name);
    return view == pass.state.admissions.end() ? nullptr : &view->second;
}

bool isAdmitted(const pending_step &step, const admission_view *view,
                const placement_candidate &room)
{
    return !step.queue->has_admission()
        || (view != nullptr && view->tickets.contains(room.target->id));
}

void updateReservation(placement_pass &pass, pending_step &step, service_view &service,
                       placement_candidate &room, const task_name &task, int sign)
{
    const auto cores = step.spec->need().milli_cores();
    if (dependsOnTaskCounts(*step.spec)) {
        step.tasksByTarget[room.target->id] += sign;
    }
    if (sign > 0) {
        reserveStart(pass.state, task, *room.target);
        room.free -= step.need;
    } else {
        releaseStart(pass.state, task);
        room.free += step.need;
    }
    room.unusedCores -= sign * cores;
    service.freeCores -= sign * cores;
}

} // namespace filbert

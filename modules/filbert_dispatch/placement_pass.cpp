#include "placement_pass.h"

#include "crash_suspects.h"
#include "gang_reservations.h"
#include "target_tracking.h"

#include <algorithm>

namespace filbert {

namespace {

// The fraction of its cores that a best-effort task must find unused.
constexpr double minUnusedCoreFraction = 0.6;

// From a placement to the start of the task, and from its end until the leader knows of it.
constexpr milliseconds backfillMargin {200};

// Terms of fitCost(). Their unit is an accelerator left idle, which packing is to avoid.

// A task that is far from its data takes 1.5 times as long, which is more than any packing gains.
constexpr double remoteDataCost = 20.0;
// For long-running tasks of one step: the end of one target must not stop many of them.
constexpr double sameTargetCost = 4.0;

bool hasLabel(const placement_candidate &candidate, const std::string &label)
{
    const auto &labels = candidate.registered->registration.labels();
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

placement_candidate makeCandidate(const placement_pass &pass, const service_targets::entry &entry)
{
    const auto &[target, registered, rack] = entry;
    placement_candidate candidate;
    candidate.target = target;
    candidate.registered = registered;
    candidate.rack = rack;
    candidate.isAvailable = acceptsWork(pass.state, *target, *registered, pass.now);
    candidate.capacity = amountsOf(registered->registration.capacity());
    candidate.free = candidate.capacity - registered->used - target->reservedResources;
    candidate.unusedCores =
        candidate.free.milliCores - registered->bestEffortCores - target->reservedBestEffortCores;
    candidate.coldTimeLeft = coldTimeLeft(target->cold, pass.now);
    candidate.usableFraction = usableFraction(target->cold, pass.now);
    return candidate;
}

void addCandidate(service_view &view, const placement_candidate &candidate)
{
    view.candidates.push_back(candidate);
    if (!candidate.isAvailable) {
        return;
    }
    view.byFreeCores.emplace_back(candidate.free.milliCores, view.candidates.size() - 1);
    ++view.availableCandidates;
    view.totalCores += candidate.capacity.milliCores;
    view.coldCores += candidate.coldTimeLeft.count > 0 ? candidate.capacity.milliCores : 0;
    view.freeCores += std::max<std::int64_t>(candidate.unusedCores, 0);
    view.freeAccelerators += std::max<std::int64_t>(candidate.free.accelerators, 0);
    view.maxFreeCores = std::max(view.maxFreeCores, candidate.free.milliCores);
    view.maxFreeAccelerators = std::max(view.maxFreeAccelerators, candidate.free.accelerators);
}

/** Collects the targets of all services, which takes long with many targets. */
void collectTargets(dispatch_state &state)
{
    for (auto &[id, target] : state.targets) {
        const auto registered = state.work->targets.find(id);
        if (registered == state.work->targets.end()) {
            continue;
        }
        const auto &registration = registered->second.registration;
        const auto &labels = registration.labels();
        auto &service = state.targetsByService[registration.service()];
        service.version = service.version == 0 ? ++state.lastListVersion : service.version;
        service.indexById.emplace(id, service.entries.size());
        service.entries.push_back({&target, &registered->second,
                                   labels.size() > 1
                                       ? std::string_view {labels.Get(labels.size() - 1)}
                                       : std::string_view {}});
    }
}

/** @return what placing a task of the step on a target costs because the target is cold */
double coldCostOf(const pending_step &step, const placement_candidate &candidate)
{
    if (candidate.coldTimeLeft.count == 0) {
        return 0;
    }
    cold_task task;
    task.estimate = {step.spec->estimate_ms()};
    task.isUrgent = step.queue->priority() == 0 || step.slackMs < candidate.coldTimeLeft.count;
    task.isSlowStartHarmless = step.spec->lasts() && step.spec->latency_target_ms() == 0;
    return coldCost(task, candidate.coldTimeLeft);
}

/** @return how many tasks of the step a target has or gets, with those that it runs although the
    log does not have them there, and that have yet to be stopped */
int countTasksOnTarget(const pending_step &step, const tracked_target &target)
{
    const auto found = step.tasksByTarget.find(target.id);
    int count = found == step.tasksByTarget.end() ? 0 : found->second;
    for (auto orphan = target.orphanRuns.lower_bound(step.name);
         orphan != target.orphanRuns.end() && stepNameOf(orphan->first) == step.name; ++orphan) {
        count += target.runs.contains(orphan->first) ? 0 : 1;
    }
    return count;
}

/** Whether a task of a step that starts now ends before the gang starts that a target is reserved
    for. */
bool endsBeforeGang(const pending_step &step, const placement_candidate &candidate)
{
    return !step.spec->lasts()
        && milliseconds {step.spec->estimate_ms()} + backfillMargin <= candidate.reservedIn;
}

/** Whether the reservations of a target let work of a step start there. */
bool isOpenTo(const pending_step &step, const placement_candidate &candidate)
{
    if (candidate.reservedFor.job.empty()) {
        return candidate.reservedRank >= step.rank;
    }
    const bool goesFirst = step.rank < candidate.reservedRank;
    if (goesFirst || candidate.reservedFor == step.name) {
        return true;
    }
    return endsBeforeGang(step, candidate) || fits(step.need, candidate.spare);
}

} // namespace

bool fits(const resource_amounts &need, const resource_amounts &free)
{
    return need.milliCores <= free.milliCores && need.memoryMb <= free.memoryMb
        && need.accelerators <= free.accelerators;
}

bool fitsAnywhere(service_view &service, const resource_amounts &need)
{
    auto &heap = service.freeCoresHeap;
    if (heap.empty()) {
        heap = service.byFreeCores; // in descending order, which is a heap
    }
    while (!heap.empty()) {
        const auto [cores, index] = heap.front();
        const auto freeCores = service.candidates[index].free.milliCores;
        if (freeCores >= cores) {
            return need.milliCores <= freeCores;
        }
        std::pop_heap(heap.begin(), heap.end());
        heap.back().first = freeCores;
        std::push_heap(heap.begin(), heap.end());
    }
    return false;
}

service_view &serviceOf(placement_pass &pass, const std::string &service)
{
    const auto found = pass.services.find(service);
    if (found != pass.services.end()) {
        return found->second;
    }
    if (pass.state.targetsByService.empty()) {
        collectTargets(pass.state);
    }
    auto &view = pass.services[service];
    const auto &targets = pass.state.targetsByService[service];
    view.targets = &targets;
    view.candidates.reserve(targets.entries.size());
    for (const auto &entry : targets.entries) {
        addCandidate(view, makeCandidate(pass, entry));
    }
    std::sort(view.byFreeCores.rbegin(), view.byFreeCores.rend());
    for (const auto &queue : pass.state.work->configuration.queues()) {
        if (queue.service() == service) {
            view.urgentPriority = std::min(view.urgentPriority, queue.priority());
        }
    }
    findTrials(pass, view);
    applyReservations(pass, view, service);
    return view;
}

std::optional<std::size_t> candidateIndexOf(const service_view &service, const std::string &target)
{
    const auto found = service.targets->indexById.find(target);
    return found == service.targets->indexById.end() ? std::nullopt : std::optional {found->second};
}

std::optional<std::size_t> candidateIndexOf(const service_view &service, const std::string &target,
                                            const admission_view::ticket &ticket)
{
    if (ticket.listVersion != service.targets->version || ticket.listVersion == 0) {
        ticket.listVersion = service.targets->version;
        ticket.listIndex = candidateIndexOf(service, target);
    }
    return ticket.listIndex;
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
        const auto reservation = pass.state.reservedStarts.find(name);
        if (reservation != pass.state.reservedStarts.end()) {
            ++counts[reservation->second];
        }
    }
    return counts;
}

bool dependsOnTaskCounts(const messages::step_spec &spec)
{
    return spec.lasts() || spec.max_per_target() > 0;
}

std::int64_t remainingTasksAllowed(const pending_step &step, const placement_candidate &candidate)
{
    const auto limit = step.spec->max_per_target();
    return limit > 0 ? std::max(limit - countTasksOnTarget(step, *candidate.target), 0)
                     : std::numeric_limits<std::int64_t>::max();
}

bool isSuitable(const pending_step &step, const placement_candidate &candidate)
{
    return candidate.isAvailable && fits(step.need, candidate.capacity)
        && hasLabel(candidate, step.spec->required_label())
        && remainingTasksAllowed(step, candidate) > 0;
}

bool isEligible(const pending_step &step, const placement_candidate &candidate)
{
    return isOpenTo(step, candidate) && isSuitable(step, candidate);
}

bool isColdAmongWarm(const service_view &service, const placement_candidate &candidate)
{
    return candidate.coldTimeLeft.count > 0 && service.coldCores * 2 <= service.totalCores;
}

bool hasCapacityFor(const placement_pass &pass, const pending_step &step,
                    const service_view &service, const placement_candidate &candidate)
{
    // What holds for all kinds of steps comes before the branches for some of them.
    if (!fits(step.need, candidate.free) || !isOpenTo(step, candidate)
        || !mayBeTried(step, service, candidate) || remainingTasksAllowed(step, candidate) == 0) {
        return false;
    }
    if (isColdAmongWarm(service, candidate)
        && !isWithinColdLimit(candidate.capacity, candidate.free, step.need,
                              candidate.usableFraction)) {
        return false;
    }
    const auto &spec = *step.spec;
    if (spec.fills_gaps()) {
        const auto neededCores =
            static_cast<double>(spec.need().milli_cores()) * minUnusedCoreFraction;
        return candidate.registered->latencySensitiveRuns == 0
            && static_cast<double>(candidate.unusedCores) >= neededCores;
    }
    if (spec.latency_target_ms() > 0
        && candidate.registered->bestEffortCores + candidate.target->reservedBestEffortCores > 0) {
        return false;
    }
    const bool isUrgent = step.queue->priority() <= service.urgentPriority;
    if (service.urgentPriority > 0 || isUrgent || spec.lasts()) {
        return true;
    }
    const auto headroom =
        static_cast<double>(service.totalCores) * pass.state.settings.urgentHeadroom;
    return static_cast<double>(service.freeCores - spec.need().milli_cores()) >= headroom;
}

double fitCost(const placement_pass &pass, const pending_step &step,
               const placement_candidate &candidate)
{
    const auto &spec = *step.spec;
    const auto cores = std::max<double>(static_cast<double>(candidate.capacity.milliCores), 1.0);
    double cost = static_cast<double>(candidate.free.accelerators - step.need.accelerators);
    if (spec.fills_gaps()) {
        cost -= static_cast<double>(candidate.unusedCores) / cores;
    } else {
        cost += static_cast<double>(candidate.free.milliCores - step.need.milliCores) / cores;
        cost += static_cast<double>(candidate.registered->bestEffortCores) / cores;
    }
    if (!spec.data_rack().empty() && spec.data_rack() != candidate.rack) {
        cost += remoteDataCost;
    }
    if (spec.lasts()) {
        cost += sameTargetCost * countTasksOnTarget(step, *candidate.target);
    }
    // Late work gains nothing from a fast target, and best-effort work has no objective.
    if (!spec.lasts() && !spec.fills_gaps() && step.rank < lateRankOffset) {
        cost += speedCost(candidate.target->speed, {spec.estimate_ms()}, {step.slackMs},
                          step.queue->priority() == 0);
    }
    if (step.isSuspect) {
        cost += trialCost(pass, candidate);
    }
    cost += coldCostOf(step, candidate);
    return cost;
}

bool isWithinTeamCap(const placement_pass &pass, const pending_step &step, std::size_t tasks)
{
    const auto &team = step.job->job.team();
    const auto *configured = findTeam(pass.state.work->configuration, team);
    if (configured == nullptr) {
        return true; // the queue is open to all, so that the job has no team
    }
    auto usage = scaledBy(taskDemand(*step.spec), tasks);
    const auto add = [&](const std::map<std::string, resource_amounts> &usageByTeam) {
        const auto found = usageByTeam.find(team);
        if (found != usageByTeam.end()) {
            usage += found->second;
        }
    };
    add(pass.state.work->teamUsage);
    add(pass.state.teamReserved);
    return isWithinCap(usage, configured->cap());
}

const admission_view *admissionOf(const placement_pass &pass, const pending_step &step)
{
    const auto view = pass.state.admissions.find(step.name);
    return view == pass.state.admissions.end() ? nullptr : &view->second;
}

bool isAdmitted(const pending_step &step, const admission_view *view,
                const placement_candidate &candidate)
{
    return !step.queue->has_admission()
        || (view != nullptr && view->tickets.contains(candidate.target->id));
}

void updateReservation(placement_pass &pass, pending_step &step, service_view &service,
                       placement_candidate &candidate, const task_name &task, int sign)
{
    const auto cores = step.spec->need().milli_cores();
    if (dependsOnTaskCounts(*step.spec)) {
        step.tasksByTarget[candidate.target->id] += sign;
    }
    if (sign > 0) {
        reserveStart(pass.state, task, *candidate.target);
        candidate.free -= step.need;
    } else {
        releaseStart(pass.state, task);
        candidate.free += step.need;
    }
    const bool isBesideGang = !candidate.reservedFor.job.empty()
        && candidate.reservedFor != step.name && !endsBeforeGang(step, candidate);
    if (isBesideGang && sign > 0) {
        candidate.spare -= step.need;
    } else if (isBesideGang) {
        candidate.spare += step.need;
    }
    candidate.unusedCores -= sign * cores;
    service.freeCores -= sign * cores;
    service.freeAccelerators -= sign * step.need.accelerators;
    if (step.isSuspect && sign > 0) {
        startTrial(service, candidate, task.job);
    }
}

} // namespace filbert

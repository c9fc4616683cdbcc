#include "ticket_requests.h"

#include "admission_requests.h"

#include <algorithm>
#include <functional>

namespace filbert {

namespace {

constexpr std::size_t targetsPerRequest = 100; // the maximum that the policy service accepts
// A policy admits a third of the targets or more, and other steps take some of the free capacity
// meanwhile. Each further target costs time of the service, and bytes on a link that start orders
// need too.
constexpr std::size_t targetsPerTask = 3;
constexpr std::size_t extraTargets = 15;
constexpr std::size_t targetsPerCostlyCall = 20; // if each named target takes 4 ms or more
constexpr double costlyPerTargetMs = 4.0;
// Calls of a costly policy run in parallel, since one after the other they take seconds. A step
// uses only a share of the free callers, which leaves some to other steps.
constexpr std::size_t maxCostlyCalls = 3;
constexpr std::size_t spareCallersPerCall = 2;
// Tickets to renew, besides one for each member of a gang, or each task under a policy that is not
// costly.
constexpr std::size_t targetsPerRefresh = 8;
// If a call takes this long, tickets are renewed before there is capacity.
constexpr milliseconds slowAdmissionTime {300};
constexpr milliseconds requestDelay {100}; // between requests of a step for further tickets

bool isCostly(const messages::work_queue &queue)
{
    return queue.admission().per_target_ms() >= costlyPerTargetMs;
}

std::size_t costlyCallLimit(const placement_pass &pass)
{
    return std::clamp<std::size_t>(countSpareCallers(pass.state, pass.now) / spareCallersPerCall, 1,
                                   maxCostlyCalls);
}

/** Which targets a request for tickets names. */
enum class ticket_request {
    First, // the best fits, those without free capacity last
    Further, // those that were not named before
    Renewal, // those whose earlier tickets expire
};

/** Counts a request by its purpose. */
void countRequest(dispatch_totals &totals, ticket_request kind, std::size_t targets)
{
    if (targets == 0) {
        return;
    }
    switch (kind) {
    case ticket_request::First:
        ++totals.firstRequests;
        break;
    case ticket_request::Further:
        ++totals.furtherRequests;
        break;
    case ticket_request::Renewal:
        ++totals.renewals;
        break;
    }
    totals.namedTargets += targets;
}

void requestAdmissionFor(placement_pass &pass, const pending_step &step, ticket_request kind,
                         const std::vector<std::string> &targets)
{
    countRequest(pass.state.totals, kind, targets.size());
    requestAdmission(pass.state, step.name, *step.queue, step.rank, targets,
                     isCostly(*step.queue) ? targetsPerCostlyCall : targetsPerRequest, pass.now);
}

/** @return the maximum number of targets to name in a request */
std::size_t maxTargetsOf(const placement_pass &pass, const pending_step &step, ticket_request kind)
{
    const auto tasks = static_cast<std::size_t>(step.spec->count());
    if (kind == ticket_request::Renewal) {
        return targetsPerRefresh + (step.spec->is_gang() || !isCostly(*step.queue) ? tasks : 0);
    }
    return isCostly(*step.queue)
        ? targetsPerCostlyCall * costlyCallLimit(pass)
        : std::min(targetsPerRequest, tasks * targetsPerTask + extraTargets);
}

/** Whether the step has a choice among admitted targets, as soon as these have capacity. */
bool knowsEnoughTargets(const pending_step &step, const admission_view &view)
{
    return view.tickets.size() >= std::min(
               targetsPerRequest, static_cast<std::size_t>(step.spec->count()) * targetsPerTask);
}

/** Whether the amount of free cores decides which targets fit a step best. */
bool isRankedByFreeCores(const pending_step &step)
{
    const auto &spec = *step.spec;
    return step.need.accelerators == 0 && spec.data_rack().empty() && !spec.lasts()
        && !spec.fills_gaps();
}

/** Calls a function with the indices of candidates until it has found enough: first those with
    enough free cores, then others; of both, warm targets before cold ones. It begins at a place
   that differs by step. Otherwise steps that ask at the same time would be admitted to the same few
   targets and take them from each other.
    @param fitsOnly  whether to leave out those with too few free cores
    @param consider  returns whether it needs more */
template <typename Consider>
void considerUntilEnough(const pending_step &step, const service_view &service, bool fitsOnly,
                         Consider &&consider)
{
    const auto &byFreeCores = service.byFreeCores; // the most free cores first
    const auto fitting = static_cast<std::size_t>(
        std::partition_point(byFreeCores.begin(), byFreeCores.end(),
                             [&](const auto &each) { return each.first >= step.need.milliCores; })
        - byFreeCores.begin());
    const auto offset = std::hash<std::string> {}(step.name.job);
    const auto considerTemperature = [&](std::size_t begin, std::size_t end, bool isCold) {
        const auto count = end - begin;
        for (std::size_t i = 0; i < count; ++i) {
            const auto index = byFreeCores[begin + (offset + i) % count].second;
            if ((service.candidates[index].coldTimeLeft.count > 0) == isCold && !consider(index)) {
                return false;
            }
        }
        return true;
    };
    const auto considerRange = [&](std::size_t begin, std::size_t end) {
        return considerTemperature(begin, end, false)
            && (service.coldCores == 0 || considerTemperature(begin, end, true));
    };
    if (considerRange(0, fitting) && !fitsOnly) {
        considerRange(fitting, byFreeCores.size());
    }
}

/** @return targets to name in a request, the best fits with free capacity first */
std::vector<std::string> targetsToRequest(const placement_pass &pass, const pending_step &step,
                                          const service_view &service, const admission_view &view,
                                          ticket_request kind)
{
    constexpr double noCapacityCost = 1'000.0; // puts targets without capacity after all others
    const auto maxTargets = maxTargetsOf(pass, step, kind);
    std::vector<std::pair<double, std::size_t>> ranked;
    const auto consider = [&](std::size_t index) {
        const auto &candidate = service.candidates[index];
        ++pass.state.totals.rankedTargets;
        const bool isWanted = isEligible(step, candidate)
            && (kind == ticket_request::Renewal
                || !view.requestedTargets.contains(candidate.target->id));
        if (isWanted) {
            const bool hasCapacity = hasCapacityFor(pass, step, service, candidate);
            ranked.emplace_back(
                fitCost(pass, step, candidate) + (hasCapacity ? 0.0 : noCapacityCost), index);
        }
    };
    if (kind == ticket_request::Renewal) {
        for (const auto &[id, ticket] : view.tickets) {
            if (const auto index = candidateIndexOf(service, id, ticket)) {
                consider(*index);
            }
        }
    } else if (kind == ticket_request::Further && knowsEnoughTargets(step, view)) {
        // More tickets for targets without capacity would only expire.
        considerUntilEnough(step, service, true, [&](std::size_t index) {
            if (fits(step.need, service.candidates[index].free)) {
                consider(index);
            }
            return ranked.size() < maxTargets;
        });
    } else if (isRankedByFreeCores(step)) {
        considerUntilEnough(step, service, false, [&](std::size_t index) {
            consider(index);
            return ranked.size() < maxTargets;
        });
    } else {
        for (std::size_t i = 0; i < service.candidates.size(); ++i) {
            consider(i);
        }
    }
    const auto count = std::min(maxTargets, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end());
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < count; ++i) {
        ids.push_back(service.candidates[ranked[i].second].target->id);
    }
    return ids;
}

/** @return how many tasks fit into free resources, up to a maximum */
std::int64_t countFitting(const resource_amounts &need, const resource_amounts &free,
                          std::int64_t maxCount)
{
    const auto times = [&](std::int64_t needed, std::int64_t available) {
        return needed > 0 ? std::min(maxCount, available / needed) : maxCount;
    };
    return std::min({times(need.milliCores, free.milliCores), times(need.memoryMb, free.memoryMb),
                     times(need.accelerators, free.accelerators)});
}

/** Whether the admitted targets have capacity for what starts at once: a task or a whole gang. */
bool hasAdmittedCapacity(const placement_pass &pass, const pending_step &step,
                         const service_view &service, const admission_view &view)
{
    const std::int64_t requiredTasks = step.spec->is_gang() ? step.spec->count() : 1;
    std::int64_t fittingTasks = 0;
    for (const auto &[id, ticket] : view.tickets) {
        const auto index = candidateIndexOf(service, id, ticket);
        if (!index) {
            continue;
        }
        const auto &candidate = service.candidates[*index];
        if (isEligible(step, candidate) && hasCapacityFor(pass, step, service, candidate)) {
            fittingTasks +=
                countFitting(step.need, candidate.free,
                             std::min(requiredTasks, remainingTasksAllowed(step, candidate)));
        }
    }
    return fittingTasks >= requiredTasks;
}

/** Whether the steps that go first may take all free capacity, so that tickets for it would only
    expire. Best-effort steps use capacity that no other step can have. Long-running steps are few,
    and would wait until the cell is no longer full. */
bool isCapacityContested(const pending_step &step, const service_view &service)
{
    return !step.spec->fills_gaps() && !step.spec->lasts() && !step.isInTurnForTickets
        && service.unplacedCores >= service.freeCores;
}

} // namespace

void requestTickets(placement_pass &pass, const pending_step &step, const service_view &service)
{
    if (!step.queue->has_admission()) {
        return;
    }
    auto &view = pass.state.admissions[step.name];
    if (view.pendingRequests > 0 || pass.now < view.nextRequestAt) {
        return;
    }
    if (view.requestedTargets.empty()) {
        requestAdmissionFor(pass, step, ticket_request::First,
                            targetsToRequest(pass, step, service, view, ticket_request::First));
        return;
    }
    if (isCapacityContested(step, service)) {
        return;
    }
    const auto &policy = step.queue->admission();
    if (hasAdmittedCapacity(pass, step, service, view)) {
        requestAdmissionFor(pass, step, ticket_request::Renewal,
                            targetsToRequest(pass, step, service, view, ticket_request::Renewal));
        return;
    }
    const auto furtherTargets =
        targetsToRequest(pass, step, service, view, ticket_request::Further);
    const bool hasUsableTicket =
        std::any_of(view.tickets.begin(), view.tickets.end(), [&](auto &each) {
            return isTicketUsable(pass.state, each.second, policy, pass.now);
        });
    if (!furtherTargets.empty()) {
        requestAdmissionFor(pass, step, ticket_request::Further, furtherTargets);
    } else if (expectedAdmissionDuration(policy, 1) >= slowAdmissionTime && !hasUsableTicket) {
        requestAdmissionFor(pass, step, ticket_request::Renewal,
                            targetsToRequest(pass, step, service, view, ticket_request::Renewal));
    }
    view.nextRequestAt = pass.now + requestDelay;
}

void prefetchTickets(placement_pass &pass, const pending_step &step)
{
    const bool isQuick = step.queue->has_admission()
        && expectedAdmissionDuration(step.queue->admission(), targetsPerRequest)
            <= maxQuickAdmissionTime;
    if (!isQuick) {
        return;
    }
    auto &admission = pass.state.admissions[step.name];
    if (!admission.requestedTargets.empty() || admission.pendingRequests > 0) {
        return;
    }
    const auto &service = serviceOf(pass, step.queue->service());
    requestAdmissionFor(pass, step, ticket_request::First,
                        targetsToRequest(pass, step, service, admission, ticket_request::First));
}

} // namespace filbert

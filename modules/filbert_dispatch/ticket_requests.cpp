#include "ticket_requests.h"

#include "admission_desk.h"

#include <algorithm>

namespace filbert {

namespace {

constexpr std::size_t targetsPerRequest = 100; // the maximum that the policy service accepts
// A policy admits a third of the targets or more, and other steps take some of the free capacity
// meanwhile. Each further target costs time of the service, and bytes on a link that start orders
// need too.
constexpr std::size_t targetsPerTask = 3;
constexpr std::size_t targetsBesides = 15;
constexpr std::size_t targetsPerCostlyCall = 20; // if each named target takes 4 ms or more
constexpr double costlyPerTargetMs = 4.0;
// Calls of a costly policy run in parallel, since one after the other they take seconds. A step
// uses only a share of the free callers, which leaves some to other steps.
constexpr std::size_t mostCostlyCalls = 3;
constexpr std::size_t sparePerCall = 2;
constexpr std::size_t targetsPerRefresh =
    8; // tickets to renew, besides one for each member of a gang
constexpr milliseconds slowPolicy {
    300}; // from here on tickets are renewed before there is capacity
constexpr milliseconds askPause {100}; // between requests of a step for further tickets

bool isCostly(const messages::work_queue &queue)
{
    return queue.admission().per_target_ms() >= costlyPerTargetMs;
}

std::size_t costlyCallsNow(const placement_pass &pass)
{
    return std::clamp<std::size_t>(countSpareCallers(pass.state, pass.now) / sparePerCall, 1,
                                   mostCostlyCalls);
}

void request(placement_pass &pass, const pending_step &step,
             const std::vector<std::string> &targets)
{
    requestAdmission(pass.state, step.name, *step.queue, targets,
                     isCostly(*step.queue) ? targetsPerCostlyCall : targetsPerRequest, pass.now);
}

/** @return targets to name in a request, the best fits with free capacity first
    @param isRefresh  whether to renew tickets, instead of requesting those of further targets */
std::vector<std::string> targetsToAsk(const placement_pass &pass, const pending_step &step,
                                      const service_view &service, const admission_view &view,
                                      bool isRefresh)
{
    constexpr double fullCost = 1'000.0; // puts targets without capacity after all others
    std::vector<std::pair<double, std::size_t>> wanted;
    for (std::size_t i = 0; i < service.candidates.size(); ++i) {
        const auto &room = service.candidates[i];
        const auto &id = room.target->id;
        if (isEligible(step, room)
            && (isRefresh ? view.tickets.contains(id) : !view.requestedTargets.contains(id))) {
            const bool hasRoom = hasCapacityFor(pass, step, service, room);
            wanted.emplace_back(fitCost(step, room) + (hasRoom ? 0.0 : fullCost), i);
        }
    }
    const auto tasks = static_cast<std::size_t>(step.spec->count());
    const auto useful = std::min(targetsPerRequest, tasks * targetsPerTask + targetsBesides);
    const auto renewed = targetsPerRefresh + (step.spec->is_gang() ? tasks : 0);
    const auto most = isRefresh ? renewed
        : isCostly(*step.queue) ? targetsPerCostlyCall * costlyCallsNow(pass)
                                : useful;
    const auto count = std::min(most, wanted.size());
    std::partial_sort(wanted.begin(), wanted.begin() + static_cast<std::ptrdiff_t>(count),
                      wanted.end());
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < count; ++i) {
        ids.push_back(service.candidates[wanted[i].second].target->id);
    }
    return ids;
}

/** @return how many tasks fit into free resources, up to a maximum */
std::int64_t countFitting(const resource_amounts &need, const resource_amounts &left,
                          std::int64_t most)
{
    const auto times = [&](std::int64_t needed, std::int64_t available) {
        return needed > 0 ? std::min(most, available / needed) : most;
    };
    return std::min({times(need.milliCores, left.milliCores), times(need.memoryMb, left.memoryMb),
                     times(need.accelerators, left.accelerators)});
}

/** Whether the admitted targets have capacity for what starts at once: a task or a whole gang. */
bool hasAdmittedRoom(const placement_pass &pass, const pending_step &step,
                     const service_view &service, const admission_view &view)
{
    const std::int64_t wanted = step.spec->is_gang() ? step.spec->count() : 1;
    std::int64_t found = 0;
    for (const auto &[id, ticket] : view.tickets) {
        const auto index = service.candidateById.find(id);
        if (index == service.candidateById.end()) {
            continue;
        }
        const auto &room = service.candidates[index->second];
        if (isEligible(step, room) && hasCapacityFor(pass, step, service, room)) {
            found += countFitting(step.need, room.free, wanted);
        }
    }
    return found >= wanted;
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
        request(pass, step, targetsToAsk(pass, step, service, view, false));
        return;
    }
    const auto &policy = step.queue->admission();
    if (hasAdmittedRoom(pass, step, service, view)) {
        request(pass, step, targetsToAsk(pass, step, service, view, true));
        return;
    }
    const auto others = targetsToAsk(pass, step, service, view, false);
    const bool hasFresh = std::any_of(view.tickets.begin(), view.tickets.end(), [&](auto &each) {
        return isTicketUsable(pass.state, each.second, policy, pass.now);
    });
    if (!others.empty()) {
        request(pass, step, others);
    } else if (admissionTime(policy, 1) >= slowPolicy && !hasFresh) {
        request(pass, step, targetsToAsk(pass, step, service, view, true));
    }
    view.nextRequestAt = pass.now + askPause;
}

void prefetchTickets(placement_pass &pass, const pending_step &step)
{
    const bool isQuick = step.queue->has_admission()
        && admissionTime(step.queue->admission(), targetsPerRequest) <= maxQuickAdmissionTime;
    if (!isQuick) {
        return;
    }
    auto &admission = pass.state.admissions[step.name];
    if (!admission.requestedTargets.empty() || admission.pendingRequests > 0) {
        return;
    }
    const auto &service = serviceOf(pass, step.queue->service());
    request(pass, step, targetsToAsk(pass, step, service, admission, false));
}

} // namespace filbert

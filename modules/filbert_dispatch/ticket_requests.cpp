#include "ticket_requests.h"

#include "admission_requests.h"
#include "gang_reservations.h"

#include <algorithm>
#include <bit>
#include <functional>

namespace filbert {

namespace {

constexpr std::size_t targetsPerRequest = 100; // the maximum that the policy service accepts
// A policy admits a third of the targets or more, and other steps take some of the free capacity
// meanwhile. Each further target costs time of the service, and bytes on a link that start orders
// need too.
constexpr std::size_t targetsPerTask = 3;
constexpr std::size_t extraTargets = 15;
// For targets that cost 4 ms or more each: with six more, of which a third is admitted, a step that
// loses one of its places to another step has a second choice.
constexpr std::size_t extraCostlyTargets = 6;
constexpr std::size_t targetsPerCostlyCall = 20;
constexpr double costlyPerTargetMs = 4.0;
// Calls of a costly policy run in parallel, since one after the other they take seconds. A step
// uses only a share of the free callers, which leaves some to other steps.
constexpr std::size_t maxCostlyCalls = 3;
constexpr std::size_t freeCallersPerCall = 4;
// Tickets to renew, besides one for each member of a gang, or each task under a policy that is not
// costly.
constexpr std::size_t targetsPerRefresh = 8;
// If a call takes this long, tickets are renewed before there is capacity.
constexpr milliseconds slowAdmissionTime {300};
// A policy admits a third of the targets or more. So many steps make slow calls for one free place,
// which would stay free for another call if a single one is not admitted.
constexpr std::int64_t slowCallsPerFreePlace = 3;
constexpr milliseconds callLead {150}; // a pass, and the way of a call to its caller and back
constexpr milliseconds requestDelay {100}; // between requests of a step for further tickets

bool isCostly(const messages::work_queue &queue)
{
    return queue.admission().per_target_ms() >= costlyPerTargetMs;
}

bool isSlowPolicy(const messages::admission_policy &policy)
{
    return expectedAdmissionDuration(policy, 1) >= slowAdmissionTime;
}

/** @return how many calls for one step may run in parallel, by the callers that are free and that
    no other request of this pass gets */
std::size_t costlyCallLimit(const placement_pass &pass)
{
    const auto free =
        pass.calls.freeCallers - std::min(pass.calls.freeCallers, pass.calls.waitingSlow);
    return std::clamp<std::size_t>(free / freeCallersPerCall, 1, maxCostlyCalls);
}

/** @return whether a request was made */
bool requestAdmissionFor(placement_pass &pass, const pending_step &step, call_purpose purpose,
                         const std::vector<std::string> &targets)
{
    const auto perCall = isCostly(*step.queue) ? targetsPerCostlyCall : targetsPerRequest;
    if (!requestAdmission(pass.state, step.name, *step.queue,
                          {step.rank, step.isBeyondShare, step.place}, purpose, targets, perCall,
                          pass.now)) {
        return false;
    }
    for (std::size_t from = 0; from < targets.size(); from += perCall) {
        const auto duration = expectedAdmissionDuration(step.queue->admission(),
                                                        std::min(perCall, targets.size() - from));
        countCall(pass.calls, step.rank, duration <= maxQuickAdmissionTime, duration);
    }
    return true;
}

/** @return how many tasks fit into free resources, up to a maximum */
std::int64_t countFitting(const resource_amounts &need, const resource_amounts &free,
                          std::int64_t maxCount)
{
    const auto times = [&](std::int64_t needed, std::int64_t available) {
        return needed > 0 ? std::clamp<std::int64_t>(available / needed, 0, maxCount) : maxCount;
    };
    return std::min({times(need.milliCores, free.milliCores), times(need.memoryMb, free.memoryMb),
                     times(need.accelerators, free.accelerators)});
}

/** @return an amount rounded down by less than an eighth of itself */
std::int64_t roundedDown(std::int64_t amount)
{
    constexpr int precisionBits = 3;
    const auto bits = std::bit_width(static_cast<std::uint64_t>(std::max<std::int64_t>(amount, 0)));
    const auto shift = std::max(static_cast<int>(bits) - 1 - precisionBits, 0);
    return (amount >> shift) << shift;
}

/** @return the size that a task is counted as. Sizes of jobs differ in all digits, and counting the
    places for each of them would go through all targets for each step. */
task_size sizeOf(const resource_amounts &need, const messages::step_spec &spec)
{
    return {roundedDown(need.milliCores), roundedDown(need.memoryMb), need.accelerators,
            spec.required_label()};
}

/** @return the places for tasks of the step's size, counted once in a pass */
fitting_tasks &fittingTasksOf(const pending_step &step, service_view &service)
{
    constexpr std::int64_t maxPerTarget = 1'000;
    const auto &need = step.need;
    const auto [entry, isNew] =
        service.claims.bySize.emplace(sizeOf(need, *step.spec), fitting_tasks {});
    auto &fitting = entry->second;
    if (!isNew) {
        return fitting;
    }
    for (const auto &candidate : service.candidates) {
        if (!isEligible(step, candidate)) {
            continue;
        }
        fitting.isPossible = true;
        const auto count = countFitting(need, candidate.free, maxPerTarget);
        fitting.tasks += count;
        fitting.targets += count > 0 ? 1 : 0;
    }
    return fitting;
}

/** @return the maximum number of targets to name in a request
    @param waiting  tasks without a place */
std::size_t maxTargetsOf(const placement_pass &pass, const pending_step &step,
                         const fitting_tasks &fitting, std::size_t waiting, call_purpose purpose)
{
    if (purpose == call_purpose::Renewal) {
        return targetsPerRefresh + (step.spec->is_gang() || !isCostly(*step.queue) ? waiting : 0);
    }
    if (!isCostly(*step.queue)) {
        return std::min(targetsPerRequest, waiting * targetsPerTask + extraTargets);
    }
    const auto maxTargets = targetsPerCostlyCall * costlyCallLimit(pass);
    if (step.spec->is_gang()) {
        return maxTargets; // the members need tickets that are valid at the same time
    }
    const auto perTarget = static_cast<std::size_t>(
        std::max<std::int64_t>(fitting.targets > 0 ? fitting.tasks / fitting.targets : 1, 1));
    const auto neededTargets = (waiting + perTarget - 1) / perTarget;
    return std::min(maxTargets, neededTargets * targetsPerTask + extraCostlyTargets);
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
                                          call_purpose purpose, std::size_t maxTargets)
{
    constexpr double noCapacityCost = 1'000.0; // puts targets without capacity after all others
    std::vector<std::pair<double, std::size_t>> ranked;
    const auto consider = [&](std::size_t index) {
        const auto &candidate = service.candidates[index];
        ++pass.state.totals.rankedTargets;
        // A gang may get its capacity after the gangs that targets are reserved for now.
        const bool isPossible =
            step.spec->is_gang() ? isSuitable(step, candidate) : isEligible(step, candidate);
        const bool isWanted = isPossible
            && (purpose == call_purpose::Renewal
                || !view.requestedTargets.contains(candidate.target->id));
        if (isWanted) {
            const bool hasCapacity = hasCapacityFor(pass, step, service, candidate);
            ranked.emplace_back(
                fitCost(pass, step, candidate) + (hasCapacity ? 0.0 : noCapacityCost), index);
        }
    };
    if (purpose == call_purpose::Renewal) {
        for (const auto &[id, ticket] : view.tickets) {
            if (const auto index = candidateIndexOf(service, id, ticket)) {
                consider(*index);
            }
        }
    } else if (purpose == call_purpose::Further && knowsEnoughTargets(step, view)) {
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

/** @return the period from now in which a ticket that is requested now becomes usable and expires,
    halfway through */
milliseconds ticketHorizon(const messages::admission_policy &policy)
{
    return expectedAdmissionDuration(policy, targetsPerCostlyCall)
        + milliseconds {policy.ticket_ms() / 2};
}

/** Determines once in a pass what the runs of a service release before tickets expire. */
void estimateRelease(const placement_pass &pass, const pending_step &step, service_view &service)
{
    if (std::exchange(service.claims.isReleaseKnown, true)) {
        return;
    }
    const auto horizon = ticketHorizon(step.queue->admission());
    for (const bool hasAccelerators : {false, true}) {
        const auto found = pass.state.releases.find({step.queue->service(), hasAccelerators});
        if (found != pass.state.releases.end()) {
            service.claims.releasing[hasAccelerators] +=
                expectedRelease(found->second, horizon, pass.now);
        }
    }
}

/** Requests the tickets that bring the step nearest to a start.
    @return whether a request was made */
bool requestTickets(placement_pass &pass, const pending_step &step, service_view &service,
                    admission_view &view, std::size_t waiting)
{
    const auto request = [&](call_purpose purpose) {
        const auto maxTargets =
            maxTargetsOf(pass, step, fittingTasksOf(step, service), waiting, purpose);
        return requestAdmissionFor(
            pass, step, purpose, targetsToRequest(pass, step, service, view, purpose, maxTargets));
    };
    if (view.requestedTargets.empty()) {
        return request(call_purpose::First);
    }
    const auto &policy = step.queue->admission();
    bool isRequested = false;
    if (hasAdmittedCapacity(pass, step, service, view)) {
        isRequested = request(call_purpose::Renewal);
    } else {
        isRequested = request(call_purpose::Further);
        // Those of a gang expire all at once: see requestGangTickets().
        if (!isRequested && isSlowPolicy(policy) && !step.spec->is_gang()
            && !hasUsableTickets(pass, view, policy)) {
            isRequested = request(call_purpose::Renewal);
        }
    }
    view.nextRequestAt = pass.now + requestDelay;
    return isRequested;
}

/** Requests tickets for all targets that are reserved for a gang, in one call, so that they are
    valid together when it is expected to start. */
void requestGangTickets(placement_pass &pass, const pending_step &step,
                        const gang_reservation &reservation, const admission_view &view)
{
    const auto &policy = step.queue->admission();
    const auto startAt = std::max(reservation.expectedStartAt, pass.now);
    const auto duration = expectedAdmissionDuration(policy, reservation.members.size());
    if (startAt - pass.now > duration + callLead) {
        return;
    }
    std::vector<std::string> targets;
    bool areValid = true;
    for (const auto &[target, members] : reservation.members) {
        targets.push_back(target);
        const auto ticket = view.tickets.find(target);
        areValid = areValid && ticket != view.tickets.end()
            && isTicketUsable(pass.state, ticket->second, policy, startAt + callLead);
    }
    if (!areValid) {
        requestAdmissionFor(pass, step, call_purpose::Renewal, targets);
    }
}

/** Does the same for a gang as claimOrRequestTickets().
    @param canRequest  whether it may make a request now */
void claimOrRequestForGang(placement_pass &pass, const pending_step &step, service_view &service,
                           std::size_t waiting, bool canRequest)
{
    auto &view = pass.state.admissions[step.name];
    const auto *reservation = reservationOf(pass.state, step.name);
    if (reservation != nullptr) { // the others cannot use what is released singly
        service.claims.releasing[step.need.accelerators > 0] -= scaledBy(step.need, waiting);
    }
    if (!canRequest) {
        return;
    }
    if (reservation == nullptr) {
        requestTickets(pass, step, service, view, waiting);
        return;
    }
    requestGangTickets(pass, step, *reservation, view);
    const auto &fitting = fittingTasksOf(step, service);
    // A gang does not wait for its reserved targets while there is capacity elsewhere.
    if (view.pendingRequests == 0 && reservation->expectedStartAt > pass.now
        && fitting.tasks >= static_cast<std::int64_t>(waiting)) {
        requestTickets(pass, step, service, view, waiting);
    }
}

/** Whether a step may ask for tickets whatever the steps before it claim. Best-effort steps use
    capacity that no other step can have. Long-running steps are few, and would wait until the cell
    is no longer full. */
bool isExemptFromClaims(const messages::step_spec &spec)
{
    return spec.fills_gaps() || spec.lasts();
}

} // namespace

bool mayRequest(const call_budget &calls, int rank, const messages::admission_policy &policy)
{
    return mayRequestCall(calls, rank,
                          expectedAdmissionDuration(policy, 1) <= maxQuickAdmissionTime);
}

bool isCapacityClaimed(const service_view &service, const messages::step_spec &spec,
                       const messages::admission_policy &policy)
{
    if (isExemptFromClaims(spec)) {
        return false;
    }
    const auto found = service.claims.bySize.find(sizeOf(targetReservation(spec), spec));
    return found != service.claims.bySize.end() && found->second.isExhausted[isSlowPolicy(policy)];
}

bool hasUsableTickets(const placement_pass &pass, const admission_view &view,
                      const messages::admission_policy &policy)
{
    return view.newestTicketAt.ms > 0
        && isTicketUsable(pass.state, {{}, view.newestTicketAt}, policy, pass.now);
}

void claimOrRequestTickets(placement_pass &pass, const pending_step &step, service_view &service,
                           std::size_t waiting)
{
    auto &claims = service.claims;
    if (!step.queue->has_admission()) {
        claims.releasing[step.need.accelerators > 0] -= scaledBy(step.need, waiting);
        return;
    }
    static const admission_view unknown; // most steps that wait have made no request
    const auto *known = admissionOf(pass, step);
    const auto &view = known != nullptr ? *known : unknown;
    const bool hasTickets = hasUsableTickets(pass, view, step.queue->admission());
    const bool isWaitingForAnswer = view.pendingRequests > 0;
    const bool canRequest = !isWaitingForAnswer && pass.now >= view.nextRequestAt
        && mayRequest(pass.calls, step.rank, step.queue->admission());
    if (!canRequest && !isWaitingForAnswer && !hasTickets) {
        return;
    }
    estimateRelease(pass, step, service);
    if (step.spec->is_gang()) {
        claimOrRequestForGang(pass, step, service, waiting, canRequest);
        return;
    }
    auto &fitting = fittingTasksOf(step, service);
    const resource_amounts free {service.freeCores, 0, service.freeAccelerators};
    const bool isSlow = isSlowPolicy(step.queue->admission());
    auto claimable = claimableTasks(claims, step.need, static_cast<std::int64_t>(waiting), free,
                                    fitting, isSlow ? slowCallsPerFreePlace : 1);
    fitting.isExhausted[isSlow] = claimable.free == 0 && claimable.releasing == 0;
    const bool isInTurn = isExemptFromClaims(*step.spec) || claimable.free > 0
        || (claimable.releasing > 0 && (isSlow || view.requestedTargets.empty()));
    const bool isRequested = canRequest && isInTurn
        && requestTickets(pass, step, service, pass.state.admissions[step.name], waiting);
    if (!isRequested && !isWaitingForAnswer) {
        if (!hasTickets) {
            return;
        }
        claimable.free = 0; // its tickets are not for what is free
    }
    claimCapacity(claims, step.need, claimable, fitting);
}

bool isPrefetched(const messages::work_queue &queue)
{
    return queue.has_admission()
        && expectedAdmissionDuration(queue.admission(), targetsPerRequest) <= maxQuickAdmissionTime;
}

void prefetchTickets(placement_pass &pass, const pending_step &step)
{
    if (!isPrefetched(*step.queue) || !mayRequest(pass.calls, step.rank, step.queue->admission())) {
        return;
    }
    auto &admission = pass.state.admissions[step.name];
    if (!admission.requestedTargets.empty() || admission.pendingRequests > 0) {
        return;
    }
    auto &service = serviceOf(pass, step.queue->service());
    const auto purpose = call_purpose::First;
    const auto waiting = static_cast<std::size_t>(step.spec->count());
    const auto maxTargets =
        maxTargetsOf(pass, step, fittingTasksOf(step, service), waiting, purpose);
    requestAdmissionFor(pass, step, purpose,
                        targetsToRequest(pass, step, service, admission, purpose, maxTargets));
}

} // namespace filbert

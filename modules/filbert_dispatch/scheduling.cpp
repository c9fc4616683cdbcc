#include "scheduling.h"

#include "admission_requests.h"
#include "crash_suspects.h"
#include "gang_reservations.h"
#include "placement_pass.h"
#include "preemption.h"
#include "step_order.h"
#include "ticket_requests.h"

#include <algorithm>
#include <optional>

namespace filbert {

namespace {

// At most one target in so many is reserved for pending steps.
constexpr std::size_t targetsPerReservation = 4;
constexpr std::size_t maxUnplacedSteps = 48; // steps without capacity: 2 ms of processor time
// Of the steps beyond these, so many are tried in a pass, in turn; but each is tried in one of
// passesPerRetry passes at the most.
constexpr std::size_t maxRetriedSteps = 32;
constexpr std::size_t passesPerRetry = 8; // at most 0.3 s if passes are 40 ms apart
// Steps with tickets for targets without capacity, while others have some: 2 ms of processor time.
constexpr std::size_t maxMismatchedSteps = 200;
// Steps that are tried in vain, for whatever reason: 2 ms of processor time.
constexpr std::size_t maxFruitlessSteps = 100;
// A stop, the renewal of tickets and a start: nothing is stopped for a gang that starts before.
constexpr milliseconds preemptionTime {2'000};
constexpr double acceleratorWeight = 1e6; // accelerators count first, then thousandths of a core

/** @return the indices of the candidates with free resources on which the step is admitted now */
std::vector<std::size_t> admittedCandidates(const placement_pass &pass, const pending_step &step,
                                            const service_view &service)
{
    std::vector<std::size_t> indices;
    if (step.need.milliCores > service.maxFreeCores
        || step.need.accelerators > service.maxFreeAccelerators) {
        return indices;
    }
    const auto consider = [&](std::size_t index) {
        const auto &candidate = service.candidates[index];
        ++pass.state.totals.consideredCandidates;
        if (fits(step.need, candidate.free) && isEligible(step, candidate)) {
            indices.push_back(index);
        }
    };
    if (!step.queue->has_admission()) {
        for (std::size_t i = 0; i < service.candidates.size(); ++i) {
            consider(i);
        }
        return indices;
    }
    const auto *view = admissionOf(pass, step);
    if (view == nullptr) {
        return indices;
    }
    for (const auto &[id, ticket] : view->tickets) {
        const bool isUsable = isTicketUsable(pass.state, ticket, step.queue->admission(), pass.now);
        const auto index = isUsable ? candidateIndexOf(service, id, ticket) : std::nullopt;
        if (index) {
            consider(*index);
        }
    }
    return indices;
}

placement_candidate *bestCandidate(placement_pass &pass, const pending_step &step,
                                   service_view &service,
                                   const std::vector<std::size_t> &candidateIndices,
                                   const std::string_view *rack)
{
    placement_candidate *best = nullptr;
    double bestCost = 0;
    for (const auto index : candidateIndices) {
        auto &candidate = service.candidates[index];
        if ((rack != nullptr && candidate.rack != *rack)
            || !hasCapacityFor(pass, step, service, candidate)) {
            continue;
        }
        const auto cost = fitCost(pass, step, candidate);
        if (best == nullptr || cost < bestCost) {
            best = &candidate;
            bestCost = cost;
        }
    }
    return best;
}

void proposeStart(placement_pass &pass, const pending_step &step,
                  const placement_candidate &candidate, const task_name &task, std::uint32_t run,
                  const std::string &checkpoint)
{
    if (step.queue->has_admission()) {
        const auto *ticket =
            findUsableTicket(pass.state, *admissionOf(pass, step), step.queue->admission(),
                             candidate.target->id, pass.now);
        FILBERT_INVARIANT(ticket != nullptr, "a start under a policy has a ticket");
        const milliseconds validity {step.queue->admission().ticket_ms()};
        auto &issued = pass.state.admissions.at(step.name).tickets.at(candidate.target->id);
        issued.isUsed = true;
        pass.state.reservedTickets[task] = {*ticket, pass.now, issued.issuedAt + validity};
    }
    log_line {"placed"}
        .with("task", toString(task))
        .with("run", run)
        .with("target", candidate.target->id)
        .with("rank", step.rank)
        .with("slack_ms", step.slackMs)
        .with("room_milli_cores", candidate.free.milliCores)
        .with("heard_ms_ago", (pass.now - candidate.target->lastContactAt).count);
    if (needsTrial(*findTask(*pass.state.work, task))) {
        pass.state.suspectStarts[task] = candidate.target->id;
    }
    messages::work_command command;
    auto *start = command.mutable_start();
    *start->mutable_task() = toTaskReference(task);
    start->set_run(run);
    start->set_target(candidate.target->id);
    start->set_born(candidate.target->incarnation);
    start->set_checkpoint(checkpoint);
    pass.state.effects.commands.push_back(std::move(command));
    ++pass.state.totals.proposedStarts;
}

/** Reserves the targets with the most free resources for a step that found no capacity, so that
    work that ranks after it does not take them. */
void reserveCandidates(const placement_pass &pass, const pending_step &step, service_view &service,
                       std::size_t tasks)
{
    const auto maxReserved = service.availableCandidates / targetsPerReservation + 1;
    if (step.spec->fills_gaps() || step.rank >= lateRankOffset
        || service.reservedCandidates >= maxReserved) {
        return;
    }
    std::vector<std::pair<double, std::size_t>> ranked;
    const auto consider = [&](std::size_t index) {
        const auto &candidate = service.candidates[index];
        if (candidate.reservedRank == noReservation && isEligible(step, candidate)
            && !isColdAmongWarm(service, candidate)) {
            ranked.emplace_back(-static_cast<double>(candidate.free.accelerators)
                                        * acceleratorWeight
                                    - static_cast<double>(candidate.free.milliCores),
                                index);
        }
    };
    if (!step.queue->has_admission()) {
        for (std::size_t i = 0; i < service.candidates.size(); ++i) {
            consider(i);
        }
    } else if (const auto *view = admissionOf(pass, step)) {
        for (const auto &[id, ticket] : view->tickets) {
            if (const auto index = candidateIndexOf(service, id, ticket)) {
                consider(*index);
            }
        }
    }
    const auto count = std::min({tasks, ranked.size(), maxReserved - service.reservedCandidates});
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end());
    for (std::size_t i = 0; i < count; ++i) {
        service.candidates[ranked[i].second].reservedRank = step.rank;
    }
    service.reservedCandidates += count;
}

/** Counts a step that was not placed: for want of capacity, or with tickets for other targets than
    those with free capacity. A step without tickets counts as neither. */
void countUnplaced(placement_pass &pass, const pending_step &step, service_view &service)
{
    ++pass.state.totals.unplacedSteps;
    if (!fitsAnywhere(service, step.need) || !step.queue->has_admission()) {
        ++service.unplacedSteps;
    } else if (const auto *view = admissionOf(pass, step);
               view != nullptr && hasUsableTickets(pass, *view, step.queue->admission())) {
        ++service.mismatchedSteps;
    }
}

void placeTasks(placement_pass &pass, pending_step &step, service_view &service)
{
    const auto &record = *findStep(*pass.state.work, step.name);
    std::size_t unplaced = 0;
    std::size_t unplacedSuspects = 0; // they wait for a target of their own, others do not
    std::optional<std::vector<std::size_t>> candidateIndices;
    for (std::uint32_t i = 0; i < record.tasks.size(); ++i) {
        const auto &task = record.tasks[i];
        if (task.status != task_status::Waiting) {
            continue;
        }
        auto name = step.name;
        name.index = i;
        if (pass.state.reservedStarts.contains(name)) {
            continue;
        }
        if (!isWithinTeamCap(pass, step, 1)) {
            return; // only the cap of its team is in the way: nothing is reserved for it
        }
        if (!candidateIndices) {
            candidateIndices = admittedCandidates(pass, step, service);
        }
        step.isSuspect = needsTrial(task);
        auto &alreadyUnplaced = step.isSuspect ? unplacedSuspects : unplaced;
        auto *candidate = alreadyUnplaced == 0
            ? bestCandidate(pass, step, service, *candidateIndices, nullptr)
            : nullptr;
        if (candidate == nullptr) {
            ++alreadyUnplaced;
            continue;
        }
        proposeStart(pass, step, *candidate, name, task.run + 1, task.checkpoint);
        updateReservation(pass, step, service, *candidate, name, 1);
    }
    step.isSuspect = unplaced == 0 && unplacedSuspects > 0;
    if (unplaced > 0) {
        countUnplaced(pass, step, service);
        reserveCandidates(pass, step, service, unplaced);
    }
    if (unplaced + unplacedSuspects > 0) {
        claimOrRequestTickets(pass, step, service, unplaced + unplacedSuspects);
    }
}

using gang_placement = std::vector<std::pair<task_name, placement_candidate *>>;

/** Reserves a start for each member of a gang, or for none.
    @param rack  to stay in; nullptr = any */
gang_placement reserveGang(placement_pass &pass, pending_step &step, service_view &service,
                           const std::vector<std::size_t> &candidateIndices, std::size_t members,
                           const std::string_view *rack)
{
    const auto &tasks = findStep(*pass.state.work, step.name)->tasks;
    gang_placement plan;
    for (std::uint32_t i = 0; i < members; ++i) {
        auto name = step.name;
        name.index = i;
        step.isSuspect = needsTrial(tasks[i]);
        auto *candidate = bestCandidate(pass, step, service, candidateIndices, rack);
        if (candidate == nullptr) {
            for (const auto &[task, member] : plan) {
                step.isSuspect = needsTrial(tasks[task.index]);
                updateReservation(pass, step, service, *member, task, -1);
            }
            cancelTrials(pass, service, step.name.job);
            step.isSuspect = false;
            return {};
        }
        updateReservation(pass, step, service, *candidate, name, 1);
        plan.emplace_back(name, candidate);
    }
    step.isSuspect = false;
    return plan;
}

gang_placement planGangPlacement(placement_pass &pass, pending_step &step, service_view &service,
                                 std::size_t members)
{
    const auto candidateIndices = admittedCandidates(pass, step, service);
    if (step.spec->same_rack()) {
        std::set<std::string_view> racks;
        for (const auto index : candidateIndices) {
            racks.insert(service.candidates[index].rack);
        }
        for (const auto &rack : racks) {
            auto plan = reserveGang(pass, step, service, candidateIndices, members, &rack);
            if (!plan.empty()) {
                return plan;
            }
        }
    }
    return reserveGang(pass, step, service, candidateIndices, members, nullptr);
}

void placeGang(placement_pass &pass, pending_step &step, service_view &service)
{
    const auto &record = *findStep(*pass.state.work, step.name);
    if (record.runningTasks > 0 || pass.state.reservedStarts.contains(step.name)
        || !isWithinTeamCap(pass, step, record.tasks.size())) {
        return;
    }
    const auto plan = planGangPlacement(pass, step, service, record.tasks.size());
    if (plan.empty()) {
        countUnplaced(pass, step, service);
        const bool isLate = step.rank >= lateRankOffset;
        const auto *reservation = reservationOf(pass.state, step.name);
        const bool startsSoon =
            reservation != nullptr && reservation->expectedStartAt - pass.now <= preemptionTime;
        if (isLate || startsSoon || !preemptFor(pass, step, service, record.tasks.size())) {
            reserveForGang(pass, step, service, record.tasks.size());
        } else {
            endReservation(pass.state, step.name, "its capacity is preempted", pass.now);
        }
        claimOrRequestTickets(pass, step, service, record.tasks.size());
        return;
    }
    std::uint32_t run = 0;
    std::string checkpoint;
    for (const auto &task : record.tasks) {
        run = std::max(run, task.run + 1);
        checkpoint = checkpoint.empty() ? task.checkpoint : checkpoint;
    }
    for (const auto &[task, candidate] : plan) {
        proposeStart(pass, step, *candidate, task, run, checkpoint);
    }
    endReservation(pass.state, step.name, "the gang starts", pass.now);
    pass.state.gangPlans.erase(step.name);
}

/** Whether it is a step's turn in this pass: in one of passesPerRetry passes or, if many steps are
    pending, as often as a number of steps in each pass permits. */
bool isInTurn(const dispatch_state &state, const std::string &job, std::size_t pendingSteps,
              std::size_t stepsPerPass)
{
    const auto passes = std::max(passesPerRetry, pendingSteps / stepsPerPass);
    return (std::hash<std::string> {}(job) + state.totals.passes) % passes == 0;
}

/** Whether a step is tried although many steps before it have found no capacity: when it has new
    tickets, which expire soon, and otherwise in one of several passes. In a full cell, neither is
   of any use before something ends. */
bool isTriedInThisPass(dispatch_state &state, const task_name &step,
                       const messages::step_spec &spec, service_view &service,
                       std::size_t pendingSteps)
{
    if (!fitsAnywhere(service, targetReservation(spec))) {
        return false;
    }
    const auto view = state.admissions.find(step);
    return (view != state.admissions.end() && view->second.hasNewTickets)
        || isInTurn(state, step.job, pendingSteps, maxRetriedSteps);
}

bool isServiceBusy(const service_view &service)
{
    return service.unplacedSteps >= maxUnplacedSteps
        || service.mismatchedSteps >= maxMismatchedSteps
        || service.fruitlessSteps >= maxFruitlessSteps;
}

/** Whether a step can neither start nor request tickets in this pass: it has no tickets, and no
    request could still be sent, or the steps before it claim all that it could use. */
bool isIdleInPass(const placement_pass &pass, const service_view &service, const task_name &step,
                  const messages::step_spec &spec, const messages::work_queue &queue, int rank)
{
    if (!queue.has_admission()
        || (mayRequest(pass.calls, rank, queue.admission())
            && !isCapacityClaimed(service, spec, queue.admission()))) {
        return false;
    }
    const auto view = pass.state.admissions.find(step);
    return view == pass.state.admissions.end()
        || (view->second.pendingRequests == 0 && !view->second.hasNewTickets
            && !hasUsableTickets(pass, view->second, queue.admission()));
}

void placeStep(placement_pass &pass, const step_key &key, std::size_t place, service_view &service)
{
    auto &state = pass.state;
    const task_name name {*key.job, key.occurrence, key.step, 0};
    ++state.totals.triedSteps;
    auto step = pendingStepOf(state, pass.queues, name, *key.view, pass.now);
    step.isBeyondShare = key.isBeyondShare;
    step.place = place;
    if (const auto view = state.admissions.find(name); view != state.admissions.end()) {
        view->second.hasNewTickets = false;
    }
    if (dependsOnTaskCounts(*step.spec)) {
        step.tasksByTarget = countTasksByTarget(pass, step.name);
    }
    const auto startsBefore = state.totals.proposedStarts;
    const auto requestsBefore = state.pendingAdmissions.size();
    if (step.spec->is_gang()) {
        placeGang(pass, step, service);
    } else {
        placeTasks(pass, step, service);
    }
    const bool isFruitless = state.totals.proposedStarts == startsBefore
        && state.pendingAdmissions.size() == requestsBefore;
    service.fruitlessSteps += isFruitless ? 1 : 0;
}

/** Whether a pass leaves a step out: it cannot start, or other steps have found no capacity. */
bool isLeftOut(placement_pass &pass, const step_key &key, service_view &service,
               std::size_t pendingSteps)
{
    auto &state = pass.state;
    const bool isBusy = isServiceBusy(service);
    // Most steps of a long queue are left out by this check, which looks nothing up.
    const bool mayHaveNewTickets = key.view->mayHaveNewTickets;
    if (isBusy && !mayHaveNewTickets && !isInTurn(state, *key.job, pendingSteps, maxRetriedSteps)) {
        return !stepSpecOf(*key.record, key.step).is_gang()
            || !isGangDue(state, {*key.job, key.occurrence, key.step, 0}, pass.now);
    }
    const task_name name {*key.job, key.occurrence, key.step, 0};
    const auto &spec = stepSpecOf(*key.record, key.step);
    const bool isSkipped = isBusy ? !isTriedInThisPass(state, name, spec, service, pendingSteps)
                                  : isIdleInPass(pass, service, name, spec, *key.queue, key.rank);
    return isSkipped && !(spec.is_gang() && isGangDue(state, name, pass.now));
}

} // namespace

void placeWaitingTasks(dispatch_state &state, time_point now)
{
    withdrawUnsentRequests(state, now);
    placement_pass pass {state, now, queuesOf(state), {}, callBudget(state, now)};
    auto &totals = state.totals;
    ++totals.passes;
    const auto keys = pendingStepsInOrder(state, pass.queues, now);
    state.pendingStepCount = keys.size();
    totals.orderedSteps += keys.size();
    const messages::work_queue *lastQueue = nullptr;
    service_view *service = nullptr;
    for (std::size_t place = 0; place < keys.size(); ++place) {
        const auto &key = keys[place];
        if (std::exchange(lastQueue, key.queue) != key.queue) {
            service = &serviceOf(pass, key.queue->service());
        }
        if (!isLeftOut(pass, key, *service, keys.size())) {
            placeStep(pass, key, place, *service);
            state.jobs.at(*key.job).mayHaveNewTickets =
                key.view->pendingSteps.size() > 1 && key.view->mayHaveNewTickets;
        }
    }
    for (const auto &[id, view] : state.jobs) {
        if (view.upcomingSteps.empty() || !isPrefetched(queueOf(pass.queues, *view.record))) {
            continue;
        }
        for (const auto &[occurrence, step] : view.upcomingSteps) {
            auto upcoming = pendingStepOf(state, pass.queues, {id, occurrence, step, 0}, view, now);
            upcoming.place = keys.size();
            prefetchTickets(pass, upcoming);
        }
    }
}

} // namespace filbert

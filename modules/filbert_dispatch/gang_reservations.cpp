#include "gang_reservations.h"

#include "gang_plan.h"

#include <algorithm>
#include <vector>

namespace filbert {

namespace {

// At most one target in so many is reserved for gangs that wait. Other work goes on there until the
// gang can start, so that this is far more than what is idle.
constexpr std::size_t targetsPerReservation = 2;
// A run that has outlived its estimate is expected to take this part of it longer.
constexpr std::int64_t overdueDivisor = 8;
// From the end of a run until the leader knows of it: a poll is answered and committed by then.
constexpr milliseconds endDelay {100};
// A reservation ends this long after the expected start, or half of the expected wait if that is
// longer: by then the estimates have proved wrong.
constexpr milliseconds minLateness {1'000};
// A reservation that would wait longer is not made. Ends of runs further ahead are not known well:
// estimates are off by up to 0.9 of themselves, and other targets may be free long before.
constexpr milliseconds maxExpectedWait {8'000};
constexpr milliseconds planPeriod {250}; // between attempts to plan for one gang
constexpr std::size_t plansPerPass = 1; // each goes through the runs of all admitted targets

time_point expectedEnd(const placement_pass &pass, const run_view &run,
                       const messages::step_spec &spec)
{
    if (run.phase == run_phase::Stopping) {
        return pass.now + endDelay;
    }
    const auto startedAt = run.phase == run_phase::Started ? run.startedAt : pass.now;
    const auto end = startedAt + milliseconds {spec.estimate_ms()} + endDelay;
    return std::max(end, pass.now + milliseconds {spec.estimate_ms() / overdueDivisor});
}

gang_host hostOf(const placement_pass &pass, const placement_candidate &candidate,
                 std::size_t index, std::int64_t maxMembers)
{
    gang_host host {index, candidate.capacity, candidate.free, {}, maxMembers};
    for (const auto &[task, run] : candidate.target->runs) {
        const auto job = pass.state.work->jobs.find(task.job);
        if (job == pass.state.work->jobs.end()) {
            continue;
        }
        const auto &spec = stepSpecOf(job->second, task.step);
        if (!spec.lasts()) {
            host.releases.push_back({expectedEnd(pass, run, spec), targetReservation(spec)});
        }
    }
    return host;
}

/** Marks a target as reserved during this pass. */
void markReserved(const placement_pass &pass, service_view &service, const gang_host &host,
                  const task_name &step, const gang_reservation &reservation, std::size_t members)
{
    auto &candidate = service.candidates[host.index];
    if (candidate.reservedRank == noReservation) {
        ++service.reservedCandidates;
    }
    candidate.reservedRank = reservation.rank;
    candidate.reservedFor = step;
    // Other work must not make the gang later than planned, also if it is later already.
    const auto startAt = std::max(reservation.plannedStartAt, pass.now);
    candidate.reservedIn = startAt - pass.now;
    candidate.spare = expectedFree(host, startAt);
    candidate.spare -= scaledBy(reservation.need, members);
}

/** @return the free cores of a host, or those that correspond to its free accelerators if a member
    needs accelerators and there are fewer of these */
std::int64_t usableCores(const gang_host &host, const resource_amounts &need)
{
    const auto &free = host.free;
    return need.accelerators > 0
        ? std::min(free.milliCores, occupiedCores(host, {0, 0, free.accelerators}))
        : free.milliCores;
}

/** Updates the expected start of a gang, and counts what is idle for it.
    @return why the reservation has to end, or nothing */
std::string_view updateReservation(const placement_pass &pass, const service_view &service,
                                   gang_reservation &reservation)
{
    const auto elapsed = (pass.now - std::exchange(reservation.updatedAt, pass.now)).count;
    reservation.expectedStartAt = pass.now;
    for (const auto &[target, members] : reservation.members) {
        const auto index = candidateIndexOf(service, target);
        if (!index || !service.candidates[*index].isAvailable) {
            return "a target is not available";
        }
        const auto count = static_cast<std::int64_t>(members);
        const auto host = hostOf(pass, service.candidates[*index], *index, count);
        const auto at = timeForMembers(host, reservation.need, members, pass.now);
        if (!at) {
            return "a target will not have the capacity";
        }
        reservation.expectedStartAt = std::max(reservation.expectedStartAt, *at);
        const auto freeCores =
            std::max<std::int64_t>(std::min(usableCores(host, reservation.need),
                                            count * occupiedCores(host, reservation.need)),
                                   0);
        reservation.idleCoreMs += elapsed * freeCores;
    }
    if (reservation.idleCoreMs > reservation.maxIdleCoreMs) {
        return "too much is idle";
    }
    return std::max(reservation.expectedStartAt, pass.now) > reservation.endsAt
        ? "the start is later than expected"
        : "";
}

bool isPending(const dispatch_state &state, const task_name &step)
{
    const auto job = state.jobs.find(step.job);
    return job != state.jobs.end()
        && job->second.pendingSteps.contains({step.occurrence, step.step});
}

/** @return the targets that may be reserved for a gang */
std::vector<gang_host> possibleHosts(const placement_pass &pass, const pending_step &step,
                                     const service_view &service)
{
    std::vector<gang_host> hosts;
    const auto *view = admissionOf(pass, step);
    for (std::size_t i = 0; i < service.candidates.size(); ++i) {
        const auto &candidate = service.candidates[i];
        if (candidate.reservedFor.job.empty() && isEligible(step, candidate)
            && isAdmitted(step, view, candidate)) {
            hosts.push_back(hostOf(pass, candidate, i, remainingTasksAllowed(step, candidate)));
        }
    }
    return hosts;
}

bool hasLateReservation(const dispatch_state &state, const std::string &service)
{
    return std::any_of(
        state.gangReservations.begin(), state.gangReservations.end(),
        [&](const auto &each) { return each.second.isLate && each.second.service == service; });
}

/** @return the bound on what may be left idle for a gang: as much as its own work */
std::int64_t workOf(const gang_plan &plan, const std::vector<gang_host> &hosts,
                    const pending_step &step, std::size_t members)
{
    std::int64_t cores = 0;
    for (const auto &host : hosts) {
        if (host.index == plan.hosts.front().first) {
            cores = occupiedCores(host, step.need);
        }
    }
    return cores * static_cast<std::int64_t>(members) * step.spec->estimate_ms();
}

} // namespace

void applyReservations(placement_pass &pass, service_view &service, const std::string &name)
{
    std::vector<std::pair<task_name, std::string_view>> ended;
    for (auto &[step, reservation] : pass.state.gangReservations) {
        if (reservation.service != name) {
            continue;
        }
        const auto reason = isPending(pass.state, step)
            ? updateReservation(pass, service, reservation)
            : std::string_view {"the gang no longer waits"};
        if (!reason.empty()) {
            ended.emplace_back(step, reason);
            continue;
        }
        for (const auto &[target, members] : reservation.members) {
            const auto index = *candidateIndexOf(service, target);
            const auto host =
                hostOf(pass, service.candidates[index], index, static_cast<std::int64_t>(members));
            markReserved(pass, service, host, step, reservation, members);
        }
    }
    for (const auto &[step, reason] : ended) {
        endReservation(pass.state, step, reason, pass.now);
    }
    std::erase_if(pass.state.gangPlans,
                  [&](const auto &each) { return !isPending(pass.state, each.first); });
}

void reserveForGang(placement_pass &pass, const pending_step &step, service_view &service,
                    std::size_t members)
{
    auto &state = pass.state;
    const bool isLate = step.rank >= lateRankOffset;
    auto &attempt = state.gangPlans[step.name];
    if (state.gangReservations.contains(step.name) || step.spec->fills_gaps()
        || pass.now < attempt.nextAt || service.gangPlans >= plansPerPass
        || (isLate && hasLateReservation(state, step.queue->service()))) {
        return;
    }
    const auto maxReserved = service.availableCandidates / targetsPerReservation + 1;
    if (service.reservedCandidates >= maxReserved) {
        return;
    }
    ++service.gangPlans;
    attempt.nextAt = pass.now + planPeriod;
    const auto hosts = possibleHosts(pass, step, service);
    const auto plan = planGang(hosts, step.need, members, pass.now);
    if (!plan || plan->startAt - pass.now > maxExpectedWait
        || service.reservedCandidates + plan->hosts.size() > maxReserved) {
        return;
    }
    const auto maxIdle = workOf(*plan, hosts, step, members) - attempt.idleCoreMs;
    if (plan->idleCoreMs > maxIdle) {
        return;
    }
    gang_reservation reservation;
    reservation.service = step.queue->service();
    reservation.need = step.need;
    reservation.rank = step.queue->priority();
    reservation.isLate = isLate;
    reservation.madeAt = pass.now;
    reservation.updatedAt = pass.now;
    reservation.plannedStartAt = plan->startAt;
    reservation.expectedStartAt = plan->startAt;
    const milliseconds halfWait {(plan->startAt - pass.now).count / 2};
    reservation.endsAt = plan->startAt + std::max(minLateness, halfWait);
    reservation.maxIdleCoreMs = maxIdle;
    for (const auto &[index, count] : plan->hosts) {
        reservation.members[service.candidates[index].target->id] = count;
    }
    const auto entry = state.gangReservations.emplace(step.name, std::move(reservation)).first;
    for (const auto &host : hosts) {
        const auto found = entry->second.members.find(service.candidates[host.index].target->id);
        if (found != entry->second.members.end()) {
            markReserved(pass, service, host, entry->first, entry->second, found->second);
        }
    }
    ++state.totals.gangReservations;
    log_line {"gang_reservation"}
        .with("step", stepToString(step.name))
        .with("members", members)
        .with("targets", plan->hosts.size())
        .with("starts_in_ms", (plan->startAt - pass.now).count)
        .with("idle_core_ms", plan->idleCoreMs / 1'000)
        .with("max_idle_core_ms", maxIdle / 1'000)
        .with("ends_in_ms", (entry->second.endsAt - pass.now).count);
}

void endReservation(dispatch_state &state, const task_name &step, std::string_view reason,
                    time_point now)
{
    const auto ended = state.gangReservations.extract(step);
    if (!ended) {
        return;
    }
    const auto &reservation = ended.mapped();
    state.gangPlans[step].idleCoreMs += reservation.idleCoreMs;
    state.totals.gangIdleCoreMs += static_cast<std::uint64_t>(reservation.idleCoreMs) / 1'000;
    log_line {"gang_reservation_ended"}
        .with("step", stepToString(step))
        .with("reason", reason)
        .with("held_ms", (now - reservation.madeAt).count)
        .with("idle_core_ms", reservation.idleCoreMs / 1'000);
}

bool isGangDue(const dispatch_state &state, const task_name &step, time_point now)
{
    if (state.gangReservations.contains(step)) {
        return true;
    }
    const auto attempt = state.gangPlans.find(step);
    return attempt == state.gangPlans.end() || now >= attempt->second.nextAt;
}

const gang_reservation *reservationOf(const dispatch_state &state, const task_name &step)
{
    const auto found = state.gangReservations.find(step);
    return found == state.gangReservations.end() ? nullptr : &found->second;
}

} // namespace filbert

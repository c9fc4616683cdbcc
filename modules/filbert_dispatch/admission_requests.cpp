#include "admission_requests.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <utility>

namespace filbert {

namespace {

// A process without contact for this long, three missed hellos, gets no requests.
constexpr milliseconds callerTimeout {1'500};
constexpr milliseconds answerGracePeriod {250}; // added to the expected duration: many round trips
// One of this many callers in contact is kept free for quick policies.
constexpr std::size_t callersPerQuickCaller = 3;
// A request that still waits for a caller after this time, several times the duration of a call, is
// logged. If it is a slow one, see starvedRequest().
constexpr milliseconds longAdmissionWait {2'000};
constexpr milliseconds waitLogPeriod {1'000}; // bounds the lines about requests that wait
// For each level by which its rank is lower, a request counts as made this much later. It thus
// precedes more urgent requests that are made after that time. Otherwise gangs that renew their
// tickets all the time would keep work of lower priority from any call.
constexpr milliseconds agePerRank {500};

/** A caller that can get a request, by the time until which it has work. */
using available_caller = std::pair<time_point, std::string>;

bool isInContact(const admission_caller &caller, time_point now)
{
    return !caller.isAvoided && now - caller.lastContactAt < callerTimeout;
}

/** @return how many callers are kept free for quick calls: a share of those in contact, which is
    never all of them */
std::size_t countKeptFree(const dispatch_state &state, time_point now)
{
    const auto inContact =
        std::count_if(state.callers.begin(), state.callers.end(),
                      [&](const auto &each) { return isInContact(each.second, now); });
    return static_cast<std::size_t>(inContact) / callersPerQuickCaller;
}

/** @return the callers that are in contact and have at most a certain amount of work left, those
    with the least first */
std::vector<available_caller> availableCallers(const dispatch_state &state, time_point now,
                                               milliseconds maxQueuedTime)
{
    std::vector<available_caller> available;
    for (const auto &[name, caller] : state.callers) {
        const auto freeAt = caller.pendingRequests.empty() ? now : std::max(caller.busyUntil, now);
        const bool isFree = caller.pendingRequests.empty() || freeAt - now < maxQueuedTime;
        if (isFree && isInContact(caller, now)) {
            available.emplace_back(freeAt, name);
        }
    }
    std::sort(available.begin(), available.end());
    return available;
}

std::size_t countFreeCallers(const std::vector<available_caller> &available,
                             const dispatch_state &state)
{
    return static_cast<std::size_t>(
        std::count_if(available.begin(), available.end(), [&](const auto &each) {
            return state.callers.at(each.second).pendingRequests.empty();
        }));
}

void releaseCaller(dispatch_state &state, const std::string &caller, std::uint64_t id)
{
    const auto found = state.callers.find(caller);
    if (found != state.callers.end()) {
        found->second.pendingRequests.erase(id);
    }
}

bool isStillNeeded(const dispatch_state &state, const task_name &step)
{
    const auto job = state.jobs.find(step.job);
    const std::pair<std::uint32_t, std::uint32_t> which {step.occurrence, step.step};
    return job != state.jobs.end()
        && (job->second.pendingSteps.contains(which) || job->second.upcomingSteps.contains(which));
}

void sendToCaller(dispatch_state &state, const std::string &caller, std::uint64_t id,
                  pending_admission &pending, time_point now)
{
    auto &called = state.callers[caller];
    const auto begin = called.pendingRequests.empty() ? now : std::max(called.busyUntil, now);
    pending.caller = caller;
    pending.sentAt = now;
    pending.expectedAt = begin + pending.expectedDuration;
    called.busyUntil = pending.expectedAt;
    called.pendingRequests.insert(id);
    admission_call call;
    call.caller = caller;
    call.request.set_id(id);
    *call.request.mutable_step() = toTaskReference(pending.step);
    for (const auto &target : pending.targets) {
        call.request.add_targets(target);
    }
    state.effects.admissions.push_back(std::move(call));
}

/** Discards a request of a step that no longer needs it; there was no answer. */
void discardRequest(dispatch_state &state, const task_name &step)
{
    const auto view = state.admissions.find(step);
    if (view != state.admissions.end() && --view->second.pendingRequests == 0) {
        state.admissions.erase(view);
    }
}

void reviewPending(dispatch_state &state, time_point now)
{
    // Answers may have arrived while this process did something else.
    const auto sinceReview = now - std::exchange(state.lastAdmissionReviewAt, now);
    const auto gracePeriod = answerGracePeriod + sinceReview;
    for (auto entry = state.pendingAdmissions.begin(); entry != state.pendingAdmissions.end();) {
        auto &[id, pending] = *entry;
        const bool isOverdue = !pending.caller.empty() && now - pending.expectedAt > gracePeriod;
        const bool isNeeded = isStillNeeded(state, pending.step);
        if (isOverdue) {
            log_line {"admission_unanswered", log_line::severity::Warning}
                .with("step", stepToString(pending.step))
                .with("caller", pending.caller);
            const auto caller = state.callers.find(pending.caller);
            if (caller != state.callers.end()) {
                caller->second.isAvoided = true;
            }
            releaseCaller(state, pending.caller, id);
            pending.caller.clear();
        }
        if (pending.caller.empty() && !isNeeded) {
            discardRequest(state, pending.step);
            entry = state.pendingAdmissions.erase(entry);
            continue;
        }
        ++entry;
    }
}

bool isQuick(const pending_admission &pending)
{
    return pending.expectedDuration <= maxQuickAdmissionTime;
}

/** @return the id of the slow request that has waited for a caller longest, if that is long and no
    slow one has a caller; else 0. Quick ones could keep it waiting for ever. */
std::uint64_t starvedRequest(const dispatch_state &state, time_point now)
{
    std::uint64_t oldest = 0;
    for (const auto &[id, pending] : state.pendingAdmissions) {
        if (isQuick(pending)) {
            continue;
        }
        if (!pending.caller.empty()) {
            return 0;
        }
        if (now - pending.requestedAt >= longAdmissionWait
            && (oldest == 0
                || pending.requestedAt < state.pendingAdmissions.at(oldest).requestedAt)) {
            oldest = id;
        }
    }
    return oldest;
}

/** Forgets callers that are silent. Each registers itself again with its next hello. */
void eraseSilentCallers(dispatch_state &state, time_point now)
{
    std::erase_if(state.callers, [&](const auto &each) {
        const auto &caller = each.second;
        return now - caller.lastContactAt >= callerTimeout && caller.pendingRequests.empty();
    });
}

/** Logs the request that has waited longest for a caller, if that is long. */
void logLongWait(dispatch_state &state, time_point now)
{
    if (now < state.nextAdmissionWaitLogAt) {
        return;
    }
    const pending_admission *oldest = nullptr;
    std::size_t count = 0;
    for (const auto &[id, pending] : state.pendingAdmissions) {
        if (!pending.caller.empty() || now - pending.requestedAt < longAdmissionWait) {
            continue;
        }
        ++count;
        if (oldest == nullptr || pending.requestedAt < oldest->requestedAt) {
            oldest = &pending;
        }
    }
    if (oldest == nullptr) {
        return;
    }
    state.nextAdmissionWaitLogAt = now + waitLogPeriod;
    log_line {"admission_waits", log_line::severity::Warning}
        .with("step", stepToString(oldest->step))
        .with("waited_ms", (now - oldest->requestedAt).count)
        .with("expected_ms", oldest->expectedDuration.count)
        .with("waiting", count)
        .with("callers", state.callers.size())
        .with("free", countFreeCallers(availableCallers(state, now, {}), state))
        .with("kept_free", countKeptFree(state, now));
}

} // namespace

std::size_t countSpareCallers(const dispatch_state &state, time_point now)
{
    const auto free = countFreeCallers(availableCallers(state, now, {}), state);
    const auto keptFree = countKeptFree(state, now);
    return free > keptFree ? free - keptFree : 0;
}

milliseconds expectedAdmissionDuration(const messages::admission_policy &policy,
                                       std::size_t targets)
{
    return {
        std::llround(policy.decide_ms() + policy.per_target_ms() * static_cast<double>(targets))};
}

bool isTicketUsable(const dispatch_state &state, const admission_view::ticket &ticket,
                    const messages::admission_policy &policy, time_point now)
{
    const milliseconds validity {policy.ticket_ms()};
    const auto &settings = state.settings;
    const milliseconds maxMargin {validity.count / settings.maxTicketMarginDivisor};
    const auto margin = answerTimeout(state.placementTime, settings.ticketMargin,
                                      std::max(settings.ticketMargin, maxMargin));
    return now - ticket.issuedAt < validity - margin;
}

const std::string *findUsableTicket(const dispatch_state &state, const admission_view &view,
                                    const messages::admission_policy &policy,
                                    const std::string &target, time_point now)
{
    const auto found = view.tickets.find(target);
    const bool isUsable =
        found != view.tickets.end() && isTicketUsable(state, found->second, policy, now);
    return isUsable ? &found->second.text : nullptr;
}

void requestAdmission(dispatch_state &state, const task_name &step,
                      const messages::work_queue &queue, int rank,
                      const std::vector<std::string> &targets, std::size_t maxPerCall,
                      time_point now)
{
    auto &view = state.admissions[step];
    if (view.pendingRequests > 0 || now < view.nextRequestAt) {
        return;
    }
    for (std::size_t from = 0; from < targets.size(); from += maxPerCall) {
        const auto first = targets.begin() + static_cast<std::ptrdiff_t>(from);
        const auto count = std::min(maxPerCall, targets.size() - from);
        ++view.pendingRequests;
        auto &pending = state.pendingAdmissions[++state.lastAdmissionId];
        pending.step = step;
        pending.expectedDuration = expectedAdmissionDuration(queue.admission(), count);
        pending.targets.assign(first, first + static_cast<std::ptrdiff_t>(count));
        pending.rank = rank;
        pending.requestedAt = now;
        state.areAdmissionsDue = true;
    }
}

void registerCaller(dispatch_state &state, const std::string &name, std::uint64_t process,
                    time_point now)
{
    auto &caller = state.callers[name];
    if (!isInContact(caller, now) || caller.process != process) {
        state.areAdmissionsDue = true; // it can be called again
    }
    if (std::exchange(caller.process, process) != process) {
        for (auto &[id, pending] : state.pendingAdmissions) {
            if (pending.caller == name) {
                pending.caller.clear(); // tickAdmissions() sends it to another
            }
        }
        caller.pendingRequests.clear();
    }
    caller.lastContactAt = now;
    caller.isAvoided = false;
}

void unregisterCaller(dispatch_state &state, const std::string &name)
{
    state.callers.erase(name);
}

void handleAdmissionAnswer(dispatch_state &state, const messages::admission_answer &answer,
                           time_point now)
{
    const auto found = state.pendingAdmissions.find(answer.id());
    if (found == state.pendingAdmissions.end()) {
        return;
    }
    auto &pending = found->second;
    state.areAdmissionsDue = true;
    releaseCaller(state, pending.caller, answer.id());
    if (!answer.is_answered()) {
        pending.caller.clear(); // tickAdmissions() sends it to another
        return;
    }
    auto &view = state.admissions[pending.step];
    --view.pendingRequests;
    view.requestedTargets.insert(pending.targets.begin(), pending.targets.end());
    view.hasNewTickets = true;
    for (const auto &ticket : answer.admitted()) {
        view.tickets[ticket.target()] = {ticket.ticket(), now, 0, {}};
    }
    log_line {"admission"}
        .with("step", stepToString(pending.step))
        .with("caller", pending.caller)
        .with("asked", pending.targets.size())
        .with("admitted", answer.admitted_size())
        .with("took_ms", (now - pending.sentAt).count);
    if (view.pendingRequests == 0 && !state.jobs.contains(pending.step.job)) {
        state.admissions.erase(pending.step); // the job has ended meanwhile
    }
    state.pendingAdmissions.erase(found);
    state.isPassDue = true;
}

void tickAdmissions(dispatch_state &state, time_point now)
{
    if (!std::exchange(state.areAdmissionsDue, false) && now < state.nextAdmissionReviewAt) {
        return;
    }
    state.nextAdmissionReviewAt = now + state.settings.admissionReviewPeriod;
    ++state.admissionReviews;
    reviewPending(state, now);
    eraseSilentCallers(state, now);
    const auto starved = starvedRequest(state, now);
    std::vector<std::pair<time_point, std::uint64_t>> waiting; // by the time that decides the order
    for (const auto &[id, pending] : state.pendingAdmissions) {
        if (pending.caller.empty()) {
            const milliseconds handicap {agePerRank.count * pending.rank};
            waiting.emplace_back(id == starved ? time_point {} : pending.requestedAt + handicap,
                                 id);
        }
    }
    if (waiting.empty()) {
        return;
    }
    std::sort(waiting.begin(), waiting.end());
    const auto available = availableCallers(state, now, state.settings.maxQueuedAdmissionTime);
    auto freeCount = countFreeCallers(available, state);
    const auto keptFree = countKeptFree(state, now);
    std::priority_queue<available_caller, std::vector<available_caller>, std::greater<>> callers {
        std::greater<> {}, available};
    for (const auto &[time, id] : waiting) {
        if (callers.empty()) {
            break;
        }
        auto &pending = state.pendingAdmissions[id];
        if (!isQuick(pending) && id != starved && freeCount <= keptFree) {
            continue;
        }
        const auto name = callers.top().second;
        callers.pop();
        freeCount -= state.callers[name].pendingRequests.empty() ? 1 : 0;
        sendToCaller(state, name, id, pending, now);
        const auto freeAt = state.callers[name].busyUntil;
        if (freeAt - now < state.settings.maxQueuedAdmissionTime) {
            callers.emplace(freeAt, name);
        }
    }
    logLongWait(state, now);
}

} // namespace filbert

#include "admission_callers.h"
#include "admission_requests.h"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <tuple>
#include <utility>

namespace filbert {

namespace {

constexpr milliseconds answerGracePeriod {250}; // added to the expected duration: many round trips
// A request that still waits for a caller after this time, several times the duration of a call, is
// logged.
constexpr milliseconds longAdmissionWait {2'000};
constexpr milliseconds waitLogPeriod {1'000}; // bounds the lines about requests that wait
// A request that has waited this long for each level of its rank goes first, if no other call of
// its rank and speed is under way. Otherwise gangs that renew their tickets all the time would keep
// work of lower priority from any call.
constexpr milliseconds maxWaitPerRank {500};
// While quick calls are made, a slow one takes no caller if no other caller is then expected to be
// free within this time, a part of the shortest objectives. With many callers that is never so.
constexpr milliseconds maxQuickWait {100};
constexpr milliseconds quickTrafficWindow {1'000}; // quick calls are made if the last is so recent
constexpr std::size_t maxCallTargets = 20; // that a call under a costly policy names

bool isStillNeeded(const dispatch_state &state, const task_name &step)
{
    const auto job = state.jobs.find(step.job);
    const std::pair<std::uint32_t, std::uint32_t> which {step.occurrence, step.step};
    return job != state.jobs.end()
        && (job->second.pendingSteps.contains(which) || job->second.upcomingSteps.contains(which));
}

/** Counts a call by its purpose. */
void countCall(dispatch_totals &totals, const pending_admission &pending)
{
    switch (pending.purpose) {
    case call_purpose::First:
        ++totals.firstRequests;
        break;
    case call_purpose::Further:
        ++totals.furtherRequests;
        break;
    case call_purpose::Renewal:
        ++totals.renewals;
        break;
    }
    totals.namedTargets += pending.targets.size();
}

void sendToCaller(dispatch_state &state, const std::string &caller, pending_admission &pending,
                  time_point now)
{
    auto &called = state.callers[caller];
    const auto begin = expectedFreeAt(called, now);
    if (!std::exchange(pending.wasSent, true)) {
        countCall(state.totals, pending);
    }
    if (const auto view = state.admissions.find(pending.step); view != state.admissions.end()) {
        view->second.waitsSince = {};
    }
    pending.caller = caller;
    pending.sentAt = now;
    pending.expectedAt = begin + pending.expectedDuration;
    called.busyUntil = pending.expectedAt;
    called.pendingRequests.insert(pending.id);
    admission_call call;
    call.caller = caller;
    call.request.set_id(pending.id);
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

/** @return the longest expected duration of a call under any policy */
milliseconds longestCall(const dispatch_state &state)
{
    milliseconds longest;
    for (const auto &queue : state.work->configuration.queues()) {
        longest = std::max(longest, expectedAdmissionDuration(queue.admission(), maxCallTargets));
    }
    return longest;
}

/** Whether a call may have waited for one that the caller makes for an earlier leader, of which
    this one does not know. */
bool mayWaitForEarlierLeader(const dispatch_state &state, const pending_admission &pending,
                             milliseconds longestCall)
{
    return state.term > 1 && pending.sentAt - state.leadingSince <= longestCall;
}

void reviewPending(dispatch_state &state, time_point now)
{
    const auto longest = longestCall(state);
    // Answers may have arrived while this process did something else.
    const auto sinceReview = now - std::exchange(state.lastAdmissionReviewAt, now);
    const auto gracePeriod = answerGracePeriod + sinceReview;
    for (auto entry = state.pendingAdmissions.begin(); entry != state.pendingAdmissions.end();) {
        auto &[id, pending] = *entry;
        const auto earlierCalls =
            mayWaitForEarlierLeader(state, pending, longest) ? longest : milliseconds {};
        const bool isOverdue =
            !pending.caller.empty() && now - pending.expectedAt > gracePeriod + earlierCalls;
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

/** The waiting requests in the order in which they get callers. */
using waiting_requests = std::vector<pending_admission *>;

/** Requests of one rank that are quick or not. */
using request_kind = std::pair<int, bool>;

request_kind kindOf(const pending_admission &pending)
{
    return {pending.order.rank, isQuick(pending)};
}

/** @return for each kind of request without a call under way: the one that has waited longest, if
    that is too long */
std::set<const pending_admission *> overdueRequests(const dispatch_state &state, time_point now)
{
    std::map<request_kind, const pending_admission *> oldest; // nullptr = a call is under way
    for (const auto &[id, pending] : state.pendingAdmissions) {
        const auto [entry, isNew] = oldest.emplace(kindOf(pending), &pending);
        if (!pending.caller.empty()) {
            entry->second = nullptr;
        } else if (entry->second != nullptr && pending.waitsSince < entry->second->waitsSince) {
            entry->second = &pending;
        }
    }
    std::set<const pending_admission *> overdue;
    for (const auto &[kind, pending] : oldest) {
        const milliseconds maxWait {maxWaitPerRank.count * std::max(kind.first, 1)};
        if (pending != nullptr && now - pending->waitsSince >= maxWait) {
            overdue.insert(pending);
        }
    }
    return overdue;
}

/** @return the requests without a caller: first those that have waited too long, then in the order
    of the last pass. Of equal ones, quick calls go before slow ones, which they delay little. */
waiting_requests waitingRequests(dispatch_state &state,
                                 const std::set<const pending_admission *> &overdue, time_point now)
{
    waiting_requests waiting;
    for (auto &[id, pending] : state.pendingAdmissions) {
        if (pending.caller.empty()) {
            waiting.push_back(&pending);
        }
    }
    const auto keyOf = [&](const pending_admission *each) {
        const auto &order = each->order;
        const bool goesFirst =
            overdue.contains(each) && (isQuick(*each) || now >= state.nextOverdueCallAt);
        return std::tuple {!goesFirst, order.rank, order.isBeyondShare, !isQuick(*each),
                           order.place};
    };
    std::stable_sort(waiting.begin(), waiting.end(),
                     [&](const auto *a, const auto *b) { return keyOf(a) < keyOf(b); });
    return waiting;
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
void logLongWait(dispatch_state &state, const waiting_requests &waiting, time_point now)
{
    if (now < state.nextAdmissionWaitLogAt) {
        return;
    }
    const pending_admission *oldest = nullptr;
    std::size_t count = 0;
    for (const auto *pending : waiting) {
        if (!pending->caller.empty() || now - pending->waitsSince < longAdmissionWait) {
            continue;
        }
        ++count;
        if (oldest == nullptr || pending->waitsSince < oldest->waitsSince) {
            oldest = pending;
        }
    }
    if (oldest == nullptr) {
        return;
    }
    state.nextAdmissionWaitLogAt = now + waitLogPeriod;
    log_line {"admission_waits", log_line::severity::Warning}
        .with("step", stepToString(oldest->step))
        .with("waited_ms", (now - oldest->waitsSince).count)
        .with("expected_ms", oldest->expectedDuration.count)
        .with("waiting", count)
        .with("callers", state.callers.size())
        .with("free", countFreeCallers(availableCallers(state, now, {}), state));
}

/** Counts the time since the last review in which callers were idle. */
void countIdleTime(dispatch_state &state, time_point now)
{
    const auto elapsed = static_cast<std::uint64_t>(
        std::max<std::int64_t>((now - state.lastAdmissionReviewAt).count, 0));
    if (state.lastAdmissionReviewAt.ms > 0) {
        state.totals.idleCallerMs += elapsed * state.idleCallers;
        state.totals.needlesslyIdleCallerMs +=
            state.areRequestsWaiting ? elapsed * state.idleCallers : 0;
    }
}

/** Gives callers to waiting requests. */
class caller_assignment
{
public:
    caller_assignment(dispatch_state &state, time_point now)
        : state {state}
        , now {now}
        , areQuickCallsMade {state.lastQuickCallAt.ms > 0
                             && now - state.lastQuickCallAt < quickTrafficWindow}
    {
        for (const auto &[name, caller] : state.callers) {
            if (isInContact(caller, now)) {
                freeTimes.insert(expectedFreeAt(caller, now));
            }
        }
        for (auto &each : availableCallers(state, now, state.settings.maxQueuedAdmissionTime)) {
            callers.push(std::move(each));
        }
    }

    bool hasCaller() const { return !callers.empty(); }

    /** Whether a slow call would leave no caller for quick ones soon. */
    bool delaysQuickCalls() const
    {
        const auto nextFree = std::next(freeTimes.begin()); // besides the one that takes the call
        return areQuickCallsMade && (nextFree == freeTimes.end() || *nextFree - now > maxQuickWait);
    }

    void send(pending_admission &pending)
    {
        const auto [freeAt, name] = callers.top();
        callers.pop();
        sendToCaller(state, name, pending, now);
        const auto busyUntil = state.callers[name].busyUntil;
        freeTimes.erase(freeTimes.find(freeAt));
        freeTimes.insert(busyUntil);
        if (busyUntil - now < state.settings.maxQueuedAdmissionTime) {
            callers.emplace(busyUntil, name);
        }
    }

private:
    dispatch_state &state;
    time_point now;
    bool areQuickCallsMade;
    std::multiset<time_point> freeTimes; // of all callers in contact
    std::priority_queue<available_caller, std::vector<available_caller>, std::greater<>> callers;
};

} // namespace

void tickAdmissions(dispatch_state &state, time_point now)
{
    if (!std::exchange(state.areAdmissionsDue, false) && now < state.nextAdmissionReviewAt) {
        return;
    }
    state.nextAdmissionReviewAt = now + state.settings.admissionReviewPeriod;
    ++state.admissionReviews;
    countIdleTime(state, now);
    reviewPending(state, now);
    eraseSilentCallers(state, now);
    const auto overdue = overdueRequests(state, now);
    const auto waiting = waitingRequests(state, overdue, now);
    caller_assignment callers {state, now};
    for (auto *pending : waiting) {
        if (!callers.hasCaller()) {
            break;
        }
        const bool delaysQuickCalls = !isQuick(*pending) && callers.delaysQuickCalls();
        if (delaysQuickCalls && (!overdue.contains(pending) || now < state.nextOverdueCallAt)) {
            continue;
        }
        if (delaysQuickCalls) { // half of the time is left to quick calls
            state.nextOverdueCallAt = now + pending->expectedDuration + pending->expectedDuration;
        }
        callers.send(*pending);
    }
    state.idleCallers = countFreeCallers(availableCallers(state, now, {}), state);
    state.areRequestsWaiting = std::any_of(waiting.begin(), waiting.end(), [](const auto *pending) {
        return pending->caller.empty();
    });
    logLongWait(state, waiting, now);
}

} // namespace filbert

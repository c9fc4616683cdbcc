#include "admission_requests.h"

#include "admission_callers.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace filbert {

namespace {

// A request without a caller is withdrawn after this time, and the next pass makes those that are
// needed then: a longer queue would be in the order of the past.
constexpr milliseconds bindingPeriod {100};
// A step that makes no request for this long after one was withdrawn waits anew.
constexpr milliseconds maxWaitGap {1'000};
constexpr milliseconds budgetPeriod {150}; // passes are 100 ms apart at the most, and take time

} // namespace

call_budget callBudget(const dispatch_state &state, time_point now)
{
    call_budget budget;
    for (const auto &[name, caller] : state.callers) {
        if (!isInContact(caller, now)) {
            continue;
        }
        const auto spare = budgetPeriod.count - (expectedFreeAt(caller, now) - now).count;
        budget.callerMs += static_cast<double>(std::max<std::int64_t>(spare, 0));
        budget.freeCallers += caller.pendingRequests.empty() ? 1 : 0;
    }
    for (const auto &[id, pending] : state.pendingAdmissions) {
        if (pending.caller.empty()) {
            countCall(budget, pending.order.rank, isQuick(pending), pending.expectedDuration);
        }
    }
    return budget;
}

void withdrawUnsentRequests(dispatch_state &state, time_point now)
{
    std::erase_if(state.pendingAdmissions, [&](const auto &each) {
        const auto &pending = each.second;
        if (pending.wasSent || now - pending.requestedAt < bindingPeriod) {
            return false;
        }
        const auto view = state.admissions.find(pending.step);
        if (view != state.admissions.end()) {
            --view->second.pendingRequests;
            view->second.withdrawnAt = now;
        }
        ++state.totals.withdrawnRequests;
        return true;
    });
}

std::size_t callsUnderWay(const dispatch_state &state)
{
    return static_cast<std::size_t>(
        std::count_if(state.pendingAdmissions.begin(), state.pendingAdmissions.end(),
                      [](const auto &each) { return !each.second.caller.empty(); }));
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

bool requestAdmission(dispatch_state &state, const task_name &step,
                      const messages::work_queue &queue, const call_order &order,
                      call_purpose purpose, const std::vector<std::string> &targets,
                      std::size_t maxPerCall, time_point now)
{
    auto &view = state.admissions[step];
    if (view.pendingRequests > 0 || now < view.nextRequestAt || targets.empty()) {
        return false;
    }
    if (view.waitsSince.ms == 0 || now - view.withdrawnAt > maxWaitGap) {
        view.waitsSince = now;
    }
    for (std::size_t from = 0; from < targets.size(); from += maxPerCall) {
        const auto first = targets.begin() + static_cast<std::ptrdiff_t>(from);
        const auto count = std::min(maxPerCall, targets.size() - from);
        ++view.pendingRequests;
        auto &pending = state.pendingAdmissions[++state.lastAdmissionId];
        pending.id = state.lastAdmissionId;
        pending.step = step;
        pending.expectedDuration = expectedAdmissionDuration(queue.admission(), count);
        pending.purpose = purpose;
        pending.targets.assign(first, first + static_cast<std::ptrdiff_t>(count));
        pending.order = order;
        pending.requestedAt = now;
        pending.waitsSince = view.waitsSince;
        state.areAdmissionsDue = true;
        if (isQuick(pending)) {
            state.lastQuickCallAt = now;
        }
    }
    return true;
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
    expectFurtherAnswers(state, pending.caller, now);
    if (!answer.is_answered()) {
        pending.caller.clear(); // tickAdmissions() sends it to another
        return;
    }
    auto &view = state.admissions[pending.step];
    --view.pendingRequests;
    view.requestedTargets.insert(pending.targets.begin(), pending.targets.end());
    view.hasNewTickets = true;
    if (const auto job = state.jobs.find(pending.step.job); job != state.jobs.end()) {
        job->second.mayHaveNewTickets = true;
    }
    for (const auto &ticket : answer.admitted()) {
        auto &known = view.tickets[ticket.target()];
        state.totals.unusedTickets += known.issuedAt.ms > 0 && !known.isUsed ? 1 : 0;
        known = {ticket.ticket(), now, false, 0, {}};
        view.newestTicketAt = now;
        ++state.totals.issuedTickets;
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

} // namespace filbert

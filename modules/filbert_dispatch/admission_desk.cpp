#include "admission_desk.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace filbert {

namespace {

constexpr milliseconds callerSpan {1'500}; // three missed hellos: no request for that process
constexpr milliseconds answerGracePeriod {250}; // added to the expected duration: many round trips
constexpr std::size_t callersForQuick = 3; // one caller in so many is kept free for quick policies
// A request goes before those of higher priority that were made later than this, per priority level
// between them. Otherwise gangs that renew their tickets all the time would keep lower work from
// any call.
constexpr milliseconds agePerClass {500};

std::vector<std::string> freeCallers(const dispatch_state &state, time_point now)
{
    std::vector<std::string> free;
    for (const auto &[name, caller] : state.callers) {
        if (caller.pendingRequest == 0 && now - caller.lastContactAt < callerSpan) {
            free.push_back(name);
        }
    }
    return free;
}

void release(dispatch_state &state, const std::string &caller, std::uint64_t id)
{
    const auto found = state.callers.find(caller);
    if (found != state.callers.end() && found->second.pendingRequest == id) {
        found->second.pendingRequest = 0;
    }
}

bool isStillWanted(const dispatch_state &state, const task_name &step)
{
    const auto job = state.jobs.find(step.job);
    const std::pair<std::uint32_t, std::uint32_t> which {step.occurrence, step.step};
    return job != state.jobs.end()
        && (job->second.pendingSteps.contains(which) || job->second.upcomingSteps.contains(which));
}

void sendTo(dispatch_state &state, const std::string &caller, std::uint64_t id,
            pending_admission &open, time_point now)
{
    open.caller = caller;
    open.sentAt = now;
    state.callers[caller].pendingRequest = id;
    admission_call call;
    call.caller = caller;
    call.request.set_id(id);
    *call.request.mutable_step() = toTaskReference(open.step);
    for (const auto &target : open.targets) {
        call.request.add_targets(target);
    }
    state.effects.admissions.push_back(std::move(call));
}

/** Discards a request of a step that no longer needs it; there was no answer. */
void dropRequest(dispatch_state &state, const task_name &step)
{
    const auto view = state.admissions.find(step);
    if (view != state.admissions.end() && --view->second.pendingRequests == 0) {
        state.admissions.erase(view);
    }
}

void reviewOpen(dispatch_state &state, time_point now)
{
    for (auto entry = state.pendingAdmissions.begin(); entry != state.pendingAdmissions.end();) {
        auto &[id, open] = *entry;
        const bool isLate =
            !open.caller.empty() && now - open.sentAt > open.expectedDuration + answerGracePeriod;
        const bool isWanted = isStillWanted(state, open.step);
        if (isLate) {
            log_line {"admission_unanswered", log_line::severity::Warning}
                .with("step", stepToString(open.step))
                .with("caller", open.caller);
            const auto caller = state.callers.find(open.caller);
            if (caller != state.callers.end()) {
                caller->second.lastContactAt = {}; // no further request before its next hello
            }
            release(state, open.caller, id);
            open.caller.clear();
        }
        if (open.caller.empty() && !isWanted) {
            dropRequest(state, open.step);
            entry = state.pendingAdmissions.erase(entry);
            continue;
        }
        ++entry;
    }
}

} // namespace

std::size_t countSpareCallers(const dispatch_state &state, time_point now)
{
    const auto free = freeCallers(state, now).size();
    const auto kept = state.callers.size() / callersForQuick;
    return free > kept ? free - kept : 0;
}

milliseconds admissionTime(const messages::admission_policy &policy, std::size_t targets)
{
    return {
        std::llround(policy.decide_ms() + policy.per_target_ms() * static_cast<double>(targets))};
}

bool isTicketUsable(const dispatch_state &state, const admission_view::ticket &ticket,
                    const messages::admission_policy &policy, time_point now)
{
    return now - ticket.issuedAt < milliseconds {policy.ticket_ms()} - state.settings.ticketMargin;
}

const std::string *findUsableTicket(const dispatch_state &state, const admission_view &view,
                                    const messages::admission_policy &policy,
                                    const std::string &target, time_point now)
{
    const auto found = view.tickets.find(target);
    const bool isGood =
        found != view.tickets.end() && isTicketUsable(state, found->second, policy, now);
    return isGood ? &found->second.text : nullptr;
}

void requestAdmission(dispatch_state &state, const task_name &step,
                      const messages::work_queue &queue, const std::vector<std::string> &targets,
                      std::size_t perCall, time_point now)
{
    auto &view = state.admissions[step];
    if (view.pendingRequests > 0 || now < view.nextRequestAt) {
        return;
    }
    for (std::size_t from = 0; from < targets.size(); from += perCall) {
        const auto first = targets.begin() + static_cast<std::ptrdiff_t>(from);
        const auto count = std::min(perCall, targets.size() - from);
        ++view.pendingRequests;
        auto &open = state.pendingAdmissions[++state.lastAdmissionId];
        open.step = step;
        open.expectedDuration = admissionTime(queue.admission(), count);
        open.targets.assign(first, first + static_cast<std::ptrdiff_t>(count));
        open.priority = queue.priority();
        open.requestedAt = now;
    }
}

void registerCaller(dispatch_state &state, const std::string &name, std::uint64_t process,
                    time_point now)
{
    auto &caller = state.callers[name];
    if (std::exchange(caller.process, process) != process) {
        for (auto &[id, open] : state.pendingAdmissions) {
            if (open.caller == name) {
                open.caller.clear(); // tickAdmissions() sends it to another
            }
        }
        caller.pendingRequest = 0;
    }
    caller.lastContactAt = now;
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
    auto &open = found->second;
    release(state, open.caller, answer.id());
    if (!answer.is_answered()) {
        open.caller.clear(); // tickAdmissions() sends it to another
        return;
    }
    auto &view = state.admissions[open.step];
    --view.pendingRequests;
    view.requestedTargets.insert(open.targets.begin(), open.targets.end());
    for (const auto &ticket : answer.admitted()) {
        view.tickets[ticket.target()] = {ticket.ticket(), now};
    }
    log_line {"admission"}
        .with("step", stepToString(open.step))
        .with("caller", open.caller)
        .with("asked", open.targets.size())
        .with("admitted", answer.admitted_size())
        .with("took_ms", (now - open.sentAt).count);
    if (view.pendingRequests == 0 && !state.jobs.contains(open.step.job)) {
        state.admissions.erase(open.step); // the job has ended meanwhile
    }
    state.pendingAdmissions.erase(found);
    state.mayPlaceMore = true;
}

void tickAdmissions(dispatch_state &state, time_point now)
{
    reviewOpen(state, now);
    std::vector<std::uint64_t> waiting;
    for (const auto &[id, open] : state.pendingAdmissions) {
        if (open.caller.empty()) {
            waiting.push_back(id);
        }
    }
    if (waiting.empty()) {
        return;
    }
    const auto turnOf = [&](std::uint64_t id) {
        const auto &open = state.pendingAdmissions[id];
        return open.requestedAt + milliseconds {agePerClass.count * open.priority};
    };
    std::stable_sort(waiting.begin(), waiting.end(),
                     [&](auto a, auto b) { return turnOf(a) < turnOf(b); });
    auto free = freeCallers(state, now);
    const auto kept = state.callers.size() / callersForQuick;
    for (const auto id : waiting) {
        auto &open = state.pendingAdmissions[id];
        const bool isQuick = open.expectedDuration <= maxQuickAdmissionTime;
        if (free.size() <= (isQuick ? 0 : kept)) {
            continue;
        }
        sendTo(state, free.back(), id, open, now);
        free.pop_back();
    }
}

} // namespace filbert

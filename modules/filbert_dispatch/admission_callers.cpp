#include "admission_callers.h"

#include "admission_requests.h"

#include <algorithm>

namespace filbert {

bool isInContact(const admission_caller &caller, time_point now)
{
    return !caller.isAvoided && now - caller.lastContactAt < callerTimeout;
}

time_point expectedFreeAt(const admission_caller &caller, time_point now)
{
    return caller.pendingRequests.empty() ? now : std::max(caller.busyUntil, now);
}

std::vector<available_caller> availableCallers(const dispatch_state &state, time_point now,
                                               milliseconds maxQueuedTime)
{
    std::vector<available_caller> available;
    for (const auto &[name, caller] : state.callers) {
        const auto freeAt = expectedFreeAt(caller, now);
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

void expectFurtherAnswers(dispatch_state &state, const std::string &name, time_point now)
{
    const auto caller = state.callers.find(name);
    if (caller == state.callers.end()) {
        return;
    }
    std::vector<pending_admission *> further;
    for (const auto id : caller->second.pendingRequests) {
        further.push_back(&state.pendingAdmissions.at(id));
    }
    std::stable_sort(further.begin(), further.end(),
                     [](const auto *a, const auto *b) { return a->expectedAt < b->expectedAt; });
    auto freeAt = now;
    for (auto *pending : further) {
        freeAt = freeAt + pending->expectedDuration;
        pending->expectedAt = freeAt;
    }
    caller->second.busyUntil = freeAt;
}

bool isQuick(const pending_admission &pending)
{
    return pending.expectedDuration <= maxQuickAdmissionTime;
}

} // namespace filbert

#pragma once

#include "dispatch_state.h"

#include <string>
#include <utility>
#include <vector>

namespace filbert {

// A process without contact for this long, three missed hellos, gets no requests.
constexpr milliseconds callerTimeout {1'500};

/** A caller that can get a request, by the time until which it has work. */
using available_caller = std::pair<time_point, std::string>;

/** Whether a caller can get requests: it was heard lately, and has answered. */
bool isInContact(const admission_caller &caller, time_point now);

/** @return when a caller is expected to have no call any more */
time_point expectedFreeAt(const admission_caller &caller, time_point now);

/** @return the callers that are in contact and have at most a certain amount of work left, those
    with the least first */
std::vector<available_caller> availableCallers(const dispatch_state &state, time_point now,
                                               milliseconds maxQueuedTime);

/** @return how many of some callers have no call */
std::size_t countFreeCallers(const std::vector<available_caller> &available,
                             const dispatch_state &state);

/** Removes a request from those of its caller. */
void releaseCaller(dispatch_state &state, const std::string &caller, std::uint64_t id);

/** Expects the further answers of a caller that has just answered: it begins its next call now, be
    it earlier or later than expected. */
void expectFurtherAnswers(dispatch_state &state, const std::string &name, time_point now);

/** Whether a request is for a quick call, see maxQuickAdmissionTime. */
bool isQuick(const pending_admission &pending);

} // namespace filbert

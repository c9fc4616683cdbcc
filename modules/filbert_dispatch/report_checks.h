#pragma once

#include "dispatch_state.h"

#include <optional>
#include <string>

namespace filbert {

/** Checks a target's report against what the leader knows, before it may change anything. A report
    can register a target and end others at its address, so that a wrong one does harm.

    @param report  a valid one, see findProblem()
    @param wallMs  the leader's wall clock
    @return why the report must not be used, or nothing
*/
std::optional<std::string> findProblem(const dispatch_state &state,
                                       const messages::target_life &report, std::int64_t wallMs);

} // namespace filbert

#pragma once

#include "linearizability.h"

#include <cstdint>
#include <string>
#include <vector>

namespace filbert {

enum class change_result { Accepted, Conflict, Unknown };

/** One sending of a change of configuration, as an operator saw it. */
struct configuration_call
{
    std::string requestId; // the same for a resend
    std::int64_t base = 0;
    change_result result = change_result::Unknown;
    std::int64_t version = 0; // of an accepted one
};

/** Whether concurrent changes with bases, races and resends can be put into one order that explains
    every answer. A resend of an accepted change gets its first answer again.
*/
bool isConfigurationHistoryRight(const std::vector<history_operation<configuration_call>> &history);

} // namespace filbert

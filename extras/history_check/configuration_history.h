#pragma once

#include "linearizability.h"

#include <cstdint>
#include <string>
#include <vector>

namespace filbert {

enum class change_result { Accepted, Conflict, Unknown };

/** One attempt to change the configuration, with its result as the operator saw it. */
struct configuration_call
{
    std::string requestId; // the same for a resend
    std::int64_t base = 0; // version that the change was based on
    change_result result = change_result::Unknown;
    std::int64_t version = 0; // assigned to an accepted change
};

/** Checks whether a history of concurrent, conflicting and resent changes is linearizable.

    A resend of an accepted change must get its original answer. @return whether some order of the
    changes explains every answer
*/
bool isConfigurationHistoryLinearizable(
    const std::vector<history_operation<configuration_call>> &history);

} // namespace filbert

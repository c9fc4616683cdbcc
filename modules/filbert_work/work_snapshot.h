#pragma once

#include "work_state.h"

namespace filbert {

/** Serializes the state for a snapshot of the log. */
std::string writeWorkState(const work_state &state);

/** Restores a state, including its derived members.

    @param data   bytes that writeWorkState() returned
    @param state  replaced on success
    @return Malformed if the bytes cannot be parsed
*/
std::error_code readWorkState(const std::string &data, work_state *state);

} // namespace filbert

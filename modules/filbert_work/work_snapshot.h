#pragma once

#include "work_state.h"

namespace filbert {

/** @return the whole state as bytes, for a snapshot of the log */
std::string writeWork(const work_state &state);

/** Reads a state back. @param data as writeWork() gave it @param state replaced on success
    @return Malformed if it cannot be read */
std::error_code readWork(const std::string &data, work_state *state);

} // namespace filbert

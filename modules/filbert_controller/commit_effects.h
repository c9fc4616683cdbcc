#pragma once

#include "controller_state.h"

namespace filbert {

/** Applies a committed log entry; a leader also sends the answers and orders that follow. */
void applyEntry(controller_state &state, const messages::log_entry &entry, time_point now);

} // namespace filbert

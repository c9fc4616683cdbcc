#pragma once

#include "controller_state.h"

namespace filbert {

/** Applies one committed log entry, and as the leader answers and orders what follows from it. */
void applyEntry(controller_state &state, const messages::log_entry &entry, time_point now);

} // namespace filbert

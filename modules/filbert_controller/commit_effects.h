#pragma once

#include "controller_state.h"

namespace filbert {

/** Applies a committed log entry; a leader also sends the answers and orders that follow. An entry
    that cannot be parsed is skipped, by all controllers alike. */
void applyEntry(controller_state &state, const messages::log_entry &entry, time_point now);

/** Refuses a command of the leader that is not proposed, since no controller could parse it.
    @param to  where the answer to its request goes
*/
void refuseCommand(controller_state &state, const messages::command &command,
                   const reply_address &to, time_point now);

} // namespace filbert

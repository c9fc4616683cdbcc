#pragma once

#include "work_state.h"

namespace filbert {

/** What applying one command came to. */
struct command_outcome
{
    error_kind error = error_kind::None;
    std::string detail;
};

/** Applies one command of the log; the same on every controller.

    A refused command changes nothing. Ends and drops that speak of a run that is over already are
    no errors: they change nothing either.

    @param state    the state before
    @param command  what the leader proposed
    @param wallMs   the leader's wall clock as it proposed, for retention only
    @return None, or why it was refused: Conflict (the task runs, or is not due), NotFound,
            LimitReached
*/
command_outcome applyCommand(work_state &state, const messages::work_command &command,
                             std::int64_t wallMs);

/** Adds the records of an occurrence to a job. @param number of the occurrence */
void beginOccurrence(work_job &job, std::uint32_t number);

} // namespace filbert

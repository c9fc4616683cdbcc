#pragma once

#include "work_state.h"

namespace filbert {

/** The result of applying one command. */
struct command_outcome
{
    error_kind error = error_kind::None;
    std::string detail; // why the command was refused; empty on success
};

/** Applies one command of the log, with the same result on every controller.

    A refused command changes nothing. The end or abandonment of a run that is no longer current is
    not an error; it changes no task.

    @param state    changed in place
    @param command  the command that the leader proposed
    @param wallMs   the leader's wall clock when it proposed the command; used for the retention of
                    ended jobs only
    @return no error, or why the command was refused: Conflict (for instance, the task is running or
            its step is not ready), NotFound, NoCapacity, Overloaded or Malformed
*/
command_outcome applyCommand(work_state &state, const messages::work_command &command,
                             std::int64_t wallMs);

/** Adds an occurrence with all of its tasks waiting. @param number of the occurrence */
void beginOccurrence(work_job &job, std::uint32_t number);

} // namespace filbert

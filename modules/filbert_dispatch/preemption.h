#pragma once

#include "placement_pass.h"

namespace filbert {

/** Makes room for a gang that found none, by stopping checkpointed work of lower classes.

    The load that it answers: many small tasks with a lot of slack hold one accelerator each on
    nearly all targets, so that no target has room for a member which needs several at once. What is
    stopped resumes elsewhere from the checkpoint that its stop saves. Nothing is stopped unless
    that makes room for all members, and nothing that lasts, is a gang's, or could be late by it.

    Rooms that the gang will get are kept from lower work in this pass.

    @param step     a gang with waiting members and, where its policy asks for them, tickets
    @param members  how many start together
    @return whether there will be room for all of them
*/
bool preemptFor(placement_pass &pass, const open_step &step, service_view &service,
                std::size_t members);

} // namespace filbert

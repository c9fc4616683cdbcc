#pragma once

#include "placement_pass.h"

namespace filbert {

/** Frees capacity for a gang that found none, by stopping checkpointed runs of lower priority.

    This is for the case that many small tasks with much slack hold one accelerator each on nearly
    all targets, so that no target has capacity for a member which needs several at once. A stopped
    task resumes elsewhere from the checkpoint that its stop saves. Runs are stopped only if that
    frees capacity for all members; runs of long-running steps, of gangs and those that could become
    late are never stopped.

    The targets meant for the gang are reserved for it during this pass.

    @param step     a gang with waiting members and, if its queue has a policy, with tickets
    @param members  number of tasks that start together
    @return whether there will be capacity for all members
*/
bool preemptFor(placement_pass &pass, const pending_step &step, service_view &service,
                std::size_t members);

} // namespace filbert

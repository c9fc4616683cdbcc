#pragma once

#include "dispatch_state.h"

namespace filbert {

/** Runs a placement pass: decides which waiting tasks start now and where, and proposes that.

    Work that can still end in time goes before work that is certainly late. Within each group, the
    priority of the queue decides, then the least slack. A task goes to the target that it fits
    best, so that large blocks of free capacity stay whole. A step that finds no capacity reserves
    targets against work that ranks after it. Gangs start as a whole.
*/
void placeWaitingTasks(dispatch_state &state, time_point now);

/** Updates the view of a job: which of its steps have tasks to place. Call it whenever the job has
    changed. */
void refreshJob(dispatch_state &state, const std::string &id, time_point now);

/** @return how long after its acceptance a job of the queue should be completed
    @param criticalPath  of the whole job */
milliseconds objectiveOf(const messages::work_queue &queue, milliseconds criticalPath);

/** @return by step: the length of the critical path from its start to the end of the job */
std::vector<milliseconds> criticalPathsOf(const messages::staged_job &job);

} // namespace filbert

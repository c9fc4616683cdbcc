#pragma once

#include "dispatch_state.h"

namespace filbert {

/** Decides which waiting tasks start now, and where; proposes their starts.

    Order: the queue's priority; work that can still end in time before work that is late anyway;
    the least slack first. A task goes where it fits best, so that large rooms stay whole; one that
    finds no room keeps lower work out of the targets that it waits for. Gangs start whole.
*/
void placeWaiting(dispatch_state &state, time_point now);

/** Works out which steps of a job have tasks to place. Called whenever the job has changed. */
void refreshJob(dispatch_state &state, const std::string &id, time_point now);

/** @return by step: the longest chain of estimates from its start to the job's end */
std::vector<milliseconds> chainsOf(const messages::staged_job &job);

} // namespace filbert

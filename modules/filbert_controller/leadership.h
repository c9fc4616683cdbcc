#pragma once

#include "controller_state.h"

namespace filbert {

/** Builds the leader's own state from the replicated state. Call it before placing any task. */
void startLeading(controller_state &state, time_point now);

/** Discards the leader's own state. Waiting requests are redirected: they have not been run. */
void stopLeading(controller_state &state);

/** Copies the configured teams and services to the scheduler. */
void configureScheduler(controller_state &state);

/** @return a work item for a job, without tasks */
work_item workItemOf(const controller_state &state, const job_record &job);

/** Ensures that the tasks of an idempotent gang run all or none: if one of them waits again, the
    others are stopped, and then all start together. Call it after any change to the job.
*/
void regroupGang(controller_state &state, const job_record &job);

/** @return what the scheduler needs to know of a target */
target_entry targetEntryOf(const target_record &target);

} // namespace filbert

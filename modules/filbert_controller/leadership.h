#pragma once

#include "controller_state.h"

namespace filbert {

/** Builds the leader's view from the replicated state, before anything is placed. */
void startLeading(controller_state &state, time_point now);

/** Drops the leader's view; whoever waits is told that nothing was run. */
void stopLeading(controller_state &state);

/** Carries the configured teams and services into the scheduler. */
void takeConfiguration(controller_state &state);

/** @return the waiting work of a job, without tasks */
work_item workOf(const controller_state &state, const job_record &job);

/** Sees to it that the tasks of an idempotent gang run all or none: where one waits again, the
   others are stopped, and all start together. Call it after any change of the job. */
void regroupGang(controller_state &state, const job_record &job);

/** @return a target as the scheduler sees it */
target_view viewOf(const target_record &target);

} // namespace filbert

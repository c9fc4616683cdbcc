#pragma once

#include "placement_pass.h"

namespace filbert {

/** @return the configured queues by name */
queue_index queuesOf(const dispatch_state &state);

/** @param name  of the step, with index 0
    @param view  of its job
    @return the step with its present rank and slack */
pending_step pendingStepOf(const dispatch_state &state, const queue_index &queues,
                           const task_name &name, const job_view &view, time_point now);

/** @return all steps with waiting tasks, in the order in which a pass places them */
std::vector<pending_step> pendingStepsInOrder(const dispatch_state &state,
                                              const queue_index &queues, time_point now);

} // namespace filbert

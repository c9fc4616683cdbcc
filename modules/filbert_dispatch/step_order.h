#pragma once

#include "placement_pass.h"

namespace filbert {

/** @return the configured queues by place */
queue_index queuesOf(const dispatch_state &state);

/** @param name  of the step, with index 0
    @param view  of its job
    @return the step with its present rank and slack */
pending_step pendingStepOf(const dispatch_state &state, const queue_index &queues,
                           const task_name &name, const job_view &view, time_point now);

/** A step with waiting tasks and what decides its place in the order of a pass. */
struct step_key
{
    int rank = 0;
    bool isBeyondShare = false; // see heldBackTo()
    int priority = 0; // of its queue; it decides among those beyond a share
    bool isBehind = false; // it would end after its objective if it started now
    bool isPreferred = false; // it can be in time, others of its rank cannot, and its job has begun
    std::int64_t order = 0; // the lowest first among those of a rank that are equally behind or not
    const std::string *job = nullptr;
    const work_job *record = nullptr;
    const messages::work_queue *queue = nullptr;
    const job_view *view = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
};

/** @return all steps with waiting tasks, in the order in which a pass places them

    In each rank, the step with the least slack goes first among those that can be in time. After
    these, the one that is the least behind goes first. If more waits than can be served, each would
    be served a little too late otherwise. While there are such steps, jobs that have begun go first
    among those that can be in time: else all of them would wait until they have no slack left, and
    some would be late at a later step, for which the work before it was in vain.

    A step that is beyond the share of its team goes after the others of its rank. The rank itself
    is raised to that of less urgent work of others which is pressed, so that the rules for
    reservations, for which the rank decides, hold for it as for others. */
std::vector<step_key> pendingStepsInOrder(const dispatch_state &state, const queue_index &queues,
                                          time_point now);

/** Whether work ranks with what is late: it would end so much after its objective that other work
    goes before it, whatever the priorities. @param remaining  its critical path from now */
bool isLateRank(milliseconds slack, milliseconds remaining);

/** @return how long it takes, apart from the work itself, until a task that is placed now has
    started and its end is known, as learned from starts */
milliseconds startAndEndTime(const dispatch_state &state);

} // namespace filbert

#pragma once

#include "placement_pass.h"

namespace filbert {

/** @file
    Finds the task that crashes its targets, among all that ran on a target when it crashed.

    Suspects are the runs that had just been started: a run is cleared once its target has been
    heard for a while after the start. If there is none, all runs are weakly suspected, except those
    of long-running tasks, which outlive many targets. A suspected task is then tried as the only
    new one on its target, so that the next crash convicts or clears it, and takes as little other
    work along as possible. The replicated state adds up the suspicion, see work_task.
*/

/** Whether a run has been at work for a while on a target that was heard since. */
bool hasProvenItself(const dispatch_state &state, const tracked_target &target,
                     const run_view &run);

/** @return a command that records the crash of the target's present incarnation
    @param lifetime  how long that incarnation has run */
messages::work_command crashCommand(const dispatch_state &state, const tracked_target &target,
                                    milliseconds lifetime);

/** Notes that a run is abandoned because its target is silent. */
void noteLostRun(const dispatch_state &state, tracked_target &target, const task_name &task,
                 const run_view &run);

/** Notes that a suspected task of a job is tried on a target, which takes no other work then. */
void startTrial(service_view &service, placement_candidate &candidate, const std::string &job);

/** Notes the trials that are in progress on targets of a service. */
void findTrials(placement_pass &pass, service_view &service);

/** Takes back the trials of a job that this pass has started, since its tasks find no capacity. */
void cancelTrials(placement_pass &pass, service_view &service, const std::string &job);

/** Whether a task may start on a target in view of the trials there. Tasks of one job share a
    target, since the job fails whichever of them is at fault. */
bool mayBeTried(const pending_step &step, const service_view &service,
                const placement_candidate &candidate);

/** @return a cost that leads a trial to sound targets with little other work, none of it new */
double trialCost(const placement_pass &pass, const placement_candidate &candidate);

} // namespace filbert

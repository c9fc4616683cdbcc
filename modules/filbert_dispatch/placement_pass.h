#pragma once

#include "capacity_claims.h"
#include "dispatch_state.h"

#include <limits>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace filbert {

// Added to the priority (0 to 2) of late work, and twice to that of work that is of no use any
// more: it goes last.
constexpr int lateRankOffset = 3;
constexpr int noReservation = std::numeric_limits<int>::max();

/** A step with waiting tasks, as a placement pass sees it. */
struct pending_step
{
    task_name name; // index 0
    const work_job *job = nullptr;
    const messages::step_spec *spec = nullptr;
    const messages::work_queue *queue = nullptr;
    resource_amounts need; // what a task reserves on its target
    int rank = 0; // the lowest is placed first; see lateRankOffset
    std::int64_t slackMs = 0;
    bool isBeyondShare = false; // see step_key
    std::unordered_map<std::string_view, int> tasksByTarget; // only if dependsOnTaskCounts()
    bool isSuspect = false; // whether the task to be placed next may have crashed a target
    std::size_t place = 0; // among the pending steps of the pass
};

/** A target that takes work, as a placement pass sees it. */
struct placement_candidate
{
    tracked_target *target = nullptr;
    const registered_target *registered = nullptr;
    resource_amounts capacity;
    resource_amounts free; // neither used by runs nor reserved for starts
    std::int64_t unusedCores = 0; // those of the free cores that best-effort runs do not use either
    std::string_view rack; // points into the labels of the registration, which outlive the pass
    milliseconds coldTimeLeft; // how long it will still be slow; 0 = it is warm
    double usableFraction = 1.0; // of its capacity, while it is cold
    bool isAvailable = false; // whether it accepts work; if not, nothing is placed there
    // The job of the suspected tasks that are being tried there; it takes no other work then.
    std::string trialJob;
    int reservedRank = noReservation; // work with a higher rank is not placed here
    // The gang that it is reserved for: other work of the same rank is not placed here either,
    // unless it ends before the gang can start or is content with what the gang leaves.
    task_name reservedFor; // empty job = none
    milliseconds reservedIn; // until that start
    resource_amounts spare; // free then beside the gang
};

/** The targets of one service, as a placement pass sees them. */
struct service_view
{
    std::vector<placement_candidate> candidates; // in the order of service_targets::entries
    const service_targets *targets = nullptr;
    // Free cores and index of the available candidates, the most free cores first, as they were at
    // the beginning of the pass: upper bounds, as below.
    std::vector<std::pair<std::int64_t, std::size_t>> byFreeCores;
    std::size_t availableCandidates = 0;
    // Upper bounds of what is free on any one target: free resources only shrink during a pass.
    std::int64_t maxFreeCores = 0;
    std::int64_t maxFreeAccelerators = 0;
    std::int64_t totalCores = 0;
    std::int64_t coldCores = 0; // those of totalCores that belong to cold targets
    std::int64_t freeCores = 0;
    std::int64_t freeAccelerators = 0;
    // byFreeCores as a heap, in which entries are corrected when they come to the top; see
    // fitsAnywhere(). Empty until it is needed.
    std::vector<std::pair<std::int64_t, std::size_t>> freeCoresHeap;
    std::size_t unplacedSteps = 0; // steps for which there was no capacity
    std::size_t mismatchedSteps = 0; // steps with tickets, but not for the free capacity
    std::size_t fruitlessSteps = 0; // tried steps that neither started a task nor made a call
    capacity_claims claims;
    std::size_t reservedCandidates = 0;
    std::size_t gangPlans = 0; // attempts in this pass to reserve targets for a gang
    std::set<std::string> trialJobs; // jobs with a suspected task that is being tried
    int urgentPriority = std::numeric_limits<int>::max(); // of its most urgent queue; 0 is highest
};

/** One pass over all waiting tasks. The free resources of the targets only shrink during it, apart
    from starts that it has reserved itself and releases again. */
struct placement_pass
{
    dispatch_state &state;
    time_point now;
    queue_index queues;
    std::map<std::string, service_view> services;
    call_budget calls;
};

/** @return the targets of a service, collected when the pass first needs them */
service_view &serviceOf(placement_pass &pass, const std::string &service);

/** @return the index of the candidate for a target, or nothing if the service has no such target */
std::optional<std::size_t> candidateIndexOf(const service_view &service, const std::string &target);

/** @return the same for the target that a ticket is for, which is looked up once for each list */
std::optional<std::size_t> candidateIndexOf(const service_view &service, const std::string &target,
                                            const admission_view::ticket &ticket);

/** @return by target: how many tasks of the step run there or have a reservation */
std::unordered_map<std::string_view, int> countTasksByTarget(const placement_pass &pass,
                                                             const task_name &step);

/** Whether placement depends on how many tasks of the step a target already has. */
bool dependsOnTaskCounts(const messages::step_spec &spec);

/** @return how many more tasks of the step its limit of tasks per target allows on a target. Runs
    that the target has without the log count too. */
std::int64_t remainingTasksAllowed(const pending_step &step, const placement_candidate &candidate);

/** Whether a target could take a task of the step if it had no other work and no reservations: by
    capacity, label and tasks per target, not by policy. */
bool isSuitable(const pending_step &step, const placement_candidate &candidate);

/** Whether a target is suitable and its reservations let a task of the step start. */
bool isEligible(const pending_step &step, const placement_candidate &candidate);

/** Whether a target is cold while most of its service's capacity is warm. It takes less work then,
    and none waits for it. */
bool isColdAmongWarm(const service_view &service, const placement_candidate &candidate);

/** Whether a target has free capacity for a task of the step now, also under the rules for
    best-effort and latency-sensitive tasks, tasks per target, cold targets and urgent headroom. */
bool hasCapacityFor(const placement_pass &pass, const pending_step &step,
                    const service_view &service, const placement_candidate &candidate);

/** @return the cost of placing a task of the step on a target; the lowest is the best fit */
double fitCost(const placement_pass &pass, const pending_step &step,
               const placement_candidate &candidate);

/** Whether the job's team stays within its cap if a number of tasks of the step start. */
bool isWithinTeamCap(const placement_pass &pass, const pending_step &step, std::size_t tasks);

/** @return what is known about the admission of the step, or nullptr */
const admission_view *admissionOf(const placement_pass &pass, const pending_step &step);

/** Whether the step is known to be admitted to a target, or needs no admission.
    @param view  the result of admissionOf() for the step */
bool isAdmitted(const pending_step &step, const admission_view *view,
                const placement_candidate &candidate);

/** Reserves a start on a target, in this pass and in the state, or releases it. A suspected task
    gets the target for itself, as far as new work is concerned.
    @param sign  1 to reserve, -1 to release */
void updateReservation(placement_pass &pass, pending_step &step, service_view &service,
                       placement_candidate &candidate, const task_name &task, int sign);

/** Whether any target has as many free cores as a task of a step needs, after all that the pass has
    placed so far. */
bool fitsAnywhere(service_view &service, const resource_amounts &need);

/** Whether a need fits into free resources. */
bool fits(const resource_amounts &need, const resource_amounts &free);

} // namespace filbert

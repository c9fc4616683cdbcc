#pragma once

#include "dispatch_state.h"

#include <limits>
#include <string_view>
#include <unordered_map>

namespace filbert {

constexpr int lateRank = 3; // added to a priority (0 to 2): behind all that is in time
constexpr int notReserved = std::numeric_limits<int>::max();

/** The configured queues by name. */
using queue_index = std::unordered_map<std::string_view, const messages::work_queue *>;

/** One step with waiting tasks, in the order of the pass. */
struct open_step
{
    task_name name; // index 0
    const work_job *job = nullptr;
    const messages::step_spec *spec = nullptr;
    const messages::work_queue *queue = nullptr;
    resource_amounts need; // what a task takes of its target
    int rank = 0;
    std::int64_t slackMs = 0;
    std::unordered_map<std::string_view, int> onTarget; // its tasks, where that decides anything
};

/** One target as the pass sees it. */
struct room_view
{
    target_conversation *target = nullptr;
    const life_record *life = nullptr;
    resource_amounts capacity;
    resource_amounts left; // what no run and no planned start has taken
    std::int64_t unusedCores = 0; // of these, what tasks that fill gaps do not use either
    std::string_view rack; // of the life's labels, which stay while the pass runs
    int reservedRank = notReserved; // lower work is kept out of it
};

/** The targets of one service as the pass sees them. */
struct service_view
{
    std::vector<room_view> rooms;
    std::unordered_map<std::string, std::size_t> byId;
    std::int64_t mostCores = 0; // free on any one target, or more: rooms only shrink in a pass
    std::int64_t mostAccelerators = 0;
    std::int64_t totalCores = 0;
    std::int64_t freeCores = 0;
    std::size_t failures = 0; // steps that found no room
    std::size_t reservedRooms = 0;
    int urgentPriority = std::numeric_limits<int>::max();
};

/** One look through all that waits; rooms only shrink in it. */
struct placement_pass
{
    dispatch_state &state;
    time_point now;
    queue_index queues;
    std::map<std::string, service_view> services;
};

/** @return the service as this pass sees it: gathered when it is first asked for */
service_view &serviceOf(placement_pass &pass, const std::string &service);

/** @return how many tasks of the step each target has, running or planned */
std::unordered_map<std::string_view, int> countsOnTargets(const placement_pass &pass,
                                                          const task_name &step);

/** Whether it matters how many tasks of a step a target has. */
bool mindsCounts(const messages::step_spec &spec);

/** Whether a target could take a task of the step if it were empty, as far as rules go. */
bool isEligible(const open_step &step, const room_view &room);

/** Whether a target has room for a task of the step now, as far as policy and rules go. */
bool hasRoomFor(const placement_pass &pass, const open_step &step, const service_view &service,
                const room_view &room);

/** @return how well a task goes to a target: less is better */
double fitCost(const open_step &step, const room_view &room);

/** Whether so many tasks more keep the job's team within its cap. */
bool isWithinTeamCap(const placement_pass &pass, const open_step &step, std::size_t tasks);

/** @return what is known of the policy for the step, or nullptr */
const admission_view *admissionOf(const placement_pass &pass, const open_step &step);

/** Whether the step's policy, if it has one, is known to let it run on a target.
    @param view  what admissionOf() gave for the step */
bool isAdmitted(const open_step &step, const admission_view *view, const room_view &room);

/** Books a start on a room of this pass and in the state, or takes it back. @param sign 1 or -1 */
void bookPlan(placement_pass &pass, open_step &step, service_view &service, room_view &room,
              const task_name &task, int sign);

/** Whether a need fits into an amount of room. */
bool fits(const resource_amounts &need, const resource_amounts &room);

} // namespace filbert

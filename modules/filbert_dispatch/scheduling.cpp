#include "scheduling.h"

#include "admission_desk.h"
#include "target_conversation.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <unordered_map>

namespace filbert {

namespace {

constexpr int lateRank = 3; // behind all that is in time
constexpr std::size_t targetsPerRequest = 100; // the most that the policy service takes
constexpr std::size_t targetsPerCostlyRequest = 20; // where each one named takes 4 ms and more
constexpr double costlyPerTargetMs = 4.0;
constexpr std::size_t targetsPerRefresh = 8; // of tickets: a few more than a gang needs
constexpr std::size_t reservedPart = 4; // one in so many targets is kept for what waits, at most
constexpr std::size_t failuresPerPass =
    48; // steps without room that one pass looks at: a turn of 2 ms
constexpr std::size_t passesPerTurn = 8; // at most 0.3 s with passes 40 ms apart
constexpr milliseconds slowPolicy {300}; // tickets of such a one are renewed before there is room
constexpr milliseconds askPause {100}; // between requests of one step for more than it has
constexpr double fillShare = 0.6; // of the cores that a task which fills gaps should find unused

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

// Parts of fitCost(), in accelerators left idle: the unit that packing is about.
constexpr double farFromDataCost = 20.0; // half as long again: more than any packing gains
constexpr double sameTargetCost = 4.0; // of tasks that last: one target's end must not take many
constexpr double acceleratorWeight = 1e6; // accelerators first, then thousandths of a core
constexpr int notReserved = std::numeric_limits<int>::max();

/** One target as the pass sees it. */
struct room_view
{
    target_conversation *target = nullptr;
    const life_record *life = nullptr;
    resource_amounts capacity;
    resource_amounts left; // what no run and no planned start has taken
    std::int64_t unusedCores = 0; // of these, what tasks that fill gaps do not use either
    std::string_view rack;
    int reservedRank = notReserved; // lower work is kept out of it
};

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

struct placement_pass
{
    dispatch_state &state;
    time_point now;
    std::map<std::string, service_view> services;
};

bool hasLabel(const room_view &room, const std::string &label)
{
    const auto &labels = room.life->about.labels();
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool fits(const resource_amounts &need, const resource_amounts &room)
{
    return need.milliCores <= room.milliCores && need.memoryMb <= room.memoryMb
        && need.accelerators <= room.accelerators;
}

void addRoom(service_view &view, target_conversation &target, const life_record &life)
{
    room_view room;
    room.target = &target;
    room.life = &life;
    room.capacity = amountsOf(life.about.capacity());
    room.left = room.capacity - life.used - target.planned;
    room.unusedCores = room.left.milliCores - life.fillCores - target.plannedFill;
    const auto &labels = life.about.labels();
    room.rack =
        labels.size() > 1 ? std::string_view {labels.Get(labels.size() - 1)} : std::string_view {};
    view.totalCores += room.capacity.milliCores;
    view.freeCores += std::max<std::int64_t>(room.unusedCores, 0);
    view.mostCores = std::max(view.mostCores, room.left.milliCores);
    view.mostAccelerators = std::max(view.mostAccelerators, room.left.accelerators);
    view.byId.emplace(target.id, view.rooms.size());
    view.rooms.push_back(room);
}

service_view &serviceOf(placement_pass &pass, const std::string &service)
{
    const auto found = pass.services.find(service);
    if (found != pass.services.end()) {
        return found->second;
    }
    auto &view = pass.services[service];
    for (auto &[id, target] : pass.state.targets) {
        const auto life = pass.state.work->lives.find(id);
        if (life != pass.state.work->lives.end() && life->second.about.service() == service
            && takesWork(pass.state, target, life->second, pass.now)) {
            addRoom(view, target, life->second);
        }
    }
    for (const auto &queue : pass.state.work->configuration.queues()) {
        if (queue.service() == service) {
            view.urgentPriority = std::min(view.urgentPriority, queue.priority());
        }
    }
    return view;
}

/** @return how many tasks of the step each target has, running or planned */
std::unordered_map<std::string_view, int> countsOnTargets(const placement_pass &pass,
                                                          const task_name &step)
{
    std::unordered_map<std::string_view, int> counts;
    const auto &record = *findStep(*pass.state.work, step);
    auto name = step;
    for (std::uint32_t i = 0; i < record.tasks.size(); ++i) {
        const auto &task = record.tasks[i];
        if (task.status == task_status::Running) {
            ++counts[task.target];
            continue;
        }
        name.index = i;
        const auto planned = pass.state.planned.find(name);
        if (planned != pass.state.planned.end()) {
            ++counts[planned->second];
        }
    }
    return counts;
}

bool mindsCounts(const messages::step_spec &spec)
{
    return spec.lasts() || spec.max_per_target() > 0;
}

int countOnTarget(const open_step &step, const std::string &target)
{
    const auto found = step.onTarget.find(target);
    return found == step.onTarget.end() ? 0 : found->second;
}

/** Whether a target could take a task of the step if it were empty, as far as rules go. */
bool isEligible(const open_step &step, const room_view &room)
{
    return room.reservedRank >= step.rank && fits(step.need, room.capacity)
        && hasLabel(room, step.spec->required_label());
}

bool hasRoomFor(const placement_pass &pass, const open_step &step, const service_view &service,
                const room_view &room)
{
    if (!fits(step.need, room.left)) {
        return false;
    }
    const auto &spec = *step.spec;
    if (spec.fills_gaps()) {
        const auto wanted = static_cast<double>(spec.need().milli_cores()) * fillShare;
        return room.life->serving == 0 && static_cast<double>(room.unusedCores) >= wanted;
    }
    if (spec.latency_target_ms() > 0 && room.life->fillCores + room.target->plannedFill > 0) {
        return false;
    }
    if (spec.max_per_target() > 0
        && countOnTarget(step, room.target->id) >= spec.max_per_target()) {
        return false;
    }
    const bool isUrgent = step.queue->priority() <= service.urgentPriority;
    if (service.urgentPriority > 0 || isUrgent || spec.lasts()) {
        return true;
    }
    const auto kept = static_cast<double>(service.totalCores) * pass.state.settings.urgentHeadroom;
    return static_cast<double>(service.freeCores - spec.need().milli_cores()) >= kept;
}

/** @return how well a task goes to a target: less is better */
double fitCost(const open_step &step, const room_view &room)
{
    const auto &spec = *step.spec;
    const auto cores = std::max<double>(static_cast<double>(room.capacity.milliCores), 1.0);
    double cost = static_cast<double>(room.left.accelerators - step.need.accelerators);
    if (spec.fills_gaps()) {
        cost -= static_cast<double>(room.unusedCores) / cores;
    } else {
        cost += static_cast<double>(room.left.milliCores - step.need.milliCores) / cores;
        cost += static_cast<double>(room.life->fillCores) / cores;
    }
    if (!spec.data_rack().empty() && spec.data_rack() != room.rack) {
        cost += farFromDataCost;
    }
    if (spec.lasts()) {
        cost += sameTargetCost * countOnTarget(step, room.target->id);
    }
    return cost;
}

bool isWithinTeamCap(const placement_pass &pass, const open_step &step, std::size_t tasks)
{
    const auto &team = step.job->job.team();
    const auto *configured = findTeam(pass.state.work->configuration, team);
    if (configured == nullptr) {
        return true; // an open queue
    }
    auto use = timesOf(wholeNeedOf(*step.spec), tasks);
    const auto add = [&](const std::map<std::string, resource_amounts> &uses) {
        const auto found = uses.find(team);
        if (found != uses.end()) {
            use += found->second;
        }
    };
    add(pass.state.work->teamUse);
    add(pass.state.teamPlanned);
    return isWithinCap(use, configured->cap());
}

const admission_view *admissionOf(const placement_pass &pass, const open_step &step)
{
    const auto view = pass.state.admissions.find(step.name);
    return view == pass.state.admissions.end() ? nullptr : &view->second;
}

/** @return the rooms that the step may start in now, as far as its policy goes: by index */
std::vector<std::size_t> candidatesFor(const placement_pass &pass, const open_step &step,
                                       const service_view &service)
{
    std::vector<std::size_t> rooms;
    if (step.need.milliCores > service.mostCores
        || step.need.accelerators > service.mostAccelerators) {
        return rooms;
    }
    const auto consider = [&](std::size_t index) {
        const auto &room = service.rooms[index];
        if (fits(step.need, room.left) && isEligible(step, room)) {
            rooms.push_back(index);
        }
    };
    if (!step.queue->has_admission()) {
        for (std::size_t i = 0; i < service.rooms.size(); ++i) {
            consider(i);
        }
        return rooms;
    }
    const auto *view = admissionOf(pass, step);
    if (view == nullptr) {
        return rooms;
    }
    for (const auto &[id, ticket] : view->admitted) {
        const bool isGood = isUsable(pass.state, ticket, step.queue->admission(), pass.now);
        const auto room = isGood ? service.byId.find(id) : service.byId.end();
        if (room != service.byId.end()) {
            consider(room->second);
        }
    }
    return rooms;
}

room_view *bestRoom(placement_pass &pass, const open_step &step, service_view &service,
                    const std::vector<std::size_t> &candidates, const std::string_view *rack)
{
    room_view *best = nullptr;
    double bestCost = 0;
    for (const auto index : candidates) {
        auto &room = service.rooms[index];
        if ((rack != nullptr && room.rack != *rack) || !hasRoomFor(pass, step, service, room)) {
            continue;
        }
        const auto cost = fitCost(step, room);
        if (best == nullptr || cost < bestCost) {
            best = &room;
            bestCost = cost;
        }
    }
    return best;
}

/** Books a start on a room of this pass and in the state, or takes it back. @param sign 1 or -1 */
void bookPlan(placement_pass &pass, open_step &step, service_view &service, room_view &room,
              const task_name &task, int sign)
{
    const auto cores = step.spec->need().milli_cores();
    if (mindsCounts(*step.spec)) {
        step.onTarget[room.target->id] += sign;
    }
    if (sign > 0) {
        planStart(pass.state, task, *room.target);
        room.left -= step.need;
    } else {
        unplanStart(pass.state, task);
        room.left += step.need;
    }
    room.unusedCores -= sign * cores;
    service.freeCores -= sign * cores;
}

void proposeStart(placement_pass &pass, const open_step &step, const room_view &room,
                  const task_name &task, std::uint32_t run, const std::string &checkpoint)
{
    if (step.queue->has_admission()) {
        const auto *ticket = usableTicket(pass.state, *admissionOf(pass, step),
                                          step.queue->admission(), room.target->id, pass.now);
        FILBERT_INVARIANT(ticket != nullptr, "a start under a policy has a ticket");
        pass.state.plannedTickets[task] = *ticket;
    }
    log_line {"placed"}
        .with("task", textOf(task))
        .with("run", run)
        .with("target", room.target->id)
        .with("rank", step.rank)
        .with("slack_ms", step.slackMs)
        .with("room_milli_cores", room.left.milliCores)
        .with("heard_ms_ago", (pass.now - room.target->heardAt).count);
    messages::work_command command;
    auto *start = command.mutable_start();
    *start->mutable_task() = referenceTo(task);
    start->set_run(run);
    start->set_target(room.target->id);
    start->set_born(room.target->born);
    start->set_checkpoint(checkpoint);
    pass.state.effects.commands.push_back(std::move(command));
}

/** @return targets that the step may ask the policy service for, those with the most room first */
std::vector<std::string> targetsToAsk(const placement_pass &pass, const open_step &step,
                                      const service_view &service, const admission_view &view,
                                      bool isRefresh)
{
    constexpr double fullCost = 1'000.0; // behind all that have room now
    std::vector<std::pair<double, std::size_t>> wanted;
    for (std::size_t i = 0; i < service.rooms.size(); ++i) {
        const auto &room = service.rooms[i];
        const auto &id = room.target->id;
        if (isEligible(step, room)
            && (isRefresh ? view.admitted.contains(id) : !view.asked.contains(id))) {
            const bool hasRoom = hasRoomFor(pass, step, service, room);
            wanted.emplace_back(fitCost(step, room) + (hasRoom ? 0.0 : fullCost), i);
        }
    }
    const bool isCostly = step.queue->admission().per_target_ms() >= costlyPerTargetMs;
    const auto most = isRefresh ? targetsPerRefresh
        : isCostly              ? targetsPerCostlyRequest
                                : targetsPerRequest;
    const auto count = std::min(most, wanted.size());
    std::partial_sort(wanted.begin(), wanted.begin() + static_cast<std::ptrdiff_t>(count),
                      wanted.end());
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < count; ++i) {
        ids.push_back(service.rooms[wanted[i].second].target->id);
    }
    return ids;
}

/** @return how many tasks of a size an amount of room takes, at most a bound */
std::int64_t countFitting(const resource_amounts &need, const resource_amounts &left,
                          std::int64_t most)
{
    const auto times = [&](std::int64_t needed, std::int64_t available) {
        return needed > 0 ? std::min(most, available / needed) : most;
    };
    return std::min({times(need.milliCores, left.milliCores), times(need.memoryMb, left.memoryMb),
                     times(need.accelerators, left.accelerators)});
}

/** Whether the admitted targets have room for what starts at once: a task, or a whole gang. */
bool hasAdmittedRoom(const placement_pass &pass, const open_step &step, const service_view &service,
                     const admission_view &view)
{
    const std::int64_t wanted = step.spec->is_gang() ? step.spec->count() : 1;
    std::int64_t found = 0;
    for (const auto &[id, ticket] : view.admitted) {
        const auto index = service.byId.find(id);
        if (index == service.byId.end()) {
            continue;
        }
        const auto &room = service.rooms[index->second];
        if (isEligible(step, room) && hasRoomFor(pass, step, service, room)) {
            found += countFitting(step.need, room.left, wanted);
        }
    }
    return found >= wanted;
}

/** Asks for tickets where the step has none that is good. */
void askAdmission(placement_pass &pass, const open_step &step, const service_view &service)
{
    if (!step.queue->has_admission()) {
        return;
    }
    auto &view = pass.state.admissions[step.name];
    if (view.openRequest != 0 || pass.now < view.notBefore) {
        return;
    }
    if (view.asked.empty()) {
        requestAdmission(pass.state, step.name, *step.queue,
                         targetsToAsk(pass, step, service, view, false), pass.now);
        return;
    }
    const auto &policy = step.queue->admission();
    if (hasAdmittedRoom(pass, step, service, view)) {
        requestAdmission(pass.state, step.name, *step.queue,
                         targetsToAsk(pass, step, service, view, true), pass.now);
        return;
    }
    auto others = targetsToAsk(pass, step, service, view, false);
    const bool hasFresh = std::any_of(view.admitted.begin(), view.admitted.end(), [&](auto &each) {
        return isUsable(pass.state, each.second, policy, pass.now);
    });
    if (!others.empty()) {
        requestAdmission(pass.state, step.name, *step.queue, std::move(others), pass.now);
    } else if (admissionTime(policy, 1) >= slowPolicy && !hasFresh) {
        requestAdmission(pass.state, step.name, *step.queue,
                         targetsToAsk(pass, step, service, view, true), pass.now);
    }
    view.notBefore = pass.now + askPause;
}

/** Keeps lower work out of the targets that will have room first for what found none. */
void reserveFor(const placement_pass &pass, const open_step &step, service_view &service,
                std::size_t tasks)
{
    const auto most = service.rooms.size() / reservedPart + 1;
    if (step.spec->fills_gaps() || step.spec->lasts() || step.rank >= lateRank
        || service.reservedRooms >= most) {
        return;
    }
    const auto *view = admissionOf(pass, step);
    std::vector<std::pair<double, std::size_t>> wanted;
    for (std::size_t i = 0; i < service.rooms.size(); ++i) {
        const auto &room = service.rooms[i];
        const bool isAdmitted = !step.queue->has_admission()
            || (view != nullptr && view->admitted.contains(room.target->id));
        if (isAdmitted && room.reservedRank == notReserved && isEligible(step, room)) {
            wanted.emplace_back(-static_cast<double>(room.left.accelerators) * acceleratorWeight
                                    - static_cast<double>(room.left.milliCores),
                                i);
        }
    }
    std::sort(wanted.begin(), wanted.end());
    const auto count = std::min({tasks, wanted.size(), most - service.reservedRooms});
    for (std::size_t i = 0; i < count; ++i) {
        service.rooms[wanted[i].second].reservedRank = step.rank;
    }
    service.reservedRooms += count;
}

void placeSingly(placement_pass &pass, open_step &step, service_view &service)
{
    const auto &record = *findStep(*pass.state.work, step.name);
    std::size_t unplaced = 0;
    std::optional<std::vector<std::size_t>> candidates;
    for (std::uint32_t i = 0; i < record.tasks.size(); ++i) {
        const auto &task = record.tasks[i];
        if (task.status != task_status::Waiting) {
            continue;
        }
        auto name = step.name;
        name.index = i;
        if (pass.state.planned.contains(name)) {
            continue;
        }
        if (!isWithinTeamCap(pass, step, 1)) {
            return; // its own team's limit: nothing is kept free for it
        }
        if (!candidates) {
            candidates = candidatesFor(pass, step, service);
        }
        auto *room = unplaced == 0 ? bestRoom(pass, step, service, *candidates, nullptr) : nullptr;
        if (room == nullptr) {
            ++unplaced;
            continue;
        }
        proposeStart(pass, step, *room, name, task.run + 1, task.checkpoint);
        bookPlan(pass, step, service, *room, name, 1);
    }
    if (unplaced > 0) {
        ++service.failures;
        reserveFor(pass, step, service, unplaced);
        askAdmission(pass, step, service);
    }
}

using gang_plan = std::vector<std::pair<task_name, room_view *>>;

/** Books a room for each member, or for none. */
gang_plan bookGang(placement_pass &pass, open_step &step, service_view &service,
                   const std::vector<std::size_t> &candidates, std::size_t members,
                   const std::string_view *rack)
{
    gang_plan plan;
    for (std::uint32_t i = 0; i < members; ++i) {
        auto name = step.name;
        name.index = i;
        auto *room = bestRoom(pass, step, service, candidates, rack);
        if (room == nullptr) {
            for (const auto &[task, taken] : plan) {
                bookPlan(pass, step, service, *taken, task, -1);
            }
            return {};
        }
        bookPlan(pass, step, service, *room, name, 1);
        plan.emplace_back(name, room);
    }
    return plan;
}

gang_plan planGang(placement_pass &pass, open_step &step, service_view &service,
                   std::size_t members)
{
    const auto candidates = candidatesFor(pass, step, service);
    if (step.spec->same_rack()) {
        std::set<std::string_view> racks;
        for (const auto index : candidates) {
            racks.insert(service.rooms[index].rack);
        }
        for (const auto &rack : racks) {
            auto plan = bookGang(pass, step, service, candidates, members, &rack);
            if (!plan.empty()) {
                return plan;
            }
        }
    }
    return bookGang(pass, step, service, candidates, members, nullptr);
}

void placeGang(placement_pass &pass, open_step &step, service_view &service)
{
    const auto &record = *findStep(*pass.state.work, step.name);
    if (record.running > 0 || pass.state.planned.contains(step.name)
        || !isWithinTeamCap(pass, step, record.tasks.size())) {
        return;
    }
    const auto plan = planGang(pass, step, service, record.tasks.size());
    if (plan.empty()) {
        ++service.failures;
        reserveFor(pass, step, service, record.tasks.size());
        askAdmission(pass, step, service);
        return;
    }
    std::uint32_t run = 0;
    std::string checkpoint;
    for (const auto &task : record.tasks) {
        run = std::max(run, task.run + 1);
        checkpoint = checkpoint.empty() ? task.checkpoint : checkpoint;
    }
    for (const auto &[task, room] : plan) {
        proposeStart(pass, step, *room, task, run, checkpoint);
    }
}

using queue_index = std::unordered_map<std::string_view, const messages::work_queue *>;

open_step openStepOf(const dispatch_state &state, const queue_index &queues, const task_name &name,
                     const job_view &view, time_point now)
{
    open_step open;
    const auto &job = state.work->jobs.at(name.job);
    const auto configured = queues.find(job.job.queue());
    open.name = name;
    open.job = &job;
    open.spec = &specOf(job, name.step);
    open.queue = configured == queues.end() ? &job.job.taken_under() : configured->second;
    open.need = reservedBy(*open.spec);
    const auto objective = milliseconds {std::llround(static_cast<double>(view.chain.count)
                                                      * open.queue->slack_factor())}
        + milliseconds {open.queue->latency_objective_ms()};
    const auto left = view.chainFrom[name.step];
    open.slackMs = (view.begunAt.at(name.occurrence) + objective - now - left).count;
    const bool isLate = !open.spec->lasts() && open.slackMs < -left.count / 2;
    open.rank = open.queue->priority() + (isLate ? lateRank : 0);
    return open;
}

queue_index queuesOf(const dispatch_state &state)
{
    queue_index queues;
    for (const auto &queue : state.work->configuration.queues()) {
        queues.emplace(queue.name(), &queue);
    }
    return queues;
}

std::vector<open_step> openSteps(const dispatch_state &state, const queue_index &queues,
                                 time_point now)
{
    std::vector<open_step> steps;
    for (const auto &[id, view] : state.jobs) {
        for (const auto &[occurrence, step] : view.open) {
            steps.push_back(openStepOf(state, queues, {id, occurrence, step, 0}, view, now));
        }
    }
    std::sort(steps.begin(), steps.end(), [](const open_step &a, const open_step &b) {
        return std::tie(a.rank, a.slackMs) < std::tie(b.rank, b.slackMs);
    });
    return steps;
}

/** Asks for tickets of steps whose turn comes soon, where a ticket lives long enough for that. */
void askAhead(placement_pass &pass, const queue_index &queues)
{
    for (const auto &[id, view] : pass.state.jobs) {
        for (const auto &[occurrence, number] : view.coming) {
            const auto step =
                openStepOf(pass.state, queues, {id, occurrence, number, 0}, view, pass.now);
            const bool isQuick = step.queue->has_admission()
                && admissionTime(step.queue->admission(), targetsPerRequest) <= quickAdmission;
            if (!isQuick) {
                continue;
            }
            auto &admission = pass.state.admissions[step.name];
            if (!admission.asked.empty() || admission.openRequest != 0) {
                continue;
            }
            const auto &service = serviceOf(pass, step.queue->service());
            requestAdmission(pass.state, step.name, *step.queue,
                             targetsToAsk(pass, step, service, admission, false), pass.now);
        }
    }
}

bool isOpen(const work_job &job, const occurrence_record &occurrence, std::uint32_t step)
{
    const auto &record = occurrence.steps[step];
    const auto &spec = specOf(job, step);
    if (isStepDone(spec, record) || !isStepReady(job, occurrence, step)) {
        return false;
    }
    return record.done + record.running < record.tasks.size();
}

/** Whether all that a step waits for is under way, and half of it done. */
bool isComing(const work_job &job, const occurrence_record &occurrence, std::uint32_t step)
{
    const auto &needed = specOf(job, step).depends_on();
    return !isStepReady(job, occurrence, step)
        && std::all_of(needed.begin(), needed.end(), [&](std::int32_t each) {
               const auto index = static_cast<std::uint32_t>(each);
               const auto &record = occurrence.steps[index];
               return isStepDone(specOf(job, index), record)
                   || (record.done + record.running == record.tasks.size()
                       && record.done * 2 >= record.tasks.size());
           });
}

} // namespace

std::vector<milliseconds> chainsOf(const messages::staged_job &job)
{
    std::vector<milliseconds> chains(static_cast<std::size_t>(job.steps_size()));
    for (int step = job.steps_size() - 1; step >= 0; --step) {
        auto &chain = chains[static_cast<std::size_t>(step)];
        chain = chain + milliseconds {job.steps(step).estimate_ms()};
        for (const auto needed : job.steps(step).depends_on()) {
            auto &before = chains[static_cast<std::size_t>(needed)];
            before = std::max(before, chain); // its own estimate is added when its turn comes
        }
    }
    return chains;
}

void refreshJob(dispatch_state &state, const std::string &id, time_point now)
{
    const auto job = state.work->jobs.find(id);
    if (job == state.work->jobs.end() || job->second.isEnded()) {
        state.jobs.erase(id);
        for (auto view = state.admissions.lower_bound({id, 0, 0, 0});
             view != state.admissions.end() && view->first.job == id;) {
            view = view->second.openRequest == 0 ? state.admissions.erase(view) : std::next(view);
        }
        return;
    }
    auto &view = state.jobs[id];
    if (view.chainFrom.empty()) {
        view.chainFrom = chainsOf(job->second.job);
        view.chain = *std::max_element(view.chainFrom.begin(), view.chainFrom.end());
    }
    view.open.clear();
    view.coming.clear();
    for (const auto &[number, occurrence] : job->second.occurrences) {
        view.begunAt.emplace(number, now);
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (isOpen(job->second, occurrence, step)) {
                view.open.emplace(number, step);
            } else if (isComing(job->second, occurrence, step)) {
                view.coming.emplace(number, step);
            }
        }
    }
    state.isChanged = true;
}

void placeWaiting(dispatch_state &state, time_point now)
{
    placement_pass pass {state, now, {}};
    ++state.passes;
    const auto queues = queuesOf(state);
    auto steps = openSteps(state, queues, now);
    state.waitingSteps = steps.size();
    for (auto &step : steps) {
        auto &service = serviceOf(pass, step.queue->service());
        // Behind many that found no room, each step still has its turn in one of so many passes.
        const bool isSkipped = service.failures >= failuresPerPass
            && (std::hash<std::string> {}(step.name.job) + state.passes) % passesPerTurn != 0;
        if (isSkipped) {
            continue;
        }
        if (mindsCounts(*step.spec)) {
            step.onTarget = countsOnTargets(pass, step.name);
        }
        if (step.spec->is_gang()) {
            placeGang(pass, step, service);
        } else {
            placeSingly(pass, step, service);
        }
    }
    askAhead(pass, queues);
}

} // namespace filbert

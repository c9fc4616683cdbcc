#include "early_cancels.h"

#include "queue_lookup.h"

#include <algorithm>

namespace filbert {

namespace {

/** @return whether the caller of an early cancel may cancel a job that others submit */
bool mayCancel(const work_state &state, const job_access &caller, const job_access &job)
{
    const bool isSameTeam = !caller.team.empty() && caller.team == job.team;
    // Its team may have another name by now.
    const bool hasOwnKey = !caller.teamKeys.empty()
        && std::find(job.teamKeys.begin(), job.teamKeys.end(), caller.teamKeys.front())
            != job.teamKeys.end();
    const auto *queue = findQueueAt(state.configuration, {job.queue.host, job.queue.pathPrefix});
    // A queue that requires a key by now does so to keep others out.
    const bool isOpen = caller.isOpenToAll && job.isOpenToAll;
    return (isSameTeam || hasOwnKey || isOpen) && queue != nullptr
        && hasJobsOf(state.configuration, *queue, caller.queue);
}

void countCancel(work_state &state, const std::string &team, bool isAdded)
{
    auto &count = state.earlyCancelsByTeam[team];
    count += isAdded ? 1 : -1;
    if (count == 0) {
        state.earlyCancelsByTeam.erase(team);
    }
}

} // namespace

std::size_t earlyCancelsPerTeam(const messages::work_configuration &configuration)
{
    const auto parts = static_cast<std::size_t>(configuration.teams_size()) + 1; // and of no team
    return std::max<std::size_t>(maxEarlyCancels / parts, 1);
}

bool isCancelledEarly(const work_state &state, const std::string &id, const job_access &access)
{
    for (auto cancel = state.earlyCancels.lower_bound({id, {}});
         cancel != state.earlyCancels.end() && cancel->job == id; ++cancel) {
        if (mayCancel(state, cancel->caller, access)) {
            return true;
        }
    }
    return false;
}

bool isRemembered(const work_state &state, const early_cancel &cancel)
{
    return state.earlyCancels.contains(cancel);
}

bool hasRoomFor(const work_state &state, const early_cancel &cancel)
{
    const auto count = state.earlyCancelsByTeam.find(cancel.caller.team);
    return state.earlyCancels.size() < maxEarlyCancels
        && (count == state.earlyCancelsByTeam.end()
            || count->second < earlyCancelsPerTeam(state.configuration));
}

command_outcome applyEarlyCancel(work_state &state, const early_cancel &cancel, std::int64_t wallMs)
{
    if (const auto job = state.jobs.find(cancel.job); job != state.jobs.end()) {
        if (!mayCancel(state, cancel.caller, accessOf(job->second.job))) {
            return {error_kind::NotFound, "no such job"};
        }
        messages::work_command command;
        command.set_cancel(cancel.job);
        return applyCommand(state, command, wallMs);
    }
    if (isRemembered(state, cancel)) {
        return {};
    }
    if (!hasRoomFor(state, cancel)) {
        return {error_kind::Overloaded, "too many unknown jobs of the team were cancelled lately"};
    }
    state.earlyCancels.insert(cancel);
    countCancel(state, cancel.caller.team, true);
    return {};
}

void forgetCancels(work_state &state, const messages::forget_cancels_command &command)
{
    for (const auto &each : command.cancels()) {
        const auto cancel = toEarlyCancel(each);
        if (state.earlyCancels.erase(cancel) > 0) {
            countCancel(state, cancel.caller.team, false);
        }
    }
}

messages::early_cancel toMessage(const early_cancel &cancel)
{
    messages::early_cancel message;
    message.set_job(cancel.job);
    message.set_queue_host(cancel.caller.queue.host);
    message.set_queue_path_prefix(cancel.caller.queue.pathPrefix);
    message.set_queue_name(cancel.caller.queue.name);
    message.set_team(cancel.caller.team);
    message.set_is_open_to_all(cancel.caller.isOpenToAll);
    message.set_key(cancel.caller.teamKeys.empty() ? 0 : cancel.caller.teamKeys.front());
    return message;
}

early_cancel toEarlyCancel(const messages::early_cancel &message)
{
    early_cancel cancel;
    cancel.job = message.job();
    cancel.caller = {{message.queue_host(), message.queue_path_prefix(), message.queue_name()},
                     message.team(),
                     message.is_open_to_all(),
                     {}};
    if (message.key() != 0) {
        cancel.caller.teamKeys.push_back(message.key());
    }
    return cancel;
}

} // namespace filbert

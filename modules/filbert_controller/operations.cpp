#include "operations.h"

#include <algorithm>

namespace filbert {

namespace {

constexpr int defaultListLimit = 100;
constexpr int maxListLimit = 10'000;

int boundedLimit(int requested)
{
    return requested <= 0 ? defaultListLimit : std::min(requested, maxListLimit);
}

/** Adds the items that changed since a version, each with its newest value only.
    @return false if the deltas since that version are not kept any more
*/
bool addDelta(const cell_state &cell, std::int64_t from, messages::configuration_grant *grant)
{
    const auto current = cell.configuration.version();
    if (from <= 0 || from > current
        || (from < current && (cell.deltas.empty() || cell.deltas.front().version() > from + 1))) {
        return false;
    }
    std::map<std::string, const messages::configuration_item *> newest;
    for (const auto &delta : cell.deltas) {
        for (const auto &item : delta.items()) {
            if (delta.version() > from) {
                newest[item.key()] = &item;
            }
        }
    }
    for (const auto &[key, item] : newest) {
        *grant->add_items() = *item;
    }
    grant->set_from_version(from);
    return true;
}

void addAllItems(const cell_state &cell, messages::configuration_grant *grant)
{
    for (const auto &[key, value] : cell.configuration.items()) {
        auto *item = grant->add_items();
        item->set_key(key);
        item->set_value(value);
    }
}

void addTeams(const controller_state &state, messages::status_reply *answer)
{
    for (const auto &[name, team] : state.cell.configuration.teams()) {
        auto *row = answer->add_teams();
        row->set_name(name);
        row->set_share(team.share());
        *row->mutable_upper_limit() = team.upper_limit();
        const auto used = state.cell.usedByTeam.find(name);
        if (used != state.cell.usedByTeam.end()) {
            *row->mutable_used() = messageOf(used->second);
            row->set_used_share(dominantShare(used->second, state.scheduler.index.totalCapacity));
        }
        const auto found = state.scheduler.teams.find(name);
        if (found != state.scheduler.teams.end()) {
            const auto &counts = found->second.waitingCount;
            row->set_waiting(static_cast<int>(counts[0] + counts[1] + counts[2]));
        }
    }
    std::sort(answer->mutable_teams()->begin(), answer->mutable_teams()->end(),
              [](const auto &a, const auto &b) { return a.name() < b.name(); });
}

void addTargets(const controller_state &state, messages::status_reply *answer)
{
    for (const auto &[name, target] : state.cell.targets) {
        auto *row = answer->add_targets();
        row->set_name(name);
        row->set_address(target.registration.address());
        row->set_failure_domain(target.registration.failure_domain());
        *row->mutable_capacity() = target.registration.capacity();
        *row->mutable_used() = messageOf(target.used);
        const auto live = state.liveness.find(name);
        const auto health = state.scheduler.health.find(name);
        if (live == state.liveness.end() || !live->second.hasHeartbeat) {
            row->set_state("silent");
        } else if (live->second.isLeaving) {
            row->set_state("leaving");
        } else if (health != state.scheduler.health.end() && health->second.isQuarantined) {
            row->set_state("quarantined");
            row->set_reason(std::to_string(health->second.consecutiveFailures.size())
                            + " different jobs failed in a row");
        } else {
            row->set_state("ready");
        }
    }
}

void addQueues(const controller_state &state, messages::status_reply *answer)
{
    std::map<std::string, int> waiting;
    for (const auto &[workId, item] : state.scheduler.waiting) {
        ++waiting[item.queue];
    }
    for (const auto &[name, queue] : state.cell.configuration.queues()) {
        auto *row = answer->add_queues();
        row->set_name(name);
        row->set_policy(queue.policy());
        row->set_waiting(waiting[name]);
    }
}

std::string stateName(const job_record &job, const task_counts &counts)
{
    const auto count = [&](task_state state) { return counts.byState[static_cast<int>(state)]; };
    if (job.endedMs == 0) {
        if (!job.holdReason.empty()) {
            return "held";
        }
        return count(task_state::Running) > 0 ? "running" : "waiting";
    }
    if (count(task_state::Unknown) > 0) {
        return "unknown";
    }
    if (count(task_state::Failed) > 0) {
        return "failed";
    }
    return count(task_state::Cancelled) > 0 ? "cancelled" : "succeeded";
}

} // namespace

bool isInForce(const controller_state &state, std::int64_t version, time_point now)
{
    const auto lease = withClockRateMargin(state.settings.configurationLease);
    if (state.cell.configuration.version() < version || now - state.leadingSince < lease) {
        return false; // leases that an earlier leader granted may still hold
    }
    return std::all_of(state.gateways.begin(), state.gateways.end(), [&](const auto &entry) {
        return entry.second.version >= version || entry.second.leaseExpiresAt <= now;
    });
}

void handleHello(controller_state &state, const reply_address &from,
                 const messages::gateway_hello &hello, time_point now)
{
    if (hello.leaving()) {
        state.gateways.erase(hello.gateway());
        return;
    }
    auto &gateway = state.gateways[hello.gateway()];
    const auto lease = state.settings.configurationLease;
    const auto &configuration = state.cell.configuration;
    const bool isConsistent =
        hello.version() != configuration.version() || hello.digest() == configuration.digest();
    messages::envelope envelope;
    auto *grant = envelope.mutable_grant();
    if (!isConsistent || !addDelta(state.cell, hello.version(), grant)) {
        addAllItems(state.cell, grant);
    }
    gateway.version = hello.version();
    gateway.leaseExpiresAt = now + withClockRateMargin(lease);
    std::erase_if(state.gateways,
                  [&](const auto &entry) { return entry.second.leaseExpiresAt <= now; });
    grant->set_version(configuration.version());
    grant->set_digest(configuration.digest());
    grant->set_lease_ms(lease.count);
    grant->set_gateways(static_cast<int>(state.gateways.size()));
    grant->set_members_index(state.log.membershipIndex);
    if (hello.members_index() != state.log.membershipIndex) {
        *grant->mutable_members() = state.log.membership;
    }
    reply(state, from, std::move(envelope));
}

void handleApply(controller_state &state, const reply_address &from,
                 const messages::apply_request &request)
{
    const auto problems = validateConfiguration(request.next());
    const auto &current = state.cell.configuration;
    const auto items = itemsOf(request.next());
    const auto changes = changesBetween(current.items(), items);
    messages::command command;
    auto *change = command.mutable_configuration();
    change->set_base_version(request.base_version());
    change->set_request_id(request.request_id());
    change->set_author(request.author());
    change->set_digest(digestOfItems(items));
    change->set_summary(summarizeChanges(changes));
    if (!problems.empty()) {
        change->set_refusal(problems.front().field + ": expected " + problems.front().expected);
    } else {
        change->mutable_items()->Assign(changes.begin(), changes.end());
    }
    proposeCommand(state, std::move(command), from);
}

void handleStatusRequest(controller_state &state, const reply_address &from,
                         const messages::status_request &request, time_point now)
{
    messages::envelope envelope;
    auto *answer = envelope.mutable_status_reply();
    const auto &configuration = state.cell.configuration;
    answer->set_version(configuration.version());
    answer->set_digest(configuration.digest());
    answer->set_leader(state.log.leader);
    answer->set_term(state.log.term);
    answer->set_applied(state.log.appliedIndex);
    *answer->mutable_members() = state.log.membership;
    answer->set_in_force(isInForce(state, std::max<std::int64_t>(request.version(), 0), now));
    if (request.what() == "audit") {
        const auto &audit = state.cell.audit;
        const auto count = std::min<std::size_t>(
            audit.size(), static_cast<std::size_t>(boundedLimit(request.limit())));
        for (auto record = audit.end() - static_cast<std::ptrdiff_t>(count); record != audit.end();
             ++record) {
            *answer->add_audit() = *record;
        }
    } else if (request.what() == "configuration") {
        *answer->mutable_configuration() = configuration.toMessage();
    } else if (request.what() == "status") {
        answer->set_cell(configuration.toMessage().cell());
        addTeams(state, answer);
        addTargets(state, answer);
        addQueues(state, answer);
        for (const auto &[name, gateway] : state.gateways) {
            auto *row = answer->add_gateways();
            row->set_name(name);
            row->set_version(gateway.version);
        }
    }
    reply(state, from, std::move(envelope));
}

messages::job_status statusOf(const controller_state &state, const job_record &job, time_point now)
{
    const auto &submission = job.submission;
    const auto counts = countTasks(job);
    const auto count = [&](task_state taskState) {
        return static_cast<int>(counts.byState[static_cast<int>(taskState)]);
    };
    messages::job_status status;
    status.set_id(submission.id());
    status.set_team(submission.team());
    status.set_queue(submission.queue());
    status.set_name(submission.name());
    status.set_state(stateName(job, counts));
    status.set_tasks(static_cast<int>(job.tasks.size()));
    status.set_waiting(count(task_state::Waiting));
    status.set_running(count(task_state::Running));
    status.set_succeeded(count(task_state::Succeeded));
    status.set_failed(count(task_state::Failed));
    status.set_cancelled(count(task_state::Cancelled));
    status.set_unknown(count(task_state::Unknown));
    if (!job.holdReason.empty()) {
        status.set_reason(job.holdReason);
    } else if (status.waiting() > 0) {
        const auto reason = explainWaiting(state.scheduler, submission.id(), now);
        status.set_reason(reason.text);
        status.set_position(reason.position);
        status.set_waiting_ms(reason.waited.count);
    }
    return status;
}

void handleJobQuery(controller_state &state, const reply_address &from,
                    const messages::job_query &query, time_point now)
{
    messages::envelope envelope;
    if (query.id() != 0) {
        const auto found = state.cell.jobs.find(query.id());
        const bool mayRead = found != state.cell.jobs.end()
            && (query.operator_view() || found->second.submission.team() == query.team());
        if (!mayRead) {
            refuse(state, from, error_kind::NotFound, "no such job");
            return;
        }
        *envelope.mutable_job()->mutable_job() = statusOf(state, found->second, now);
        reply(state, from, std::move(envelope));
        return;
    }
    std::vector<std::uint64_t> ids;
    for (const auto &[id, job] : state.cell.jobs) {
        if (query.operator_view() || job.submission.team() == query.team()) {
            ids.push_back(id);
        }
    }
    std::sort(ids.begin(), ids.end(), std::greater<> {});
    ids.resize(
        std::min<std::size_t>(ids.size(), static_cast<std::size_t>(boundedLimit(query.limit()))));
    auto *list = envelope.mutable_jobs();
    for (const auto id : ids) {
        *list->add_jobs() = statusOf(state, state.cell.jobs.at(id), now);
    }
    reply(state, from, std::move(envelope));
}

void handleMemberChange(controller_state &state, const reply_address &from,
                        const messages::member_change &change, time_point now)
{
    const bool isAddition = change.action() == "add";
    const auto &member = change.member();
    if (isAddition && (member.identity().empty() || member.address().empty())) {
        refuse(state, from, error_kind::Malformed, "a member needs an identity and an address");
        return;
    }
    const auto error = changeMembership(state.log, isAddition, member, now, &state.effects);
    if (error) {
        refuse(state, from, errorKindOf(error), "");
        return;
    }
    messages::command command;
    auto *note = command.mutable_note();
    note->set_author(change.author());
    note->set_summary(change.action() + " member " + member.identity() + " " + member.address());
    note->set_outcome("accepted");
    proposeCommand(state, std::move(command), from);
}

} // namespace filbert

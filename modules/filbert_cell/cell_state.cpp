#include "cell_state.h"

#include <algorithm>
#include <xxhash.h>

namespace filbert {

namespace {

constexpr int maxTaskFailures = 4; // then the task fails for good
constexpr std::size_t distinctTargetsToHold = 3; // a job that failed on that many is held

void setTaskState(cell_state &state, task_record &task, task_state next)
{
    --state.taskCounts.byState[static_cast<int>(task.state)];
    task.state = next;
    ++state.taskCounts.byState[static_cast<int>(next)];
}

/** Sets the end of a job whose tasks have all ended, and discards the oldest ended jobs. */
void endJobIfFinished(cell_state &state, job_record &job, std::int64_t wallMs)
{
    if (job.endedMs != 0 || !hasEnded(job)) {
        return;
    }
    job.endedMs = std::max<std::int64_t>(wallMs, 1);
    job.submission.clear_payload();
    state.endedJobIds.push_back(job.submission.id());
    while (state.endedJobIds.size() > state.limits.maxEndedJobs) {
        state.jobs.remove(state.endedJobIds.front());
        state.endedJobIds.pop_front();
    }
}

messages::idempotency_record &addIdempotencyRecord(cell_state &state, const std::string &key,
                                                   std::int64_t wallMs)
{
    const auto number = ++state.lastIdempotencyNumber;
    state.idempotencyNumbers[key] = number;
    auto &record = state.idempotencyRecords.add(number, {});
    record.set_key(key);
    record.set_wall_ms(wallMs);
    record.set_number(number);
    return record;
}

void removeIdempotencyRecord(cell_state &state, const std::string &key)
{
    state.idempotencyRecords.remove(state.idempotencyNumbers.at(key));
    state.idempotencyNumbers.erase(key);
}

/** Removes idempotency records that are older than the retention period. */
void expireIdempotencyRecords(cell_state &state, std::int64_t wallMs)
{
    while (!state.idempotencyRecords.empty()) {
        const auto &[number, oldest] = *state.idempotencyRecords.begin();
        if (oldest.wall_ms() + state.limits.idempotencyRetentionMs >= wallMs) {
            return;
        }
        const auto record = state.idempotencyRecords.remove(number);
        state.idempotencyNumbers.erase(record.key());
        if (record.placement_id() == 0) {
            continue;
        }
        // Its placement has not ended, so the record is kept for another retention period.
        auto &renewedRecord = addIdempotencyRecord(state, record.key(), wallMs);
        const auto newNumber = renewedRecord.number();
        renewedRecord = record;
        renewedRecord.set_number(newNumber);
        renewedRecord.set_wall_ms(wallMs);
    }
}

bool isIdempotencyTableFull(const cell_state &state)
{
    return state.idempotencyRecords.size() >= state.limits.maxIdempotencyRecords;
}

// ---- configuration --------------------------------------------------------------------------

/** @return the audit record of an accepted change by its request id, or nullptr */
const messages::audit_record *findRequest(const cell_state &state, const std::string &requestId)
{
    const auto found =
        std::find_if(state.audit.rbegin(), state.audit.rend(), [&](const auto &record) {
            return !requestId.empty() && record.request_id() == requestId
                && record.outcome() == "accepted";
        });
    return found == state.audit.rend() ? nullptr : &*found;
}

void addAudit(cell_state &state, messages::audit_record record)
{
    state.audit.push_back(std::move(record));
    if (state.audit.size() > state.limits.maxAuditRecords) {
        state.audit.pop_front();
    }
}

apply_outcome applyConfiguration(cell_state &state, const messages::configuration_change &change,
                                 std::int64_t wallMs)
{
    apply_outcome outcome;
    if (const auto *earlier = findRequest(state, change.request_id())) {
        const bool isSame = earlier->digest() == change.digest();
        outcome.error = isSame ? error_kind::None : error_kind::KeyReused;
        outcome.isDuplicate = true;
        outcome.version = earlier->version();
        outcome.digest = earlier->digest();
        outcome.detail = earlier->summary();
        return outcome;
    }
    messages::audit_record record;
    record.set_wall_ms(wallMs);
    record.set_author(change.author());
    record.set_base_version(change.base_version());
    record.set_digest(change.digest());
    record.set_summary(change.summary());
    record.set_request_id(change.request_id());
    auto &configuration = state.configuration;
    if (!change.refusal().empty()) {
        record.set_outcome("refused: " + change.refusal());
        outcome.error = error_kind::Malformed;
        outcome.detail = change.refusal();
    } else if (change.base_version() != configuration.version()) {
        outcome.error = error_kind::Conflict;
        outcome.detail = "the current version is " + std::to_string(configuration.version());
        for (auto last = state.audit.rbegin(); last != state.audit.rend(); ++last) {
            if (last->outcome() == "accepted") {
                outcome.detail += ", set by " + last->author() + " at "
                    + std::to_string(last->wall_ms()) + ": " + last->summary();
                break;
            }
        }
        record.set_outcome("refused: " + outcome.detail);
    } else {
        const auto previousVersion = configuration.version();
        configuration.applyChanges(change.items(), previousVersion + 1);
        FILBERT_INVARIANT(configuration.digest() == change.digest(),
                          "an accepted configuration has the digest of the submitted one");
        FILBERT_INVARIANT(configuration.version() > previousVersion,
                          "configuration versions only increase");
        messages::configuration_delta delta;
        delta.set_version(configuration.version());
        *delta.mutable_items() = change.items();
        state.deltas.push_back(std::move(delta));
        if (state.deltas.size() > state.limits.maxDeltas) {
            state.deltas.pop_front();
        }
        record.set_outcome("accepted");
    }
    record.set_version(configuration.version());
    outcome.version = configuration.version();
    outcome.digest = configuration.digest();
    addAudit(state, std::move(record));
    return outcome;
}

// ---- placements -----------------------------------------------------------------------------

/** Moves a job's task to its next state after the end of its placement. */
void recordJobResult(cell_state &state, ended_placement *ended, std::int64_t wallMs)
{
    const auto &placement = ended->placement;
    if (!state.jobs.contains(placement.jobId)) {
        return;
    }
    auto &job = state.jobs.edit(placement.jobId);
    auto &task = job.tasks.at(static_cast<std::size_t>(placement.taskIndex));
    FILBERT_INVARIANT(task.state == task_state::Running && task.placement == placement.id,
                      "a placement that ends is the one in which its task runs");
    task.placement = 0;
    const bool mayRunAgain = ended->result == messages::NOT_RUN || placement.isIdempotent;
    if (ended->result == messages::FAILED) {
        ++task.failures;
        job.failedTargets.insert(placement.target);
    }
    if (ended->result == messages::SUCCEEDED) {
        setTaskState(state, task, task_state::Succeeded);
    } else if (mayRunAgain && job.isCancelled) {
        setTaskState(state, task, task_state::Cancelled);
    } else if (mayRunAgain && task.failures < maxTaskFailures) {
        setTaskState(state, task, task_state::Waiting);
        ended->isTaskRequeued = true;
        if (job.failedTargets.size() >= distinctTargetsToHold && job.holdReason.empty()) {
            job.holdReason = "failed on " + std::to_string(job.failedTargets.size())
                + " different targets: " + ended->reason;
        }
    } else {
        setTaskState(state, task,
                     ended->result == messages::UNKNOWN ? task_state::Unknown : task_state::Failed);
    }
    endJobIfFinished(state, job, wallMs);
}

/** Stores the answer of a synchronous request in its idempotency record. Where an answer is too
    large to be stored, the outcome stays unknown to later requests with the same key.
*/
void recordAnswer(cell_state &state, const placement_record &placement,
                  const messages::placement_end &end)
{
    const auto *known = findIdempotencyRecord(state, placement.idempotencyRecordKey);
    if (known == nullptr) {
        return;
    }
    if (end.result() == messages::NOT_RUN) {
        // It did not run, so a retry may.
        removeIdempotencyRecord(state, placement.idempotencyRecordKey);
        return;
    }
    auto &record = state.idempotencyRecords.edit(known->number());
    FILBERT_INVARIANT(record.placement_id() == placement.id,
                      "an idempotency key has one placement at a time");
    record.set_placement_id(0);
    record.set_result(end.result());
    const bool fits = end.body().size() <= state.limits.maxStoredAnswerBytes;
    if (end.result() != messages::UNKNOWN && fits) {
        record.set_status(end.status());
        record.set_content_type(end.content_type());
        record.set_body(end.body());
    } else if (!fits) {
        record.set_result(messages::UNKNOWN);
    }
}

/** Ends a placement and releases its resources. @return whether the placement was known */
bool endPlacement(cell_state &state, const messages::placement_end &end, std::int64_t wallMs,
                  apply_outcome *outcome)
{
    if (!state.placements.contains(end.placement_id())) {
        return false;
    }
    ended_placement ended {state.placements.remove(end.placement_id()), end.result(), false,
                           end.reason()};
    const auto &placement = ended.placement;
    auto &target = state.targets.at(placement.target);
    target.used -= placement.need;
    target.placements.erase(placement.id);
    state.usedByTeam[placement.team] -= placement.need;
    FILBERT_INVARIANT(fitsWithin({}, target.used), "the usage of a target is never negative");
    if (!placement.idempotencyRecordKey.empty()) {
        recordAnswer(state, placement, end);
    }
    if (placement.jobId != 0) {
        recordJobResult(state, &ended, wallMs);
    }
    outcome->ended.push_back(std::move(ended));
    return true;
}

/** @return why a placement must be rejected, or None */
error_kind checkPlacement(const cell_state &state, const messages::placement &place,
                          const resource_amounts &need, std::string *detail)
{
    const auto target = state.targets.find(place.target());
    if (target == state.targets.end() || target->second.registration.leaving()
        || target->second.registration.epoch() != place.target_epoch()) {
        *detail = "the target has been removed, is leaving or has restarted";
        return error_kind::NoCapacity;
    }
    const auto capacity = amountsOf(target->second.registration.capacity());
    if (!fitsWithin(target->second.used + need, capacity)) {
        *detail = "the target has not enough free resources";
        return error_kind::NoCapacity;
    }
    const auto *team = state.configuration.team(place.team());
    if (team == nullptr) {
        *detail = "the team is not configured";
        return error_kind::Forbidden;
    }
    const auto used = state.usedByTeam.find(place.team());
    const auto teamUsage = used == state.usedByTeam.end() ? resource_amounts {} : used->second;
    if (!fitsWithin(teamUsage + need, limitOf(*team))) {
        *detail = "the team is at its upper limit";
        return error_kind::LimitReached;
    }
    if (state.placements.contains(place.id())) {
        return error_kind::Internal;
    }
    if (place.job_id() == 0) {
        return error_kind::None;
    }
    const auto job = state.jobs.find(place.job_id());
    if (job == state.jobs.end() || job->second.isCancelled || !job->second.holdReason.empty()
        || place.task_index() < 0
        || static_cast<std::size_t>(place.task_index()) >= job->second.tasks.size()
        || job->second.tasks[static_cast<std::size_t>(place.task_index())].state
            != task_state::Waiting) {
        *detail = "the task is no longer waiting";
        return error_kind::Conflict;
    }
    return error_kind::None;
}

apply_outcome applyPlacement(cell_state &state, const messages::placement &place,
                             std::int64_t wallMs)
{
    apply_outcome outcome;
    const auto recordKey = place.idempotency_key().empty()
        ? std::string {}
        : idempotencyRecordKey(place.team(), "service/" + place.service(), place.idempotency_key());
    if (const auto *existing = findIdempotencyRecord(state, recordKey)) {
        outcome.storedRecord = *existing;
        outcome.isDuplicate = true;
        outcome.error = existing->request_digest() == place.request_digest()
            ? error_kind::OutcomeUnknown
            : error_kind::KeyReused;
        return outcome;
    }
    const auto need = taskNeedOf(place.task());
    outcome.error = checkPlacement(state, place, need, &outcome.detail);
    if (outcome.error == error_kind::None && !recordKey.empty() && isIdempotencyTableFull(state)) {
        outcome.error = error_kind::Overloaded;
        outcome.detail = "the table of idempotency records is full";
    }
    if (outcome.error != error_kind::None) {
        return outcome;
    }
    if (!recordKey.empty()) {
        auto &record = addIdempotencyRecord(state, recordKey, wallMs);
        record.set_placement_id(place.id());
        record.set_request_digest(place.request_digest());
        record.set_result(messages::UNKNOWN);
    }
    auto &target = state.targets.at(place.target());
    target.used += need;
    target.placements.insert(place.id());
    state.usedByTeam[place.team()] += need;
    if (place.job_id() != 0) {
        auto &task =
            state.jobs.edit(place.job_id()).tasks.at(static_cast<std::size_t>(place.task_index()));
        setTaskState(state, task, task_state::Running);
        task.placement = place.id();
    }
    state.placements.add(place.id(),
                         placement_record {place.id(), place.job_id(), place.target_epoch(),
                                           place.start_by(), place.target(), place.team(),
                                           place.service(), recordKey, need, place.task_index(),
                                           place.idempotent()});
    FILBERT_INVARIANT(fitsWithin(target.used, amountsOf(target.registration.capacity())),
                      "no target is overcommitted");
    FILBERT_INVARIANT(fitsWithin(state.usedByTeam[place.team()],
                                 limitOf(*state.configuration.team(place.team()))),
                      "no team is above its upper limit");
    return outcome;
}

/** Applies all placements of a gang. If one is rejected, those before it are undone. */
apply_outcome applyGang(cell_state &state, const messages::gang_placement &gang,
                        std::int64_t wallMs)
{
    for (int i = 0; i < gang.placements_size(); ++i) {
        auto outcome = applyPlacement(state, gang.placements(i), wallMs);
        if (outcome.error == error_kind::None) {
            continue;
        }
        for (int applied = 0; applied < i; ++applied) {
            messages::placement_end end;
            end.set_placement_id(gang.placements(applied).id());
            end.set_result(messages::NOT_RUN);
            apply_outcome ignored;
            endPlacement(state, end, wallMs, &ignored);
        }
        return outcome;
    }
    return {};
}

// ---- targets --------------------------------------------------------------------------------

/** Registers a target, or updates it. A registration of an older incarnation is rejected. */
apply_outcome applyTarget(cell_state &state, const messages::target_registration &registration)
{
    apply_outcome outcome;
    auto &target = state.targets[registration.name()];
    if (registration.epoch() < target.registration.epoch()) {
        outcome.error = error_kind::Conflict;
        outcome.detail = "a newer incarnation of this target is registered";
        return outcome;
    }
    target.registration = registration;
    return outcome;
}

/** Removes a target. The outcome of the placements that were running on it is unknown. */
apply_outcome applyTargetRemoval(cell_state &state, const std::string &name, std::int64_t wallMs)
{
    apply_outcome outcome;
    const auto found = state.targets.find(name);
    if (found == state.targets.end()) {
        outcome.error = error_kind::NotFound;
        return outcome;
    }
    std::vector<std::uint64_t> ids {found->second.placements.begin(),
                                    found->second.placements.end()};
    std::sort(ids.begin(), ids.end());
    for (const auto id : ids) {
        messages::placement_end end;
        end.set_placement_id(id);
        end.set_result(messages::UNKNOWN);
        end.set_reason("the lease of target " + name + " ended");
        endPlacement(state, end, wallMs, &outcome);
    }
    state.targets.erase(found);
    return outcome;
}

// ---- jobs -----------------------------------------------------------------------------------

apply_outcome applySubmission(cell_state &state, const messages::job_submission &submission,
                              std::int64_t wallMs)
{
    apply_outcome outcome;
    const auto recordKey = submission.idempotency_key().empty()
        ? std::string {}
        : idempotencyRecordKey(submission.team(), "queue/" + submission.queue(),
                               submission.idempotency_key());
    if (const auto *existing = findIdempotencyRecord(state, recordKey)) {
        outcome.jobId = existing->job_id();
        outcome.isDuplicate = true;
        return outcome;
    }
    if (!recordKey.empty() && isIdempotencyTableFull(state)) {
        outcome.error = error_kind::Overloaded;
        outcome.detail = "the table of idempotency records is full";
        return outcome;
    }
    const auto id = state.nextJobId++;
    auto &job = state.jobs.add(id, {});
    job.submission = submission;
    job.submission.set_id(id);
    job.submittedMs = wallMs;
    job.tasks.resize(static_cast<std::size_t>(std::max(submission.tasks(), 1)));
    state.taskCounts.accepted += static_cast<std::int64_t>(job.tasks.size());
    state.taskCounts.byState[static_cast<int>(task_state::Waiting)] +=
        static_cast<std::int64_t>(job.tasks.size());
    if (!recordKey.empty()) {
        addIdempotencyRecord(state, recordKey, wallMs).set_job_id(id);
    }
    outcome.jobId = id;
    return outcome;
}

apply_outcome applyJobChange(cell_state &state, const messages::job_change &change,
                             std::int64_t wallMs)
{
    apply_outcome outcome;
    outcome.jobId = change.id();
    if (!state.jobs.contains(change.id())) {
        outcome.error = error_kind::NotFound;
        return outcome;
    }
    auto &job = state.jobs.edit(change.id());
    switch (change.action()) {
    case messages::CANCEL:
        job.isCancelled = true;
        for (auto &task : job.tasks) {
            if (task.state == task_state::Waiting) {
                setTaskState(state, task, task_state::Cancelled);
            }
        }
        endJobIfFinished(state, job, wallMs);
        break;
    case messages::HOLD:
        job.holdReason = change.reason().empty() ? "held by an operator" : change.reason();
        break;
    case messages::RELEASE:
        job.holdReason.clear();
        job.failedTargets.clear();
        break;
    default:
        outcome.error = error_kind::Malformed;
    }
    return outcome;
}

apply_outcome applyBody(cell_state &state, const messages::command &command, std::int64_t wallMs)
{
    using body = messages::command::BodyCase;
    switch (command.body_case()) {
    case body::kConfiguration:
        return applyConfiguration(state, command.configuration(), wallMs);
    case body::kTarget:
        return applyTarget(state, command.target());
    case body::kPlace:
        return applyPlacement(state, command.place(), wallMs);
    case body::kPlaceGang:
        return applyGang(state, command.place_gang(), wallMs);
    case body::kEnd: {
        apply_outcome outcome;
        if (!endPlacement(state, command.end(), wallMs, &outcome)) {
            outcome.error = error_kind::NotFound;
        }
        return outcome;
    }
    case body::kSubmit:
        return applySubmission(state, command.submit(), wallMs);
    case body::kChange:
        return applyJobChange(state, command.change(), wallMs);
    case body::kRemoveTarget:
        return applyTargetRemoval(state, command.remove_target(), wallMs);
    case body::kNote: {
        auto note = command.note();
        note.set_wall_ms(wallMs);
        note.set_version(state.configuration.version());
        addAudit(state, std::move(note));
        return {};
    }
    case body::BODY_NOT_SET:
        break;
    }
    // The command is of a newer software version; all members of this version ignore it alike.
    return {};
}

/** The effects of a command that go into the running digest, as bytes. They include the previous
    digest, so the digests of two members that differ once stay different.
*/
struct digest_input
{
    std::uint64_t previousDigest;
    std::uint64_t error;
    std::uint64_t placements;
    std::uint64_t jobs;
    std::uint64_t records;
    std::uint64_t version;
    std::int64_t running;
    std::int64_t waiting;
};

} // namespace

apply_outcome applyCommand(cell_state &state, const messages::command &command, std::int64_t wallMs)
{
    expireIdempotencyRecords(state, wallMs);
    auto outcome = applyBody(state, command, wallMs);
    ++state.commandsApplied;
    const digest_input input {state.digest,
                              static_cast<std::uint64_t>(outcome.error),
                              state.placements.size(),
                              state.jobs.size(),
                              state.idempotencyRecords.size(),
                              static_cast<std::uint64_t>(state.configuration.version()),
                              state.taskCounts.byState[static_cast<int>(task_state::Running)],
                              state.taskCounts.byState[static_cast<int>(task_state::Waiting)]};
    state.digest = XXH64(&input, sizeof input, state.commandsApplied);
    return outcome;
}

const messages::idempotency_record *findIdempotencyRecord(const cell_state &state,
                                                          const std::string &key)
{
    const auto found = state.idempotencyNumbers.find(key);
    return found == state.idempotencyNumbers.end() ? nullptr
                                                   : &state.idempotencyRecords.at(found->second);
}

bool hasEnded(const job_record &job)
{
    return std::none_of(job.tasks.begin(), job.tasks.end(), [](const auto &task) {
        return task.state == task_state::Waiting || task.state == task_state::Running;
    });
}

task_counts countTasks(const job_record &job)
{
    task_counts counts;
    for (const auto &task : job.tasks) {
        ++counts.accepted;
        ++counts.byState[static_cast<int>(task.state)];
    }
    return counts;
}

std::string idempotencyRecordKey(const std::string &team, const std::string &scope,
                                 const std::string &key)
{
    return team + "/" + scope + "/" + key;
}

void checkCellInvariants(const cell_state &state)
{
    std::map<std::string, resource_amounts> byTarget;
    std::map<std::string, resource_amounts> byTeam;
    for (const auto &[id, placement] : state.placements) {
        byTarget[placement.target] += placement.need;
        byTeam[placement.team] += placement.need;
        FILBERT_INVARIANT(state.targets.at(placement.target).placements.contains(id),
                          "a placement is listed at its target");
        if (placement.jobId != 0) {
            const auto &task = state.jobs.at(placement.jobId)
                                   .tasks.at(static_cast<std::size_t>(placement.taskIndex));
            FILBERT_INVARIANT(task.state == task_state::Running && task.placement == id,
                              "a placement's task is running in it");
        }
    }
    for (const auto &[name, target] : state.targets) {
        FILBERT_INVARIANT(target.used == byTarget[name], "a target uses the sum of its placements");
    }
    for (const auto &[name, used] : state.usedByTeam) {
        FILBERT_INVARIANT(used == byTeam[name], "a team uses the sum of its placements");
    }
    std::int64_t sum = 0;
    for (const auto count : state.taskCounts.byState) {
        FILBERT_INVARIANT(count >= 0, "no task count is negative");
        sum += count;
    }
    FILBERT_INVARIANT(sum == state.taskCounts.accepted,
                      "the task counts add up to all accepted tasks");
}

} // namespace filbert

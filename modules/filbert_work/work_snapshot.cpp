#include "work_snapshot.h"

#include "early_cancels.h"
#include "evacuation_messages.h"

namespace filbert {

namespace {

void writeStep(const step_record &step, messages::step_record_image *image)
{
    image->set_is_gang_done(step.isGangDone);
    image->set_gang_failures(step.gangFailures);
    image->set_failed_run(step.failedRun);
    for (const auto &task : step.tasks) {
        auto *out = image->add_tasks();
        out->set_status(static_cast<std::uint32_t>(task.status));
        out->set_run(task.run);
        out->set_failures(task.failures);
        out->set_checkpoint(task.checkpoint);
        out->set_target(task.target);
        out->set_born(task.incarnation);
        out->set_crashes(task.crashes);
        out->set_possible_crashes(task.possibleCrashes);
        out->set_suspicion(task.suspicion);
    }
}

step_record readStep(const messages::step_record_image &image)
{
    step_record step;
    step.isGangDone = image.is_gang_done();
    step.gangFailures = image.gang_failures();
    step.failedRun = image.failed_run();
    for (const auto &task : image.tasks()) {
        step.tasks.push_back({static_cast<task_status>(task.status()), task.run(), task.failures(),
                              task.checkpoint(), task.target(), task.born(), task.crashes(),
                              task.possible_crashes(), task.suspicion()});
    }
    return step;
}

void writeJob(const work_job &job, messages::job_record_image *image)
{
    *image->mutable_job() = job.job;
    image->set_status(static_cast<std::uint32_t>(job.status));
    image->set_ended_wall_ms(job.endedWallMs);
    image->set_has_started(job.hasStarted || job.hasBegun);
    image->set_has_not_begun(!job.hasBegun);
    for (const auto &[number, occurrence] : job.occurrences) {
        auto *out = image->add_occurrences();
        out->set_number(number);
        for (const auto &step : occurrence.steps) {
            writeStep(step, out->add_steps());
        }
    }
}

work_job readJob(const messages::job_record_image &image)
{
    work_job job;
    job.job = image.job();
    job.status = static_cast<job_status>(image.status());
    job.endedWallMs = image.ended_wall_ms();
    job.hasStarted = image.has_started();
    job.hasBegun = image.has_started() && !image.has_not_begun();
    for (const auto &occurrence : image.occurrences()) {
        auto &record = job.occurrences[occurrence.number()];
        for (const auto &step : occurrence.steps()) {
            record.steps.push_back(readStep(step));
        }
    }
    return job;
}

} // namespace

std::string writeWorkState(const work_state &state)
{
    messages::work_state_image image;
    *image.mutable_configuration() = state.configuration;
    for (const auto &[id, job] : state.jobs) {
        writeJob(job, image.add_jobs());
    }
    for (const auto &[id, registered] : state.targets) {
        auto *out = image.add_lives();
        *out->mutable_about() = registered.registration;
        out->set_last_seen(registered.lastAppliedEnd);
        out->set_is_over(registered.hasEnded);
        out->set_restarted_wall_ms(registered.restartedWallMs);
        out->set_restarts(registered.restarts);
    }
    writeEvacuatedDomains(state.evacuatedDomains, &image);
    for (const auto &cancel : state.earlyCancels) {
        *image.add_early_cancels() = toMessage(cancel);
    }
    return image.SerializeAsString();
}

std::error_code readWorkState(const std::string &data, work_state *state)
{
    messages::work_state_image image;
    if (!image.ParseFromString(data)) {
        return error_kind::Malformed;
    }
    *state = {};
    state->configuration = image.configuration();
    for (const auto &stored : image.lives()) {
        auto &registered = state->targets[stored.about().id()];
        registered.registration = stored.about();
        registered.lastAppliedEnd = stored.last_seen();
        registered.hasEnded = stored.is_over();
        registered.restartedWallMs = stored.restarted_wall_ms();
        registered.restarts = stored.restarts();
    }
    for (const auto &job : image.jobs()) {
        state->jobs.emplace(job.job().id(), readJob(job));
    }
    state->evacuatedDomains = readEvacuatedDomains(image);
    for (const auto &cancel : image.early_cancels()) {
        state->earlyCancels.insert(toEarlyCancel(cancel));
    }
    rebuildDerivedState(*state);
    return {};
}

} // namespace filbert

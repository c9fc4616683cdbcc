#pragma once

#include "filbert_work/filbert_work.h"

#include <string>
#include <vector>

namespace filbert {

/** A state of staged jobs with helpers that apply commands, for tests. */
struct work_fixture
{
    work_state state;

    work_fixture() { configure(1); }

    void configure(std::uint64_t version, int maxAttempts = 2, std::int32_t capCores = 0)
    {
        messages::work_command command;
        auto *configuration = command.mutable_configure();
        configuration->set_version(version);
        auto *queue = configuration->add_queues();
        queue->set_name("quotes");
        queue->set_host("cell.example");
        queue->set_path_prefix("/quotes/");
        queue->set_service("orders");
        queue->set_max_attempts(maxAttempts);
        queue->set_slack_factor(1.5);
        queue->set_latency_objective_ms(250);
        configuration->add_services()->set_name("orders");
        auto *team = configuration->add_teams();
        team->set_name("desk");
        team->add_keys("key-of-desk");
        team->mutable_cap()->set_milli_cores(capCores);
        apply(command);
    }

    command_outcome apply(const messages::work_command &command)
    {
        return applyCommand(state, command, 0);
    }

    void registerTarget(const std::string &id, std::int64_t incarnation = 1,
                        std::int32_t cores = 8'000, const std::string &address = {})
    {
        messages::work_command command;
        *command.mutable_target() = targetRegistration(id, incarnation, cores, address);
        apply(command);
    }

    static messages::target_life targetRegistration(const std::string &id, std::int64_t incarnation,
                                                    std::int32_t cores = 8'000,
                                                    const std::string &address = {})
    {
        messages::target_life registration;
        registration.set_id(id);
        registration.set_born(incarnation);
        registration.set_address(address.empty() ? id + ":80" : address);
        registration.set_service("orders");
        registration.mutable_capacity()->set_milli_cores(cores);
        registration.mutable_capacity()->set_memory_mb(64'000);
        registration.add_labels("a");
        registration.add_labels("rack-1");
        return registration;
    }

    static messages::step_spec step(int count, std::int32_t cores = 2'000)
    {
        messages::step_spec spec;
        spec.set_count(count);
        spec.mutable_need()->set_milli_cores(cores);
        spec.mutable_need()->set_memory_mb(100);
        spec.set_estimate_ms(1'000);
        return spec;
    }

    command_outcome accept(const std::string &id, const std::vector<messages::step_spec> &steps)
    {
        messages::work_command command;
        auto *job = command.mutable_accept();
        job->set_id(id);
        job->set_queue("quotes");
        job->set_team("desk");
        job->set_spec("spec of " + id);
        job->set_accepted_wall_ms(1'700'000'000'000);
        for (const auto &each : steps) {
            *job->add_steps() = each;
        }
        *job->mutable_taken_under() = *findQueue(state.configuration, "quotes");
        return apply(command);
    }

    static messages::work_command startCommand(const task_name &task, std::uint32_t run,
                                               const std::string &target,
                                               std::int64_t incarnation = 1)
    {
        messages::work_command command;
        *command.mutable_start()->mutable_task() = toTaskReference(task);
        command.mutable_start()->set_run(run);
        command.mutable_start()->set_target(target);
        command.mutable_start()->set_born(incarnation);
        return command;
    }

    command_outcome start(const task_name &task, std::uint32_t run, const std::string &target,
                          std::int64_t incarnation = 1)
    {
        return apply(startCommand(task, run, target, incarnation));
    }

    static messages::work_command endCommand(const task_name &task, std::uint32_t run,
                                             const std::string &target, messages::end_kind kind,
                                             std::uint64_t number = 1, std::int64_t incarnation = 1)
    {
        messages::work_command command;
        auto *batch = command.mutable_end();
        batch->set_target(target);
        batch->set_born(incarnation);
        batch->set_last_seen(number);
        auto *end = batch->add_ends();
        *end->mutable_task() = toTaskReference(task);
        end->set_run(run);
        end->set_kind(kind);
        return command;
    }

    command_outcome end(const task_name &task, std::uint32_t run, const std::string &target,
                        messages::end_kind kind, std::uint64_t number = 1,
                        std::int64_t incarnation = 1)
    {
        return apply(endCommand(task, run, target, kind, number, incarnation));
    }

    command_outcome abandonRun(const task_name &task, std::uint32_t run)
    {
        messages::work_command command;
        *command.mutable_drop()->mutable_task() = toTaskReference(task);
        command.mutable_drop()->set_run(run);
        return apply(command);
    }

    job_status statusOf(const std::string &id) const { return state.jobs.at(id).status; }
};

} // namespace filbert

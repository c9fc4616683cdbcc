/** @file filbert-dispatch-bench: measures how long a leader's tick takes with many targets and a
    queue of waiting work, in one process without a network.

    A tick costs one placement pass and one scan of all targets.
*/

#include "filbert_dispatch/filbert_dispatch.h"

#include <chrono>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>

DEFINE_int32(targets, 350, "targets");
DEFINE_int32(jobs, 600, "number of jobs that are accepted before the first tick");
DEFINE_int32(tasks, 10, "number of tasks in each job");
DEFINE_int32(turns, 200, "number of ticks of 20 ms");
DEFINE_int32(run_ms, 0, "duration of a run, in ms; 0 = runs do not end");
DEFINE_int32(jobs_per_turn, 0, "number of jobs that are accepted in each tick");

namespace filbert {

namespace {

using steady = std::chrono::steady_clock;

double millisecondsSince(steady::time_point start)
{
    return std::chrono::duration<double, std::milli>(steady::now() - start).count();
}

struct bench_cell
{
    work_state state;
    dispatch_state leader;
    time_point now {100'000};
    std::int64_t wallMs = 1'700'000'000'000;
    std::map<task_name, time_point> startedAt; // of the runs whose start was answered
    std::uint64_t endedRuns = 0;

    void apply(const messages::work_command &command)
    {
        const auto outcome = applyCommand(state, command, wallMs);
        handleCommittedCommand(leader, command, outcome.error != error_kind::None, now);
    }

    void configure()
    {
        messages::work_command command;
        auto *configuration = command.mutable_configure();
        configuration->set_version(1);
        for (int q = 0; q < 3; ++q) {
            auto *queue = configuration->add_queues();
            queue->set_name("queue-" + std::to_string(q));
            queue->set_service("orders");
            queue->set_priority(q);
            queue->set_max_attempts(2);
            queue->set_slack_factor(2);
            if (q != 1) {
                queue->mutable_admission()->set_decide_ms(20);
                queue->mutable_admission()->set_per_target_ms(0.2);
                queue->mutable_admission()->set_ticket_ms(2'000);
            }
        }
        configuration->add_services()->set_name("orders");
        apply(command);
    }

    messages::target_life targetReportOf(int number) const
    {
        messages::target_life target;
        target.set_id("i-" + std::to_string(100'000 + number));
        target.set_born(1);
        target.set_address("10.0.0.1:" + std::to_string(number));
        target.set_service("orders");
        target.mutable_capacity()->set_milli_cores(32'000);
        target.mutable_capacity()->set_memory_mb(64'000);
        target.add_labels("a");
        target.add_labels("rack-" + std::to_string(number / 12));
        target.set_clock_ms(now.ms);
        target.set_sequence(now.ms);
        return target;
    }

    void reportTargets()
    {
        for (int i = 0; i < FLAGS_targets; ++i) {
            handleTargetReport(leader, targetReportOf(i), now);
        }
        commit();
    }

    void submit(int number)
    {
        messages::work_command command;
        auto *job = command.mutable_accept();
        job->set_id("job-" + std::to_string(100'000 + number));
        job->set_queue("queue-" + std::to_string(number % 3));
        job->set_accepted_wall_ms(wallMs);
        auto *step = job->add_steps();
        step->set_count(FLAGS_tasks);
        step->mutable_need()->set_milli_cores(5'000);
        step->mutable_need()->set_memory_mb(100);
        step->set_estimate_ms(2'000);
        apply(command);
    }

    void commit()
    {
        for (const auto &command : std::exchange(leader.effects.commands, {})) {
            apply(command);
        }
    }

    /** Lists the runs of a target in the answer to a poll, with those that have ended. */
    void listRuns(const target_order &poll, order_answer *answer)
    {
        const auto &registered = state.targets.at(poll.target);
        auto number = registered.lastAppliedEnd;
        for (const auto &task : registered.runs) {
            const auto run = findTask(state, task)->run;
            const auto started = startedAt.find(task);
            const bool hasEnded = FLAGS_run_ms > 0 && started != startedAt.end()
                && now - started->second >= milliseconds {FLAGS_run_ms};
            if (!hasEnded) {
                answer->runs.push_back({task, run, {}, 1 + int(now.ms / 100 % 99), 0});
                continue;
            }
            answer->ends.push_back({++number, task, run, messages::END_DONE, {}});
            startedAt.erase(started);
            ++endedRuns;
        }
    }

    /** Answers all orders immediately, and admits half of the targets of each admission request. */
    void answerAll()
    {
        for (const auto &order : std::exchange(leader.effects.orders, {})) {
            order_answer answer;
            answer.result = order_result::Done;
            answer.clockMs = now.ms;
            if (order.kind == order_kind::Start) {
                startedAt[order.task] = now;
            } else if (order.kind == order_kind::Poll) {
                listRuns(order, &answer);
            }
            handleOrderAnswer(leader, order, answer, now);
        }
        for (const auto &call : std::exchange(leader.effects.admissions, {})) {
            messages::admission_answer answer;
            answer.set_id(call.request.id());
            answer.set_is_answered(true);
            for (int i = 0; i < call.request.targets_size(); i += 2) {
                auto *ticket = answer.add_admitted();
                ticket->set_target(call.request.targets(i));
                ticket->set_ticket("t");
            }
            handleAdmissionAnswer(leader, answer, now);
        }
    }
};

void run()
{
    bench_cell cell;
    cell.leader = startDispatch(cell.state, dispatch_settings {}, 1, cell.now, cell.wallMs);
    cell.leader.work = &cell.state;
    cell.configure();
    for (int i = 0; i < FLAGS_targets; ++i) {
        messages::work_command command;
        *command.mutable_target() = cell.targetReportOf(i);
        command.mutable_target()->clear_clock_ms();
        command.mutable_target()->clear_sequence();
        cell.apply(command);
    }
    for (int i = 0; i < FLAGS_jobs; ++i) {
        cell.submit(i);
    }
    int submitted = FLAGS_jobs;
    double tickMs = 0;
    double longestTickMs = 0;
    double answerMs = 0;
    for (int tick = 0; tick < FLAGS_turns; ++tick) {
        cell.now = cell.now + milliseconds {20};
        cell.wallMs += 20;
        if (tick % 50 == 0) {
            cell.reportTargets();
        }
        for (int g = 0; g < 30; ++g) {
            registerCaller(cell.leader, "gateway-" + std::to_string(g), 1, cell.now);
        }
        for (int i = 0; i < FLAGS_jobs_per_turn; ++i) {
            cell.submit(submitted++);
        }
        cell.leader.isPassDue = true;
        const auto start = steady::now();
        tickDispatch(cell.leader, cell.now, cell.wallMs);
        const auto elapsed = millisecondsSince(start);
        tickMs += elapsed;
        longestTickMs = std::max(longestTickMs, elapsed);
        const auto answersStart = steady::now();
        cell.commit();
        cell.answerAll();
        answerMs += millisecondsSince(answersStart);
    }
    std::size_t running = 0;
    for (const auto &[id, job] : cell.state.jobs) {
        running += job.runningTasks;
    }
    std::cout << std::fixed << std::setprecision(3) << "targets=" << FLAGS_targets
              << " jobs=" << submitted << " running_tasks=" << running
              << " ended_runs=" << cell.endedRuns << " turn_ms=" << tickMs / FLAGS_turns
              << " longest_turn_ms=" << longestTickMs << " answers_ms=" << answerMs / FLAGS_turns
              << "\n";
}

} // namespace

} // namespace filbert

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    filbert::silenceLog();
    filbert::run();
    return 0;
}

#include "work_fixture.h"

#include "property.h"

#include <cmath>
#include <limits>

using namespace filbert;

namespace {

constexpr auto none = error_kind::None;
constexpr auto conflict = error_kind::Conflict;
constexpr std::int64_t negative = -1;
constexpr auto max32 = std::numeric_limits<std::int32_t>::max();
constexpr auto max64 = std::numeric_limits<std::int64_t>::max();

} // namespace

TEST_CASE("a task has one run at a time and none after it has succeeded", "[work]")
{
    work_fixture cell;
    cell.registerTarget("t1");
    cell.registerTarget("t2");
    cell.accept("j", {cell.step(1), cell.step(1)});
    const task_name task {"j", 0, 0, 0};
    CHECK(cell.start(task, 1, "t1").error == none);
    CHECK(cell.start(task, 2, "t2").error == conflict);
    cell.end(task, 1, "t1", messages::END_DONE);
    CHECK(cell.start(task, 2, "t2").error == conflict);
    CHECK(findTask(cell.state, task)->status == task_status::Done);
}

TEST_CASE("a run number is never reused", "[work]")
{
    work_fixture cell;
    cell.registerTarget("t1");
    cell.accept("j", {cell.step(1)});
    const task_name task {"j", 0, 0, 0};
    cell.start(task, 1, "t1");
    cell.abandonRun(task, 1);
    CHECK(cell.start(task, 1, "t1").error == conflict);
    CHECK(cell.start(task, 2, "t1").error == none);
}

TEST_CASE("an end counts only for the current run on its own target", "[work]")
{
    work_fixture cell;
    cell.registerTarget("t1");
    cell.registerTarget("t2");
    cell.accept("j", {cell.step(1)});
    const task_name task {"j", 0, 0, 0};
    cell.start(task, 1, "t1");
    cell.abandonRun(task, 1);
    cell.start(task, 2, "t2");
    cell.end(task, 1, "t1", messages::END_DONE);
    CHECK(findTask(cell.state, task)->status == task_status::Running);
    cell.end(task, 2, "t2", messages::END_DONE);
    CHECK(cell.statusOf("j") == job_status::Completed);
}

TEST_CASE("a step starts after all tasks of the steps that it depends on have succeeded", "[work]")
{
    work_fixture cell;
    cell.registerTarget("t1");
    auto second = cell.step(1);
    second.add_depends_on(0);
    cell.accept("j", {cell.step(2), second});
    const task_name later {"j", 0, 1, 0};
    cell.start({"j", 0, 0, 0}, 1, "t1");
    cell.start({"j", 0, 0, 1}, 1, "t1");
    cell.end({"j", 0, 0, 0}, 1, "t1", messages::END_DONE, 1);
    CHECK(cell.start(later, 1, "t1").error == conflict);
    cell.end({"j", 0, 0, 1}, 1, "t1", messages::END_DONE, 2);
    CHECK(cell.start(later, 1, "t1").error == none);
}

TEST_CASE("a target is never overcommitted, with runs that are being stopped still counted",
          "[work]")
{
    work_fixture cell;
    cell.registerTarget("t1", 1, 4'000);
    cell.accept("j", {cell.step(3)});
    CHECK(cell.start({"j", 0, 0, 0}, 1, "t1").error == none);
    CHECK(cell.start({"j", 0, 0, 1}, 1, "t1").error == none);
    CHECK(cell.start({"j", 0, 0, 2}, 1, "t1").error == error_kind::NoCapacity);
    messages::work_command cancel;
    cancel.set_cancel("j");
    cell.apply(cancel);
    CHECK(cell.state.targets.at("t1").used.milliCores == 4'000);
    cell.end({"j", 0, 0, 0}, 1, "t1", messages::END_STOPPED);
    CHECK(cell.state.targets.at("t1").used.milliCores == 2'000);
}

TEST_CASE("a cancelled job starts no more tasks", "[work]")
{
    work_fixture cell;
    cell.registerTarget("t1");
    cell.accept("j", {cell.step(2)});
    messages::work_command cancel;
    cancel.set_cancel("j");
    cell.apply(cancel);
    CHECK(cell.start({"j", 0, 0, 0}, 1, "t1").error == conflict);
    CHECK(cell.state.pendingByQueue.empty());
    cancel.set_cancel("unknown");
    CHECK(cell.apply(cancel).error == error_kind::NotFound);
}

TEST_CASE("a job that has ended keeps its status but not its tasks", "[work]")
{
    work_fixture cell;
    cell.registerTarget("t1");
    messages::work_command cancel;
    cancel.set_cancel("cancelled");
    cell.accept("done", {cell.step(1)});
    cell.accept("cancelled", {cell.step(2)});
    cell.start({"done", 0, 0, 0}, 1, "t1");
    cell.start({"cancelled", 0, 0, 1}, 1, "t1");
    cell.apply(cancel);
    CHECK_FALSE(cell.state.jobs.at("cancelled").occurrences.empty()); // one run has not ended yet
    cell.end({"done", 0, 0, 0}, 1, "t1", messages::END_DONE, 1);
    cell.end({"cancelled", 0, 0, 1}, 1, "t1", messages::END_STOPPED, 2);
    for (const auto *id : {"done", "cancelled"}) {
        CHECK(cell.state.jobs.at(id).occurrences.empty());
        CHECK(cell.state.jobs.at(id).job.spec().empty());
    }
    CHECK(cell.statusOf("done") == job_status::Completed);
    CHECK(cell.statusOf("cancelled") == job_status::Cancelled);
    CHECK(cell.state.targets.at("t1").used.milliCores == 0);
    CHECK(cell.start({"done", 0, 0, 0}, 2, "t1").error != none);
    CHECK(cell.accept("done", {cell.step(1)}).error == none); // a repetition of the same request
    CHECK(cell.statusOf("done") == job_status::Completed);
    CHECK(cell.state.jobs.at("done").occurrences.empty());
}

TEST_CASE("a job fails once a task has used up the attempts of its queue", "[work]")
{
    work_fixture cell;
    cell.registerTarget("t1");
    cell.accept("j", {cell.step(2)});
    const task_name task {"j", 0, 0, 0};
    cell.start(task, 1, "t1");
    cell.end(task, 1, "t1", messages::END_FAILED, 1);
    CHECK(cell.statusOf("j") == job_status::Active);
    cell.start(task, 2, "t1");
    cell.end(task, 2, "t1", messages::END_LAPSED, 2);
    CHECK(cell.statusOf("j") == job_status::Active);
    cell.start(task, 3, "t1");
    cell.end(task, 3, "t1", messages::END_FAILED, 3);
    CHECK(cell.statusOf("j") == job_status::Failed);
}

TEST_CASE("a long-running task is started again however its run ends", "[work]")
{
    work_fixture cell;
    cell.registerTarget("t1");
    auto spec = cell.step(1);
    spec.set_lasts(true);
    cell.accept("j", {spec});
    const task_name task {"j", 0, 0, 0};
    std::uint32_t run = 0;
    for (const auto kind :
         {messages::END_FAILED, messages::END_DONE, messages::END_FAILED, messages::END_STOPPED}) {
        CHECK(cell.start(task, ++run, "t1").error == none);
        cell.end(task, run, "t1", kind, run);
    }
    CHECK(cell.statusOf("j") == job_status::Active);
}

TEST_CASE("one success completes a gang, and a failed run of it counts once", "[work]")
{
    work_fixture cell;
    cell.registerTarget("t1");
    auto gang = cell.step(3);
    gang.set_is_gang(true);
    cell.accept("j", {gang});
    const auto startAll = [&](std::uint32_t run) {
        for (std::uint32_t i = 0; i < 3; ++i) {
            CHECK(cell.start({"j", 0, 0, i}, run, "t1").error == none);
        }
    };
    startAll(1);
    cell.end({"j", 0, 0, 0}, 1, "t1", messages::END_FAILED, 1);
    cell.end({"j", 0, 0, 1}, 1, "t1", messages::END_FAILED, 2);
    cell.end({"j", 0, 0, 2}, 1, "t1", messages::END_BROKEN, 3);
    CHECK(cell.statusOf("j") == job_status::Active);
    startAll(2);
    cell.end({"j", 0, 0, 1}, 2, "t1", messages::END_DONE, 4);
    CHECK(cell.statusOf("j") == job_status::Completed);
    CHECK(cell.state.targets.at("t1").used.milliCores == 4'000);
}

TEST_CASE("a newer process at an address ends the earlier incarnation, but a late report does not",
          "[work]")
{
    work_fixture cell;
    cell.registerTarget("t1", 5, 8'000, "10.0.0.1:80");
    cell.accept("j", {cell.step(1)});
    const task_name task {"j", 0, 0, 0};
    cell.start(task, 1, "t1", 5);
    cell.registerTarget("t2", 9, 8'000, "10.0.0.1:80");
    CHECK(cell.state.targets.at("t1").hasEnded);
    CHECK(findTask(cell.state, task)->status == task_status::Waiting);
    messages::work_command late;
    *late.mutable_target() = work_fixture::targetRegistration("t1", 5, 8'000, "10.0.0.1:80");
    CHECK(cell.apply(late).error == conflict);
    CHECK_FALSE(cell.state.targets.at("t2").hasEnded);
}

TEST_CASE("runs of an earlier incarnation stay reserved until they have certainly ended", "[work]")
{
    work_fixture cell;
    cell.registerTarget("t1", 5);
    cell.accept("j", {cell.step(1)});
    const task_name task {"j", 0, 0, 0};
    cell.start(task, 1, "t1", 5);
    cell.registerTarget("t1", 6);
    CHECK(findTask(cell.state, task)->status == task_status::Running);
    CHECK(cell.state.targets.at("t1").used.milliCores == 2'000);
    cell.end(task, 1, "t1", messages::END_DONE, 1, 5); // a late report of incarnation 5
    CHECK(findTask(cell.state, task)->status == task_status::Running);
    cell.abandonRun(task, 1);
    CHECK(findTask(cell.state, task)->status == task_status::Waiting);
    CHECK(cell.state.targets.at("t1").used.milliCores == 0);
}

TEST_CASE("a success on a newer incarnation than the ordered one counts: it is never run again",
          "[work]")
{
    work_fixture cell;
    cell.registerTarget("t1", 5);
    cell.accept("j", {cell.step(1)});
    const task_name task {"j", 0, 0, 0};
    cell.start(task, 1, "t1", 5);
    cell.registerTarget("t1", 6); // the order was still in transit and reached this incarnation
    cell.end(task, 1, "t1", messages::END_DONE, 1, 6);
    CHECK(cell.statusOf("j") == job_status::Completed);
    CHECK(cell.start(task, 2, "t1", 6).error != none);
}

TEST_CASE("a configuration with a lower or equal version has no effect", "[work]")
{
    work_fixture cell;
    cell.configure(7, 3);
    cell.configure(7, 9);
    cell.configure(4, 9);
    CHECK(cell.state.configuration.version() == 7);
    CHECK(cell.state.configuration.queues(0).max_attempts() == 3);
}

TEST_CASE("an inconsistent configuration is rejected", "[work]")
{
    work_fixture cell;
    auto configuration = cell.state.configuration;
    CHECK_FALSE(findProblem(configuration));
    SECTION("unknown service")
    {
        configuration.mutable_queues(0)->set_service("nobody");
    }
    SECTION("two queues with one host and path")
    {
        *configuration.add_queues() = configuration.queues(0);
    }
    SECTION("one key in two teams")
    {
        auto *team = configuration.add_teams();
        team->set_name("other");
        team->add_keys("key-of-desk");
    }
    CHECK(findProblem(configuration));
}

// Guards against sums and products of an operator's numbers that overflow in the leader.
TEST_CASE("a configuration with a number beyond its limits is rejected", "[work]")
{
    work_fixture cell;
    auto configuration = cell.state.configuration;
    auto *queue = configuration.mutable_queues(0);
    auto *admission = queue->mutable_admission();
    admission->set_decide_ms(15);
    admission->set_per_target_ms(0.2);
    admission->set_ticket_ms(2'000);
    REQUIRE_FALSE(findProblem(configuration));
    SECTION("priority")
    {
        queue->set_priority(GENERATE(-1, max32));
    }
    SECTION("attempts")
    {
        queue->set_max_attempts(-1);
    }
    SECTION("slack")
    {
        queue->set_slack_factor(GENERATE(-1.0, 1e18, 1e300, std::nan("")));
    }
    SECTION("objective")
    {
        queue->set_latency_objective_ms(GENERATE(negative, max64));
    }
    SECTION("decision")
    {
        admission->set_decide_ms(GENERATE(-1.0, 1e300, std::nan("")));
    }
    SECTION("decision for each target")
    {
        admission->set_per_target_ms(GENERATE(-1.0, 1e300));
    }
    SECTION("ticket")
    {
        admission->set_ticket_ms(GENERATE(negative, max64));
    }
    SECTION("weight")
    {
        configuration.mutable_teams(0)->set_weight(-1);
    }
    SECTION("cap")
    {
        configuration.mutable_teams(0)->mutable_cap()->set_memory_mb(-1);
    }
    CHECK(findProblem(configuration));
}

// Guards against sums and products of a caller's numbers that overflow in the leader.
TEST_CASE("a job with a number beyond its limits is rejected", "[work]")
{
    messages::staged_job job;
    auto *step = job.add_steps();
    *step = work_fixture::step(4);
    job.set_repeat_count(3);
    job.set_interval_ms(60'000);
    job.set_first_due_wall_ms(1'700'000'000'000);
    REQUIRE_FALSE(findProblem(job));
    SECTION("estimate")
    {
        step->set_estimate_ms(GENERATE(negative, max64));
    }
    SECTION("latency target")
    {
        step->set_latency_target_ms(GENERATE(negative, max64));
    }
    SECTION("tasks that may be unavailable")
    {
        step->set_max_away(-1);
    }
    SECTION("interval")
    {
        job.set_interval_ms(GENERATE(negative, max64));
    }
    SECTION("first time")
    {
        job.set_first_due_wall_ms(GENERATE(negative, max64));
    }
    CHECK(findProblem(job));
}

// Guards against a job whose occurrences, all due at once, fill the memory of every controller.
TEST_CASE("the tasks of a job are limited over all of its occurrences", "[work]")
{
    messages::staged_job job;
    *job.add_steps() = work_fixture::step(100);
    job.set_repeat_count(1'000);
    CHECK_FALSE(findProblem(job));
    job.set_repeat_count(1'001);
    CHECK(findProblem(job));
    job.set_repeat_count(std::numeric_limits<std::int32_t>::max());
    CHECK(findProblem(job));
    job.set_repeat_count(0);
    for (int i = 1; i < 11; ++i) {
        *job.add_steps() = work_fixture::step(10'000);
    }
    CHECK(findProblem(job));
}

TEST_CASE("a request goes to the queue with the longest matching path prefix", "[work]")
{
    work_fixture cell;
    auto configuration = cell.state.configuration;
    auto *inner = configuration.add_queues();
    inner->set_name("inner");
    inner->set_host("cell.example");
    inner->set_path_prefix("/quotes/large/");
    CHECK(findQueueByPath(configuration, "cell.example", "/quotes/abc")->name() == "quotes");
    CHECK(findQueueByPath(configuration, "cell.example", "/quotes/large/abc")->name() == "inner");
    CHECK(findQueueByPath(configuration, "other.example", "/quotes/abc") == nullptr);
}

TEST_CASE("the text form of a task name is parsed back to the same name", "[work]")
{
    const task_name name {"5c0e7a21d94b36f8", 3, 1, 17};
    CHECK(parseTaskName(toString(name)) == name);
    for (const auto *wrong : {"", "a.b.c", "a.0.1", "a.0.1.x", ".0.1.2", "a.0.1.-2"}) {
        CHECK_FALSE(parseTaskName(wrong));
    }
}

TEST_CASE("when a target was restarted is part of a snapshot", "[work]")
{
    constexpr std::int64_t wallMs = 1'700'000'000'000;
    work_fixture cell;
    const auto report = [&](std::int64_t incarnation, std::int64_t at) {
        messages::work_command command;
        *command.mutable_target() = work_fixture::targetRegistration("t1", incarnation);
        return applyCommand(cell.state, command, at).error;
    };
    CHECK(report(1, wallMs) == none);
    CHECK(cell.state.targets.at("t1").restartedWallMs == 0); // the first that is known
    CHECK(report(2, wallMs + 10) == none);
    CHECK(report(2, wallMs + 20) == none); // the same incarnation again
    CHECK(report(1, wallMs + 30) == conflict);

    work_state restored;
    REQUIRE(!readWorkState(writeWorkState(cell.state), &restored));
    CHECK(restored.targets.at("t1").restartedWallMs == wallMs + 10);
    CHECK(restored.targets.at("t1").restarts == 1);
}

TEST_CASE("crashes count once an incarnation, and are part of a snapshot", "[work]")
{
    work_fixture cell;
    cell.registerTarget("t1");
    cell.accept("j", {cell.step(2)});
    const task_name task {"j", 0, 0, 0};
    cell.start(task, 1, "t1");
    messages::work_command command;
    auto *crash = command.mutable_crashed();
    crash->set_target("t1");
    crash->set_born(1);
    auto *run = crash->add_runs();
    *run->mutable_task() = toTaskReference(task);
    run->set_run(1);
    run->set_kind(messages::SUSPICION_SOLE);
    run->set_was_running(true);
    CHECK(cell.apply(command).error == none);
    cell.registerTarget("t1", 2);
    CHECK(cell.apply(command).error == conflict); // another report of the same incarnation
    CHECK(findTask(cell.state, task)->crashes == 1);
    CHECK(cell.state.jobs.at("j").status == job_status::Active);

    work_state restored;
    REQUIRE(!readWorkState(writeWorkState(cell.state), &restored));
    CHECK(findTask(restored, task)->crashes == 1);
    CHECK(findTask(restored, task)->suspicion == suspicionWeight(messages::SUSPICION_SOLE));

    crash->set_born(2);
    SECTION("a crash before the start arrived gives up no job")
    {
        run->set_was_running(false);
        CHECK(cell.apply(command).error == none);
        CHECK(cell.state.jobs.at("j").status == job_status::Active);
    }
    SECTION("two crashes under it do")
    {
        CHECK(cell.apply(command).error == none);
        CHECK(cell.state.jobs.at("j").status == job_status::Failed);
    }
}

TEST_CASE("no sequence of commands exceeds a target's capacity, and a snapshot restores the state",
          "[work][property]")
{
    checkProperty([] {
        work_fixture cell;
        cell.registerTarget("t1", 1, 5'000);
        cell.registerTarget("t2", 1, 3'000);
        auto gang = cell.step(2, 1'000);
        gang.set_is_gang(true);
        auto after = cell.step(1, 2'500);
        after.add_depends_on(0);
        cell.accept("a", {cell.step(3, 1'500), after});
        cell.accept("b", {gang});
        std::uint64_t ends = 0;
        const auto count = *rc::gen::inRange(1, 80);
        for (int i = 0; i < count; ++i) {
            const task_name task {*rc::gen::element<std::string>("a", "b"), 0,
                                  *rc::gen::inRange<std::uint32_t>(0, 2),
                                  *rc::gen::inRange<std::uint32_t>(0, 3)};
            const auto target = *rc::gen::element<std::string>("t1", "t2");
            const auto run = *rc::gen::inRange<std::uint32_t>(1, 5);
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
            case 1:
                cell.start(task, run, target);
                break;
            case 2:
                cell.end(task, run, target,
                         *rc::gen::element(messages::END_DONE, messages::END_FAILED,
                                           messages::END_STOPPED),
                         ++ends);
                break;
            default:
                cell.abandonRun(task, run);
            }
            for (const auto &[id, registered] : cell.state.targets) {
                RC_ASSERT(registered.used.milliCores
                          <= registered.registration.capacity().milli_cores());
                RC_ASSERT(registered.used.milliCores >= 0);
            }
        }
        work_state restored;
        RC_ASSERT(!readWorkState(writeWorkState(cell.state), &restored));
        RC_ASSERT(restored.teamUsage["desk"] == cell.state.teamUsage["desk"]);
        for (const auto &[id, registered] : cell.state.targets) {
            RC_ASSERT(restored.targets.at(id).runs == registered.runs);
            RC_ASSERT(restored.targets.at(id).used == registered.used);
            RC_ASSERT(restored.targets.at(id).lastAppliedEnd == registered.lastAppliedEnd);
        }
        for (const auto &[id, job] : cell.state.jobs) {
            RC_ASSERT(restored.jobs.at(id).status == job.status);
            RC_ASSERT(restored.jobs.at(id).runningTasks == job.runningTasks);
        }
    });
}

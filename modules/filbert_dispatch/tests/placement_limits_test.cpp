#include "dispatch_fixture.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

struct step_kind
{
    const char *name;
    void (*apply)(messages::step_spec &);
};

constexpr step_kind stepKinds[] = {
    {"plain", [](messages::step_spec &) {}},
    {"long-running", [](messages::step_spec &step) { step.set_lasts(true); }},
    {"best effort", [](messages::step_spec &step) { step.set_fills_gaps(true); }},
    {"long-running best effort",
     [](messages::step_spec &step) {
         step.set_lasts(true);
         step.set_fills_gaps(true);
     }},
    {"latency-sensitive",
     [](messages::step_spec &step) {
         step.set_lasts(true);
         step.set_latency_target_ms(100);
     }},
    {"gang", [](messages::step_spec &step) { step.set_is_gang(true); }},
};

constexpr int taskCount = 2;
constexpr std::int32_t taskCores = 1'000;

/** Two targets with capacity for a whole job each. */
struct limits_fixture : dispatch_fixture
{
    messages::step_spec spec = step(taskCount, taskCores);

    explicit limits_fixture(const step_kind &kind)
    {
        registerTarget("t1", 1, 8'000);
        registerTarget("t2", 1, 8'000);
        kind.apply(spec);
    }

    /** Accepts the job "j" and lets a new leader place it.
        @param isSuspected  whether its tasks may have crashed targets */
    void place(bool isSuspected)
    {
        accept("j", {spec});
        if (isSuspected) {
            for (auto &task : state.jobs.at("j").occurrences.at(0).steps[0].tasks) {
                task.suspicion = suspicionWeight(messages::SUSPICION_SHARED);
            }
        }
        startLeading();
        for (const auto &[id, registered] : state.targets) {
            auto report = registered.registration; // as a test has changed it
            report.set_clock_ms(now.ms);
            report.set_sequence(now.ms);
            handleTargetReport(*leader, report, now);
        }
        runFor({400});
    }

    std::size_t tasksOn(const std::string &target) const
    {
        return state.targets.at(target).runs.size();
    }
};

} // namespace

// Guards against limits that one kind of step skips: best-effort tasks were placed beyond their
// limit of tasks per target.
TEST_CASE("each limit of placement holds for each kind of step, suspected or not", "[dispatch]")
{
    const auto &kind = GENERATE(from_range(std::begin(stepKinds), std::end(stepKinds)));
    const bool isSuspected = GENERATE(false, true);
    CAPTURE(kind.name, isSuspected);
    limits_fixture cell {kind};
    SECTION("no limit")
    {
        cell.place(isSuspected);
        CHECK(cell.tasksOn("t1") + cell.tasksOn("t2") == taskCount);
    }
    SECTION("tasks per target")
    {
        cell.spec.set_max_per_target(1);
        cell.place(isSuspected);
        CHECK(cell.tasksOn("t1") <= 1);
        CHECK(cell.tasksOn("t2") <= 1);
    }
    SECTION("tasks per target, where only one target takes work")
    {
        cell.spec.set_max_per_target(1);
        cell.state.targets.at("t2").registration.set_is_draining(true);
        cell.place(isSuspected);
        CHECK(cell.tasksOn("t1") == (cell.spec.is_gang() ? 0 : 1));
        CHECK(cell.tasksOn("t2") == 0);
    }
    SECTION("label")
    {
        cell.spec.set_required_label("special");
        cell.state.targets.at("t1").registration.add_labels("special");
        cell.place(isSuspected);
        CHECK(cell.tasksOn("t1") == taskCount);
        CHECK(cell.tasksOn("t2") == 0);
    }
    SECTION("cap of the team")
    {
        cell.configure(2, 2, taskCores);
        cell.place(isSuspected);
        CHECK(cell.tasksOn("t1") + cell.tasksOn("t2") <= 1);
    }
    SECTION("service")
    {
        cell.state.targets.at("t2").registration.set_service("other");
        cell.place(isSuspected);
        CHECK(cell.tasksOn("t1") == taskCount);
        CHECK(cell.tasksOn("t2") == 0);
    }
    SECTION("draining")
    {
        cell.state.targets.at("t2").registration.set_is_draining(true);
        cell.place(isSuspected);
        CHECK(cell.tasksOn("t1") == taskCount);
        CHECK(cell.tasksOn("t2") == 0);
    }
    SECTION("memory")
    {
        auto *capacity = cell.state.targets.at("t2").registration.mutable_capacity();
        capacity->set_memory_mb(cell.spec.need().memory_mb() - 1);
        cell.place(isSuspected);
        CHECK(cell.tasksOn("t1") == taskCount);
        CHECK(cell.tasksOn("t2") == 0);
    }
}

// Guards against the case of the users: a task whose target was lost joined another one of its
// step.
TEST_CASE("a best-effort task that has lost its target waits for one without a task of its step",
          "[dispatch]")
{
    limits_fixture cell {stepKinds[3]};
    cell.spec.set_max_per_target(1);
    cell.place(false);
    REQUIRE(cell.tasksOn("t1") == 1);
    REQUIRE(cell.tasksOn("t2") == 1);
    for (int i = 0; i < 100; ++i) { // t1 is silent; its lease expires
        cell.runTargets({100}, {"t2"});
    }
    CHECK(cell.tasksOn("t1") == 0);
    CHECK(cell.tasksOn("t2") == 1);
    cell.registerTarget("t3", 1, 8'000);
    handleCommittedCommand(*cell.leader, {}, false, cell.now);
    syncTarget(*cell.leader, "t3", cell.now);
    cell.runTargets({400}, {"t2", "t3"});
    CHECK(cell.tasksOn("t3") == 1);
}

TEST_CASE("a run that the log does not have counts for the limit of tasks per target", "[dispatch]")
{
    limits_fixture cell {stepKinds[0]};
    cell.spec.set_max_per_target(1);
    cell.spec.set_count(3);
    cell.place(false);
    REQUIRE(cell.tasksOn("t1") == 1);
    REQUIRE(cell.tasksOn("t2") == 1);
    cell.registerTarget("t3", 1, 8'000);
    syncTarget(*cell.leader, "t3", cell.now);
    cell.leader->targets.at("t3").orphanRuns[{"j", 0, 0, 0}] = {1, cell.now, {}, true};
    cell.reportTarget("t3");
    cell.runFor({300});
    CHECK(cell.tasksOn("t3") == 0);
    cell.leader->targets.at("t3").orphanRuns.clear();
    cell.runTargets({300}, {"t3"});
    CHECK(cell.tasksOn("t3") == 1);
}

// Guards against a gang that renews useless tickets for ever: its admitted targets have capacity
// for all members, but may not take that many.
TEST_CASE("a gang asks for further targets if its limit leaves too few of the admitted ones",
          "[dispatch]")
{
    limits_fixture cell {stepKinds[5]};
    cell.spec.set_max_per_target(1);
    for (int i = 3; i <= 40; ++i) {
        cell.registerTarget("t" + std::to_string(i), 1, 8'000);
    }
    auto *policy = cell.state.configuration.mutable_queues(0)->mutable_admission();
    policy->set_decide_ms(10);
    policy->set_per_target_ms(0.1);
    policy->set_ticket_ms(1'500);
    cell.accept("j", {cell.spec});
    cell.startLeading();
    registerCaller(*cell.leader, "gateway", 1, cell.now);
    for (int i = 1; i <= 40; ++i) {
        cell.reportTarget("t" + std::to_string(i));
    }
    std::set<std::string> named;
    for (int round = 0; round < 40; ++round) {
        registerCaller(*cell.leader, "gateway", 1, cell.now);
        cell.runFor({50});
        for (const auto &call : std::exchange(cell.admissions, {})) {
            messages::admission_answer answer;
            answer.set_id(call.request.id());
            answer.set_is_answered(true);
            const auto &targets = call.request.targets();
            named.insert(targets.begin(), targets.end());
            for (const auto &target : targets) {
                if (target == "t1") {
                    auto *admitted = answer.add_admitted();
                    admitted->set_target(target);
                    admitted->set_ticket("ticket");
                }
            }
            handleAdmissionAnswer(*cell.leader, answer, cell.now);
        }
    }
    CHECK(named.size() == 40);
}

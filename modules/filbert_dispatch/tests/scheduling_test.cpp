#include "dispatch_fixture.h"
#include "filbert_dispatch/step_order.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

messages::work_queue *firstQueue(dispatch_fixture &cell)
{
    return cell.state.configuration.mutable_queues(0);
}

std::size_t runningTasksOf(const dispatch_fixture &cell, const std::string &job)
{
    return cell.state.jobs.at(job).runningTasks;
}

/** Adds a queue like the first one, and accepts a job there: like "busy", but with a small task. */
void acceptSmallJob(dispatch_fixture &cell, const std::string &id, const std::string &queue,
                    int priority)
{
    auto *added = cell.state.configuration.add_queues();
    *added = cell.state.configuration.queues(0);
    added->set_name(queue);
    added->set_path_prefix(std::string {"/"}.append(queue).append("/"));
    added->set_priority(priority);
    messages::work_command command;
    auto *job = command.mutable_accept();
    *job = cell.state.jobs.at("busy").job;
    job->set_id(id);
    job->set_queue(queue);
    *job->mutable_taken_under() = *added;
    job->mutable_steps(0)->mutable_need()->set_milli_cores(1'000);
    REQUIRE(cell.apply(command).error == error_kind::None);
}

} // namespace

TEST_CASE("a gang starts whole or not at all, with one run number", "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1", 1, 4'000);
    auto gang = cell.step(3);
    gang.set_is_gang(true);
    cell.accept("j", {gang});
    cell.startLeading();
    cell.reportTarget("t1");
    cell.runFor({300});
    CHECK(runningTasksOf(cell, "j") == 0);
    cell.registerTarget("t2", 1, 2'000);
    cell.startLeading();
    cell.reportTarget("t1");
    cell.reportTarget("t2");
    cell.runFor({300});
    CHECK(runningTasksOf(cell, "j") == 3);
    for (const auto &order : cell.pendingOrders(order_kind::Start)) {
        CHECK(order.run == 1);
    }
}

TEST_CASE("a team never has more running than its cap", "[dispatch]")
{
    dispatch_fixture cell;
    cell.configure(2, 2, 5'000);
    cell.registerTarget("t1", 1, 32'000);
    cell.accept("j", {cell.step(6)});
    cell.startLeading();
    cell.reportTarget("t1");
    cell.runFor({300});
    CHECK(runningTasksOf(cell, "j") == 2);
}

TEST_CASE("a step places no more tasks on a target than its limit per target", "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1", 1, 32'000);
    cell.registerTarget("t2", 1, 32'000);
    auto spec = cell.step(5);
    spec.set_max_per_target(2);
    cell.accept("j", {spec});
    cell.startLeading();
    cell.reportTarget("t1");
    cell.reportTarget("t2");
    cell.runFor({300});
    CHECK(runningTasksOf(cell, "j") == 4);
}

TEST_CASE("a step is placed only on targets with its required label", "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1");
    auto spec = cell.step(1);
    spec.set_required_label("b");
    cell.accept("j", {spec});
    cell.startLeading();
    cell.reportTarget("t1");
    cell.runFor({300});
    CHECK(runningTasksOf(cell, "j") == 0);
}

// Also guards against long-running tasks that wait for a place as long as the cell is full: nothing
// was reserved for them.
TEST_CASE("urgent work goes first, and reserves the targets that it waits for against lower work",
          "[dispatch]")
{
    const bool isLasting = GENERATE(false, true);
    dispatch_fixture cell;
    cell.registerTarget("t1", 1, 8'000);
    auto largeStep = cell.step(1, 8'000);
    largeStep.set_lasts(isLasting);
    cell.accept("large", {largeStep});
    cell.accept("busy", {cell.step(1, 4'000)});
    cell.start({"busy", 0, 0, 0}, 1, "t1");
    acceptSmallJob(cell, "low", "bulk", 2);
    cell.startLeading();
    cell.reportTarget("t1");
    cell.runFor({300});
    CHECK(runningTasksOf(cell, "low") == 0);
    CHECK(runningTasksOf(cell, "large") == 0);
}

// Guards against long-running tasks that lose their target and stay away for as long as the cell is
// full of more urgent work.
TEST_CASE("a long-running task that has lost its target goes before more urgent work", "[dispatch]")
{
    const bool hasRunBefore = GENERATE(false, true);
    dispatch_fixture cell;
    cell.registerTarget("t1", 1, 8'000);
    auto service = cell.step(1, 8'000);
    service.set_lasts(true);
    cell.accept("service", {service});
    cell.state.jobs.at("service").job.mutable_taken_under()->set_priority(2);
    cell.state.configuration.mutable_queues(0)->set_priority(2);
    if (hasRunBefore) {
        cell.start({"service", 0, 0, 0}, 1, "t1");
        cell.abandonRun({"service", 0, 0, 0}, 1);
    }
    cell.accept("busy", {cell.step(1, 4'000)});
    cell.start({"busy", 0, 0, 0}, 1, "t1");
    acceptSmallJob(cell, "quick", "urgent", 0);
    cell.startLeading();
    cell.reportTarget("t1");
    cell.runFor({300});
    CHECK(runningTasksOf(cell, "quick") == (hasRunBefore ? 0 : 1));
}

TEST_CASE("a step under a policy starts only with a ticket that has not expired", "[dispatch]")
{
    dispatch_fixture cell;
    auto *admission = firstQueue(cell)->mutable_admission();
    admission->set_decide_ms(20);
    admission->set_per_target_ms(1);
    admission->set_ticket_ms(1'500);
    cell.registerTarget("t1");
    cell.registerTarget("t2");
    cell.accept("j", {cell.step(1)});
    cell.startLeading();
    cell.reportTarget("t1");
    cell.reportTarget("t2");
    registerCaller(*cell.leader, "gateway-1", 1, cell.now);
    cell.runFor({50});
    REQUIRE(cell.admissions.size() == 1);
    CHECK(cell.admissions[0].request.targets_size() == 2);
    CHECK(runningTasksOf(cell, "j") == 0);
    messages::admission_answer answer;
    answer.set_id(cell.admissions[0].request.id());
    answer.set_is_answered(true);
    auto *ticket = answer.add_admitted();
    ticket->set_target("t2");
    ticket->set_ticket("ticket-2");
    SECTION("in time")
    {
        handleAdmissionAnswer(*cell.leader, answer, cell.now);
        cell.runFor({50});
        const auto starts = cell.pendingOrders(order_kind::Start);
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].target == "t2");
        CHECK(starts[0].ticket == "ticket-2");
    }
    SECTION("not once it has expired")
    {
        handleAdmissionAnswer(*cell.leader, answer, cell.now);
        cell.now = cell.now + milliseconds {1'400};
        cell.reportTarget("t1");
        cell.reportTarget("t2");
        registerCaller(*cell.leader, "gateway-1", 1, cell.now);
        cell.admissions.clear();
        cell.runFor({50});
        CHECK(cell.pendingOrders(order_kind::Start).empty());
        REQUIRE(cell.admissions.size() == 1); // to renew the ticket for the admitted target
        CHECK(cell.admissions[0].request.targets(0) == "t2");
    }
}

TEST_CASE(
    "a gang requests tickets for further targets if the admitted ones have no capacity for it",
    "[dispatch]")
{
    dispatch_fixture cell;
    auto *admission = firstQueue(cell)->mutable_admission();
    admission->set_decide_ms(20);
    admission->set_per_target_ms(5); // a costly policy: not all targets are named at once
    admission->set_ticket_ms(1'500);
    std::vector<std::string> targets;
    for (int i = 0; i < 30; ++i) {
        targets.push_back("t" + std::to_string(10 + i));
        cell.registerTarget(targets.back(), 1, 2'000);
    }
    auto gang = cell.step(2);
    gang.set_is_gang(true);
    cell.accept("j", {gang});
    cell.startLeading();
    std::set<std::string> requested;
    for (int i = 0; i < 20; ++i) {
        for (const auto &target : targets) {
            cell.reportTarget(target);
        }
        registerCaller(*cell.leader, "gateway-1", 1, cell.now);
        cell.runFor({100});
        for (const auto &call : std::exchange(cell.admissions, {})) {
            messages::admission_answer answer;
            answer.set_id(call.request.id());
            answer.set_is_answered(true);
            requested.insert(call.request.targets().begin(), call.request.targets().end());
            // The policy admits one target of each request, so that the gang needs two requests.
            answer.add_admitted()->set_target(call.request.targets(0));
            answer.mutable_admitted(0)->set_ticket("t");
            handleAdmissionAnswer(*cell.leader, answer, cell.now);
        }
    }
    CHECK(requested.size() == targets.size());
    CHECK(runningTasksOf(cell, "j") == 2);
}

namespace {

/** Targets "t10" to "t39" with capacity for one task each, and a gang "j" under a costly policy. */
struct costly_gang_fixture : dispatch_fixture
{
    std::vector<std::string> targets;
    int callers = 12;

    explicit costly_gang_fixture(int members)
    {
        auto *admission = firstQueue(*this)->mutable_admission();
        admission->set_decide_ms(550);
        admission->set_per_target_ms(8);
        admission->set_ticket_ms(2'000);
        for (int i = 0; i < 30; ++i) {
            targets.push_back("t" + std::to_string(10 + i));
            registerTarget(targets.back(), 1, 2'000);
        }
        auto gang = step(members);
        gang.set_is_gang(true);
        accept("j", {gang});
        startLeading();
    }

    void reportAll()
    {
        for (const auto &each : targets) {
            reportTarget(each);
        }
        for (int i = 0; i < callers; ++i) {
            registerCaller(*leader, "gateway-" + std::to_string(i), 1, now);
        }
        runFor({50});
    }

    /** Lets the policy service admit all targets that it was asked for.
        @return how many targets were requested */
    int admitRequests()
    {
        int requested = 0;
        for (const auto &call : std::exchange(admissions, {})) {
            messages::admission_answer answer;
            answer.set_id(call.request.id());
            answer.set_is_answered(true);
            requested += call.request.targets_size();
            for (const auto &each : call.request.targets()) {
                answer.add_admitted()->set_target(each);
                answer.mutable_admitted(answer.admitted_size() - 1)->set_ticket("t");
            }
            handleAdmissionAnswer(*leader, answer, now);
        }
        return requested;
    }
};

} // namespace

TEST_CASE("a costly policy is called by several processes in parallel", "[dispatch]")
{
    costly_gang_fixture cell {2};
    cell.reportAll();
    REQUIRE(cell.admissions.size() == 2); // 20 and 10 targets
    CHECK(cell.admissions[0].caller != cell.admissions[1].caller);
    CHECK(cell.admitRequests() == 30);
    cell.runFor({50});
    CHECK(runningTasksOf(cell, "j") == 2);
}

TEST_CASE("a costly policy is called by only one process if few are free", "[dispatch]")
{
    costly_gang_fixture cell {2};
    cell.callers = 4;
    cell.reportAll();
    CHECK(cell.admissions.size() == 1);
}

TEST_CASE("policy calls for work of higher priority do not starve those for lower priority",
          "[dispatch]")
{
    dispatch_fixture cell;
    firstQueue(cell)->mutable_admission()->set_decide_ms(300);
    firstQueue(cell)->mutable_admission()->set_ticket_ms(1'500);
    firstQueue(cell)->set_priority(2);
    cell.registerTarget("t1");
    cell.accept("low", {cell.step(1)});
    cell.startLeading();
    cell.reportTarget("t1");
    cell.runFor({20}); // it makes a request, and no caller is there
    cell.now = cell.now + milliseconds {1'100}; // longer than two priority levels weigh
    cell.reportTarget("t1");
    firstQueue(cell)->set_priority(0);
    cell.accept("high", {cell.step(1)});
    cell.runFor({20});
    registerCaller(*cell.leader, "gateway-1", 1, cell.now);
    cell.runFor({20});
    REQUIRE(cell.admissions.size() == 1);
    CHECK(cell.admissions[0].request.step().job() == "low");
}

TEST_CASE("tickets are renewed for all members of a large gang", "[dispatch]")
{
    costly_gang_fixture cell {12};
    cell.reportAll();
    cell.admitRequests();
    cell.now = cell.now + milliseconds {1'900}; // the tickets have expired before the next pass
    cell.reportAll();
    CHECK(cell.admitRequests() >= 12);
    cell.runFor({50});
    CHECK(runningTasksOf(cell, "j") == 12);
}

TEST_CASE("a policy call without an answer is soon made by another process", "[dispatch]")
{
    dispatch_fixture cell;
    firstQueue(cell)->mutable_admission()->set_decide_ms(20);
    firstQueue(cell)->mutable_admission()->set_ticket_ms(1'500);
    cell.registerTarget("t1");
    cell.accept("j", {cell.step(1)});
    cell.startLeading();
    cell.reportTarget("t1");
    registerCaller(*cell.leader, "gateway-1", 1, cell.now);
    registerCaller(*cell.leader, "gateway-2", 1, cell.now);
    cell.runFor({20});
    REQUIRE(cell.admissions.size() == 1);
    cell.runFor({350});
    REQUIRE(cell.admissions.size() == 2);
    CHECK(cell.admissions[0].caller != cell.admissions[1].caller);
}

TEST_CASE("tickets for the next step are requested while the step before it runs", "[dispatch]")
{
    dispatch_fixture cell;
    firstQueue(cell)->mutable_admission()->set_decide_ms(12);
    firstQueue(cell)->mutable_admission()->set_ticket_ms(1'500);
    cell.registerTarget("t1");
    auto second = cell.step(1);
    second.add_depends_on(0);
    cell.accept("j", {cell.step(2), second});
    cell.startLeading();
    cell.reportTarget("t1");
    registerCaller(*cell.leader, "gateway-1", 1, cell.now);
    cell.runFor({20});
    const auto answerLast = [&] {
        messages::admission_answer answer;
        answer.set_id(cell.admissions.back().request.id());
        answer.set_is_answered(true);
        auto *ticket = answer.add_admitted();
        ticket->set_target("t1");
        ticket->set_ticket("ticket-" + std::to_string(cell.admissions.size()));
        handleAdmissionAnswer(*cell.leader, answer, cell.now);
        cell.runFor({20});
    };
    REQUIRE(cell.admissions.size() == 1);
    answerLast();
    REQUIRE(cell.taskStatus({"j", 0, 0, 1}) == task_status::Running);
    CHECK(cell.admissions.size() == 1); // nothing of the first step is done
    cell.executeOrders("t1");
    order_answer pollAnswer;
    pollAnswer.ends.push_back({1, {"j", 0, 0, 0}, 1, messages::END_DONE, {}});
    pollAnswer.runs.push_back({{"j", 0, 0, 1}, 1, {}, 50, 0});
    cell.runFor({20});
    cell.answerOrders(order_kind::Poll, order_result::Done, "t1", pollAnswer);
    cell.runFor({20});
    REQUIRE(cell.admissions.size() == 2);
    answerLast();
    cell.executeOrders("t1");
    pollAnswer.ends[0] = {2, {"j", 0, 0, 1}, 1, messages::END_DONE, {}};
    pollAnswer.runs.clear();
    cell.runFor({20});
    cell.answerOrders(order_kind::Poll, order_result::Done, "t1", pollAnswer);
    cell.runFor({20});
    CHECK(cell.taskStatus({"j", 0, 1, 0}) == task_status::Running); // without a further call
    CHECK(cell.admissions.size() == 2);
}

TEST_CASE("the requests of a replaced process go to another at once", "[dispatch]")
{
    dispatch_fixture cell;
    firstQueue(cell)->mutable_admission()->set_decide_ms(900);
    firstQueue(cell)->mutable_admission()->set_ticket_ms(1'500);
    cell.registerTarget("t1");
    cell.accept("j", {cell.step(1)});
    cell.startLeading();
    cell.reportTarget("t1");
    registerCaller(*cell.leader, "gateway-1", 1, cell.now);
    cell.runFor({20});
    REQUIRE(cell.admissions.size() == 1);
    registerCaller(*cell.leader, "gateway-1", 2, cell.now);
    cell.runFor({20});
    CHECK(cell.admissions.size() == 2);
}

TEST_CASE("best-effort tasks are not placed beside latency-sensitive ones", "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1", 1, 32'000);
    auto serving = cell.step(1);
    serving.set_lasts(true);
    serving.set_latency_target_ms(100);
    cell.accept("serving", {serving});
    cell.startLeading();
    cell.reportTarget("t1");
    cell.runFor({50});
    CHECK(runningTasksOf(cell, "serving") == 1);
    auto filling = cell.step(1);
    filling.set_fills_gaps(true);
    cell.accept("filling", {filling});
    cell.startLeading();
    cell.reportTarget("t1");
    cell.runFor({300});
    CHECK(runningTasksOf(cell, "filling") == 0);
}

TEST_CASE("best-effort tasks slow down near a latency target and speed up again step by step",
          "[dispatch]")
{
    CHECK(nextWorkRate(0.9, 100) == 25);
    CHECK(nextWorkRate(0.9, 25) == 0);
    CHECK(nextWorkRate(0.7, 25) == 25);
    CHECK(nextWorkRate(0.5, 25) == 50);
    CHECK(nextWorkRate(0.5, 100) == 100);
}

TEST_CASE("an occurrence begins when it is due and not earlier", "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1");
    messages::work_command command;
    auto *job = command.mutable_accept();
    job->set_id("timed");
    job->set_queue("quotes");
    *job->mutable_taken_under() = *findQueue(cell.state.configuration, "quotes");
    *job->add_steps() = cell.step(1);
    job->set_repeat_count(2);
    job->set_first_due_wall_ms(cell.wallMs + 500);
    job->set_interval_ms(400);
    cell.apply(command);
    cell.startLeading();
    cell.reportTarget("t1");
    cell.runFor({490});
    CHECK(cell.state.jobs.at("timed").occurrences.empty());
    cell.runFor({30});
    CHECK(cell.state.jobs.at("timed").occurrences.size() == 1);
    cell.runFor({400});
    CHECK(cell.state.jobs.at("timed").occurrences.size() == 2);
}

TEST_CASE("the critical path follows the dependencies of the steps", "[dispatch]")
{
    messages::staged_job job;
    for (int i = 0; i < 3; ++i) {
        *job.add_steps() = work_fixture::step(1);
        job.mutable_steps(i)->set_estimate_ms(100 * (i + 1));
    }
    job.mutable_steps(2)->add_depends_on(0);
    const auto paths = criticalPathsOf(job);
    CHECK(paths[0].count == 400);
    CHECK(paths[1].count == 200);
    CHECK(paths[2].count == 300);
}

// Guards against placement by an outdated list of targets, which a leader keeps between passes.
TEST_CASE("changes of the targets count in the next pass", "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1", 1, 4'000);
    cell.startLeading();
    cell.reportTarget("t1");
    cell.accept("first", {cell.step(1, 4'000)});
    refreshJob(*cell.leader, "first", cell.now);
    cell.runFor({100});
    REQUIRE(runningTasksOf(cell, "first") == 1);

    const auto commit = [&](const messages::target_life &registration) {
        messages::work_command command;
        *command.mutable_target() = registration;
        cell.apply(command);
        handleCommittedCommand(*cell.leader, command, false, cell.now);
        auto report = registration;
        report.set_clock_ms(cell.now.ms);
        report.set_sequence(cell.now.ms);
        handleTargetReport(*cell.leader, report, cell.now);
    };
    SECTION("a new target takes work")
    {
        commit(cell.targetRegistration("t2", 1, 4'000));
        cell.accept("second", {cell.step(1, 4'000)});
        refreshJob(*cell.leader, "second", cell.now);
        cell.runFor({100});
        CHECK(cell.targetOf({"second", 0, 0, 0}) == "t2");
    }
    SECTION("a capacity that has grown is used, one that has shrunk is not exceeded")
    {
        commit(cell.targetRegistration("t1", 1, 6'000));
        cell.accept("second", {cell.step(2, 2'000)});
        refreshJob(*cell.leader, "second", cell.now);
        cell.runFor({100});
        CHECK(runningTasksOf(cell, "second") == 1);
        commit(cell.targetRegistration("t1", 1, 5'000));
        cell.accept("third", {cell.step(1, 500)});
        refreshJob(*cell.leader, "third", cell.now);
        cell.runFor({100});
        CHECK(runningTasksOf(cell, "third") == 0);
    }
    SECTION("a target of another service takes no work of this one")
    {
        auto other = cell.targetRegistration("t2", 1, 4'000);
        other.set_service("studio");
        commit(other);
        cell.accept("second", {cell.step(1, 4'000)});
        refreshJob(*cell.leader, "second", cell.now);
        cell.runFor({100});
        CHECK(runningTasksOf(cell, "second") == 0);
    }
}

TEST_CASE("an occurrence begins when it is due, and not once its job was cancelled", "[dispatch]")
{
    dispatch_fixture cell;
    cell.registerTarget("t1", 1, 8'000);
    cell.startLeading();
    cell.reportTarget("t1");
    messages::work_command command;
    auto *job = command.mutable_accept();
    job->set_id("j");
    job->set_queue("quotes");
    *job->mutable_taken_under() = *findQueue(cell.state.configuration, "quotes");
    job->set_team("desk");
    *job->add_steps() = cell.step(1);
    job->set_repeat_count(3);
    job->set_first_due_wall_ms(cell.wallMs + 100);
    job->set_interval_ms(200);
    cell.apply(command);
    handleCommittedCommand(*cell.leader, command, false, cell.now);
    cell.runFor({350});
    CHECK(cell.state.jobs.at("j").occurrences.size() == 2);
    messages::work_command cancel;
    cancel.set_cancel("j");
    cell.apply(cancel);
    handleCommittedCommand(*cell.leader, cancel, false, cell.now);
    cell.runFor({300});
    CHECK(cell.leader->repeatingJobs.empty());
}

// Guards against turns that cost by the number of requests that wait for the policy service.
TEST_CASE("waiting admission requests are not reviewed again in each turn", "[dispatch]")
{
    dispatch_fixture cell;
    auto *admission = firstQueue(cell)->mutable_admission();
    admission->set_decide_ms(20);
    admission->set_ticket_ms(2'000);
    cell.registerTarget("t1", 1, 60'000); // with capacity for all, or not all would make requests
    for (int i = 0; i < 30; ++i) {
        cell.accept("j" + std::to_string(i), {cell.step(1)});
    }
    cell.startLeading();
    cell.reportTarget("t1");
    cell.runFor({100});
    REQUIRE(cell.leader->pendingAdmissions.size() == 30); // nobody can call the service
    const auto reviewsBefore = cell.leader->admissionReviews;
    constexpr int turns = 1'000;
    for (int i = 0; i < turns; ++i) {
        tickPlacement(*cell.leader, cell.now);
    }
    CHECK(cell.leader->admissionReviews - reviewsBefore <= 1);
    registerCaller(*cell.leader, "gateway-1", 1, cell.now);
    cell.tickOnce();
    // At once, when a caller is known: as many as it needs for maxQueuedAdmissionTime.
    CHECK(cell.admissions.size() == 5);
}

// Guards against a leader that has no time left for a burst, because each step that waits for
// capacity goes through all targets again and again to find some to request tickets for.
TEST_CASE("a step that waits for capacity does not consider full targets for further tickets",
          "[dispatch]")
{
    constexpr int targetCount = 100;
    dispatch_fixture cell;
    auto *admission = firstQueue(cell)->mutable_admission();
    admission->set_decide_ms(20);
    admission->set_ticket_ms(2'000);
    for (int i = 0; i < targetCount; ++i) {
        cell.registerTarget("t" + std::to_string(i), 1, 8'000);
    }
    cell.accept("j", {cell.step(2 * targetCount, 8'000)}); // twice as many tasks as fit
    cell.startLeading();
    const auto runFor = [&](milliseconds duration) {
        for (const auto end = cell.now + duration; cell.now < end;) {
            registerCaller(*cell.leader, "gateway-1", 1, cell.now);
            for (int i = 0; i < targetCount; ++i) {
                cell.reportTarget("t" + std::to_string(i));
            }
            cell.runFor({100});
            for (const auto &call : std::exchange(cell.admissions, {})) {
                messages::admission_answer answer;
                answer.set_id(call.request.id());
                answer.set_is_answered(true);
                for (const auto &target : call.request.targets()) {
                    answer.add_admitted()->set_target(target);
                }
                handleAdmissionAnswer(*cell.leader, answer, cell.now);
            }
            for (int i = 0; i < targetCount; ++i) {
                cell.executeOrders("t" + std::to_string(i));
            }
        }
    };
    runFor({3'000});
    REQUIRE(runningTasksOf(cell, "j") == targetCount);
    const auto before = cell.leader->totals.rankedTargets;
    runFor({5'000});
    CHECK(cell.leader->totals.rankedTargets - before <= targetCount);
}

namespace {

void requireTickets(dispatch_fixture &cell, double decideMs)
{
    auto *admission = firstQueue(cell)->mutable_admission();
    admission->set_decide_ms(decideMs);
    admission->set_ticket_ms(2'000);
}

/** Starts to lead with a number of targets that have reported themselves. */
void leadWithTargets(dispatch_fixture &cell, int count)
{
    for (int i = 0; i < count; ++i) {
        cell.registerTarget("t" + std::to_string(i), 1, 8'000);
    }
    cell.startLeading();
    for (int i = 0; i < count; ++i) {
        cell.reportTarget("t" + std::to_string(i));
    }
}

/** Answers all requests to the policy service.
    @param exception  the only target to which it admits no step; empty = none */
void admitAll(dispatch_fixture &cell, const std::string &exception = {})
{
    for (const auto &call : std::exchange(cell.admissions, {})) {
        messages::admission_answer answer;
        answer.set_id(call.request.id());
        answer.set_is_answered(true);
        for (const auto &target : call.request.targets()) {
            if (target != exception) {
                answer.add_admitted()->set_target(target);
            }
        }
        handleAdmissionAnswer(*cell.leader, answer, cell.now);
    }
}

} // namespace

// Guards against work that waits for the policy service while the service waits for the leader:
// with one call at a time, long turns left each caller idle for most of the time.
TEST_CASE("a caller gets quick requests for longer than a turn, and slow ones only one at a time",
          "[dispatch]")
{
    const bool isQuick = GENERATE(true, false);
    dispatch_fixture cell;
    requireTickets(cell, isQuick ? 20 : 150);
    for (int i = 0; i < 30; ++i) {
        cell.accept("j" + std::to_string(i), {cell.step(1)});
    }
    leadWithTargets(cell, 8); // with capacity for all, or not all would make requests
    registerCaller(*cell.leader, "gateway-1", 1, cell.now);
    cell.tickOnce();
    CHECK(cell.admissions.size() == (isQuick ? 5 : 1));
    cell.now = cell.now + milliseconds {150};
    admitAll(cell);
    cell.tickOnce();
    CHECK(cell.admissions.size() == (isQuick ? 5 : 1));
}

// Guards against a caller that is taken for silent although it answers one request after the other.
TEST_CASE(
    "a request that waits at its caller behind others is not overdue before these are answered",
    "[dispatch]")
{
    dispatch_fixture cell;
    requireTickets(cell, 90);
    for (int i = 0; i < 2; ++i) {
        cell.accept("j" + std::to_string(i), {cell.step(1)});
    }
    leadWithTargets(cell, 1);
    registerCaller(*cell.leader, "gateway-1", 1, cell.now);
    cell.tickOnce();
    REQUIRE(cell.admissions.size() == 2);
    cell.runFor({400}); // they take 90 and 180 ms, and 250 ms more are tolerated
    CHECK(cell.leader->callers.at("gateway-1").pendingRequests.size() == 1);
    cell.runFor({100});
    CHECK(cell.leader->callers.at("gateway-1").pendingRequests.empty());
}

// Guards against accepted work that never runs: a third of all callers ever seen was kept free for
// quick calls. Once others had been lost or renamed, these were all that lived.
TEST_CASE("a slow policy is called although most callers that ever registered are gone",
          "[dispatch]")
{
    const int alive = GENERATE(1, 2, 3);
    dispatch_fixture cell;
    requireTickets(cell, 150);
    cell.accept("j", {cell.step(1)});
    leadWithTargets(cell, 1);
    for (int i = 0; i < 9; ++i) {
        registerCaller(*cell.leader, "gone-" + std::to_string(i), 1,
                       cell.now - milliseconds {1'500});
    }
    for (int i = 0; i < alive; ++i) {
        registerCaller(*cell.leader, "gateway-" + std::to_string(i), 1, cell.now);
    }
    cell.runFor({50});
    REQUIRE(cell.admissions.size() == 1);
    CHECK(cell.admissions[0].caller.starts_with("gateway-"));
    CHECK(cell.leader->callers.size() == static_cast<std::size_t>(alive));
}

// Guards against accepted work that never runs: the only caller that lives always had quick calls.
TEST_CASE("quick policy calls do not keep a slow one waiting for ever", "[dispatch]")
{
    dispatch_fixture cell;
    requireTickets(cell, 90);
    auto *slowQueue = cell.state.configuration.add_queues();
    *slowQueue = *firstQueue(cell);
    slowQueue->set_name("slow-quotes");
    slowQueue->set_path_prefix("/slow-quotes/");
    slowQueue->mutable_admission()->set_decide_ms(150);
    cell.accept("slow", {cell.step(1)});
    auto &slowJob = cell.state.jobs.at("slow").job;
    slowJob.set_queue("slow-quotes");
    *slowJob.mutable_taken_under() = *slowQueue;
    for (int i = 0; i < 60; ++i) {
        cell.accept("quick-" + std::to_string(i), {cell.step(1)});
    }
    leadWithTargets(cell, 16); // with capacity for all, or not all would make requests
    int quickCalls = 0;
    std::optional<time_point> slowCallAt;
    for (int i = 0; i < 30; ++i) {
        for (int target = 0; target < 16; ++target) {
            cell.reportTarget("t" + std::to_string(target));
        }
        registerCaller(*cell.leader, "gateway-1", 1, cell.now);
        cell.runFor({90});
        REQUIRE_FALSE(cell.admissions.empty());
        const bool isSlow = cell.admissions.front().request.step().job() == "slow";
        if (isSlow && !slowCallAt) {
            slowCallAt = cell.now;
        }
        quickCalls += isSlow ? 0 : 1;
        messages::admission_answer answer;
        answer.set_id(cell.admissions.front().request.id());
        answer.set_is_answered(true);
        cell.admissions.erase(cell.admissions.begin());
        handleAdmissionAnswer(*cell.leader, answer, cell.now);
    }
    REQUIRE(slowCallAt);
    CHECK(quickCalls > 10); // they have been made all the time
    CHECK(*slowCallAt < time_point {102'500});
}

// Guards against a caller that loses its request when it is silent for a moment.
TEST_CASE("a silent caller is remembered until its request is overdue", "[dispatch]")
{
    dispatch_fixture cell;
    requireTickets(cell, 2'000);
    cell.accept("j", {cell.step(1)});
    leadWithTargets(cell, 1);
    registerCaller(*cell.leader, "gateway-1", 1, cell.now);
    cell.tickOnce();
    REQUIRE(cell.admissions.size() == 1);
    cell.runFor({1'900});
    CHECK(cell.leader->callers.contains("gateway-1"));
    cell.runFor({600});
    CHECK(cell.leader->callers.empty());
    CHECK(cell.leader->pendingAdmissions.begin()->second.caller.empty());
}

// Guards against requests for work that is late anyway, which delay those for work that is not.
TEST_CASE("requests for late steps wait behind those for steps that can be in time", "[dispatch]")
{
    dispatch_fixture cell;
    requireTickets(cell, 150);
    cell.accept("late", {cell.step(1)});
    cell.accept("new", {cell.step(1)});
    cell.startLeading();
    registerCaller(*cell.leader, "gateway-1", 1, cell.now);
    const auto &queue = *firstQueue(cell);
    requestAdmission(*cell.leader, {"late", 0, 0, 0}, queue, {lateRankOffset}, call_purpose::First,
                     {"t1"}, 1, cell.now);
    requestAdmission(*cell.leader, {"new", 0, 0, 0}, queue, {0}, call_purpose::First, {"t1"}, 1,
                     cell.now);
    cell.tickOnce();
    REQUIRE(cell.admissions.size() == 1);
    CHECK(cell.admissions[0].request.step().job() == "new");
}

// Guards against a leader that goes through all targets for each step that arrives.
TEST_CASE("a first request for tickets considers no more targets than it names", "[dispatch]")
{
    dispatch_fixture cell;
    requireTickets(cell, 20);
    cell.accept("j", {cell.step(1)});
    leadWithTargets(cell, 400);
    registerCaller(*cell.leader, "gateway-1", 1, cell.now);
    cell.runFor({20});
    REQUIRE(cell.admissions.size() == 1);
    CHECK(cell.leader->totals.rankedTargets
          == static_cast<std::uint64_t>(cell.admissions[0].request.targets_size()));
}

// Guards against steps that are all admitted to the same few targets and take them from each other.
TEST_CASE("steps that ask for tickets at the same time name different targets", "[dispatch]")
{
    constexpr int jobs = 10;
    dispatch_fixture cell;
    requireTickets(cell, 1);
    for (int i = 0; i < jobs; ++i) {
        cell.accept("j" + std::to_string(i), {cell.step(1)});
    }
    leadWithTargets(cell, 400);
    registerCaller(*cell.leader, "gateway-1", 1, cell.now);
    cell.runFor({20});
    REQUIRE(cell.admissions.size() == jobs);
    std::set<std::string> named;
    std::size_t count = 0;
    for (const auto &call : cell.admissions) {
        count += static_cast<std::size_t>(call.request.targets_size());
        named.insert(call.request.targets().begin(), call.request.targets().end());
    }
    CHECK(named.size() * 2 > count);
}

// Guards against tickets that expire unused: a step beyond many that found no capacity was tried in
// one of eight passes only, and passes are far apart when time is short.
TEST_CASE("a step is tried at once when it gets tickets, however many wait without capacity",
          "[dispatch]")
{
    constexpr int waitingJobs = 400;
    dispatch_fixture cell;
    requireTickets(cell, 1);
    for (int i = 0; i < waitingJobs; ++i) {
        cell.accept("j" + std::to_string(i), {cell.step(1, 8'000)});
    }
    leadWithTargets(cell, 3);
    const std::string idle {"t2"}; // has capacity, but the policy admits no step to it
    const auto fillers = {std::string {"f0"}, std::string {"f1"}};
    for (const auto &id : fillers) { // the other targets have no 8 cores free any more
        cell.accept(id, {cell.step(1, 7'000)});
        refreshJob(*cell.leader, id, cell.now);
    }
    registerCaller(*cell.leader, "gateway-1", 1, cell.now);
    for (int i = 0; i < 200; ++i) {
        cell.runFor({10});
        registerCaller(*cell.leader, "gateway-1", 1, cell.now);
        admitAll(cell, idle);
        cell.executeOrders("t0");
        cell.executeOrders("t1");
        cell.reportTarget("t0");
        cell.reportTarget("t1");
        cell.reportTarget(idle);
    }
    auto &state = *cell.leader;
    const auto keys = pendingStepsInOrder(state, queuesOf(state), cell.now);
    REQUIRE(keys.size() >= waitingJobs);
    const task_name last {*keys.back().job, 0, 0, 0};
    state.admissions[last].hasNewTickets = true;
    state.jobs.at(last.job).mayHaveNewTickets = true; // set together when an answer arrives
    state.isPassDue = true;
    state.earliestPassAt = cell.now;
    placeWaitingTasks(state, cell.now);
    CHECK_FALSE(state.admissions[last].hasNewTickets);
}

// Guards against tickets that expire on their way to the target while the leader's turns are long.
TEST_CASE("a ticket is used earlier where starts take longer to reach their targets", "[dispatch]")
{
    dispatch_fixture cell;
    requireTickets(cell, 20);
    cell.startLeading();
    const auto &policy = firstQueue(cell)->admission();
    const admission_view::ticket ticket {"t", cell.now, 0, {}};
    const auto later = cell.now + milliseconds {1'500};
    CHECK(isTicketUsable(*cell.leader, ticket, policy, later));
    for (int i = 0; i < 50; ++i) {
        addSample(cell.leader->placementTime, {800});
    }
    CHECK_FALSE(isTicketUsable(*cell.leader, ticket, policy, later));
    CHECK(isTicketUsable(*cell.leader, ticket, policy, cell.now + milliseconds {900}));
}

// Guards against a queue in which all work is served a little too late: once more is late than can
// be served, the work that has waited longest went first.
TEST_CASE("late work goes in the order in which it can still be of use", "[dispatch]")
{
    dispatch_fixture cell;
    const auto acceptAged = [&](const std::string &id, std::int64_t ageMs) {
        messages::work_command command;
        auto *job = command.mutable_accept();
        job->set_id(id);
        job->set_queue("quotes");
        *job->mutable_taken_under() = *findQueue(cell.state.configuration, "quotes");
        job->set_team("desk");
        job->set_accepted_wall_ms(cell.wallMs - ageMs);
        *job->add_steps() = cell.step(1); // a second; its objective is 1,750 ms
        cell.apply(command);
    };
    acceptAged("useless", 8'000);
    acceptAged("later", 4'000);
    acceptAged("late", 2'000);
    acceptAged("old", 700);
    acceptAged("new", 0);
    cell.startLeading();
    std::vector<std::string> order;
    for (const auto &key : pendingStepsInOrder(*cell.leader, queuesOf(*cell.leader), cell.now)) {
        order.push_back(*key.job);
    }
    CHECK(order == std::vector<std::string> {"old", "new", "late", "later", "useless"});
}

// Guards against a queue in which all work is served a little too late, long before any of it is
// hopelessly late: the work with the least slack went first, also once that was negative.
TEST_CASE("work that can be in time goes before work that is already behind", "[dispatch]")
{
    dispatch_fixture cell;
    cell.accept("behind", {cell.step(1)}); // a second; its objective is 1,750 ms
    cell.startLeading();
    const auto orderAt = [&](milliseconds elapsed) {
        std::vector<std::string> order;
        for (const auto &key :
             pendingStepsInOrder(*cell.leader, queuesOf(*cell.leader), cell.now + elapsed)) {
            order.push_back(*key.job);
        }
        return order;
    };
    cell.now = cell.now + milliseconds {150};
    cell.accept("in_time", {cell.step(1)});
    refreshJob(*cell.leader, "in_time", cell.now);
    const std::vector<std::string> leastSlackFirst {"behind", "in_time"};
    const std::vector<std::string> inTimeFirst {"in_time", "behind"};
    CHECK(orderAt({500}) == leastSlackFirst); // slack 100 and 250
    CHECK(orderAt({650}) == inTimeFirst); // slack -50 and 100
    for (int i = 0; i < 50; ++i) {
        addSample(cell.leader->placementTime, {100}); // starts and ends take 200 ms together
    }
    CHECK(orderAt({500}) == inTimeFirst);
    CHECK(orderAt({300}) == leastSlackFirst);
}

namespace {

/** Lists one run of a target as done in the answer to its pending poll. */
void endRun(dispatch_fixture &cell, const std::string &target)
{
    const auto &registered = cell.state.targets.at(target);
    if (registered.runs.empty()) {
        return;
    }
    const auto task = *registered.runs.begin();
    order_answer answer;
    answer.ends.push_back({registered.lastAppliedEnd + 1,
                           task,
                           findTask(cell.state, task)->run,
                           messages::END_DONE,
                           {}});
    cell.answerOrders(order_kind::Poll, order_result::Done, target, answer);
}

} // namespace

// Guards against a step that waits for ever behind a larger one that cannot use the free capacity.
TEST_CASE("a step that no target can take does not keep others from their tickets", "[dispatch]")
{
    constexpr int targetCount = 4;
    dispatch_fixture cell;
    requireTickets(cell, 1);
    auto unplaceable = cell.step(1'000, 8'000);
    unplaceable.set_required_label("none");
    unplaceable.set_lasts(true); // never late, so that it goes first
    cell.accept("unplaceable", {unplaceable});
    cell.accept("filler", {cell.step(targetCount, 8'000)});
    leadWithTargets(cell, targetCount);
    const auto run = [&](milliseconds duration) {
        for (const auto end = cell.now + duration; cell.now < end;) {
            registerCaller(*cell.leader, "gateway-1", 1, cell.now);
            cell.runFor({50});
            admitAll(cell);
            for (int i = 0; i < targetCount; ++i) {
                cell.executeOrders("t" + std::to_string(i));
                cell.reportTarget("t" + std::to_string(i));
            }
        }
    };
    run({1'000});
    REQUIRE(runningTasksOf(cell, "filler") == targetCount);
    cell.accept("j", {cell.step(1, 8'000)});
    refreshJob(*cell.leader, "j", cell.now);
    run({3'000}); // its first tickets expire
    cell.runFor({20}); // the targets are polled again
    for (int i = 0; i < targetCount; ++i) {
        endRun(cell, "t" + std::to_string(i));
    }
    run({2'000});
    CHECK(runningTasksOf(cell, "j") == 1);
}

// Guards against a leader that works for steps without a chance: if each asks for tickets to the
// few targets that become free, and is tried with each answer, the turns get longer for all work.
TEST_CASE("in a full cell, few steps ask for tickets to a target that becomes free", "[dispatch]")
{
    constexpr int targetCount = 40;
    constexpr int waitingJobs = 300;
    constexpr int rounds = 100;
    dispatch_fixture cell;
    requireTickets(cell, 1);
    for (int i = 0; i < waitingJobs; ++i) {
        cell.accept("j" + std::to_string(i), {cell.step(1, 8'000)}); // a whole target each
    }
    leadWithTargets(cell, targetCount);
    for (int round = 0; round < rounds; ++round) {
        for (int i = 0; i < 5; ++i) {
            registerCaller(*cell.leader, "gateway-" + std::to_string(i), 1, cell.now);
        }
        cell.runFor({50});
        admitAll(cell);
        endRun(cell, "t" + std::to_string(round % targetCount));
        for (int i = 0; i < targetCount; ++i) {
            cell.executeOrders("t" + std::to_string(i));
            cell.reportTarget("t" + std::to_string(i));
        }
    }
    const auto &totals = cell.leader->totals;
    CHECK(totals.proposedStarts >= targetCount + rounds / 2);
    CHECK(totals.furtherRequests + totals.renewals <= 2 * rounds);
}

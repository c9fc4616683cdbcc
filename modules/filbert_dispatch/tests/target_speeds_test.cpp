#include "dispatch_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <random>

using namespace filbert;

namespace {

constexpr std::int64_t estimateMs = 1'000;

/** Targets with given speeds that run steps of eight tasks in virtual time. The estimate of a step
    is off by up to 0.9 of the work of its tasks, which differ by a tenth. */
struct speed_model
{
    time_point now {10'000};
    std::vector<double> speeds; // 1 = typical
    std::vector<target_speed> targets;
    target_speeds known;
    speed_review lastReview;
    std::mt19937 random;
    int steps = 0;

    explicit speed_model(std::vector<double> targetSpeeds, unsigned seed = 7)
        : speeds {std::move(targetSpeeds)}
        , targets(speeds.size())
        , random {seed}
    {
    }

    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double> {from, to}(random);
    }

    /** Runs one step on eight targets, each of which has the same chance. */
    void runStep(bool hasStepGroup)
    {
        const double estimateError = uniform(0.1, 1.9);
        const auto group = std::to_string(++steps).insert(0, "step/");
        for (int i = 0; i < 8; ++i) {
            const auto index = static_cast<std::size_t>(random() % targets.size());
            const double workMs = estimateMs / estimateError * uniform(0.9, 1.1);
            recordFinishedRun(known, targets[index],
                              {"queue/q",
                               hasStepGroup ? group : std::string {},
                               {estimateMs},
                               {std::llround(workMs / speeds[index])}},
                              now);
        }
    }

    /** @param endsPerTarget  on average */
    void run(int endsPerTarget, bool hasStepGroup = true)
    {
        const auto count = static_cast<int>(targets.size()) * endsPerTarget / 8;
        for (int i = 0; i < count; ++i) {
            runStep(hasStepGroup);
            now = now + milliseconds {100};
            if (isSpeedReviewDue(known, now)) {
                review();
            }
        }
        review();
    }

    void review()
    {
        std::vector<target_speed *> pointers;
        for (auto &target : targets) {
            pointers.push_back(&target);
        }
        lastReview = reviewSpeeds(known, pointers, now);
    }

    /** @return the correlation of what is known with the true values */
    double correlation() const
    {
        double xy = 0;
        double xx = 0;
        double yy = 0;
        const auto mean = [&](const auto &value) {
            double sum = 0;
            for (std::size_t i = 0; i < targets.size(); ++i) {
                sum += value(i);
            }
            return sum / static_cast<double>(targets.size());
        };
        const auto trueValue = [&](std::size_t i) { return -std::log(speeds[i]); };
        const auto learned = [&](std::size_t i) { return targets[i].logSlowness; };
        const double trueMean = mean(trueValue);
        const double learnedMean = mean(learned);
        for (std::size_t i = 0; i < targets.size(); ++i) {
            const double x = trueValue(i) - trueMean;
            const double y = learned(i) - learnedMean;
            xy += x * y;
            xx += x * x;
            yy += y * y;
        }
        return xy / std::sqrt(xx * yy);
    }
};

std::vector<double> mixedSpeeds(int count)
{
    std::vector<double> speeds;
    speeds.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        speeds.push_back(0.55 + (1.3 - 0.55) * (i * 7 % count) / (count - 1));
    }
    return speeds;
}

} // namespace

TEST_CASE("a cell of targets of different speed learns them within some ends a target", "[speed]")
{
    speed_model cell {mixedSpeeds(40), GENERATE(range(1U, 6U))};
    cell.run(24);
    CHECK(cell.known.areInUse);
    CHECK(cell.lastReview.knownTargets == 40);
    CHECK(cell.correlation() > 0.9);
    CHECK(cell.speeds[cell.lastReview.slowest] < 0.75);
    CHECK(cell.speeds[cell.lastReview.fastest] > 1.1);
}

// Guards against estimates whose errors hide the speeds where each step has one task.
TEST_CASE("speeds are learned from runs of the same queue alone, with more ends", "[speed]")
{
    speed_model cell {mixedSpeeds(350)};
    cell.run(48, false);
    CHECK(cell.known.areInUse);
    CHECK(cell.correlation() > 0.7);
}

// Guards against placements that follow noise where all targets are alike.
TEST_CASE("targets of the same speed all stay at the same cost", "[speed]")
{
    const bool hasStepGroup = GENERATE(true, false);
    const auto count =
        GENERATE(std::size_t {4}, std::size_t {8}, std::size_t {10}, std::size_t {350});
    const auto seed = GENERATE(range(1U, 6U));
    speed_model cell {std::vector<double>(count, 1.0), seed};
    for (int i = 0; i < 20; ++i) {
        cell.run(16, hasStepGroup);
        CHECK_FALSE(cell.known.areInUse);
        for (const auto &target : cell.targets) {
            CHECK(speedCost(target, {1'000}, {0}, true) == 0);
        }
    }
}

// Guards against a target that ends its runs without doing the work and attracts ever more work.
TEST_CASE("a target that seems far faster than the others is not taken for a fast one", "[speed]")
{
    auto speeds = mixedSpeeds(40);
    speeds[0] = 20;
    speed_model cell {speeds};
    cell.run(40);
    CHECK(cell.known.areInUse);
    CHECK(cell.targets[0].logSlowness == 0);
}

// Guards against a target that is judged by a few runs that hung.
TEST_CASE("single runs that take far longer do not make a target slow", "[speed]")
{
    speed_model cell {mixedSpeeds(40)};
    cell.run(32);
    const auto before = cell.targets[7].logSlowness;
    for (int i = 0; i < 6; ++i) {
        recordFinishedRun(cell.known, cell.targets[7], {"queue/q", {}, {1'000}, {60'000}},
                          cell.now);
    }
    cell.review();
    CHECK(std::abs(cell.targets[7].logSlowness - before) < 0.2);
}

TEST_CASE("a target that changes its speed is learned anew, a forgotten one is unknown", "[speed]")
{
    speed_model cell {mixedSpeeds(40)};
    cell.run(32);
    const auto slowest = cell.lastReview.slowest;
    REQUIRE(cell.targets[slowest].logSlowness > 0.2);
    forgetSpeed(cell.targets[slowest]);
    CHECK(speedCost(cell.targets[slowest], {1'000}, {0}, true) == 0);
    cell.speeds[slowest] = 1.3;
    cell.run(48);
    CHECK(cell.targets[slowest].logSlowness < 0);
}

TEST_CASE("memory does not grow with the number of steps or ends", "[speed]")
{
    speed_model cell {mixedSpeeds(8)};
    for (int i = 0; i < 10'000; ++i) {
        cell.runStep(true);
    }
    CHECK(cell.known.groups.size() <= 4'096);
    for (const auto &target : cell.targets) {
        CHECK(target.entries.size() <= 32);
    }
    cell.now = cell.now + milliseconds {60'000};
    cell.review();
    CHECK(cell.known.groups.empty());
}

TEST_CASE("a slow target costs the more the less slack a task has, and urgent work always",
          "[speed]")
{
    target_speed slow;
    slow.logSlowness = 0.5;
    const auto cost = [&](std::int64_t slackMs, bool isUrgent) {
        return speedCost(slow, {1'000}, {slackMs}, isUrgent);
    };
    CHECK(cost(-500, false) == cost(0, false));
    CHECK(cost(0, false) > cost(1'000, false));
    CHECK(cost(1'000, false) > cost(60'000, false));
    CHECK(cost(60'000, true) == Approx(cost(0, true) / 2));
    slow.logSlowness = -0.5;
    CHECK(cost(0, false) < 0);
}

namespace {

/** A cell of equal targets with one task of 2 of 8 cores for each to run. */
struct speed_cell : dispatch_fixture
{
    std::vector<std::string> ids;

    explicit speed_cell(int targets)
    {
        for (int i = 0; i < targets; ++i) {
            ids.push_back(std::to_string(i).insert(0, "t"));
            registerTarget(ids.back());
        }
        startLeading();
        reportAll();
    }

    void reportAll()
    {
        for (const auto &id : ids) {
            reportTarget(id);
        }
    }

    void reportCold(const std::string &id, std::int64_t coldMs)
    {
        auto report = state.targets.at(id).registration;
        report.set_clock_ms(now.ms);
        report.set_sequence(now.ms);
        report.set_cold_ms(coldMs);
        handleTargetReport(*leader, report, now);
    }

    /** Starts the tasks of a job, and ends them all after a second. */
    void runJob(const std::string &job, const messages::step_spec &spec)
    {
        accept(job, {spec});
        messages::work_command command;
        command.mutable_accept()->set_id(job);
        handleCommittedCommand(*leader, command, false, now);
        runFor({20});
        answerOrders(order_kind::Start, order_result::Done);
        runFor({1'000});
        reportAll();
        endRuns(job);
        runFor({50});
    }

    /** Lists the ends of all runs of a job in the answers to the pending polls. */
    void endRuns(const std::string &job)
    {
        for (const auto &id : ids) {
            order_answer answer;
            for (const auto &task : state.targets.at(id).runs) {
                if (task.job == job) {
                    answer.ends.push_back(
                        {state.targets.at(id).lastAppliedEnd + answer.ends.size() + 1,
                         task,
                         findTask(state, task)->run,
                         messages::END_DONE,
                         {}});
                }
            }
            answerOrders(order_kind::Poll, order_result::Done, id, answer);
        }
    }

    std::uint64_t countedRuns() const { return leader->speeds.countedRuns; }
};

} // namespace

TEST_CASE("ends of undisturbed runs count for the speed of their targets, once each", "[speed]")
{
    speed_cell cell {2};
    cell.runJob("j", speed_cell::step(3));
    CHECK(cell.statusOf("j") == job_status::Completed);
    CHECK(cell.countedRuns() == 3);
    cell.startLeading(2);
    CHECK(cell.countedRuns() == 0); // a new leader starts without history
}

// Guards against speeds learned from runs whose duration says nothing about their target.
TEST_CASE("disturbed and incomparable runs do not count for the speed of their target", "[speed]")
{
    speed_cell cell {1};
    auto spec = speed_cell::step(1);
    SECTION("a short task")
    {
        spec.set_estimate_ms(50);
    }
    SECTION("a gang")
    {
        spec.set_is_gang(true);
    }
    SECTION("a best-effort task")
    {
        spec.set_fills_gaps(true);
    }
    SECTION("a cold target")
    {
        cell.runFor({10});
        cell.reportCold("t0", 5'000);
    }
    SECTION("beside best-effort work")
    {
        auto besides = speed_cell::step(1);
        besides.set_fills_gaps(true);
        cell.accept("besides", {besides});
        cell.start({"besides", 0, 0, 0}, 1, "t0");
        cell.startLeading(2);
        cell.reportAll();
    }
    cell.runJob("j", spec);
    CHECK(cell.statusOf("j") == job_status::Completed);
    CHECK(cell.countedRuns() == 0);
}

TEST_CASE("a run that went on from a checkpoint does not count", "[speed]")
{
    speed_cell cell {1};
    cell.accept("j", {speed_cell::step(1)});
    cell.start({"j", 0, 0, 0}, 1, "t0");
    auto stopped = speed_cell::endCommand({"j", 0, 0, 0}, 1, "t0", messages::END_STOPPED);
    stopped.mutable_end()->mutable_ends(0)->set_checkpoint("half");
    cell.apply(stopped);
    cell.startLeading(2);
    cell.reportAll();
    cell.runFor({20});
    cell.answerOrders(order_kind::Start, order_result::Done);
    cell.runFor({1'000});
    cell.endRuns("j");
    cell.runFor({50});
    CHECK(cell.statusOf("j") == job_status::Completed);
    CHECK(cell.countedRuns() == 0);
}

// Guards against a target at fault that keeps the reputation of a fast one.
TEST_CASE("a quarantined target is of unknown speed", "[speed]")
{
    speed_cell cell {1};
    auto &target = cell.leader->targets.at("t0");
    target.speed.logSlowness = -0.3;
    target.speed.entries = {-0.3F};
    quarantineTarget(*cell.leader, target, "tasks fail there", cell.now);
    CHECK(target.speed.logSlowness == 0);
    CHECK(target.speed.entries.empty());
}

TEST_CASE("work with little slack goes to a fast target, and packing still counts", "[speed]")
{
    speed_cell cell {3};
    const auto accept = [&](const std::string &job) {
        cell.accept(job, {speed_cell::step(1)});
        cell.startLeading(2);
        cell.reportAll();
    };
    SECTION("equal packing")
    {
        accept("j");
        cell.leader->targets.at("t0").speed.logSlowness = 0.4;
        cell.leader->targets.at("t2").speed.logSlowness = -0.2;
        cell.runFor({20});
        CHECK(cell.targetOf({"j", 0, 0, 0}) == "t2");
    }
    SECTION("an empty target that is little faster")
    {
        cell.accept("first", {speed_cell::step(3)});
        for (std::uint32_t i = 0; i < 3; ++i) {
            cell.start({"first", 0, 0, i}, 1, "t0");
        }
        accept("j");
        cell.leader->targets.at("t2").speed.logSlowness = -0.2;
        cell.runFor({20});
        CHECK(cell.targetOf({"j", 0, 0, 0}) == "t0");
    }
}

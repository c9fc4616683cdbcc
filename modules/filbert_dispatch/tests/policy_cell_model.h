#pragma once

#include "dispatch_fixture.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace filbert {

/** A cell in virtual time: the dispatch of a leader, targets that run tasks for the estimate of
    their step, and a policy service that handles one call at a time for each caller. Commits take
    no time, and neither does the leader's work. */
struct policy_cell_model : dispatch_fixture
{
    static constexpr std::int64_t turnMs = 10;
    static constexpr std::size_t maxWaitingCalls = 32; // of a caller; further ones are refused

    struct simulated_run
    {
        std::uint32_t run = 0;
        time_point endsAt;
    };

    struct simulated_target
    {
        std::map<task_name, simulated_run> runs;
        std::vector<reported_end> ends; // not acknowledged yet
        std::uint64_t lastEnd = 0;
        std::optional<target_order> heldPoll;
        time_point pollEndsAt;
    };

    struct simulated_caller
    {
        std::deque<admission_call> calls; // the first one is being handled
        time_point handledAt; // when the first one is answered
    };

    /** What happened since the last call of resetCounts(). */
    struct model_counts
    {
        std::int64_t turns = 0;
        std::int64_t startedTasks = 0;
        std::map<std::string, std::set<task_name>> startedSteps; // by queue
        // By queue: of the jobs that were submitted since and have completed.
        std::map<std::string, milliseconds> longestDuration;
        std::int64_t refusedCalls = 0;
        // Summed over turns: callers without a call, and such in turns in which a step could use
        // one: a step waits that has no call pending, and a target has free capacity for a task.
        std::int64_t idleCallers = 0;
        std::int64_t needlesslyIdleCallers = 0;
        std::int64_t freeMilliCores = 0; // summed over turns
    };

    std::vector<std::string> callerNames;
    std::vector<std::string> targetIds;
    std::map<std::string, simulated_target> simulatedTargets;
    std::map<std::string, simulated_caller> simulatedCallers;
    std::map<std::string, time_point> submittedAt; // by job
    std::map<std::string, time_point> completedAt; // by job
    std::set<std::string> openJobs;
    time_point countedSince;
    model_counts counts;
    std::uint64_t term = 0;
    int admittedPercent = 60; // of the targets; always the same for a job

    policy_cell_model();

    /** Configures a queue on the only service, "orders".
        @param decideMs  0 = no policy */
    void addQueue(const std::string &name, int priority, double slackFactor, double decideMs,
                  double perTargetMs);
    void addCallers(int count);
    void addTargets(const std::string &prefix, int count, std::int32_t cores,
                    std::int32_t accelerators = 0);
    void submit(const std::string &id, const std::string &queue,
                const std::vector<messages::step_spec> &steps);

    /** Begins a new term. Calls that are under way are still handled, but their answers match
        nothing. */
    void lead();

    /** Lets time pass.
        @param eachTurn  called in each turn of 10 ms */
    void run(milliseconds duration, const std::function<void()> &eachTurn = {});

    std::size_t countWaitingSteps() const;
    std::int64_t totalMilliCores() const;
    std::int64_t freeMilliCores() const;
    void resetCounts()
    {
        counts = {};
        countedSince = now;
    }

private:
    void beginTurn();
    void handleCalls();
    void takeCalls();
    void answerCall(const admission_call &call);
    void carryOut(const target_order &order);
    void start(const target_order &order);
    void stop(const target_order &order);
    void poll(const target_order &order);
    void answerPoll(const std::string &id);
    void endDueRuns();
    void noteEndedJobs();
    void countTurn();
    bool hasCallableStep() const;
};

} // namespace filbert

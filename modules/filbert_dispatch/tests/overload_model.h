#pragma once

#include "../../filbert_work/tests/work_fixture.h"
#include "filbert_dispatch/filbert_dispatch.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace filbert {

/** What the leader's work costs, in microseconds of processor time. The figures are those of
    event=load and event=dispatch_load of controllers with 1,100 targets. */
struct processor_costs
{
    double turn = 50;
    double message = 20; // a message of another process, apart from what it causes
    double order = 20; // sent and answered
    double command = 15; // applied
    double pass = 200;
    double orderedStep = 1;
    double triedStep = 5;
    double candidate = 0.1; // a target considered for a step, or for a ticket
};

/** The load and the size of an overload_model. */
struct overload_settings
{
    int targets = 220;
    int callers = 30; // processes that can call the policy service
    double processorShare = 0.07; // cores of the leader
    double jobsPerSecond = 14; // quick jobs
    milliseconds duration {20'000};
    milliseconds burstAt {5'000};
    milliseconds burstDuration {4'000};
    double burstFactor = 1; // of quick jobs, during the burst
    // A new leader begins then, after some time without any. Nothing that was on its way to the old
    // one reaches it, except for submissions.
    std::optional<milliseconds> newLeaderAt;
    milliseconds withoutLeader;
};

/** What became of the quick jobs that were submitted in some time. */
struct overload_result
{
    int submitted = 0;
    int inTime = 0; // completed within their objective
    int late = 0; // completed within three times their objective
    int refused = 0; // not accepted in any attempt
};

/** The dispatch of a leader with a processor of limited speed, in virtual time: a turn takes as
   long as what it has done costs. Targets, the policy service and the log are simulated. */
class overload_model : private work_fixture
{
public:
    explicit overload_model(const overload_settings &settings);

    /** Plays the whole time. */
    void run();

    /** @return what became of the quick jobs that were submitted between two times */
    overload_result resultOf(milliseconds from, milliseconds until) const;

    const dispatch_totals &totals() const { return leader->totals; }

private:
    struct simulated_run
    {
        std::uint32_t run = 0;
        std::int64_t endsAtUs = 0;
    };

    struct simulated_target
    {
        std::map<task_name, simulated_run> runs;
        std::vector<reported_end> ends; // not acknowledged yet
        std::uint64_t lastEnd = 0;
        std::optional<target_order> heldPoll;
        std::uint64_t heldPolls = 0; // tells apart successive ones
    };

    using event_action = std::function<void()>;

    void after(double ms, event_action action);
    void atLeader(double ms, double costUs, event_action action);
    void submitJobs();
    void submit(bool isQuick);
    void offer(const messages::work_command &submission, int attemptsLeft);
    void reportTargets();
    void carryOut(const target_order &order);
    void start(const target_order &order);
    void poll(const target_order &order);
    void endRun(const std::string &target, const task_name &task, std::uint32_t run);
    void answerPoll(const std::string &target);
    void callPolicy(const admission_call &call);
    void commit(std::vector<messages::work_command> commands);
    double takeTurn();
    double costSince(const dispatch_totals &before) const;
    void lead();
    time_point now() const { return {baseMs + nowUs / 1'000}; }
    std::int64_t wallMs() const { return 1'700'000'000'000 + nowUs / 1'000; }

    static constexpr std::int64_t baseMs = 100'000;

    overload_settings settings;
    processor_costs costs;
    std::optional<dispatch_state> leader;
    load_shedding shedding;
    std::uint64_t term = 1;
    std::int64_t nowUs = 0;
    std::multimap<std::int64_t, event_action> events;
    std::deque<std::pair<double, event_action>> inbox; // what the leader handles in its next turn
    std::vector<messages::work_command> heldSubmissions; // while there is no leader
    std::map<std::string, simulated_target> simulatedTargets;
    std::map<std::string, std::int64_t> callerBusyUntilUs;
    std::map<std::string, std::int64_t> submittedAtUs; // of quick jobs
    std::map<std::string, std::int64_t> completedAtUs;
    std::set<std::string> refusedJobs; // quick ones whose callers have given up
    std::set<std::string> openJobs; // quick ones that have not ended
    std::mt19937 random {7};
    int jobCount = 0;
};

} // namespace filbert

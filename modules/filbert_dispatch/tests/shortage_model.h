#pragma once

#include "dispatch_fixture.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace filbert {

/** What a team sends. */
struct team_load
{
    std::string name;
    std::int32_t weight = 0; // in jobs per second
    double jobsPerSecond = 0;
    double burstFactor = 1; // of its jobs, during the burst
    std::string queue; // empty = all, evenly
};

/** The load of a shortage_model. */
struct shortage_settings
{
    std::vector<team_load> teams;
    milliseconds duration {60'000};
    milliseconds burstAt {15'000};
    milliseconds burstDuration {14'000};
    bool refuses = true; // whether jobs that would be late are refused
    std::uint32_t seed = 5;
};

/** What became of the jobs that were submitted in some time. */
struct shortage_result
{
    int submitted = 0;
    int inTime = 0;
    int late = 0; // completed within three times their objective
    int refused = 0; // in all of their attempts
    int refusals = 0; // in any attempt
    int unfinished = 0; // accepted and not completed
    double possibleValue = 0;
    double value = 0;

    double share() const { return possibleValue > 0 ? value / possibleValue : 1.0; }
    double shareInTime() const { return submitted > 0 ? 1.0 * inTime / submitted : 1.0; }
};

/** The dispatch of a leader with time enough and too few targets, in virtual time. Targets and the
    log are simulated; there is no policy service. A job's value to its caller grows with its work.
    One that is late keeps a fifth of it. */
class shortage_model : private dispatch_fixture
{
public:
    explicit shortage_model(const shortage_settings &settings);

    /** @return jobs per second that use all targets */
    double capacityInJobs() const;

    /** Plays the whole time and then until all jobs have ended, for a minute at most. */
    void run();

    /** @param team   empty = all
        @param queue  empty = all
        @param minSize  quantile of the jobs of a queue by work: 0.9 = the largest tenth only */
    shortage_result resultOf(milliseconds from, milliseconds until, const std::string &team = {},
                             const std::string &queue = {}, double minSize = 0) const;

    /** @return jobs that were refused in all attempts and ran nevertheless */
    int countRefusedThatRan() const;

    /** @return how many waits were predicted */
    std::size_t predictedWaits() const { return comparisons.size(); }

    /** @return the largest number of refused jobs that were told to return in the same second,
        relative to the mean */
    double worstReturnPeak() const;

private:
    struct job_record
    {
        std::string team;
        std::string queue;
        std::int64_t submittedMs = 0;
        std::int64_t objectiveMs = 0;
        std::int64_t completedMs = 0; // 0 = not yet
        double work = 0; // core-seconds
        bool isRefused = false;
        int refusals = 0;
        int attempts = 0;
        messages::staged_job job;
    };

    struct running_task
    {
        task_name task;
        std::uint32_t run = 0;
        std::string target;
    };

    void submitJobs();
    messages::staged_job makeJob(const std::string &queue);
    void submit(const team_load &team);
    void offer(const std::string &id);
    void startTasks();
    void endTasks();
    void reportTargets();
    void playTick();
    bool isBurst() const;
    std::int64_t elapsedMs() const { return now.ms - beginMs; }

    static constexpr std::int64_t beginMs = 100'000;

    shortage_settings settings;
    load_shedding shedding;
    std::mt19937 random;
    std::map<std::string, job_record> records;
    std::multimap<std::int64_t, running_task> running; // by end
    std::multimap<std::int64_t, std::string> returns; // refused jobs, by time
    std::map<std::int64_t, int> returnsBySecond;
    std::set<std::string> startedJobs;
    std::vector<wait_comparison> comparisons;
    std::map<std::string, std::uint64_t> lastEnds; // by target
};

} // namespace filbert

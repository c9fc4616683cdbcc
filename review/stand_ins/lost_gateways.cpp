/** @file
    A job on a queue with a policy, in a cell that has lost two of its three gateways.

    Usage: lost_gateways PROGRAMS TEMPLATES WORK_FOLDER RECORD_FILE TROUBLE
*/

#include "policy.h"
#include "trial.h"

#include <csignal>

namespace review {

namespace {

constexpr int gatewayCount = 3;
constexpr int workerCount = 6;
constexpr std::int64_t settleMs = 5'000; // until all gateways and workers are known
constexpr std::int64_t watchMs = 40'000; // finish_s is 14 s
constexpr std::int64_t taskMs = 1'000;
const std::string firstJob = "5c0e7a21d94b36f8";
const std::string secondJob = "5c0e7a21d94b36f9";

nlohmann::json makeJob()
{
    return {{"spec", "work=" + std::to_string(taskMs)},
            {"phases", {{{"count", 4}, {"cpu", 2'000}, {"memMb", 1'000}, {"estimateMs", taskMs}}}}};
}

/** @return whether the job is shown as completed in time */
bool waitForJob(trial &current, const std::string &id, std::int64_t patienceMs)
{
    const auto deadline = nowMs() + patienceMs;
    std::string state;
    while (nowMs() < deadline && state != "completed") {
        sleepMs(1'000);
        state = current.client.state(id);
        current.recordState(id, state);
    }
    return state == "completed";
}

exit_code run(trial &current)
{
    const policy_service policy {current.servers.policyEndpoint(), current.record};
    current.needsTickets = true;
    current.addWorkers(workerCount, current.recordingEvents());
    if (!current.servers.configure(makeConfiguration(1, 3, makeAdvice()))) {
        return exit_code::CouldNotRun;
    }
    sleepMs(settleMs);
    if (!current.client.submit(firstJob, makeJob())
        || !waitForJob(current, firstJob, settleMs * 2)) {
        return exit_code::CouldNotRun;
    }
    current.client.useOnly(0);
    if (current.hasTrouble) {
        for (int i = 1; i < gatewayCount; ++i) {
            current.servers.signal("gateway-" + std::to_string(i), SIGKILL);
        }
    }
    sleepMs(settleMs);
    if (!current.client.submit(secondJob, makeJob())) {
        return exit_code::CouldNotRun;
    }
    const bool isCompleted = waitForJob(current, secondJob, watchMs);
    std::size_t runs = 0;
    for (auto &each : current.workers) {
        runs += each->runCount();
    }
    return current.judge(!isCompleted && runs == 0,
                         "the accepted job has nothing running after 40 s on empty workers");
}

} // namespace

} // namespace review

int main(int argc, char **argv)
{
    return review::runTrial(argc, argv, review::run, review::gatewayCount);
}

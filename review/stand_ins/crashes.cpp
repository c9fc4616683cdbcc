/** @file
    A job whose tasks last, on workers that crash one after the other.

    Usage: crashes PROGRAMS TEMPLATES WORK_FOLDER RECORD_FILE TROUBLE
*/

#include "trial.h"

namespace review {

namespace {

constexpr int workerCount = 8; // one of them is less than the share 0.14 of the site file
constexpr int crashCount = 4;
constexpr std::int64_t timeBetweenCrashesMs = 12'000;
constexpr std::int64_t downMs = 3'000; // the site file allows 4.6 s
const std::string jobId = "5c0e7a21d94b36f8";
const std::string task = jobId + ".0.0.0";

/** @return the worker on which the task is at work, or nullptr after 10 s */
worker *findWorker(trial &current)
{
    constexpr std::int64_t patienceMs = 10'000;
    const auto deadline = nowMs() + patienceMs;
    while (nowMs() < deadline) {
        for (auto &each : current.workers) {
            if (each->isAtWork(task)) {
                return each.get();
            }
        }
        sleepMs(20);
    }
    return nullptr;
}

exit_code run(trial &current)
{
    bool hasRunFailed = false;
    std::mutex mutex;
    worker_events events = current.recordingEvents();
    const auto recordEnd = events.onEnd;
    events.onEnd = [&](const std::string &id, const std::string &ended, unsigned number,
                       const std::string &how) {
        recordEnd(id, ended, number, how);
        const std::lock_guard lock {mutex};
        hasRunFailed = hasRunFailed || how == "failed";
    };
    current.addWorkers(workerCount, events);
    if (!current.servers.configure(makeConfiguration(1, 3))
        || !current.client.submit(
            jobId,
            {{"spec", "lasts"},
             {"phases", {{{"count", 1}, {"cpu", 4'000}, {"memMb", 4'000}, {"longRunning", true}}}}})
        || findWorker(current) == nullptr) {
        return exit_code::CouldNotRun;
    }
    std::string state;
    for (int i = 0; i < crashCount; ++i) {
        sleepMs(timeBetweenCrashesMs - downMs);
        auto *const at = findWorker(current);
        if (current.hasTrouble && at != nullptr) {
            at->crash();
            sleepMs(downMs);
            at->restart();
        } else {
            sleepMs(downMs);
        }
        state = current.client.state(jobId);
        current.recordState(jobId, state);
    }
    constexpr std::int64_t settleMs = 4'000;
    sleepMs(settleMs);
    state = current.client.state(jobId);
    current.recordState(jobId, state);
    const std::lock_guard lock {mutex};
    return current.judge(state == "failed" && !hasRunFailed,
                         "the job is shown as failed, but none of its runs has ended failed");
}

} // namespace

} // namespace review

int main(int argc, char **argv)
{
    return review::runTrial(argc, argv, review::run);
}

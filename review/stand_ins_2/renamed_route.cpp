/** @file
    Case of a route that a new configuration replaces by one of another name at the same place. */

#include "cell.h"

namespace {

using namespace review;

constexpr int workerCount = 3;
constexpr std::int64_t milliCores = 16'000;
constexpr std::int64_t beforeMs = 4'000; // visible_ms, 3,000, and a margin
constexpr std::int64_t afterMs = 5'000; // contactMs, 3,000, and configApplyMs, 2,000
constexpr std::int64_t cancelledMs = 8'000; // cancel_ms, 3,000, and stopMs, 900, and contactMs
constexpr int queries = 5;
constexpr const char *lastingJob = "7e0a3e00c0ffee01";
constexpr const char *lastingTask = "7e0a3e00c0ffee01.0.0.0";
constexpr const char *doneJob = "7e0a3e00c0ffee02";

int play(cell &cell, case_record &record)
{
    const bool isStarted = cell.start()
        && cell.submit(lastingJob,
                       R"({"spec":"lasting cores:2000","phases":[{"count":1,"cpu":2000,)"
                       R"("memMb":1024,"estimateMs":400,"longRunning":true}]})")
                / 100
            == 2
        && cell.submit(doneJob,
                       R"({"spec":"work:500 cores:1000","phases":[{"count":1,"cpu":1000,)"
                       R"("memMb":512,"estimateMs":500}]})")
                / 100
            == 2;
    sleepMs(beforeMs);
    if (!isStarted || cell.stateOf(lastingJob) != "active" || cell.stateOf(doneJob) != "completed"
        || cell.runnerOf(lastingTask) == nullptr) {
        record.write("the case could not run");
        return 2;
    }
    // The new version changes a time-out in any case, and the name of the route with the trouble.
    constexpr int changedTimeoutMs = 2'900;
    if (!cell.configure(2, hasTrouble() ? "queue-renamed" : "queue", changedTimeoutMs)) {
        return 2;
    }
    sleepMs(afterMs);
    int unknown = 0;
    for (int i = 0; i < queries; ++i) {
        unknown += cell.statusOf(lastingJob) == 410 ? 1 : 0;
        unknown += cell.statusOf(doneJob) == 410 ? 1 : 0;
    }
    const int cancelled = cell.cancel(lastingJob);
    sleepMs(cancelledMs);
    const bool runsOn = cell.runnerOf(lastingTask) != nullptr;
    record.write("the cancelling was answered with " + std::to_string(cancelled)
                 + (runsOn ? "; 8 s later the task runs on" : "; 8 s later the task has ended"));
    if (unknown > 0) {
        record.write(
            "LOST is broken: GETs for accepted jobs that nobody had cancelled were answered "
            "with 410");
    }
    const bool isAcknowledged = cancelled == 410 || cancelled / 100 == 2;
    if (runsOn && isAcknowledged) {
        record.write(
            "UNASKED is broken: a task of a job runs on whose cancelling was acknowledged");
    }
    return unknown > 0 || (runsOn && isAcknowledged) ? 1 : 0;
}

} // namespace

int main(int, char **argv)
{
    case_record record {argv[1]};
    cell cell {record, workerCount, milliCores};
    return play(cell, record);
}

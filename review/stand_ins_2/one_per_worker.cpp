/** @file
    Case of a best-effort step that may have one task on a worker, when a worker is lost. */

#include "cell.h"

#include <map>

namespace {

using namespace review;

constexpr int workerCount = 8; // one of them is 0.125 of the service
constexpr std::int64_t milliCores = 16'000;
constexpr std::int64_t startMs = 6'000;
constexpr std::int64_t observedMs = 20'000; // longer than a lease, 6,000
constexpr std::int64_t samplePeriodMs = 50;
constexpr const char *job = "0aef111c0ffee001";
constexpr const char *body =
    R"({"spec":"lasting cores:4000","phases":[{"count":8,"cpu":4000,"memMb":1024,)"
    R"("estimateMs":400,"longRunning":true,"fillCount":true,"maxPerServer":1}]})";

/** @return the highest number of tasks of the job on one worker */
int mostOnOneWorker(cell &cell)
{
    int most = 0;
    for (std::size_t i = 0; i < cell.workerCount(); ++i) {
        int here = 0;
        for (int task = 0; task < workerCount; ++task) {
            here +=
                cell.workerAt(i).runs(std::string {job} + ".0.0." + std::to_string(task)) ? 1 : 0;
        }
        most = std::max(most, here);
    }
    return most;
}

int play(cell &cell, case_record &record)
{
    if (!cell.start() || cell.submit(job, body) / 100 != 2) {
        return 2;
    }
    sleepMs(startMs);
    if (mostOnOneWorker(cell) != 1) {
        record.write("before any trouble, " + std::to_string(mostOnOneWorker(cell))
                     + " tasks are on one worker");
        return 2;
    }
    if (hasTrouble()) {
        cell.workerAt(0).crash(); // for good
    }
    int most = 0;
    for (const auto until = wallMs() + observedMs; wallMs() < until; sleepMs(samplePeriodMs)) {
        most = std::max(most, mostOnOneWorker(cell));
    }
    record.write("most tasks of the step on one worker: " + std::to_string(most));
    record.write(most > 1 ? "ROUTE is broken: a start beyond maxPerServer" : "ROUTE holds");
    return most > 1 ? 1 : 0;
}

} // namespace

int main(int, char **argv)
{
    case_record record {argv[1]};
    cell cell {record, workerCount, milliCores};
    return play(cell, record);
}

/** @file
    Case of large jobs, whose tasks take longer than most, that come at once. */

#include "cell.h"

#include <algorithm>

namespace {

using namespace review;

constexpr int workerCount = 6;
constexpr std::int64_t milliCores = 16'000;
constexpr int jobCount = 3; // on six workers: half of the service stays free
constexpr std::int64_t taskCores = 9'000; // one on a worker
constexpr std::int64_t ordinaryWorkMs = 20'000;
constexpr std::int64_t longWorkMs = 600'000;
constexpr std::int64_t finishMs = 14'000; // finish_s
constexpr std::int64_t observedMs = 60'000;
constexpr std::int64_t samplePeriodMs = 100;
constexpr std::int64_t longestGapMs = 3'000; // "for 3 s"
constexpr int queryPeriod = 50; // in samples

std::string jobName(int number)
{
    return "10a9d0b5c0ffee0" + std::to_string(number);
}

std::string bodyOf(std::int64_t workMs)
{
    return R"({"spec":"work:)" + std::to_string(workMs) + " cores:" + std::to_string(taskCores)
        + R"(","phases":[{"count":1,"cpu":)" + std::to_string(taskCores)
        + R"(,"memMb":8192,"estimateMs":)" + std::to_string(workMs) + "}]}";
}

/** Whether two more tasks fit, each on a worker that is up and runs nothing else of this size, and
    less than half of the service is in use. */
bool hasRoomTwice(cell &cell)
{
    int fitting = 0;
    for (std::size_t i = 0; i < cell.workerCount(); ++i) {
        const auto &each = cell.workerAt(i);
        fitting += each.isUp() && each.usedCores() + taskCores <= milliCores ? 1 : 0;
    }
    return fitting >= 2 && cell.usedCores() * 2 < workerCount * milliCores;
}

/** Whether a task has not been done yet and runs nowhere. */
bool isWaiting(const cell &cell, const std::string &task)
{
    const auto runs = cell.runsOf(task);
    return std::all_of(runs.begin(), runs.end(),
                       [](const auto &run) { return run.endedAt != 0 && run.end != "done"; });
}

int play(cell &cell, case_record &record)
{
    if (!cell.start()) {
        record.write("the case could not run");
        return 2;
    }
    for (int i = 0; i < jobCount; ++i) {
        if (cell.submit(jobName(i), bodyOf(hasTrouble() ? longWorkMs : ordinaryWorkMs)) / 100
            != 2) {
            return 2;
        }
    }
    record.write("the traffic has ended");
    sleepMs(finishMs);
    record.write("finish_s has passed");
    std::vector<std::string> states(jobCount);
    std::vector<std::int64_t> idleSince(jobCount, 0);
    std::vector<std::int64_t> longestGap(jobCount, 0);
    const auto until = wallMs() + observedMs;
    for (int sample = 0; wallMs() < until; ++sample) {
        const bool hasRoom = hasRoomTwice(cell);
        for (int i = 0; i < jobCount; ++i) {
            const auto at = static_cast<std::size_t>(i);
            if (sample % queryPeriod == 0) {
                states[at] = cell.stateOf(jobName(i));
            }
            const bool isIdle =
                hasRoom && states[at] == "active" && isWaiting(cell, jobName(i) + ".0.0.0");
            idleSince[at] = !isIdle ? 0 : idleSince[at] == 0 ? wallMs() : idleSince[at];
            longestGap[at] =
                std::max(longestGap[at], isIdle ? wallMs() - idleSince[at] : std::int64_t {0});
        }
        sleepMs(samplePeriodMs);
    }
    bool isBroken = false;
    for (int i = 0; i < jobCount; ++i) {
        const auto at = static_cast<std::size_t>(i);
        const auto runs = cell.runsOf(jobName(i) + ".0.0.0");
        int stopped = 0;
        for (const auto &run : runs) {
            stopped += run.end == "stopped" ? 1 : 0;
        }
        record.write("job " + jobName(i) + ": " + cell.stateOf(jobName(i)) + ", "
                     + std::to_string(runs.size()) + " runs, " + std::to_string(stopped)
                     + " of them stopped; nothing of it ran for " + std::to_string(longestGap[at])
                     + " ms on end");
        isBroken = isBroken || longestGap[at] > longestGapMs;
    }
    record.write(isBroken ? "LOST is broken: a task's turn had come, there was room for it twice "
                            "over, and for more than 3 s nothing of its job ran"
                          : "LOST holds");
    return isBroken ? 1 : 0;
}

} // namespace

int main(int, char **argv)
{
    case_record record {argv[1]};
    cell cell {record, workerCount, milliCores};
    return play(cell, record);
}

/** @file
    Case of a standing job whose task has been on several workers that crashed. */

#include "cell.h"

#include <iostream>

namespace {

using namespace review;

constexpr int workerCount = 7; // one of them is 0.143 of the service
constexpr int crashes = 5;
constexpr std::int64_t milliCores = 16'000;
constexpr std::int64_t downMs = 3'000;
constexpr std::int64_t workBetweenMs = 4'000;
constexpr std::int64_t restartTimeoutMs = 15'000;
constexpr const char *job = "57a2d1b9c0ffee01";
constexpr const char *task = "57a2d1b9c0ffee01.0.0.0";
constexpr const char *body = R"({"spec":"lasting cores:2000","phases":[{"count":1,"cpu":2000,)"
                             R"("memMb":1024,"estimateMs":400,"longRunning":true}]})";

/** Waits until the task runs. @return its worker, or nullptr if the job has ended or time is up */
worker *awaitRun(cell &cell, std::string *state)
{
    const auto deadline = wallMs() + restartTimeoutMs;
    while (wallMs() < deadline) {
        *state = cell.stateOf(job);
        if (auto *found = cell.runnerOf(task)) {
            return found;
        }
        if (*state == "failed" || *state == "cancelled" || *state == "completed") {
            return nullptr;
        }
        sleepMs(500);
    }
    return nullptr;
}

int play(cell &cell, case_record &record)
{
    std::string state;
    if (!cell.start() || cell.submit(job, body) / 100 != 2 || awaitRun(cell, &state) == nullptr) {
        record.write("the case could not run");
        return 2;
    }
    for (int i = 0; i < crashes; ++i) {
        sleepMs(workBetweenMs);
        auto *runner = awaitRun(cell, &state);
        if (runner == nullptr) {
            break;
        }
        if (hasTrouble()) {
            record.write("crash " + std::to_string(i + 1) + ": " + runner->name());
            runner->crash();
            sleepMs(downMs);
            runner->start();
        }
    }
    sleepMs(workBetweenMs);
    const auto *runner = awaitRun(cell, &state);
    int failedEnds = 0;
    for (const auto &run : cell.runsOf(task)) {
        failedEnds += run.end == "failed" ? 1 : 0;
    }
    record.write("ends `failed` of the task: " + std::to_string(failedEnds));
    record.write("at the end the job is shown as " + state
                 + (runner == nullptr ? ", and its task runs nowhere" : ", and its task runs"));
    const bool isBroken = state == "failed" && failedEnds == 0;
    record.write(isBroken ? "LOST is broken: the job is shown as failed without cause"
                          : "LOST holds");
    return isBroken ? 1 : (state == "active" && runner != nullptr ? 0 : 2);
}

} // namespace

int main(int, char **argv)
{
    case_record record {argv[1]};
    cell cell {record, workerCount, milliCores};
    return play(cell, record);
}

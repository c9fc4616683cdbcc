/** @file
    Case 11: four times, a worker crashes in the middle of a job's only task.

    Usage: case_11 RECORD TROUBLE(0|1); exits with 1 if the job is shown as failed although none of
    its runs has, 0 if it is completed, 2 if the case could not run.
*/

#include "cell.h"

#include <csignal>
#include <iostream>
#include <thread>

namespace {

using namespace review;
using steady = std::chrono::steady_clock;

constexpr const char *jobId = "00000000000000a1";
constexpr auto workersAreOldAfter = 8s;
constexpr int crashes = 4;
constexpr auto crashDelay = 2s; // from the start of the task, which works for 9 s
constexpr auto downTime = 3s;

/** Waits for one more start of the first task. @return the name of its worker; empty = none came */
std::string waitForStart(const cell &subject, std::size_t known, std::chrono::seconds timeout)
{
    const auto deadline = steady::now() + timeout;
    while (steady::now() < deadline) {
        const auto lines = subject.recorded({"start " + std::string {jobId} + ".0.0.0 "});
        if (lines.size() > known) {
            const auto begin = lines.back().find("i-worker-");
            return lines.back().substr(begin + 2, lines.back().find(' ', begin) - begin - 2);
        }
        std::this_thread::sleep_for(10ms);
    }
    return {};
}

int play(const std::string &recordPath, bool hasTrouble)
{
    cell subject {cell_settings {}, recordPath};
    if (!subject.start()) {
        return 2;
    }
    std::this_thread::sleep_for(workersAreOldAfter);
    const auto path = std::string {queuePath} + jobId;
    const auto body = R"({"spec":"work=9000","phases":[{"count":1,"cpu":2000,"memMb":256,)"
                      R"("estimateMs":9000}]})";
    if (subject.call(0, "POST", path, body, 3s) != 200) {
        return 2;
    }
    for (std::size_t crash = 0; hasTrouble && crash < crashes; ++crash) {
        const auto worker = waitForStart(subject, crash, 10s);
        if (worker.empty()) {
            break; // the job has ended
        }
        std::this_thread::sleep_for(crashDelay);
        subject.kill(worker);
        std::this_thread::sleep_for(downTime);
        subject.startWorker(std::stoi(worker.substr(worker.find('-') + 1)));
    }
    std::string state;
    const auto isOver = [&] {
        return state.find("failed") != std::string::npos
            || state.find("completed") != std::string::npos;
    };
    for (int i = 0; i < 20 && !isOver(); ++i) { // calm: the task can run to its end
        std::this_thread::sleep_for(2s);
        subject.call(i % 2, "GET", path, "", 3s, &state);
    }
    const bool hasFailedEnd = !subject.recorded({"end", " failed"}).empty();
    const bool isBroken = state.find("failed") != std::string::npos && !hasFailedEnd;
    subject.record(isBroken ? "BROKEN: the job is shown as failed, and no run ended as failed"
                            : "held");
    return isBroken ? 1 : state.find("completed") != std::string::npos ? 0 : 2;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: case_11 RECORD TROUBLE\n";
        return 2;
    }
    return play(argv[1], std::string {argv[2]} != "0");
}

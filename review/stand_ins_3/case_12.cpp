/** @file
    Case 12: one client hands in some dozens of small requests for jobs of very many tasks.

    The platform's part: a process that uses more memory than its machine allows is killed, and is
    started again after a short delay.

    Usage: case_12 RECORD TROUBLE(0|1); exits with 1 if processes on half of the core end three
   times for their memory, 0 if not, 2 if the case could not run.
*/

#include "cell.h"

#include <fstream>
#include <iostream>
#include <map>
#include <thread>

namespace {

using namespace review;
using steady = std::chrono::steady_clock;

constexpr int controllers = 3;
constexpr int jobs = 30;
constexpr std::int64_t memoryKb = 256 * 1024; // limits.memoryMb of a controller
constexpr int tooManyEnds = 3;
constexpr auto watchedFor = 60s;
constexpr auto restartDelay = 500ms;
constexpr const char *ordinaryJob = "00000000000000d0";

std::int64_t memoryOf(pid_t pid)
{
    std::ifstream status {"/proc/" + std::to_string(pid) + "/status"};
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stoll(line.substr(6));
        }
    }
    return 0;
}

std::string jobId(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "00000000000001%02x", number);
    return text;
}

/** @return a job of ten steps */
std::string jobText(int tasksInStep)
{
    std::string phases;
    for (int i = 0; i < 10; ++i) {
        phases += (i > 0 ? "," : "") + std::string {R"({"count":)"} + std::to_string(tasksInStep)
            + R"(,"cpu":30000,"memMb":256,"estimateMs":1000,"longRunning":true})";
    }
    return R"({"spec":"lasts","phases":[)" + phases + "]}";
}

/** Ends processes that use too much memory, and starts them again. */
void limitMemory(cell &subject, std::map<std::string, int> *ends,
                 std::map<std::string, steady::time_point> *startAt)
{
    for (int i = 0; i < controllers; ++i) {
        const auto name = "controller-" + std::to_string(i);
        const auto due = startAt->find(name);
        if (due != startAt->end()) {
            if (steady::now() >= due->second) {
                startAt->erase(due);
                subject.startController(i, false);
            }
            continue;
        }
        const auto used = memoryOf(subject.pidOf(name));
        const bool hasEnded = subject.hasEnded(name);
        if (!hasEnded && used <= memoryKb) {
            continue;
        }
        if (!hasEnded) {
            subject.record(name + " uses " + std::to_string(used) + " kB, and is killed");
            subject.kill(name);
        }
        ++(*ends)[name];
        (*startAt)[name] = steady::now() + restartDelay;
    }
}

int play(const std::string &recordPath, bool hasTrouble)
{
    cell_settings settings;
    settings.controllers = controllers;
    cell subject {settings, recordPath};
    if (!subject.start()) {
        return 2;
    }
    const auto ordinary = R"({"spec":"lasts","phases":[{"count":1,"cpu":1000,"memMb":256,)"
                          R"("estimateMs":1000,"longRunning":true}]})";
    if (subject.call(0, "POST", std::string {queuePath} + ordinaryJob, ordinary, 3s) != 200) {
        return 2;
    }
    std::map<std::string, int> ends;
    std::map<std::string, steady::time_point> startAt;
    const auto body = jobText(hasTrouble ? 10'000 : 1);
    for (int i = 0; i < jobs; ++i) {
        subject.call(i % 2, "POST", queuePath + jobId(i), body, 3s);
        limitMemory(subject, &ends, &startAt);
    }
    const auto watchUntil = steady::now() + watchedFor;
    while (steady::now() < watchUntil) {
        limitMemory(subject, &ends, &startAt);
        std::this_thread::sleep_for(20ms);
    }
    const auto status = subject.call(0, "GET", std::string {queuePath} + ordinaryJob, "", 3s);
    int machines = 0;
    for (const auto &[name, count] : ends) {
        subject.record(name + " ended " + std::to_string(count) + " times");
        machines += count >= tooManyEnds ? 1 : 0;
    }
    const bool isBroken = machines * 2 >= controllers;
    subject.record(isBroken ? "BROKEN: half of the core ended three times for their memory"
                            : "held");
    return isBroken ? 1 : status == 200 ? 0 : 2;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: case_12 RECORD TROUBLE\n";
        return 2;
    }
    return play(argv[1], std::string {argv[2]} != "0");
}

/** @file
    Case 15: the only worker of a kind is unhealthy for some seconds while jobs for it come.

    Usage: case_15 RECORD TROUBLE(0|1); exits with 1 if the number of pending jobs is under half of
    the jobs that have not begun, 0 if it never is, 2 if the case could not run.
*/

#include "cell.h"

#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using namespace review;

constexpr std::size_t jobs = 8;
constexpr std::int64_t countedAfterMs = 3'000 + 2'000; // visible_ms and 2 s

std::string jobId(std::size_t number)
{
    return "00000000000000c" + std::to_string(number);
}

/** @return how many of the jobs have not begun */
std::size_t countUnbegun(const cell &subject)
{
    std::size_t unbegun = 0;
    for (std::size_t i = 0; i < jobs; ++i) {
        unbegun += subject.recorded({"start " + jobId(i)}).empty() ? 1 : 0;
    }
    return unbegun;
}

int play(const std::string &recordPath, bool hasTrouble)
{
    cell subject {cell_settings {}, recordPath};
    if (!subject.start()) {
        return 2;
    }
    std::this_thread::sleep_for(4s);
    if (hasTrouble) {
        subject.signalProcess("worker-0", SIGUSR1);
        std::this_thread::sleep_for(100ms);
    }
    const auto body = R"({"spec":"work=1000","phases":[{"count":1,"cpu":3000,"memMb":256,)"
                      R"("estimateMs":1000,"requiredLabel":"b"}]})";
    for (std::size_t i = 0; i < jobs; ++i) {
        if (subject.call(0, "POST", queuePath + jobId(i), body, 3s) != 200) {
            return 2;
        }
    }
    const auto acceptedAt = wallMs();
    bool isBroken = false;
    for (int i = 0; i < 24; ++i) {
        std::this_thread::sleep_for(500ms);
        const auto askedAt = wallMs();
        std::string text;
        const auto status = subject.call(i % 2, "GET", queuePath, "", 3s, &text);
        const auto unbegun = countUnbegun(subject); // none of these had begun when it was asked
        if (status != 200 || askedAt < acceptedAt + countedAfterMs) {
            continue;
        }
        const auto pending = nlohmann::json::parse(text).value("pending", std::size_t {0});
        if (pending * 2 < unbegun) {
            subject.record("BROKEN: pending is " + std::to_string(pending) + ", but "
                           + std::to_string(unbegun) + " jobs have not begun");
            isBroken = true;
        }
    }
    for (std::size_t i = 0; i < jobs; ++i) {
        subject.call(1, "GET", queuePath + jobId(i), "", 3s);
    }
    subject.record(isBroken ? "BROKEN" : "held");
    return isBroken ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: case_15 RECORD TROUBLE\n";
        return 2;
    }
    return play(argv[1], std::string {argv[2]} != "0");
}

/** @file
    Case 13: a client cancels a job that it handed to a machine which froze.

    Usage: case_13 RECORD TROUBLE(0|1); exits with 1 if a task of the job starts later
    than cancel_ms after the cancelling was acknowledged, 0 if none does, 2 if the case could not
    run.
*/

#include "cell.h"

#include <csignal>
#include <iostream>
#include <thread>

namespace {

using namespace review;

constexpr const char *jobId = "00000000000000b2";
constexpr std::int64_t cancelMs = 3'000;
constexpr auto freezeTime = 5s;

int play(const std::string &recordPath, bool hasTrouble)
{
    cell_settings settings;
    settings.gateways = 7; // one of ten machines freezes
    cell subject {settings, recordPath};
    if (!subject.start()) {
        return 2;
    }
    const auto path = std::string {queuePath} + jobId;
    const auto body = R"({"spec":"work=2000","phases":[{"count":2,"cpu":2000,"memMb":256,)"
                      R"("estimateMs":2000}]})";
    std::this_thread::sleep_for(5s);
    const auto frozenAt = std::chrono::steady_clock::now();
    if (hasTrouble) {
        subject.signalProcess("gateway-0", SIGSTOP);
    }
    const auto handedIn = subject.call(0, "POST", path, body, 1s);
    const auto cancelled = subject.call(1, "DELETE", path, "", 3s);
    const auto cancelledAt = wallMs();
    if ((cancelled != 200 && cancelled != 410) || (!hasTrouble && handedIn != 200)) {
        return 2;
    }
    std::this_thread::sleep_until(frozenAt + freezeTime);
    if (hasTrouble) {
        subject.signalProcess("gateway-0", SIGCONT);
    }
    std::this_thread::sleep_for(6s);
    subject.call(1, "GET", path, "", 3s);
    bool isBroken = false;
    for (const auto &line : subject.recorded({"start " + std::string {jobId}})) {
        isBroken = isBroken || std::stoll(line) > cancelledAt + cancelMs;
    }
    subject.record(isBroken ? "BROKEN: a task started long after its job was cancelled" : "held");
    return isBroken ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: case_13 RECORD TROUBLE\n";
        return 2;
    }
    return play(argv[1], std::string {argv[2]} != "0");
}

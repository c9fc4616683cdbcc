/** @file
    A controller that was down catches up, and is paused for a moment while it does; meanwhile the
    leader is killed. All are back soon. Later, leaders are stopped as planned, one at a time, until
   that controller leads.

    Usage: catching_up PROGRAMS TEMPLATES WORK_FOLDER RECORD_FILE TROUBLE
*/

#include "trial.h"

#include <csignal>
#include <iomanip>
#include <sstream>

namespace review {

namespace {

constexpr int entriesPerSnapshot = 1'500;
constexpr int jobsAfterSnapshot = 60; // entries after the second snapshot
constexpr int jobsPerRound = entriesPerSnapshot + jobsAfterSnapshot;
constexpr int maxAttempts = 4; // to pause the process before it has the whole state
constexpr std::size_t specBytes = 4'000; // the longest of the pages
constexpr std::size_t transferredBytes = 3 << 20; // a part of the state, which has 12 MB
constexpr std::int64_t transferTimeoutMs = 10'000;
constexpr std::int64_t pauseMs = 1'500; // the site file allows 4 s
constexpr std::int64_t downMs = 1'500; // of the leader; the site file allows 3.5 s
constexpr std::int64_t restartDelayMs = 500; // of a killed process
constexpr std::int64_t recoveryMs = 15'000; // recoveryS is 12 s
constexpr std::int64_t betweenStopsMs = 5'000; // catchUpS is 4 s
constexpr std::int64_t graceMs = 6'000; // graceS
constexpr int maxStops = 6;

std::string jobId(int number)
{
    constexpr int digits = 16;
    std::ostringstream text;
    text << std::hex << std::setfill('0') << std::setw(digits) << number;
    return text.str();
}

nlohmann::json makeJob()
{
    // It can't start before a time that lies far ahead, so that the log grows by submissions only.
    constexpr std::int64_t dayMs = 24 * 60 * 60 * 1'000;
    return {{"spec", std::string(specBytes, 'x')},
            {"phases", {{{"count", 1}, {"cpu", 500}, {"memMb", 256}}}},
            {"repeatCount", 1},
            {"firstRunMs", wallMs() + dayMs}};
}

bool submitJobs(trial &current, int from, int to)
{
    const auto job = makeJob();
    for (int i = from; i < to; ++i) {
        if (!current.client.submit(jobId(i), job)) {
            return false;
        }
    }
    return true;
}

/** Starts a controller and pauses it while it receives the state.

    Its memory first grows while it reads its own disk, then stays the same until the leader has
    connected, and grows again during the transfer.

    @return whether it was paused before the transfer ended */
bool pauseDuringTransfer(trial &current, const std::string &name)
{
    constexpr std::int64_t quietMs = 25;
    constexpr std::size_t quietBytes = 256 << 10;
    const std::string startEvent = "event=started";
    const std::string endEvent = "event=snapshot_installed";
    auto &servers = current.servers;
    const int starts = servers.countInLog(name, startEvent);
    const int transfers = servers.countInLog(name, endEvent);
    servers.restart(name);
    const auto deadline = nowMs() + transferTimeoutMs;
    while (nowMs() < deadline && servers.countInLog(name, startEvent) == starts) {
        sleepMs(2);
    }
    std::size_t quietMemory = 0;
    auto quietSince = nowMs();
    bool wasQuiet = false;
    while (nowMs() < deadline) {
        sleepMs(1);
        const auto memory = servers.memoryOf(name);
        if (wasQuiet && memory > quietMemory + transferredBytes) {
            servers.signal(name, SIGSTOP);
            current.record.write(name + " used " + std::to_string(quietMemory >> 20) + " MB, "
                                 + std::to_string(memory >> 20) + " MB when it was paused");
            return servers.countInLog(name, endEvent) == transfers;
        }
        if (!wasQuiet && (memory > quietMemory + quietBytes || memory < quietMemory)) {
            quietMemory = memory;
            quietSince = nowMs();
        }
        wasQuiet = wasQuiet || (quietMemory > 0 && nowMs() - quietSince >= quietMs);
    }
    return false;
}

/** Stops the leader as planned, and starts it again, until a certain controller leads.
    @return whether it does */
bool makeLeader(trial &current, const std::string &name)
{
    for (int i = 0; i < maxStops; ++i) {
        const auto leader = current.servers.leader();
        current.record.write("leader " + leader);
        if (leader == name) {
            return true;
        }
        if (!leader.empty()) {
            current.servers.signal(leader, SIGTERM);
            const auto deadline = nowMs() + graceMs;
            while (nowMs() < deadline && current.servers.isRunning(leader)) {
                sleepMs(20);
            }
            current.servers.signal(leader, SIGKILL);
            current.servers.restart(leader);
        }
        sleepMs(betweenStopsMs);
    }
    return false;
}

/** @return how many of the accepted jobs are answered 410, twice in a row */
int countUnknownJobs(trial &current, int count)
{
    int unknown = 0;
    for (int i = 0; i < count; ++i) {
        if (current.client.state(jobId(i)) == "unknown"
            && current.client.state(jobId(i)) == "unknown") {
            current.recordState(jobId(i), "unknown");
            ++unknown;
        }
    }
    return unknown;
}

/** Kills a controller, lets the others store a newer snapshot, starts it again, and pauses it while
    it receives that.
    @param jobs  number of submitted jobs, which grows
    @return whether that worked in one of several attempts */
bool interruptTransfer(trial &current, const std::string &name, int *jobs)
{
    for (int i = 0; i < maxAttempts; ++i) {
        current.servers.signal(name, SIGKILL);
        if (!submitJobs(current, *jobs, *jobs + jobsPerRound)) {
            return false;
        }
        *jobs += jobsPerRound;
        if (!current.hasTrouble) {
            current.servers.restart(name);
            return true;
        }
        if (pauseDuringTransfer(current, name)) {
            return true;
        }
        current.record.write("the state had arrived before the pause: another attempt");
        current.servers.signal(name, SIGCONT);
    }
    return false;
}

exit_code run(trial &current)
{
    auto &servers = current.servers;
    int jobs = jobsPerRound;
    if (!servers.configure(makeConfiguration(1, 3)) || !submitJobs(current, 0, jobs)) {
        return exit_code::CouldNotRun;
    }
    const auto leader = servers.leader();
    std::vector<std::string> followers;
    for (const auto &name :
         std::vector<std::string> {"controller-0", "controller-1", "controller-2"}) {
        if (name != leader) {
            followers.push_back(name);
        }
    }
    current.record.write("leader " + leader);
    const auto &other = followers[0];
    const auto &late = followers[1];
    servers.signal(other, SIGKILL);
    sleepMs(restartDelayMs);
    servers.restart(other);
    sleepMs(betweenStopsMs);
    if (!interruptTransfer(current, late, &jobs)) {
        return exit_code::CouldNotRun;
    }
    if (current.hasTrouble) {
        const auto sender = servers.leader();
        if (sender.empty()) {
            return exit_code::CouldNotRun;
        }
        servers.signal(sender, SIGKILL);
        sleepMs(pauseMs);
        servers.signal(late, SIGCONT);
        sleepMs(downMs);
        servers.restart(sender);
    }
    sleepMs(recoveryMs);
    if (!makeLeader(current, late)) {
        return exit_code::CouldNotRun;
    }
    sleepMs(betweenStopsMs);
    const int unknown = countUnknownJobs(current, jobs);
    return current.judge(unknown > 0,
                         std::to_string(unknown) + " of " + std::to_string(jobs)
                             + " accepted jobs are answered 410");
}

} // namespace

} // namespace review

int main(int argc, char **argv)
{
    return review::runTrial(argc, argv, review::run);
}

/** @file
    Case of a controller that has lost its disk, and whose leader is stopped as planned while it
    catches up. */

#include "cell.h"

#include <algorithm>
#include <csignal>
#include <sstream>

namespace {

using namespace review;

constexpr int controllers = 3;
constexpr int firstJobs = 3'060; // more than the entries between three snapshots
constexpr int moreJobs = 1'560; // until the next snapshot, and a few more
constexpr std::size_t specBytes = 3'900; // up to 4,000
constexpr std::int64_t pauseMs = 2; // between two jobs
constexpr std::int64_t downMs = 1'000;
constexpr std::int64_t leaderDownMs = 500;
constexpr std::int64_t joinTimeoutMs = 6'000;
constexpr std::int64_t settleMs = 5'000; // more than catchUpS, 4
constexpr std::int64_t electionMs = 4'500; // and more than contactMs, 3,000
constexpr int attempts = 6;
constexpr std::int64_t firstDelayMs = 16; // from the join of the wiped one to the leader's end
constexpr std::int64_t delayStepMs = 6; // longer in each further attempt
constexpr int endChecks = 5; // after a process has ended by itself

constexpr std::size_t longestLine = 200;
constexpr const char *shownEvents[] = {"event=snapshot_", "event=membership_change",
                                       "event=leading ",  "event=started",
                                       "invariant",       "libprotobuf"};

std::string jobName(int number)
{
    auto digits = std::to_string(number);
    return "5e1f5a7e" + std::string(8 - digits.size(), '0') + digits;
}

/** Hands jobs in, one after the other. They wait, since there is no worker. */
bool submitJobs(cell &cell, int from, int to)
{
    for (int i = from; i < to; ++i) {
        const auto spec = jobName(i) + std::string(specBytes, 'x');
        const auto body = R"({"spec":")" + spec
            + R"(","phases":[{"count":1,"cpu":1000,"memMb":100,)"
              R"("estimateMs":1000}]})";
        if (cell.submit(jobName(i), body) / 100 != 2) {
            return false;
        }
        sleepMs(pauseMs);
    }
    return true;
}

/** Waits until the leader adds the controller that has lost its disk, or time is up. */
void awaitJoin(const cell &cell, int leader, std::size_t logSize)
{
    const auto deadline = wallMs() + joinTimeoutMs;
    while (wallMs() < deadline
           && cell.logOf(leader).find("event=membership_change add=true", logSize)
               == std::string::npos) {
        sleepMs(1);
    }
}

/** @return how many of the jobs are answered with 410 */
int countMissing(cell &cell, case_record &record, int jobs)
{
    int missing = 0;
    for (int i = 0; i < jobs; ++i) {
        if (cell.statusOf(jobName(i)) == 410 && ++missing <= 5) {
            record.write("client: GET " + jobName(i) + " -> 410");
        }
    }
    record.write("of " + std::to_string(jobs) + " accepted jobs, " + std::to_string(missing)
                 + " are answered with 410; the leader is controller-"
                 + std::to_string(cell.leader() + 1));
    return missing;
}

/** Starts a controller again that has ended by itself, as the platform does. */
int restartEnded(cell &cell, case_record &record)
{
    int ended = 0;
    for (int i = 0; i < controllers; ++i) {
        if (cell.hasEndedByItself(i)) {
            record.write("process controller-" + std::to_string(i + 1) + " has ended by itself");
            cell.startController(i, false);
            ++ended;
        }
    }
    return ended;
}

/** Has leaders stopped as planned until a certain controller leads, or another one, or so many
    have been stopped. @return the leader */
int handOver(cell &cell, int controller, bool shallLead)
{
    constexpr int maxStops = 3;
    for (int i = 0; i < maxStops && (cell.leader() == controller) != shallLead; ++i) {
        const int leader = cell.leader();
        cell.endController(leader, SIGTERM);
        cell.startController(leader, false);
        sleepMs(electionMs);
    }
    return cell.leader();
}

/** Copies what a controller has written about its snapshots and its leadership. */
void recordLines(const cell &cell, case_record &record, int controller)
{
    std::istringstream text {cell.logOf(controller)};
    for (std::string line; std::getline(text, line);) {
        const bool isShown =
            std::any_of(std::begin(shownEvents), std::end(shownEvents),
                        [&](const char *event) { return line.find(event) != std::string::npos; });
        if (isShown) {
            record.write("controller-" + std::to_string(controller + 1)
                         + " wrote: " + line.substr(0, longestLine));
        }
    }
}

int play(cell &cell, case_record &record)
{
    if (!cell.start() || !submitJobs(cell, 0, firstJobs)) {
        return 2;
    }
    const int oldLeader = cell.leader();
    const int restarted = (oldLeader + 1) % controllers;
    const int wiped = (oldLeader + 2) % controllers;
    // A planned restart: from now on, this one holds what it has read back from its snapshot.
    cell.endController(restarted, SIGTERM);
    cell.startController(restarted, false);
    sleepMs(settleMs);
    const int jobs = firstJobs + moreJobs;
    if (!submitJobs(cell, firstJobs, jobs) || cell.leader() != oldLeader) {
        return 2;
    }
    record.write("all jobs are accepted");
    int ended = 0;
    int missing = 0;
    for (int i = 0; i < attempts && missing == 0 && ended == 0; ++i) {
        const int leader = handOver(cell, wiped, false);
        if (hasTrouble()) {
            const auto logSize = cell.logOf(leader).size();
            cell.endController(wiped, SIGKILL);
            cell.wipeDisk(wiped);
            sleepMs(downMs);
            cell.startController(wiped, false);
            awaitJoin(cell, leader, logSize);
            sleepMs(firstDelayMs + delayStepMs * i);
            cell.endController(leader, SIGTERM); // the next of the planned restarts
            sleepMs(leaderDownMs);
            cell.startController(leader, false);
        }
        sleepMs(settleMs);
        ended += restartEnded(cell, record);
        handOver(cell, wiped, true);
        missing = countMissing(cell, record, jobs);
        if (!hasTrouble()) {
            break;
        }
    }
    for (int i = 0; i < endChecks && ended > 0; ++i) {
        sleepMs(electionMs);
        ended += restartEnded(cell, record);
    }
    for (int i = 0; i < controllers; ++i) {
        recordLines(cell, record, i);
    }
    const bool isBroken = missing > 0 || ended > 0;
    record.write("processes that ended by themselves: " + std::to_string(ended));
    record.write(missing > 0 ? "LOST is broken: accepted jobs that nobody cancelled are not known"
                     : isBroken ? "a controller ends by itself, again and again"
                                : "LOST holds");
    return isBroken ? 1 : 0;
}

} // namespace

int main(int, char **argv)
{
    case_record record {argv[1]};
    cell cell {record, 0, 0};
    return play(cell, record);
}

/** @file
    Case of a worker that drains and has left orders unanswered shortly before. */

#include "cell.h"

namespace {

using namespace review;

constexpr int workerCount = 16; // one of them is 0.0625 of the service
constexpr std::int64_t milliCores = 16'000;
constexpr std::int64_t drainMs = 2'000;
constexpr std::int64_t unansweredMs = 2'400; // of 5.5 s in the site file
constexpr std::int64_t observedMs = 8'000;
constexpr std::int64_t settleMs = 100;
constexpr const char *otherJob = "d4a1a000c0ffee01";
constexpr const char *job = "d4a1a000c0ffee02";
// Other work of the service, on workers that answer: 600 short tasks.
constexpr const char *otherBody =
    R"({"spec":"work:300 cores:1000","phases":[{"count":600,"cpu":1000,"memMb":512,)"
    R"("estimateMs":300,"requiredLabel":"a"}]})";
constexpr const char *body =
    R"({"spec":"work:20000 cores:500","phases":[{"count":24,"cpu":500,"memMb":512,)"
    R"("estimateMs":20000,"requiredLabel":"b"}]})";

int play(cell &cell, case_record &record)
{
    if (!cell.start() || cell.submit(otherJob, otherBody) / 100 != 2) {
        return 2;
    }
    auto &leaving = cell.workerAt(0);
    if (hasTrouble()) {
        leaving.leaveStartsUnanswered(unansweredMs);
    }
    if (cell.submit(job, body) / 100 != 2) {
        return 2;
    }
    sleepMs(settleMs);
    const auto acknowledgedAt = leaving.drain();
    if (acknowledgedAt == 0) {
        return 2;
    }
    sleepMs(observedMs);
    int starts = 0;
    int breaks = 0;
    std::int64_t latest = 0;
    for (const auto &run : leaving.history()) {
        starts += run.isLate ? 0 : 1;
        const auto after = run.startedAt - acknowledgedAt;
        if (!run.isLate && after > drainMs) {
            ++breaks;
            latest = std::max(latest, after);
        }
    }
    int orders = 0;
    int unanswered = 0;
    for (std::size_t i = 0; i < cell.workerCount(); ++i) {
        const auto counts = cell.workerAt(i).orderCounts();
        orders += counts.first;
        unanswered += counts.second;
    }
    record.write(std::to_string(unanswered) + " of " + std::to_string(orders)
                 + " orders to the service's workers got no answer");
    record.write(std::to_string(starts) + " starts on the draining worker, "
                 + std::to_string(breaks)
                 + " of them later than drainMs after the acknowledgement, the last one "
                 + std::to_string(latest) + " ms after it");
    record.write(breaks > 0 ? "DRAIN is broken" : "DRAIN holds");
    return breaks > 0 ? 1 : 0;
}

} // namespace

int main(int, char **argv)
{
    case_record record {argv[1]};
    cell cell {record, workerCount, milliCores};
    return play(cell, record);
}

#include "history.h"

#include <algorithm>
#include <istream>
#include <map>
#include <set>
#include <sstream>

namespace filbert {

namespace {

constexpr int statusOk = 200;

template <typename Record, typename Read>
std::vector<Record> readLines(std::istream &stream, const Read &read)
{
    std::vector<Record> records;
    for (std::string line; std::getline(stream, line);) {
        std::istringstream words {line};
        Record record;
        if (read(words, record)) {
            records.push_back(std::move(record));
        }
    }
    return records;
}

} // namespace

std::vector<caller_record> readCallerRecords(std::istream &stream)
{
    return readLines<caller_record>(stream, [](std::istream &words, caller_record &record) {
        return static_cast<bool>(words >> record.body >> record.service >> record.status
                                 >> record.outcome);
    });
}

std::vector<start_record> readStartRecords(std::istream &stream)
{
    return readLines<start_record>(stream, [](std::istream &words, start_record &record) {
        return static_cast<bool>(words >> record.placement >> record.target >> record.service
                                 >> record.body);
    });
}

std::vector<std::string> findViolations(const std::vector<caller_record> &calls,
                                        const std::vector<start_record> &starts,
                                        const std::vector<std::string> &nonIdempotent)
{
    std::vector<std::string> violations;
    std::map<std::string, int> startCounts;
    std::set<std::string> placements;
    for (const auto &start : starts) {
        const bool isNonIdempotent =
            std::find(nonIdempotent.begin(), nonIdempotent.end(), start.service)
            != nonIdempotent.end();
        if (++startCounts[start.body] > 1 && isNonIdempotent) {
            violations.push_back("a non-idempotent request was started more than once: "
                                 + start.body);
        }
        if (!placements.insert(start.placement).second) {
            violations.push_back("a placement was started more than once: " + start.placement);
        }
    }
    for (const auto &call : calls) {
        const bool hasStarted = startCounts.contains(call.body);
        if (call.outcome == "not_run" && hasStarted) {
            violations.push_back("a request that was refused as not run has been started: "
                                 + call.body);
        }
        if (call.status == statusOk && !hasStarted) {
            violations.push_back("a request was answered successfully but never started: "
                                 + call.body);
        }
    }
    return violations;
}

} // namespace filbert

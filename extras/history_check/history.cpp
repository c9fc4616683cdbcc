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
    std::map<std::string, int> startsOf;
    std::set<std::string> placements;
    for (const auto &start : starts) {
        const bool isOnce = std::find(nonIdempotent.begin(), nonIdempotent.end(), start.service)
            != nonIdempotent.end();
        if (++startsOf[start.body] > 1 && isOnce) {
            violations.push_back("a non-idempotent request ran twice: " + start.body);
        }
        if (!placements.insert(start.placement).second) {
            violations.push_back("a placement was started twice: " + start.placement);
        }
    }
    for (const auto &call : calls) {
        const bool hasStarted = startsOf.contains(call.body);
        if (call.outcome == "not_run" && hasStarted) {
            violations.push_back("a refusal said not run, but it ran: " + call.body);
        }
        if (call.status == statusOk && !hasStarted) {
            violations.push_back("an answer came for what never ran: " + call.body);
        }
    }
    return violations;
}

} // namespace filbert

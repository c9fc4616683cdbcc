#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace filbert {

/** What a caller saw of one request, as filbert-load records it. */
struct caller_record
{
    std::string body;
    std::string service;
    int status = 0; // 0 = no answer
    std::string outcome; // "ran", "not_run" or "may_have_run"
};

/** A start, as a stand-in target records it. */
struct start_record
{
    std::string placement;
    std::string target;
    std::string service;
    std::string body;
};

/** Reads lines of `body service status outcome`. */
std::vector<caller_record> readCallerRecords(std::istream &stream);

/** Reads lines of `placement target service body`. */
std::vector<start_record> readStartRecords(std::istream &stream);

/** Checks the promises that callers' and targets' records together can show.

    @param calls          every request, each body sent once
    @param starts         every start on every target
    @param nonIdempotent  services whose requests run at most once
    @return each broken promise in words; empty if all hold
*/
std::vector<std::string> findViolations(const std::vector<caller_record> &calls,
                                        const std::vector<start_record> &starts,
                                        const std::vector<std::string> &nonIdempotent);

} // namespace filbert

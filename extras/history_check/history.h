#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace filbert {

/** The result of one request as the caller saw it, recorded by filbert-load. */
struct caller_record
{
    std::string body;
    std::string service;
    int status = 0; // 0 = no answer
    std::string outcome; // "ran", "not_run" or "may_have_run"
};

/** The start of a placement, recorded by a stand-in target. */
struct start_record
{
    std::string placement;
    std::string target;
    std::string service;
    std::string body;
};

/** Reads lines of the form `body service status outcome`; other lines are ignored. */
std::vector<caller_record> readCallerRecords(std::istream &stream);

/** Reads lines of the form `placement target service body`; other lines are ignored. */
std::vector<start_record> readStartRecords(std::istream &stream);

/** Checks the guarantees that can be verified from the records of callers and targets.

    @param calls          all requests; each body was sent once
    @param starts         all starts on all targets
    @param nonIdempotent  services whose requests must run at most once
    @return a description of each violation; empty if there is none
*/
std::vector<std::string> findViolations(const std::vector<caller_record> &calls,
                                        const std::vector<start_record> &starts,
                                        const std::vector<std::string> &nonIdempotent);

} // namespace filbert

#pragma once

#include "filbert_work/filbert_work.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace filbert {

/** Which part of the new jobs a leader refuses because its turns take too long.

    A job passes through some nine turns of the leader until its caller can see its result. When the
    leader has more to do than it has time for, its turns get longer, and each job that it accepts
    makes others late, while targets wait idle for it. So the length of its turns decides, and
    refused jobs cost next to nothing.
*/
struct load_shedding
{
    time_point lastReviewAt; // 0 = there was none in this term
    std::int64_t turns = 0; // since then
    bool wasOverloaded = false; // at the last review
    // How many of the jobs that are submitted for the first time are refused; see refusedPercent().
    int refusalLevel = 0;
    int refusalCredit = 0; // grows by the level with each job, until one is refused
    std::map<std::string, time_point> firstRefusedAt; // by id of the job, whatever the reason was
};

/** Records that a turn begins, and adjusts the fraction of refused jobs to the length of the turns.
    While the leader is idle, turns must begin every 10 to 20 ms. */
void recordTurn(load_shedding &shedding, time_point now);

/** @return how many percent of the jobs that are submitted for the first time are refused */
int refusedPercent(const load_shedding &shedding);

/** Decides about a job that is submitted and that is not known yet.

    A job that comes again after its refusal is accepted if it can still be in time, so that work
    which is not urgent is only put off. One that cannot waits until the leader has time again.

    @param isBeyondShare  whether its team sends more than it is owed: such jobs are refused first
    @return whether the job is refused
*/
bool refusesJob(load_shedding &shedding, const std::string &id, const messages::staged_job &job,
                const messages::work_queue &queue, time_point now, bool isBeyondShare = false);

/** @return when a job was refused first, or nothing if it was not, or long ago */
std::optional<time_point> firstRefusal(const load_shedding &shedding, const std::string &id);

/** Remembers that a job was refused, unless it was refused before. */
void rememberRefusal(load_shedding &shedding, const std::string &id, time_point now);

} // namespace filbert

#pragma once

#include "load_shedding.h"

#include "filbert_work/filbert_work.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbert {

/** Why a job that is submitted is refused. */
enum class refusal_reason {
    None, // it is accepted
    Invalid, // it can never be accepted
    LongTurns, // the leader has too little processor time; see load_shedding
    WouldBeLate, // too much work of its queue waits before it
    BeyondShare, // the same, and its team sends more than it is owed
    TooWide, // no known target could hold one of its tasks
    Cancelled, // it was cancelled before it arrived
};
constexpr std::size_t refusalReasonCount = 7;

/** @return the name of a reason in logs and metrics */
std::string_view reasonName(refusal_reason reason);

/** Work that waits, in milli-cores that it will reserve. */
struct waiting_work
{
    std::int64_t ready = 0; // of tasks that could start
    std::int64_t unstarted = 0; // of these and of those whose steps are not ready yet
};

/** How a waiting job ranks among those of its queue: the first class is served first, and in each
    of them the job with the earliest latest start. */
enum class work_class { WithinShare, BeyondShare, Late };
constexpr std::size_t workClassCount = 3;

/** What started in a short period, or what ended, whichever is more. */
struct served_work
{
    std::int64_t number = 0; // of the period since the clock's zero
    std::int64_t startedCores = 0;
    std::int64_t endedCores = 0;
    std::int64_t startedTasks = 0;
    std::int64_t endedTasks = 0;
};

/** Waiting work with the latest time at which it could start and its job still be in time. */
struct waiting_entry
{
    time_point latestStart;
    waiting_work work; // with that of all earlier entries, once a review has ended
};

/** What waits in a queue, and how fast it is served. */
struct queue_flow
{
    std::array<std::vector<waiting_entry>, workClassCount> waiting; // as of the last review; sorted
    std::array<waiting_work, workClassCount> committed; // accepted since then
    std::array<waiting_work, workClassCount> underWay; // to the log
    std::array<served_work, 48> served; // a ring of periods
    std::int64_t endedTasks = 0; // in this term
    // Since when it waits for more than the usual way of a start takes; 0 = it does not. What was
    // served before says little about the rate at which the waiting work is served.
    time_point contendedSince;
};

/** A job that is on its way to the log, or that has not started yet. */
struct accepted_submission
{
    time_point firstSubmittedAt; // also if it was refused since
    time_point acceptedAt;
    std::optional<milliseconds> expectedWait; // until its first task starts; nothing = unknown
    std::string queue;
    work_class rank = work_class::WithinShare;
    waiting_work work;
    bool isCommitted = false;
};

/** By how much the wait of a job differed from what was expected when it was accepted. */
struct wait_comparison
{
    std::string queue;
    milliseconds expected;
    milliseconds actual;
};

/** What a leader knows about the wait of new jobs. A new leader knows nothing, and refuses nothing
    by prediction until work has waited and was served for some time. */
struct job_admission
{
    std::map<std::string, queue_flow> flows; // by name of the queue
    std::map<std::string, accepted_submission> submissions; // by id of the job
    std::vector<wait_comparison> comparisons; // for logs and metrics; the caller takes them
};

/** The wait that a job would have if it were accepted now. */
struct wait_forecast
{
    milliseconds untilStart; // of its first task
    milliseconds total; // at all of its steps
    milliseconds totalIfLate; // the same if it ranks after all that can be in time
};

/** @param latestStart  of the job
    @param jobCores     that its first tasks reserve
    @return nothing if the queue has not been contended for long enough */
std::optional<wait_forecast> forecastWait(const job_admission &admission, const std::string &queue,
                                          work_class rank, time_point latestStart,
                                          std::int64_t jobCores, time_point now);

/** A job that is submitted and that is not known yet. */
struct submission
{
    const std::string *id = nullptr;
    const messages::staged_job *job = nullptr;
    const messages::work_queue *queue = nullptr;
    bool isBeyondShare = false;
    bool isTooWide = false; // no known target of its service could hold one of its tasks
    milliseconds startAndEnd; // what a job takes apart from its work and from waiting
};

struct submission_decision
{
    refusal_reason reason = refusal_reason::None;
    milliseconds expectedWait; // until its first task starts; 0 = unknown
    milliseconds retryAfter; // of a refused job
    milliseconds waited; // since it was submitted first
};

/** Decides about a submitted job, and remembers the job as refused or as on its way to the log.

    A job that cannot be in time is refused when it is submitted first. When it comes again it is
    accepted if it can be in time, counted from its first submission, or if it would be late but
    still of use. Long-running and repeated jobs are never refused here.
*/
submission_decision decideSubmission(job_admission &admission, load_shedding &shedding,
                                     const submission &submitted, time_point now);

/** Replaces what waits: call addWaiting() for each job and then endReview(). */
void beginReview(job_admission &admission);
void addWaiting(job_admission &admission, const std::string &queue, work_class rank,
                const waiting_entry &entry);
void endReview(job_admission &admission, time_point now);

/** @return when a job that is now in the log was submitted first, or nothing if this leader has not
    accepted it */
std::optional<time_point> recordCommitted(job_admission &admission, const std::string &id);

/** Records that a task has started. @param id  of its job */
void recordStarted(job_admission &admission, const std::string &queue, const std::string &id,
                   std::int64_t milliCores, time_point now);

/** Records that a run of a task has ended well. */
void recordEnded(job_admission &admission, const std::string &queue, std::int64_t milliCores,
                 time_point now);

/** Forgets a job that has ended, or that does not get into the log. */
void forgetSubmission(job_admission &admission, const std::string &id);

/** @return the milli-cores that a task counts for; at least one, so that all tasks count */
std::int64_t countedCores(const messages::step_spec &spec);

/** @return whether a job is long-running or repeated, so that it has no time to miss */
bool hasNoObjective(const messages::staged_job &job);

} // namespace filbert

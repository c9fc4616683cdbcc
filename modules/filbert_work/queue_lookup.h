#pragma once

#include "work_state.h"

#include <optional>

namespace filbert {

/** Finds the queue that serves a request.
    @return the queue of that host with the longest prefix of the path, or nullptr */
const messages::work_queue *findQueueByPath(const messages::work_configuration &configuration,
                                            const std::string &host, const std::string &path);

/** Finds the team that holds a key. Keys of equal length are compared in constant time, so that the
    duration does not reveal how much of a key is right.
    @param key  as the client sent it
    @return the team, or nullptr */
const messages::work_team *findTeamByKey(const messages::work_configuration &configuration,
                                         const std::string &key);

/** Who calls. Both members are empty without a valid key. */
struct job_caller
{
    std::string team;
    std::uint64_t key = 0; // fingerprint; 0 = none
};

/** @return the fingerprint of a key. It does not reveal the key, and is never 0. */
std::uint64_t keyFingerprint(const std::string &key);

/** @return who finds an accepted job, and where */
job_access accessOf(const messages::staged_job &job);

/** @return who finds a job that a queue accepts now, by the caller's team and key alone */
job_access accessUnder(const messages::work_queue &queue, const job_caller &caller);

/** Whether a caller may see and cancel a job.

    The team of a job may do so wherever its queue is now, and so may callers with a key that its
   team had when it was accepted, whichever team has that key by now. Everybody may if the queue
   required no key when it accepted the job, or requires none now at the place where it did. A queue
   that got the name of the job's queue opens the job to nobody.

    @param queue  that the caller has called
*/
bool isVisible(const messages::work_configuration &configuration, const messages::work_queue &queue,
               const job_caller &caller, const job_access &access);

/** Validates a configuration: queues must refer to known services, no two queues may have the same
    host and path prefix, nor two teams the same key, and all numbers must be within their limits.

    @return what is wrong with it, or nothing if it may be applied
*/
std::optional<std::string> findProblem(const messages::work_configuration &configuration);

/** Validates a job before it is accepted. @return what is wrong with it, or nothing */
std::optional<std::string> findProblem(const messages::staged_job &job);

} // namespace filbert

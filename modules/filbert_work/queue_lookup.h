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

/** Validates a configuration: queues must refer to known services, no two queues may have the same
    host and path prefix, nor two teams the same key, and all numbers must be within their limits.

    @return what is wrong with it, or nothing if it may be applied
*/
std::optional<std::string> findProblem(const messages::work_configuration &configuration);

/** Validates a job before it is accepted. @return what is wrong with it, or nothing */
std::optional<std::string> findProblem(const messages::staged_job &job);

} // namespace filbert

#pragma once

#include "work_state.h"

#include <optional>

namespace filbert {

/** @param configuration in force @param host and path of a request
    @return the queue whose host matches and whose prefix is the longest, or nullptr */
const messages::work_queue *queueFor(const messages::work_configuration &configuration,
                                     const std::string &host, const std::string &path);

/** @param key as the caller showed it @return the team that holds it, or nullptr */
const messages::work_team *teamWithKey(const messages::work_configuration &configuration,
                                       const std::string &key);

/** Checks a configuration as a whole.

    @return what is wrong with it and why, or nothing if it may come into force
*/
std::optional<std::string> problemIn(const messages::work_configuration &configuration);

/** Checks a job before it is accepted. @return what is wrong with it, or nothing */
std::optional<std::string> problemIn(const messages::staged_job &job);

} // namespace filbert

#pragma once

#include "work_state.h"

#include <map>
#include <string>

namespace filbert {

/** @file
    Decides which team of a new configuration has the jobs of a team of the previous one.

    A team is known to its callers by its keys, to the operator by its name, and either may change.
    As long as keys and name stay together, the name decides, so that keys can be added and
    withdrawn. Where the keys appear under another name, they decide: their holders keep their jobs,
    and whoever gets the old name does not get the jobs with it.
*/

/** @return by the name of each team whose jobs change hands: the name of the team that gets them,
   or an empty one if nobody does, since the name went to another team. That may also be the name of
   a team that left in an earlier version and still has jobs. */
std::map<std::string, std::string> findSuccessors(const messages::work_configuration &previous,
                                                  const messages::work_configuration &next);

/** Gives the jobs of each team, and what they use, to its successor.
    @param successors  the result of findSuccessors() */
void moveJobsToSuccessors(work_state &state, const std::map<std::string, std::string> &successors);

} // namespace filbert

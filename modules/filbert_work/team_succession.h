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

/** @return by name of each team whose jobs go to another team: the name of that team. It is empty
   if the jobs belong to nobody any more: another team has got the name, and none has all of the
   keys that remain, without keys of a third team. */
std::map<std::string, std::string> findSuccessors(const messages::work_configuration &previous,
                                                  const messages::work_configuration &next);

/** Gives the jobs of each team, and what they use, to its successor.
    @param successors  the result of findSuccessors() */
void moveJobsToSuccessors(work_state &state, const std::map<std::string, std::string> &successors);

} // namespace filbert

#pragma once

#include "work_state.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbert {

/** @file
    Decides which team of a configuration owns a job: it may see and cancel it, and what the job
   uses counts for it.

    A job belongs to the team that holds the key with which it was submitted. Once nobody holds that
    key any more, it stays with its team, by name while the team goes on, else with the holder of
    most of the team's keys.

    A team goes on if the next configuration holds its name with one of its keys, or with new keys
    only while nobody else holds its old ones. A team that leaves without an heir leaves its jobs to
    nobody: a team that gets its name later has nothing to do with them, but the holder of one of
    the keys that the team had gets them back.
*/

/** @return by the name of each team that does not go on: the name of its heir, or an empty one if
   it has none. That may also be the name of a team that left in an earlier version and still has
   jobs under it. */
std::map<std::string, std::string> findSuccessors(const messages::work_configuration &previous,
                                                  const messages::work_configuration &next);

/** Gives each job, and what it uses, to the team that owns it under the next configuration.
    @param next  not in force yet: the previous one is still in the state */
void moveJobsToOwners(work_state &state, const messages::work_configuration &next);

/** The most keys of a team that a job keeps. */
constexpr std::size_t maxTeamKeys = 32;

/** @return fingerprints of a team's keys, at most maxTeamKeys, first that of the caller's key
    @param callersKey  its fingerprint */
std::vector<std::uint64_t> teamKeysOf(const messages::work_team &team, std::uint64_t callersKey);

/** @return the name of the team that owns a job when it is accepted, empty if it has none, or
    nothing if no team holds the key of its caller any more */
std::optional<std::string> ownerOnAcceptance(const messages::work_configuration &configuration,
                                             const messages::staged_job &job);

} // namespace filbert

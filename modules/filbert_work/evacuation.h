#pragma once

#include "evacuation_messages.h"
#include "work_commands.h"
#include "work_state.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbert {

/** @file
    Evacuated failure domains: no task starts on their targets until the evacuation is withdrawn.
*/

/** The failure domains that an evacuation may name. */
struct known_domains
{
    std::set<std::string> configured; // from the settings; if empty, every valid name is known
    std::set<std::string> ofControllers;
};

/** @return whether a text may be the name of a failure domain in an evacuation: not empty, of
    limited length, UTF-8 without control characters */
bool isFailureDomain(std::string_view text);

/** @return whether an evacuation may name a failure domain: one of the settings, of a target or of
    a controller, or one that is evacuated */
bool isKnownDomain(const work_state &state, const known_domains &known, const std::string &domain);

/** @return whether the failure domain of a target is evacuated */
bool isEvacuated(const work_state &state, const registered_target &target);

/** @return ids of the targets that are up in a failure domain */
std::vector<std::string> targetsInDomain(const work_state &state, const std::string &domain);

/** @return the number of runs that go on in evacuated failure domains */
std::size_t countRunsInEvacuatedDomains(const work_state &state);

/** Applies an evacuation or its withdrawal. A repeated one changes nothing and is no error.
    @return Malformed if the name of the failure domain is invalid */
command_outcome applyEvacuation(work_state &state, const evacuation_order &order);

} // namespace filbert

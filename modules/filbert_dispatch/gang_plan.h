#pragma once

#include "dispatch_state.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace filbert {

/** Resources that a run is expected to release. */
struct expected_release
{
    time_point at;
    resource_amounts amounts;
};

/** A target on which members of a gang may start. */
struct gang_host
{
    std::size_t index = 0; // among the candidates of the service
    resource_amounts capacity;
    resource_amounts free;
    std::vector<expected_release> releases; // in any order
    std::int64_t maxMembers = 0;
};

/** Which targets are to be kept free for the members of a gang, and when these can start. */
struct gang_plan
{
    std::vector<std::pair<std::size_t, std::size_t>> hosts; // index of a candidate, its members
    time_point startAt;
    // What stays idle until then, in milli-cores x ms: of each target that waits for the others,
    // the larger of the shares of its cores and of its accelerators that the members need.
    std::int64_t idleCoreMs = 0;
};

/** @return when the resources of a host suffice for a number of members, or nothing if never */
std::optional<time_point> timeForMembers(const gang_host &host, const resource_amounts &need,
                                         std::size_t members, time_point now);

/** @return what is expected to be free on a host at a time if nothing more starts there */
resource_amounts expectedFree(const gang_host &host, time_point at);

/** @return the cores of a host that a member occupies: its own, or the share of them that
    corresponds to its share of the accelerators */
std::int64_t occupiedCores(const gang_host &host, const resource_amounts &need);

/** @return the targets on which all members can start at the earliest time, or nothing if they
    cannot start together */
std::optional<gang_plan> planGang(const std::vector<gang_host> &hosts, const resource_amounts &need,
                                  std::size_t members, time_point now);

} // namespace filbert

#pragma once

#include "gateway.h"

#include <string>

namespace filbert {

/** A caller's synchronous request to a service. @param name of the service */
void callService(gateway::parts &parts, http_request &&request, const std::string &name);

/** Tells the leader that a placement certainly did not start.

    @param reason             in words, for the job's owner
    @param unreachableTarget  its target, if the request could not be brought there; else empty
*/
void reportNotRun(gateway::parts &parts, std::uint64_t placement, const std::string &reason,
                  const std::string &unreachableTarget = {});

/** Gives back a grant that came too late or twice; nothing was started under it. */
void returnUnusedGrant(gateway::parts &parts, const messages::dispatch_reply &grant);

/** The leader says that a target has no answer for a request, or gave it on a silent connection. */
void handlePlacementNotice(gateway::parts &parts, const messages::placement_notice &notice);

} // namespace filbert

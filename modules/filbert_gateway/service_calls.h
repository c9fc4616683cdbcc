#pragma once

#include "gateway.h"

#include <string>

namespace filbert {

/** Handles a caller's synchronous request to a service: obtains a placement from the leader, calls
    the target, and answers the caller.

    @param state    of the gateway
    @param request  the caller's request
    @param name     of the service
*/
void callService(gateway::shared_state &state, http_request &&request, const std::string &name);

/** Reports to the leader that a placement certainly did not start.

    @param state              of the gateway
    @param placement          id of the placement
    @param reason             readable reason for the owner of the job
    @param unreachableTarget  name of the target if no connection to it could be made, else empty
*/
void reportNotRun(gateway::shared_state &state, std::uint64_t placement, const std::string &reason,
                  const std::string &unreachableTarget = {});

/** Returns a grant that arrived too late or a second time, by reporting its placement as not run.
    Nothing was started under it. */
void returnUnusedGrant(gateway::shared_state &state, const messages::dispatch_reply &grant);

/** Handles the leader's notice that a pending request has ended at its target, as the target's
    heartbeats show: it did not run, or its answer was lost on an unresponsive connection. Cancels
    the call. */
void handlePlacementNotice(gateway::shared_state &state, const messages::placement_notice &notice);

} // namespace filbert

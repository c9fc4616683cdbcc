#pragma once

#include "gateway.h"

#include <string>

namespace filbert {

/** Relays a target's announcement to the leader, which registers the target.

    @param state    of the gateway
    @param request  holds the announcement as JSON
    @param name     of the target
*/
void handleAnnouncement(gateway::shared_state &state, http_request &&request,
                        const std::string &name);

/** Relays a target's heartbeat to the leader and answers with the leader's reply.

    @param state    of the gateway
    @param request  holds the heartbeat as JSON
    @param name     of the target
*/
void handleTargetHeartbeat(gateway::shared_state &state, http_request &&request,
                           const std::string &name);

/** Relays the leader's order to start a task of a job to the target. Reports to the leader if the
    task certainly did not start. */
void relayStartOrder(gateway::shared_state &state, const messages::start_order &order);

/** Relays an order to stop, checkpoint or throttle a task to its target. The outcome is not
    awaited: the target's heartbeats report it. */
void relayStopOrder(gateway::shared_state &state, const messages::stop_order &order);

} // namespace filbert

#pragma once

#include "gateway.h"

#include <string>

namespace filbert {

/** A target announces itself. @param name of the target */
void handleAnnouncement(gateway::parts &parts, http_request &&request, const std::string &name);

/** A target's heartbeat, sent on to the leader. @param name of the target */
void handleTargetHeartbeat(gateway::parts &parts, http_request &&request, const std::string &name);

/** Carries the leader's order to start a job's task to its target. */
void relayStartOrder(gateway::parts &parts, const messages::start_order &order);

/** Carries an order to stop, checkpoint or throttle; the target's heartbeats tell the outcome. */
void relayStopOrder(gateway::parts &parts, const messages::stop_order &order);

} // namespace filbert

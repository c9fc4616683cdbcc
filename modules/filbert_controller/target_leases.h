#pragma once

#include "controller_state.h"

namespace filbert {

/** Handles the announcement of a target, new or changed. */
void handleAnnouncement(controller_state &state, const reply_address &from,
                        const messages::target_registration &registration);

/** Handles a target's heartbeat: renews its lease and reconciles its placements with its tasks. */
void handleHeartbeat(controller_state &state, const reply_address &from,
                     const messages::target_heartbeat &heartbeat, time_point now);

/** Proposes to remove targets whose leases have certainly expired. */
void expireTargets(controller_state &state, time_point now);

} // namespace filbert

#pragma once

#include "controller_state.h"

namespace filbert {

/** A target announces itself or changes what it announced. */
void takeAnnouncement(controller_state &state, const reply_address &from,
                      const messages::target_registration &registration);

/** A target's heartbeat: renews its lease and settles what runs there. */
void takeHeartbeat(controller_state &state, const reply_address &from,
                   const messages::target_heartbeat &heartbeat, time_point now);

/** Gives up targets whose leases have surely ended. */
void expireTargets(controller_state &state, time_point now);

} // namespace filbert

#pragma once

#include "placement_pass.h"

namespace filbert {

/** Marks the targets that are reserved for gangs, at the beginning of a pass over a service, and
    ends reservations that have become useless or too costly. */
void applyReservations(placement_pass &pass, service_view &service, const std::string &name);

/** Reserves targets for a gang that found no capacity, unless it has a reservation: those on which
    all members can start at the earliest time, by the expected ends of the runs there.

    Other work of the same or a lower rank starts there only if it ends before the gang can start,
    or fits beside the gang. The reservation ends when the gang starts, when it could have started
    some time ago, or when more has been left idle for it than its own work. */
void reserveForGang(placement_pass &pass, const pending_step &step, service_view &service,
                    std::size_t members);

/** Ends the reservation of a gang, if it has one. */
void endReservation(dispatch_state &state, const task_name &step, std::string_view reason,
                    time_point now);

/** Whether a gang is tried in a pass although others have found no capacity: it has a reservation,
    or may get one. */
bool isGangDue(const dispatch_state &state, const task_name &step, time_point now);

/** @return the reservation of a gang, or nullptr */
const gang_reservation *reservationOf(const dispatch_state &state, const task_name &step);

} // namespace filbert

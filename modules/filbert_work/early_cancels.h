#pragma once

#include "work_commands.h"

#include <string>

namespace filbert {

/** @file
    Remembers which jobs were cancelled before they were known.

    A submission may be delayed for seconds, in the sockets of an entry host that stands still or in
    the retries of another. Its caller gives up, cancels the job elsewhere and is told that there is
    none. From then on a submission that the same caller could cancel is refused.

    Only a caller who may cancel a job keeps it from being accepted: one of its team, or anyone
   while its queue requires no key. Each team has its own part of the room, so that no team's
   cancels displace or prevent those of another.
*/

/** The most early cancels that are remembered in all. One takes some 250 bytes. */
constexpr std::size_t maxEarlyCancels = 50'000;

/** @return how many early cancels of one team, or of callers without a team, are remembered */
std::size_t earlyCancelsPerTeam(const messages::work_configuration &configuration);

/** Whether a submission was cancelled before it arrived.
    @param id    of the job
    @param access  who would find the job if it were accepted now */
bool isCancelledEarly(const work_state &state, const std::string &id, const job_access &access);

/** @return whether the state remembers this very cancel, or has no room for it */
bool isRemembered(const work_state &state, const early_cancel &cancel);
bool hasRoomFor(const work_state &state, const early_cancel &cancel);

/** Cancels the job if it is known by now, else remembers the cancel.
    @return NotFound if another caller's job has the id, Overloaded if there is no room for the
            cancel, else no error */
command_outcome applyEarlyCancel(work_state &state, const early_cancel &cancel,
                                 std::int64_t wallMs);

/** Removes cancels whose submissions cannot arrive any more. */
void forgetCancels(work_state &state, const messages::forget_cancels_command &command);

/** Converts to and from messages. */
messages::early_cancel toMessage(const early_cancel &cancel);
early_cancel toEarlyCancel(const messages::early_cancel &message);

} // namespace filbert

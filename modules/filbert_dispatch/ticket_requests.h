#pragma once

#include "placement_pass.h"

namespace filbert {

/** Asks for tickets where the step has none that is good. */
void askAdmission(placement_pass &pass, const open_step &step, const service_view &service);

/** Asks for tickets of a step whose turn comes soon, where its policy decides quickly. */
void askAhead(placement_pass &pass, const open_step &step);

} // namespace filbert

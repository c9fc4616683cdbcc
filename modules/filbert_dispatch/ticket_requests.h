#pragma once

#include "placement_pass.h"

namespace filbert {

/** Requests tickets for a step that could not be placed, if its queue has a policy. */
void askAdmission(placement_pass &pass, const open_step &step, const service_view &service);

/** Requests tickets for a step that will soon be pending, if its policy decides quickly. */
void askAhead(placement_pass &pass, const open_step &step);

} // namespace filbert

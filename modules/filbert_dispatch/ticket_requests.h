#pragma once

#include "placement_pass.h"

namespace filbert {

/** Requests tickets for a step that could not be placed, if its queue has a policy. */
void requestTickets(placement_pass &pass, const pending_step &step, const service_view &service);

/** Requests tickets for a step that will soon be pending, if its policy decides quickly. */
void prefetchTickets(placement_pass &pass, const pending_step &step);

} // namespace filbert

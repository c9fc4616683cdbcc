#pragma once

#include "gateway.h"

#include <string>

namespace filbert {

/** A caller's synchronous request to a service. @param name of the service */
void callService(gateway::parts &parts, http_request &&request, const std::string &name);

} // namespace filbert

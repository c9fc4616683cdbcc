#pragma once

#include "gateway.h"

#include <string>

namespace filbert {

/** Request handlers for operators. Each authenticates the operator and relays the request to the
    leader; the name is not used. */
void applyConfiguration(gateway::shared_state &state, http_request &&request,
                        const std::string &name);
void showConfiguration(gateway::shared_state &state, http_request &&request,
                       const std::string &name);
void showStatus(gateway::shared_state &state, http_request &&request, const std::string &name);
void showAudit(gateway::shared_state &state, http_request &&request, const std::string &name);
void showMembers(gateway::shared_state &state, http_request &&request, const std::string &name);
void changeMember(gateway::shared_state &state, http_request &&request, const std::string &name);

} // namespace filbert

#pragma once

#include "gateway.h"

#include <string>

namespace filbert {

/** Routes of operators. */
void applyConfiguration(gateway::parts &parts, http_request &&request, const std::string &name);
void showConfiguration(gateway::parts &parts, http_request &&request, const std::string &name);
void showStatus(gateway::parts &parts, http_request &&request, const std::string &name);
void showAudit(gateway::parts &parts, http_request &&request, const std::string &name);
void showMembers(gateway::parts &parts, http_request &&request, const std::string &name);
void changeMember(gateway::parts &parts, http_request &&request, const std::string &name);

} // namespace filbert

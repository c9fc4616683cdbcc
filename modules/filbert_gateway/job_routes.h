#pragma once

#include "gateway.h"

#include <string>

namespace filbert {

/** Request handlers for job submitters. The name is the job's id if the path contains one. */
void submitJob(gateway::shared_state &state, http_request &&request, const std::string &name);
void listJobs(gateway::shared_state &state, http_request &&request, const std::string &name);
void showJob(gateway::shared_state &state, http_request &&request, const std::string &name);
void cancelJob(gateway::shared_state &state, http_request &&request, const std::string &name);
void holdJob(gateway::shared_state &state, http_request &&request, const std::string &name);
void releaseJob(gateway::shared_state &state, http_request &&request, const std::string &name);

} // namespace filbert

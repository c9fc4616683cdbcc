#pragma once

#include "gateway.h"

#include <string>

namespace filbert {

/** Routes of submitters; the name is the job's number where one is in the path. */
void submitJob(gateway::parts &parts, http_request &&request, const std::string &name);
void listJobs(gateway::parts &parts, http_request &&request, const std::string &name);
void showJob(gateway::parts &parts, http_request &&request, const std::string &name);
void cancelJob(gateway::parts &parts, http_request &&request, const std::string &name);
void holdJob(gateway::parts &parts, http_request &&request, const std::string &name);
void releaseJob(gateway::parts &parts, http_request &&request, const std::string &name);

} // namespace filbert

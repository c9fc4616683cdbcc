#pragma once

#include "request_limiter.h"

#include <string>

namespace filbert {

/** @return what clients make a process hold, the limits on it, and how often they were reached, in
    the Prometheus text format */
std::string limiterMetricsText(const request_limiter &limiter);

} // namespace filbert

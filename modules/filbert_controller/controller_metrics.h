#pragma once

#include "controller_state.h"

#include <string>

namespace filbert {

/** @param state of a controller @return its gauges in Prometheus' text format */
std::string controllerMetricsText(const controller_state &state);

} // namespace filbert

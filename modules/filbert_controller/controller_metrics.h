#pragma once

#include "controller_state.h"

#include <string>

namespace filbert {

/** @return the metrics of a controller in Prometheus' text format */
std::string controllerMetricsText(const controller_state &state);

} // namespace filbert

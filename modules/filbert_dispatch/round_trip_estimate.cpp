#include "round_trip_estimate.h"

#include <algorithm>
#include <cmath>

namespace filbert {

namespace {

// The gains and the number of deviations are those of RFC 6298.
constexpr double meanGain = 1.0 / 8;
constexpr double deviationGain = 1.0 / 4;
constexpr double timeoutDeviations = 4;

} // namespace

void addSample(round_trip_estimate &estimate, milliseconds sample)
{
    const auto value = static_cast<double>(std::max<std::int64_t>(sample.count, 0));
    if (!estimate.hasSample) {
        estimate = {value, value / 2, true};
        return;
    }
    const double error = value - estimate.meanMs;
    estimate.deviationMs += deviationGain * (std::abs(error) - estimate.deviationMs);
    estimate.meanMs += meanGain * error;
}

milliseconds answerTimeout(const round_trip_estimate &estimate, milliseconds minimum,
                           milliseconds maximum)
{
    const milliseconds learned {
        std::llround(estimate.meanMs + timeoutDeviations * estimate.deviationMs)};
    return std::clamp(learned, minimum, maximum);
}

} // namespace filbert

#pragma once

#include "filbert_core/filbert_core.h"

namespace filbert {

/** How long answers take, learned from those that have arrived: a smoothed mean and deviation, as
    for retransmission timeouts in RFC 6298. */
struct round_trip_estimate
{
    double meanMs = 0;
    double deviationMs = 0;
    bool hasSample = false;
};

/** Updates the estimate with the time that one answer took. */
void addSample(round_trip_estimate &estimate, milliseconds sample);

/** @return the time after which an answer is unlikely to arrive any more
    @param minimum  the shortest result, also without any sample
    @param maximum  the longest result; at least the minimum */
milliseconds answerTimeout(const round_trip_estimate &estimate, milliseconds minimum,
                           milliseconds maximum);

} // namespace filbert

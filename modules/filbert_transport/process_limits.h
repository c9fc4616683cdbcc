#pragma once

#include "filbert_core/filbert_core.h"

#include <cstddef>

namespace filbert {

/** What the host of a process allows it to use. */
struct process_limits
{
    std::size_t memoryBytes = 0; // 0 = unlimited
    std::size_t descriptors = 0; // 0 = unlimited
};

/** @return the limits in the settings --memory_mb and --max_descriptors */
process_limits processLimits();

/** Adds the requirements on --memory_mb and --max_descriptors to those of a program. */
void requireProcessLimits(settings_check &check);

} // namespace filbert

#include "process_limits.h"

#include <gflags/gflags.h>

DEFINE_double(
    memory_mb, 0,
    "memory of this process's host, in MB; bounds what clients can make the process hold. "
    "0 = unlimited, otherwise at least 64");
DEFINE_int32(max_descriptors, 0,
             "descriptors that this process may open; bounds the connections of clients. "
             "0 = unlimited, otherwise at least 128");

namespace filbert {

namespace {

constexpr double bytesPerMb = 1e6;
// An eighth of it holds two bodies of 4 MiB, the largest legal size, as received and as decoded.
constexpr double minMemoryMb = 64;
constexpr int minDescriptors = 128; // twice the descriptors of a process that serves no client

} // namespace

process_limits processLimits()
{
    return {static_cast<std::size_t>(FLAGS_memory_mb * bytesPerMb),
            static_cast<std::size_t>(FLAGS_max_descriptors)};
}

void requireProcessLimits(settings_check &check)
{
    check.require(FLAGS_memory_mb == 0 || FLAGS_memory_mb >= minMemoryMb,
                  "--memory_mb: expected 0 or at least 64");
    check.require(FLAGS_max_descriptors == 0 || FLAGS_max_descriptors >= minDescriptors,
                  "--max_descriptors: expected 0 or at least 128");
}

} // namespace filbert

#include "clock.h"

#include <chrono>
#include <ctime>

namespace filbert {

namespace {

constexpr std::int64_t millisecondsPerSecond = 1'000;
constexpr std::int64_t nanosecondsPerMillisecond = 1'000'000;

} // namespace

time_point monotonicNow()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return {now.tv_sec * millisecondsPerSecond + now.tv_nsec / nanosecondsPerMillisecond};
}

std::uint64_t firstFreeId()
{
    constexpr int idBitsPerMillisecond = 20;
    return static_cast<std::uint64_t>(wallClockMs()) << idBitsPerMillisecond;
}

std::int64_t wallClockMs()
{
    using std::chrono::duration_cast;
    const auto now = std::chrono::system_clock::now();
    return duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
}

} // namespace filbert

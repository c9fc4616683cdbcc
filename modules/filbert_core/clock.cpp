#include "clock.h"

#include <chrono>

namespace filbert {

namespace {

template <typename Clock>
std::int64_t sinceEpochMs()
{
    using std::chrono::duration_cast;
    return duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count();
}

} // namespace

time_point monotonicNow()
{
    return {sinceEpochMs<std::chrono::steady_clock>()};
}

std::int64_t wallClockMs()
{
    return sinceEpochMs<std::chrono::system_clock>();
}

} // namespace filbert

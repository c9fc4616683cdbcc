#include "activity_times.h"

namespace filbert {

std::string_view activityName(activity which)
{
    constexpr std::array<std::string_view, activityCount> names {
        "waiting",  "messages",  "replication", "application",
        "tracking", "placement", "orders",      "logging"};
    return names[static_cast<std::size_t>(which)];
}

activity activity_times::begin(activity which)
{
    const auto previous = current;
    switchTo(which);
    ++counts[static_cast<std::size_t>(which)];
    return previous;
}

void activity_times::resume(activity which)
{
    switchTo(which);
}

void activity_times::switchTo(activity which)
{
    const auto now = clock::now();
    durations[static_cast<std::size_t>(current)] += now - since;
    since = now;
    current = which;
}

std::array<activity_times::entry, activityCount> activity_times::totals() const
{
    std::array<entry, activityCount> result;
    for (std::size_t i = 0; i < activityCount; ++i) {
        result[i].microseconds =
            std::chrono::duration_cast<std::chrono::microseconds>(durations[i]).count();
        result[i].count = counts[i];
    }
    return result;
}

} // namespace filbert

#include "target_checks.h"

#include "filbert_core/filbert_core.h"
#include "value_limits.h"

#include <algorithm>

namespace filbert {

namespace {

constexpr std::size_t maxNameBytes = 256;
constexpr int maxLabels = 64;

/** Whether a text is short and has no control characters. It is valid UTF-8 if it was read from
    JSON. */
bool isName(std::string_view text)
{
    return text.size() <= maxNameBytes && std::none_of(text.begin(), text.end(), [](char c) {
               return (c >= '\0' && c < ' ') || c == '\x7f';
           });
}

bool areNames(const messages::target_life &report)
{
    return isName(report.service()) && isName(report.failure_domain()) && isName(report.machine())
        && report.labels_size() <= maxLabels
        && std::all_of(report.labels().begin(), report.labels().end(), isName);
}

bool isCapacity(const messages::resources &capacity)
{
    return capacity.milli_cores() >= 0 && capacity.memory_mb() >= 0 && capacity.accelerators() >= 0;
}

} // namespace

bool isTargetId(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameBytes
        && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

std::optional<std::string> findProblem(const messages::target_life &report)
{
    if (!isTargetId(report.id())) {
        return "expected an id of printable ASCII characters";
    }
    if (!areNames(report)) {
        return "expected short names without control characters";
    }
    if (!isName(report.address()) || !isEndpoint(report.address())) {
        return "expected an address IP:port";
    }
    if (!isCapacity(report.capacity())) {
        return "expected a capacity of 0 or more";
    }
    if (report.born() < 1 || report.born() > maxWallMs) {
        return "expected a start in milliseconds since 1970";
    }
    if (report.sequence() < 0 || report.sequence() > maxClockMs || report.clock_ms() < 0
        || report.clock_ms() > maxClockMs) {
        return "expected a sequence and a clock from 0 to 2^53";
    }
    if (!isDuration(report.remaining_ms()) || !isDuration(report.cold_ms())) {
        return "expected durations from 0 to a year";
    }
    return std::nullopt;
}

} // namespace filbert

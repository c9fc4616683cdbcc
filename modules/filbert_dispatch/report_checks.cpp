#include "report_checks.h"

#include "target_orders.h"

#include <algorithm>

namespace filbert {

namespace {

// Far above the difference between the wall clocks of two hosts, also after one was adjusted.
constexpr std::int64_t maxWallClockDifferenceMs = 60 * 60 * 1'000;

bool isConfiguredService(const messages::work_configuration &configuration,
                         const std::string &service)
{
    const auto &services = configuration.services();
    return std::any_of(services.begin(), services.end(),
                       [&](const auto &each) { return each.name() == service; });
}

/** Whether the target has this service, although the configuration may not name it any more. */
bool hasService(const dispatch_state &state, const std::string &id, const std::string &service)
{
    const auto *registered = findRegisteredTarget(state, id);
    return registered != nullptr && registered->registration.service() == service;
}

} // namespace

std::optional<std::string> findProblem(const dispatch_state &state,
                                       const messages::target_life &report, std::int64_t wallMs)
{
    // A later incarnation replaces all earlier ones for good.
    if (report.born() > wallMs + maxWallClockDifferenceMs) {
        return "the target started in the future";
    }
    const auto &configuration = state.work->configuration;
    if (configuration.version() > 0 && !isConfiguredService(configuration, report.service())
        && !hasService(state, report.id(), report.service())) {
        return "the configuration does not name its service";
    }
    return std::nullopt;
}

} // namespace filbert

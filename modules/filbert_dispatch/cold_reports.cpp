#include "cold_reports.h"

#include <algorithm>

namespace filbert {

void announceColdPeriod(dispatch_state &state, const messages::target_life &report, time_point now)
{
    auto &announced = state.announcedColdPeriods;
    std::erase_if(announced, [&](const auto &each) { return now >= each.second.cold.warmAt; });
    if (report.cold_ms() > 0) {
        announced[report.id()] = {report.born(), {}};
        updateColdPeriod(announced[report.id()].cold, {report.cold_ms()}, now);
    }
}

void takeAnnouncedColdPeriod(dispatch_state &state, tracked_target &target, time_point now)
{
    const auto announced = state.announcedColdPeriods.extract(target.id);
    if (announced.empty() || announced.mapped().incarnation != target.incarnation) {
        return;
    }
    target.cold = announced.mapped().cold;
    log_line {"target_cold"}
        .with("target", target.id)
        .with("born", target.incarnation)
        .with("cold_ms", coldTimeLeft(target.cold, now).count);
}

std::size_t countColdTargets(const dispatch_state &state, time_point now)
{
    return static_cast<std::size_t>(
        std::count_if(state.targets.begin(), state.targets.end(), [&](const auto &each) {
            return coldTimeLeft(each.second.cold, now).count > 0;
        }));
}

} // namespace filbert

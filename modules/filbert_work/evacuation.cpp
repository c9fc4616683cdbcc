#include "evacuation.h"

#include <algorithm>

namespace filbert {

namespace {

constexpr std::size_t maxDomainBytes = 256; // as of all names that targets report

} // namespace

bool isFailureDomain(std::string_view text)
{
    return !text.empty() && text.size() <= maxDomainBytes && isPlainText(text);
}

bool isKnownDomain(const work_state &state, const known_domains &known, const std::string &domain)
{
    return known.configured.empty() || known.configured.contains(domain)
        || known.ofControllers.contains(domain) || state.evacuatedDomains.contains(domain)
        || std::any_of(state.targets.begin(), state.targets.end(), [&](const auto &each) {
               return each.second.registration.failure_domain() == domain;
           });
}

bool isEvacuated(const work_state &state, const registered_target &target)
{
    return !state.evacuatedDomains.empty()
        && state.evacuatedDomains.contains(target.registration.failure_domain());
}

std::vector<std::string> targetsInDomain(const work_state &state, const std::string &domain)
{
    std::vector<std::string> ids;
    for (const auto &[id, target] : state.targets) {
        if (!target.hasEnded && target.registration.failure_domain() == domain) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::size_t countRunsInEvacuatedDomains(const work_state &state)
{
    std::size_t runs = 0;
    for (const auto &[id, target] : state.targets) {
        runs += isEvacuated(state, target) ? target.runs.size() : 0;
    }
    return runs;
}

command_outcome applyEvacuation(work_state &state, const evacuation_order &order)
{
    if (!isFailureDomain(order.failureDomain)) {
        return {error_kind::Malformed, "no name of a failure domain"};
    }
    if (order.isWithdrawn) {
        state.evacuatedDomains.erase(order.failureDomain);
    } else {
        state.evacuatedDomains.insert(order.failureDomain);
    }
    return {};
}

} // namespace filbert

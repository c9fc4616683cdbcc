#include "work_controller.h"

namespace filbert {

/** @return the failure domains that the operator, or a controller of the cell, has named */
known_domains work_controller::knownDomains() const
{
    known_domains known;
    known.configured = settings.failureDomains;
    for (const auto &member : log.state().membership.members()) {
        if (const auto domain = domainOfController(member.name()); !domain.empty()) {
            known.ofControllers.insert(domain);
        }
    }
    return known;
}

void work_controller::handleEvacuation(const answer_address &from, const evacuation_order &order)
{
    if (!isFailureDomain(order.failureDomain)) {
        answerKind(from, messages::ANSWER_MALFORMED, "expected the name of a failure domain");
        return;
    }
    if (!isKnownDomain(state, knownDomains(), order.failureDomain)) {
        log_line {"evacuation_refused", log_line::severity::Warning}
            .with("failure_domain", order.failureDomain)
            .with("withdrawn", order.isWithdrawn)
            .with("why", "the failure domain is not known");
        answerKind(from, messages::ANSWER_NO_DOMAIN,
                   "no such failure domain: " + order.failureDomain);
        return;
    }
    // A repeated order is committed too: an acknowledgement without a commit could overtake a
    // withdrawal that is on its way to the log.
    messages::work_command command;
    writeEvacuation(order, &command);
    propose(std::move(command), from);
}

/** Logs an evacuation that was applied. */
void work_controller::logEvacuation(const evacuation_order &order)
{
    const auto targets = targetsInDomain(state, order.failureDomain);
    std::size_t runs = 0;
    for (const auto &id : targets) {
        runs += state.targets.at(id).runs.size();
    }
    log_line {"evacuation"}
        .with("failure_domain", order.failureDomain)
        .with("withdrawn", order.isWithdrawn)
        .with("targets", targets.size())
        .with("runs", runs)
        .with("evacuated_domains", state.evacuatedDomains.size());
}

} // namespace filbert

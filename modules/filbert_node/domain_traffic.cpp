#include "domain_traffic.h"

#include <utility>

namespace filbert {

namespace {

constexpr std::size_t maxPeers = 4'096; // more than the processes of a cell

} // namespace

std::string causeOf(const messages::work_envelope &envelope)
{
    using body = messages::work_envelope::BodyCase;
    switch (envelope.body_case()) {
    case body::kReplication:
    case body::kJoin:
        return "replication";
    case body::kCarried:
        return "orders";
    case body::kCarriedAnswers:
        return "order_answers";
    case body::kHello:
    case body::kWelcome:
        return "hellos";
    case body::kRequest:
        return "requests";
    case body::kAnswer:
        return "answers";
    case body::kAdmission:
    case body::kAdmissionAnswer:
        return "admissions";
    default:
        return "other";
    }
}

domain_traffic::domain_traffic(work_metrics &metrics, std::string ownDomain)
    : metrics {metrics}
    , ownDomain {std::move(ownDomain)}
{
}

const std::string &domain_traffic::otherDomainOf(const std::string &peer) const
{
    static const std::string none;
    const auto found = domains.find(peer);
    const bool isOther = !ownDomain.empty() && found != domains.end() && found->second != ownDomain;
    return isOther ? found->second : none;
}

void domain_traffic::countSent(const std::string &peer, const messages::work_envelope &envelope,
                               std::size_t bytes)
{
    if (const auto &domain = otherDomainOf(peer); !domain.empty()) {
        metrics.countDomainBytes(causeOf(envelope), "sent", domain, bytes);
    }
}

void domain_traffic::countReceived(const std::string &peer, const messages::work_envelope &envelope,
                                   std::size_t bytes)
{
    if (envelope.has_replication() || envelope.has_join()) {
        return;
    }
    const auto &sender = envelope.from().empty() ? peer : envelope.from();
    if (envelope.has_hello()) {
        if (domains.size() >= maxPeers && !domains.contains(sender)) {
            domains.clear(); // each process is learned again from its next hello
        }
        domains[sender] = envelope.hello().failure_domain();
    }
    if (const auto &domain = otherDomainOf(sender); !domain.empty()) {
        metrics.countDomainBytes(causeOf(envelope), "received", domain, bytes);
    }
}

} // namespace filbert

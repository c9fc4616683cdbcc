#pragma once

#include "filbert_messages/filbert_messages.h"

#include <optional>
#include <set>
#include <string>

namespace filbert {

/** An operator's request that nothing more starts in a failure domain, or its withdrawal. */
struct evacuation_order
{
    std::string failureDomain;
    bool isWithdrawn = false;
};

/** Sets the evacuation of a command or request. */
template <typename Message>
void writeEvacuation(const evacuation_order &order, Message *message)
{
    auto *body = message->mutable_evacuate();
    body->set_failure_domain(order.failureDomain);
    body->set_is_withdrawn(order.isWithdrawn);
}

/** @return the evacuation of a command or request, or nothing if it holds none */
template <typename Message>
std::optional<evacuation_order> readEvacuation(const Message &message)
{
    if (!message.has_evacuate()) {
        return std::nullopt;
    }
    return evacuation_order {message.evacuate().failure_domain(),
                             message.evacuate().is_withdrawn()};
}

/** Adds the evacuated failure domains to a snapshot. */
inline void writeEvacuatedDomains(const std::set<std::string> &domains,
                                  messages::work_state_image *image)
{
    for (const auto &domain : domains) {
        image->add_evacuated_domains(domain);
    }
}

/** @return the evacuated failure domains in a snapshot */
inline std::set<std::string> readEvacuatedDomains(const messages::work_state_image &image)
{
    return {image.evacuated_domains().begin(), image.evacuated_domains().end()};
}

} // namespace filbert

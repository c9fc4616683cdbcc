#pragma once

#include "filbert_messages/filbert_messages.h"
#include "work_metrics.h"

#include <string>
#include <unordered_map>

namespace filbert {

/** Counts the bytes that a controller exchanges with processes of other failure domains, by cause.

    A controller counts all that it sends, and what it receives apart from replication, which the
    sender counts. The domain of a process is known from its hellos; until then nothing is counted.
*/
class domain_traffic
{
public:
    /** @param ownDomain  failure domain of this controller; empty = nothing is counted */
    domain_traffic(work_metrics &metrics, std::string ownDomain);

    /** @param peer  name of the process that it was sent to */
    void countSent(const std::string &peer, const messages::work_envelope &envelope,
                   std::size_t bytes);

    /** Learns the domain of the sender if the message is a hello. */
    void countReceived(const std::string &peer, const messages::work_envelope &envelope,
                       std::size_t bytes);

private:
    /** @return the failure domain of a process if it is another one, else an empty text */
    const std::string &otherDomainOf(const std::string &peer) const;

    work_metrics &metrics;
    std::string ownDomain;
    std::unordered_map<std::string, std::string> domains; // by name of the process
};

/** @return the name of a message's cause in metrics */
std::string causeOf(const messages::work_envelope &envelope);

} // namespace filbert

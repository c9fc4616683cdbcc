#pragma once

#include "filbert_configuration/filbert_configuration.h"

namespace filbert {

/** The configuration that a gateway has in force, for as long as its lease lasts.

    Without a current lease a gateway takes no work: the leader counts on that before it says that a
    change is in force everywhere.
*/
struct configuration_lease
{
    cell_configuration configuration;
    time_point expiresAt;
    int gatewayCount = 1;
    messages::membership members;
    std::uint64_t membershipIndex = 0;
};

/** @return the hello that asks for a renewal */
messages::gateway_hello makeHello(const configuration_lease &lease, const std::string &gateway);

/** Takes over a grant.

    @param lease   changed
    @param grant   of the leader
    @param sentAt  when the hello left, on the own clock; the lease counts from there
    @return false if the grant does not fit what is held; the next hello asks for the whole then
*/
bool applyGrant(configuration_lease &lease, const messages::configuration_grant &grant,
                time_point sentAt);

/** @return whether work may be taken now */
bool isInForce(const configuration_lease &lease, time_point now);

} // namespace filbert

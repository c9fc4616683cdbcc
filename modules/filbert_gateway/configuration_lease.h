#pragma once

#include "filbert_configuration/filbert_configuration.h"

namespace filbert {

/** The configuration that a gateway applies, valid until its lease expires.

    A gateway accepts no work without a current lease. The leader relies on this: it reports a
    change as in force everywhere once each gateway has either received it or lost its lease.
*/
struct configuration_lease
{
    cell_configuration configuration;
    time_point expiresAt;
    int gatewayCount = 1; // in the cell, including this one
    messages::membership members; // the controllers
    std::uint64_t membershipIndex = 0; // of members
};

/** @return the hello that requests a renewal of the lease

    @param lease    its version and digest tell the leader which changes are missing
    @param gateway  name of the gateway
*/
messages::gateway_hello makeHello(const configuration_lease &lease, const std::string &gateway);

/** Applies a grant from the leader.

    @param lease   the lease to renew
    @param grant   the leader's answer to a hello
    @param sentAt  when that hello was sent, on the gateway's clock; the lease period starts there
    @return false if the grant cannot be applied to the configuration held: its version is older,
        it is a delta on another version, or its digest differs. After a wrong digest the
        configuration is cleared, so that the next hello requests a full copy.
*/
bool applyGrant(configuration_lease &lease, const messages::configuration_grant &grant,
                time_point sentAt);

/** @return whether the gateway has a configuration with a current lease, and so may accept work */
bool isInForce(const configuration_lease &lease, time_point now);

} // namespace filbert

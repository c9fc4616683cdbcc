#include "configuration_lease.h"

#include <algorithm>
#include <utility>

namespace filbert {

messages::gateway_hello makeHello(const configuration_lease &lease, const std::string &gateway)
{
    messages::gateway_hello hello;
    hello.set_gateway(gateway);
    hello.set_version(lease.configuration.version());
    hello.set_digest(lease.configuration.digest());
    hello.set_members_index(lease.membershipIndex);
    return hello;
}

bool applyGrant(configuration_lease &lease, const messages::configuration_grant &grant,
                time_point sentAt)
{
    const auto currentVersion = lease.configuration.version();
    if (grant.version() < currentVersion) {
        return false; // a late answer; versions never decrease
    }
    const bool isDelta = grant.from_version() != 0;
    if (isDelta && grant.from_version() != currentVersion) {
        return false;
    }
    if (!isDelta || grant.version() != currentVersion) {
        auto next = isDelta ? lease.configuration : cell_configuration {};
        next.applyChanges(grant.items(), grant.version());
        if (next.digest() != grant.digest() && grant.version() != 0) {
            log_line {"configuration_digest_differs", log_line::severity::Error}
                .with("version", grant.version())
                .with("from_version", grant.from_version());
            lease.configuration.clear(); // the next hello requests a full copy
            lease.expiresAt = {};
            return false;
        }
        if (grant.version() != currentVersion) {
            log_line {"configuration_in_force"}
                .with("version", grant.version())
                .with("items", grant.items_size());
        }
        lease.configuration = std::move(next);
    }
    lease.expiresAt = std::max(lease.expiresAt, sentAt + milliseconds {grant.lease_ms()});
    lease.gatewayCount = std::max(1, grant.gateways());
    if (grant.has_members()) {
        lease.members = grant.members();
    }
    lease.membershipIndex = grant.members_index();
    return true;
}

bool isInForce(const configuration_lease &lease, time_point now)
{
    return lease.configuration.version() > 0 && now < lease.expiresAt;
}

} // namespace filbert

#pragma once

#include "controller_links.h"
#include "filbert_transport/filbert_transport.h"

#include <functional>
#include <string>

namespace filbert {

/** Carries a gateway's messages to controllers over ZeroMQ, one connection to each. */
class socket_transport : public controller_transport
{
public:
    using handler = std::function<void(const std::string &address, const messages::envelope &)>;

    /** @param loop       runs it; outlives it, as the context does
        @param name       how controllers know this process
        @param site       keys of the connections
        @param onMessage  called for each message, with the address that it came from
    */
    socket_transport(event_loop &loop, zmq::context_t &context, const std::string &name,
                     const curve_site &site, handler onMessage);

    bool send(const std::string &address, const messages::envelope &envelope) override;
    void reconnect(const std::string &address) override;
    void connect(const std::string &address) override;

private:
    dealer_pool connections;
};

} // namespace filbert

#pragma once

#include "controller_links.h"
#include "filbert_transport/filbert_transport.h"

#include <functional>
#include <string>

namespace filbert {

/** Exchanges a gateway's messages with controllers over ZeroMQ, with one connection to each. */
class socket_transport : public controller_transport
{
public:
    using handler = std::function<void(const std::string &address, const messages::envelope &)>;

    /** @param loop       event loop that the connections run in; must outlive this object
        @param context    ZeroMQ context; must outlive this object
        @param name       identifies this process to controllers
        @param site       CURVE keys of the connections
        @param onMessage  called for each message, with the address of the controller that sent it
        @param onUnreadable  called for each message that cannot be parsed; it is logged and dropped
    */
    socket_transport(
        event_loop &loop, zmq::context_t &context, const std::string &name, const curve_site &site,
        handler onMessage, std::function<void()> onUnreadable = [] {});

    bool send(const std::string &address, const messages::envelope &envelope) override;
    void reconnect(const std::string &address) override;
    void connect(const std::string &address) override;

private:
    dealer_pool connections;
};

} // namespace filbert

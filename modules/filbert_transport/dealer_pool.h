#pragma once

#include "curve_site.h"
#include "message_socket.h"

#include <map>

namespace filbert {

/** Connections of one process to others by address, each made when it is first used. */
class dealer_pool
{
public:
    using handler = std::function<void(const std::string &address, std::string &&message)>;

    /** @param name  how the other ends know this process
        @param site  keys of the connections
        @param onMessage  called with the address that a message came from */
    dealer_pool(event_loop &loop, zmq::context_t &context, const std::string &name,
                const curve_site &site, handler onMessage);

    /** Makes the connection to an address if there is none yet. */
    void connect(const std::string &address) { clientFor(address); }

    /** @param address "tcp://IP:port" @return false if there is no connection (yet) */
    bool send(const std::string &address, const std::string &message);

    /** Replaces a connection that may have gone silent. */
    void reconnect(const std::string &address);

private:
    message_client &clientFor(const std::string &address);

    event_loop &loop;
    zmq::context_t &context;
    std::string name;
    curve_site site;
    handler onMessage;
    std::map<std::string, std::unique_ptr<message_client>> clients;
};

} // namespace filbert

#pragma once

#include "curve_site.h"
#include "message_socket.h"

#include <map>

namespace filbert {

/** The connections of a process to others, by address. Each is established on first use. */
class dealer_pool
{
public:
    using message_handler = std::function<void(const std::string &address, std::string &&message)>;

    /** @param loop       the event loop; must outlive the pool
        @param context    the ZeroMQ context of the process
        @param name       the name by which the peers know this process
        @param site       keys of this process and of its peers
        @param onMessage  called with the address that a message came from
    */
    dealer_pool(event_loop &loop, zmq::context_t &context, const std::string &name,
                const curve_site &site, message_handler onMessage);

    /** Connects to an address unless there is a connection already. */
    void connect(const std::string &address) { clientFor(address); }

    /** Sends a message, and connects to the address if necessary.

        @param address  "tcp://IP:port"
        @param message  its bytes
        @return false if the connection is not established yet or its queue is full
    */
    bool send(const std::string &address, const std::string &message);

    /** Replaces a connection that may be broken. @see message_client::reconnect */
    void reconnect(const std::string &address);

private:
    message_client &clientFor(const std::string &address);

    event_loop &loop;
    zmq::context_t &context;
    std::string name;
    curve_site site;
    message_handler onMessage;
    std::map<std::string, std::unique_ptr<message_client>> clients;
};

} // namespace filbert

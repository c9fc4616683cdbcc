#pragma once

#include "dealer_pool.h"
#include "filbert_messages/filbert_messages.h"

#include <map>

namespace filbert {

/** Sockets of one controller: a server for whoever connects, and one connection to each of the
   other controllers for the log's messages. */
class member_sockets
{
public:
    using handler = std::function<void(const std::string &peer, std::string &&text)>;

    /** @param identity    of this controller's log
        @param endpoint    "tcp://IP:port" to listen at
        @param site        keys of the connections
        @param silenceTimeout  a controller that is not heard for this long gets a new connection
        @param onMessage   called with the peer's name, or with the address of one that answers on
                           a connection of ours */
    member_sockets(event_loop &loop, zmq::context_t &context, const std::string &identity,
                   const std::string &endpoint, const curve_site &site, milliseconds silenceTimeout,
                   const handler &onMessage);

    /** Sends to a member, or to a peer of its identity where it has no address. What is lost is
       sent again by the protocol above. */
    void sendToMember(const messages::member &member, const std::string &bytes);

    void sendToPeer(const std::string &peer, const std::string &bytes);

    /** Connects beforehand: the first message to a member that is not connected would be lost. So
        would one that is sent as its connection is renewed; both are done between messages.

        A member that nothing comes from may not hear either, since its connection is silent.
    */
    void maintainConnection(const messages::member &member, time_point now);

private:
    milliseconds silenceTimeout;
    std::map<std::string, time_point> lastContactAt; // by the peer's name
    std::map<std::string, time_point> quietSinceOf; // by address: last heard or renewed
    message_server server;
    dealer_pool clients;
};

} // namespace filbert

#pragma once

#include "dealer_pool.h"
#include "filbert_messages/filbert_messages.h"

#include <map>

namespace filbert {

/** The sockets of a controller: a server for all peers that connect to it, and a connection to each
    of the other controllers for the messages of the replicated log. */
class member_sockets
{
public:
    using message_handler = std::function<void(const std::string &peer, std::string &&text)>;

    /** @param loop            the event loop; must outlive the sockets
        @param context         the ZeroMQ context of the process
        @param identity        identity of this controller as a member of the replicated log
        @param endpoint        address to listen on, "tcp://IP:port"
        @param site            keys of this process and of its peers
        @param silenceTimeout  the connection to a controller that sent nothing for this long is
                               replaced
        @param onMessage       called with the name of the peer, or with its address if the message
                               came on a connection that this process established
    */
    member_sockets(event_loop &loop, zmq::context_t &context, const std::string &identity,
                   const std::string &endpoint, const curve_site &site, milliseconds silenceTimeout,
                   const message_handler &onMessage);

    /** Sends to the address of a member, or to the connected peer with its identity if it has no
        address. The replication protocol resends what is lost. */
    void sendToMember(const messages::member &member, const std::string &bytes);

    /** Sends to a connected peer. A message to a peer that is not connected is lost. */
    void sendToPeer(const std::string &peer, const std::string &bytes);

    /** Connects to a member in advance, and replaces the connection if the member has sent nothing
        for the silence timeout.

        A message sent before the connection is established, or while it is replaced, would be lost;
        so call this between messages. A member that sends nothing may not receive anything either,
        because its connection is broken.
    */
    void maintainConnection(const messages::member &member, time_point now);

private:
    milliseconds silenceTimeout;
    std::map<std::string, time_point> lastContactAt; // by name of the peer
    std::map<std::string, time_point> silentSince; // by address: last contact or reconnection
    message_server server;
    dealer_pool clients;
};

} // namespace filbert

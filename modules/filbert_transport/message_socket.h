#pragma once

#include "event_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>
#include <zmq.hpp>

namespace filbert {

/** CURVE keys of a process. If all are empty, nothing is encrypted, which is allowed on loopback
    only. */
struct curve_keys
{
    std::string publicKey; // Z85, 40 characters
    std::string secretKey;
    std::string serverKey; // public key of the server that a message_client connects to
};

/** Whether a peer's name was made up by the server and not chosen by the peer.

    When a peer connects again, what is left on its previous connection is received under such a
    name. Nothing can be sent to that name, and it says nothing about who the peer is.
*/
bool isGeneratedPeerName(std::string_view name);

/** The listening side of a message connection (ROUTER). It receives messages from many peers and
    sends to each of them by its name.

    A message may be lost when a connection breaks, but is never truncated or mixed with another.
*/
class message_server
{
public:
    using message_handler = std::function<void(const std::string &peer, std::string &&message)>;

    /** @param loop       the event loop; must outlive the server
        @param context    the ZeroMQ context of the process
        @param endpoint   address to listen on, "tcp://IP:port"; port "*" is any free one
        @param keys       keys of this process; a curve_authenticator decides who may connect
        @param onMessage  called for each message with the name of its peer, which may be a
                          generated one, see isGeneratedPeerName()
    */
    message_server(event_loop &loop, zmq::context_t &context, const std::string &endpoint,
                   const curve_keys &keys, message_handler onMessage);

    /** Sends a message.

        @param peer     name of the peer
        @param message  its bytes
        @return false if the peer is not connected or its queue is full; the message is then
                discarded
    */
    bool send(const std::string &peer, const std::string &message);

    /** @return the address on which it listens, with the port that was chosen if none was given */
    std::string endpoint() const;

private:
    input_source::outcome receiveMessages();

    zmq::socket_t socket;
    message_handler onMessage;
    std::shared_ptr<input_source> input;
};

/** The connecting side of a message connection, to one server (DEALER). A broken or unresponsive
    connection is replaced automatically. */
class message_client
{
public:
    using message_handler = std::function<void(std::string &&message)>;

    /** Begins to connect. If the endpoint is invalid, that is logged, and nothing can be sent.

        @param name  the name by which the server knows this process; unique among its peers
        @see message_server
    */
    message_client(event_loop &loop, zmq::context_t &context, const std::string &name,
                   const std::string &endpoint, const curve_keys &keys, message_handler onMessage);

    /** Stops receiving messages. */
    ~message_client();
    message_client(const message_client &) = delete;
    message_client &operator=(const message_client &) = delete;

    /** Sends a message. @return false if there is no connection or its queue is full */
    bool send(const std::string &message);

    /** Replaces the connection by a new one and discards queued messages.

        Call this as soon as the peer stops responding: the heartbeats of the connection itself
        detect that only seconds later.
    */
    void reconnect();

private:
    struct socket_state;
    std::shared_ptr<socket_state> state;
};

} // namespace filbert

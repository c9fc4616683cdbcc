#pragma once

#include "event_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>
#include <zmq.hpp>

namespace filbert {

/** Keys of one process for CURVE; all empty = no encryption, which only loopback allows. */
struct curve_keys
{
    std::string publicKey; // Z85, 40 characters
    std::string secretKey;
    std::string serverKey; // of the process that a message_client connects to
};

/** The listening end: takes messages of many processes and answers them by name (ROUTER).

    Messages are whole or absent; they may be lost when a connection breaks, never cut or crossed.
*/
class message_server
{
public:
    using handler = std::function<void(const std::string &peer, std::string &&message)>;

    /** @param loop      runs it; outlives it
        @param context   of the process
        @param endpoint  "tcp://IP:port"
        @param keys      own keys; a curve_authenticator says who is let in
        @param onMessage called for each message
    */
    message_server(event_loop &loop, zmq::context_t &context, const std::string &endpoint,
                   const curve_keys &keys, handler onMessage);

    /** @param peer its name @param message the bytes @return false if it is not connected or its
        queue is full; the message is gone then */
    bool send(const std::string &peer, const std::string &message);

private:
    bool drain();

    zmq::socket_t socket;
    handler onMessage;
};

/** The connecting end: one peer (DEALER). A broken or silent connection is replaced by itself. */
class message_client
{
public:
    using handler = std::function<void(std::string &&message)>;

    /** @param name  how the server knows this process; unique among its peers
        @see message_server
    */
    message_client(event_loop &loop, zmq::context_t &context, const std::string &name,
                   const std::string &endpoint, const curve_keys &keys, handler onMessage);

    /** Stops to listen to the loop's wakes. */
    ~message_client();
    message_client(const message_client &) = delete;
    message_client &operator=(const message_client &) = delete;

    /** @param message the bytes @return false if there is no connection or its queue is full */
    bool send(const std::string &message);

    /** Gives the connection up for a new one: use it as soon as the peer is silent, which the
        connection's own heartbeats notice only seconds later. What was queued is gone. */
    void reconnect();

private:
    struct shared_socket;
    std::shared_ptr<shared_socket> shared;
};

} // namespace filbert

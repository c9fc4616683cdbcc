#include "message_socket.h"

#include <utility>

namespace filbert {

namespace {

constexpr int queuedMessages = 200'000;
constexpr int heartbeatMs = 1'500;
constexpr int silentMs = 3'000;
constexpr int handshakeMs = 1'000; // one that a silent connection swallowed would last 30 s
constexpr int reconnectMs = 50;
constexpr int reconnectMaxMs = 500;
constexpr int messagesPerDrain = 512;
constexpr std::int64_t maxMessageBytes = 64 << 20;

void setCommonOptions(zmq::socket_t &socket)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, queuedMessages);
    socket.set(zmq::sockopt::rcvhwm, queuedMessages);
    socket.set(zmq::sockopt::maxmsgsize, maxMessageBytes);
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeatMs);
    socket.set(zmq::sockopt::heartbeat_timeout, silentMs);
    socket.set(zmq::sockopt::heartbeat_ttl, silentMs);
    socket.set(zmq::sockopt::handshake_ivl, handshakeMs);
}

bool hasInput(zmq::socket_t &socket)
{
    return (socket.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0;
}

std::string textOf(zmq::message_t &message)
{
    return {static_cast<const char *>(message.data()), message.size()};
}

} // namespace

message_server::message_server(event_loop &loop, zmq::context_t &context,
                               const std::string &endpoint, const curve_keys &keys,
                               handler onMessage)
    : socket {context, zmq::socket_type::router}
    , onMessage {std::move(onMessage)}
{
    setCommonOptions(socket);
    socket.set(zmq::sockopt::router_mandatory, true);
    socket.set(zmq::sockopt::router_handover, true);
    if (!keys.secretKey.empty()) {
        socket.set(zmq::sockopt::curve_server, true);
        socket.set(zmq::sockopt::curve_publickey, keys.publicKey);
        socket.set(zmq::sockopt::curve_secretkey, keys.secretKey);
        socket.set(zmq::sockopt::zap_domain, "filbert");
    }
    socket.bind(endpoint);
    loop.watchDescriptor(socket.get(zmq::sockopt::fd));
    loop.onWake([this] { return drain(); });
}

bool message_server::drain()
{
    int taken = 0;
    while (taken < messagesPerDrain && hasInput(socket)) {
        zmq::message_t peer;
        zmq::message_t body;
        if (!socket.recv(peer, zmq::recv_flags::dontwait)) {
            break;
        }
        if (!peer.more() || !socket.recv(body, zmq::recv_flags::dontwait)) {
            continue;
        }
        ++taken;
        onMessage(textOf(peer), textOf(body));
    }
    return taken > 0;
}

bool message_server::send(const std::string &peer, const std::string &message)
{
    try {
        const auto name =
            socket.send(zmq::buffer(peer), zmq::send_flags::sndmore | zmq::send_flags::dontwait);
        return name && socket.send(zmq::buffer(message), zmq::send_flags::dontwait);
    } catch (const zmq::error_t &) {
        return false; // the peer is not connected
    }
}

/** Shared with the loop, which may still hold the wake action when the client has gone. */
struct message_client::shared_socket
{
    zmq::socket_t socket;
    std::string endpoint;
    handler onMessage;
};

message_client::message_client(event_loop &loop, zmq::context_t &context, const std::string &name,
                               const std::string &endpoint, const curve_keys &keys,
                               handler onMessage)
    : shared {std::make_shared<shared_socket>(shared_socket {
        zmq::socket_t {context, zmq::socket_type::dealer}, endpoint, std::move(onMessage)})}
{
    auto &socket = shared->socket;
    setCommonOptions(socket);
    socket.set(zmq::sockopt::routing_id, name);
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::reconnect_ivl, reconnectMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, reconnectMaxMs);
    if (!keys.secretKey.empty()) {
        socket.set(zmq::sockopt::curve_publickey, keys.publicKey);
        socket.set(zmq::sockopt::curve_secretkey, keys.secretKey);
        socket.set(zmq::sockopt::curve_serverkey, keys.serverKey);
    }
    socket.connect(endpoint);
    loop.watchDescriptor(socket.get(zmq::sockopt::fd));
    loop.onWake([weak = std::weak_ptr {shared}] {
        const auto held = weak.lock();
        if (!held) {
            return false;
        }
        int taken = 0;
        while (taken < messagesPerDrain && hasInput(held->socket)) {
            zmq::message_t body;
            if (!held->socket.recv(body, zmq::recv_flags::dontwait)) {
                break;
            }
            ++taken;
            held->onMessage(textOf(body));
        }
        return taken > 0;
    });
}

message_client::~message_client() = default;

void message_client::reconnect()
{
    shared->socket.disconnect(shared->endpoint);
    shared->socket.connect(shared->endpoint);
}

bool message_client::send(const std::string &message)
{
    return shared->socket.send(zmq::buffer(message), zmq::send_flags::dontwait).has_value();
}

} // namespace filbert

#include "message_socket.h"

#include <utility>

namespace filbert {

namespace {

constexpr int maxQueuedMessages = 200'000;
constexpr int heartbeatIntervalMs = 1'500;
constexpr int heartbeatTimeoutMs = 3'000;
// The default of 30 s is too long for a handshake that a broken connection has lost.
constexpr int handshakeTimeoutMs = 1'000;
constexpr int reconnectIntervalMs = 50;
constexpr int maxReconnectIntervalMs = 500;
constexpr int maxMessagesPerWake = 512;
constexpr std::int64_t maxMessageBytes = 64 << 20;

void setCommonOptions(zmq::socket_t &socket)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, maxQueuedMessages);
    socket.set(zmq::sockopt::rcvhwm, maxQueuedMessages);
    socket.set(zmq::sockopt::maxmsgsize, maxMessageBytes);
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeatIntervalMs);
    socket.set(zmq::sockopt::heartbeat_timeout, heartbeatTimeoutMs);
    socket.set(zmq::sockopt::heartbeat_ttl, heartbeatTimeoutMs);
    socket.set(zmq::sockopt::handshake_ivl, handshakeTimeoutMs);
}

bool hasInput(zmq::socket_t &socket)
{
    return (socket.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0;
}

std::string toString(zmq::message_t &message)
{
    return {static_cast<const char *>(message.data()), message.size()};
}

} // namespace

message_server::message_server(event_loop &loop, zmq::context_t &context,
                               const std::string &endpoint, const curve_keys &keys,
                               message_handler onMessage)
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
    loop.onWake([this] { return receiveMessages(); });
}

bool message_server::receiveMessages()
{
    int receivedCount = 0;
    while (receivedCount < maxMessagesPerWake && hasInput(socket)) {
        zmq::message_t peer;
        zmq::message_t body;
        if (!socket.recv(peer, zmq::recv_flags::dontwait)) {
            break;
        }
        if (!peer.more() || !socket.recv(body, zmq::recv_flags::dontwait)) {
            continue;
        }
        ++receivedCount;
        onMessage(toString(peer), toString(body));
    }
    return receivedCount > 0;
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

/** Owned by the client. The wake action of the loop may outlive the client, so that it has only a
    weak reference. */
struct message_client::socket_state
{
    zmq::socket_t socket;
    std::string endpoint;
    message_handler onMessage;
};

message_client::message_client(event_loop &loop, zmq::context_t &context, const std::string &name,
                               const std::string &endpoint, const curve_keys &keys,
                               message_handler onMessage)
    : state {std::make_shared<socket_state>(socket_state {
        zmq::socket_t {context, zmq::socket_type::dealer}, endpoint, std::move(onMessage)})}
{
    auto &socket = state->socket;
    setCommonOptions(socket);
    socket.set(zmq::sockopt::routing_id, name);
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::reconnect_ivl, reconnectIntervalMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, maxReconnectIntervalMs);
    if (!keys.secretKey.empty()) {
        socket.set(zmq::sockopt::curve_publickey, keys.publicKey);
        socket.set(zmq::sockopt::curve_secretkey, keys.secretKey);
        socket.set(zmq::sockopt::curve_serverkey, keys.serverKey);
    }
    socket.connect(endpoint);
    loop.watchDescriptor(socket.get(zmq::sockopt::fd));
    loop.onWake([weak = std::weak_ptr {state}] {
        const auto owner = weak.lock();
        if (!owner) {
            return false;
        }
        int receivedCount = 0;
        while (receivedCount < maxMessagesPerWake && hasInput(owner->socket)) {
            zmq::message_t body;
            if (!owner->socket.recv(body, zmq::recv_flags::dontwait)) {
                break;
            }
            ++receivedCount;
            owner->onMessage(toString(body));
        }
        return receivedCount > 0;
    });
}

message_client::~message_client() = default;

void message_client::reconnect()
{
    state->socket.disconnect(state->endpoint);
    state->socket.connect(state->endpoint);
}

bool message_client::send(const std::string &message)
{
    return state->socket.send(zmq::buffer(message), zmq::send_flags::dontwait).has_value();
}

} // namespace filbert

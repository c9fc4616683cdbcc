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
    socket.set(zmq::sockopt::handshake_ivl, handshakeTimeoutMs);
}

/** Has a client close a connection on which the server is silent, and the server one on which the
    client is. Only clients send heartbeats: the library ends the process if one of a server is due
   on a connection that failed after another one of the same client has replaced it. */
void sendHeartbeats(zmq::socket_t &client)
{
    client.set(zmq::sockopt::heartbeat_ivl, heartbeatIntervalMs);
    client.set(zmq::sockopt::heartbeat_timeout, heartbeatTimeoutMs);
    client.set(zmq::sockopt::heartbeat_ttl, heartbeatTimeoutMs);
}

/** Calls a function that receives one message until it finds none.
    @param receiveOne  returns whether there was a message */
template <typename ReceiveOne>
input_source::outcome receiveAll(ReceiveOne &&receiveOne)
{
    for (int count = 0; count < maxMessagesPerWake; ++count) {
        if (!receiveOne()) {
            return count == 0 ? input_source::outcome::Nothing : input_source::outcome::ReadAll;
        }
    }
    return input_source::outcome::SomeRemains;
}

/** Connects a socket, or logs that the address, which may come from another process, is invalid.
    Nothing can be sent then. */
void connectTo(zmq::socket_t &socket, const std::string &endpoint)
{
    try {
        socket.connect(endpoint);
    } catch (const zmq::error_t &error) {
        log_line {"peer_address_invalid", log_line::severity::Warning}
            .with("address", endpoint)
            .with("error", error.what());
    }
}

std::string toString(zmq::message_t &message)
{
    return {static_cast<const char *>(message.data()), message.size()};
}

} // namespace

bool isGeneratedPeerName(std::string_view name)
{
    return name.starts_with('\0'); // the library reserves these names for itself
}

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
    input = loop.addInput(socket.get(zmq::sockopt::fd), [this] { return receiveMessages(); });
}

input_source::outcome message_server::receiveMessages()
{
    return receiveAll([this] {
        zmq::message_t peer;
        zmq::message_t body;
        if (!socket.recv(peer, zmq::recv_flags::dontwait)) {
            return false;
        }
        if (peer.more() && socket.recv(body, zmq::recv_flags::dontwait)) {
            onMessage(toString(peer), toString(body));
        }
        return true;
    });
}

bool message_server::send(const std::string &peer, const std::string &message)
{
    input->mark(); // sending may consume the signal of a message that has arrived
    try {
        const auto name =
            socket.send(zmq::buffer(peer), zmq::send_flags::sndmore | zmq::send_flags::dontwait);
        return name && socket.send(zmq::buffer(message), zmq::send_flags::dontwait);
    } catch (const zmq::error_t &) {
        return false; // the peer is not connected
    }
}

std::string message_server::endpoint() const
{
    return socket.get(zmq::sockopt::last_endpoint);
}

/** Owned by the client. The input of the loop may outlive the client, so that it has only a weak
    reference. */
struct message_client::socket_state
{
    zmq::socket_t socket;
    std::string endpoint;
    message_handler onMessage;
    std::shared_ptr<input_source> input;
};

message_client::message_client(event_loop &loop, zmq::context_t &context, const std::string &name,
                               const std::string &endpoint, const curve_keys &keys,
                               message_handler onMessage)
    : state {std::make_shared<socket_state>(socket_state {
        zmq::socket_t {context, zmq::socket_type::dealer}, endpoint, std::move(onMessage), {}})}
{
    auto &socket = state->socket;
    setCommonOptions(socket);
    sendHeartbeats(socket);
    socket.set(zmq::sockopt::routing_id, name);
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::reconnect_ivl, reconnectIntervalMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, maxReconnectIntervalMs);
    if (!keys.secretKey.empty()) {
        socket.set(zmq::sockopt::curve_publickey, keys.publicKey);
        socket.set(zmq::sockopt::curve_secretkey, keys.secretKey);
        socket.set(zmq::sockopt::curve_serverkey, keys.serverKey);
    }
    connectTo(socket, endpoint);
    const auto receive = [weak = std::weak_ptr {state}] {
        const auto owner = weak.lock();
        if (!owner) {
            return input_source::outcome::Nothing;
        }
        return receiveAll([&owner] {
            zmq::message_t body;
            if (!owner->socket.recv(body, zmq::recv_flags::dontwait)) {
                return false;
            }
            owner->onMessage(toString(body));
            return true;
        });
    };
    state->input = loop.addInput(socket.get(zmq::sockopt::fd), receive);
}

message_client::~message_client() = default;

void message_client::reconnect()
{
    try {
        state->socket.disconnect(state->endpoint);
    } catch (const zmq::error_t &) {
        return; // the address was invalid from the beginning
    }
    connectTo(state->socket, state->endpoint);
    state->input->mark();
}

bool message_client::send(const std::string &message)
{
    state->input->mark(); // sending may consume the signal of a message that has arrived
    return state->socket.send(zmq::buffer(message), zmq::send_flags::dontwait).has_value();
}

} // namespace filbert

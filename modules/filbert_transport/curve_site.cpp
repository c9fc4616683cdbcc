#include "curve_site.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace filbert {

namespace {

constexpr std::size_t z85KeyChars = 40;
constexpr std::size_t keyBytes = 32;
constexpr std::size_t clientKeyFrame = 6; // frames of a ZAP request: version, id, domain, address,
                                          // identity, mechanism, key of the client

std::string decodeKey(const std::string &text)
{
    std::string key(keyBytes, '\0');
    return text.size() == z85KeyChars
            && zmq_z85_decode(reinterpret_cast<std::uint8_t *>(key.data()), text.c_str()) != nullptr
        ? key
        : std::string {};
}

} // namespace

curve_keys curve_site::clientKeys(const std::string &endpoint) const
{
    if (!isEncrypted()) {
        return {};
    }
    const auto found = controllers.find(endpoint);
    const auto server =
        found == controllers.end() ? generateCurveKeyPair().publicKey : found->second;
    return {publicKey, secretKey, server};
}

std::error_code readCurveSite(const std::string &path, curve_site *site)
{
    if (path.empty()) {
        return {};
    }
    std::ifstream stream {path};
    if (!stream) {
        return error_kind::NotFound;
    }
    for (std::string line; std::getline(stream, line);) {
        std::istringstream fields {line};
        std::string kind;
        std::string firstField;
        std::string lastField;
        if (!(fields >> kind) || kind[0] == '#') {
            continue;
        }
        fields >> firstField >> lastField;
        if (decodeKey(lastField).empty()) {
            return error_kind::Malformed;
        }
        if (kind == "self") {
            site->publicKey = firstField;
            site->secretKey = lastField;
        } else if (kind == "controller") {
            site->controllers["tcp://" + firstField] = lastField;
        } else if (kind == "allow") {
            site->allowed.push_back(lastField);
        } else {
            return error_kind::Malformed;
        }
    }
    return site->isEncrypted() ? std::error_code {} : error_kind::Malformed;
}

curve_key_pair generateCurveKeyPair()
{
    char publicKey[z85KeyChars + 1] = {};
    char secretKey[z85KeyChars + 1] = {};
    FILBERT_INVARIANT(zmq_curve_keypair(publicKey, secretKey) == 0, "libzmq supports CURVE");
    return {publicKey, secretKey};
}

curve_authenticator::curve_authenticator(event_loop &loop, zmq::context_t &context,
                                         const std::vector<std::string> &publicKeys)
    : socket {context, zmq::socket_type::rep}
{
    for (const auto &key : publicKeys) {
        allowedKeys.push_back(decodeKey(key));
    }
    socket.set(zmq::sockopt::linger, 0);
    socket.bind("inproc://zeromq.zap.01");
    loop.watchDescriptor(socket.get(zmq::sockopt::fd));
    loop.onWake([this] { return handleRequest(); });
}

bool curve_authenticator::handleRequest()
{
    if ((socket.get(zmq::sockopt::events) & ZMQ_POLLIN) == 0) {
        return false;
    }
    std::vector<std::string> frames;
    zmq::message_t frame;
    do {
        if (!socket.recv(frame, zmq::recv_flags::dontwait)) {
            return false;
        }
        frames.emplace_back(static_cast<const char *>(frame.data()), frame.size());
    } while (frame.more());
    const bool isAllowed = frames.size() > clientKeyFrame
        && std::find(allowedKeys.begin(), allowedKeys.end(), frames[clientKeyFrame])
            != allowedKeys.end();
    if (!isAllowed) {
        log_line {"connection_refused", log_line::severity::Warning}.with(
            "address", frames.size() > 3 ? frames[3] : std::string {});
    }
    const std::string reply[] = {"1.0",
                                 frames.size() > 1 ? frames[1] : std::string {},
                                 isAllowed ? "200" : "400",
                                 isAllowed ? "OK" : "the key is not on the allow list",
                                 "",
                                 ""};
    for (const auto &replyFrame : reply) {
        const bool isLast = &replyFrame == std::end(reply) - 1;
        socket.send(zmq::buffer(replyFrame),
                    isLast ? zmq::send_flags::none : zmq::send_flags::sndmore);
    }
    return true;
}

} // namespace filbert

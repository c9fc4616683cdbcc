#pragma once

#include "message_socket.h"

#include <map>
#include <string>
#include <vector>

namespace filbert {

/** The CURVE keys of a process and of its peers, as read from its site file.

    Each line of the file has one of these forms, with fields separated by blanks:
    @code
    self PUBLIC SECRET
    controller IP:PORT PUBLIC
    allow NAME PUBLIC
    @endcode
    'filbertctl keys site' writes one file per process. Without a file nothing is encrypted, which
    the programs allow on loopback only.
*/
struct curve_site
{
    std::string publicKey;
    std::string secretKey;
    std::map<std::string, std::string> controllers; // public key by "tcp://IP:PORT"
    std::vector<std::string> allowed; // public keys of the peers that may connect

    bool isEncrypted() const { return !secretKey.empty(); }

    /** @return the keys for listening */
    curve_keys serverKeys() const { return {publicKey, secretKey, {}}; }

    /** @param endpoint  endpoint of a controller
        @return the keys for connecting to it. For an unknown controller the server key is random
       and matches no server, so that the connection is never established unencrypted. */
    curve_keys clientKeys(const std::string &endpoint) const;
};

/** Reads a site file.

    @param path  path of the file; empty = no encryption
    @param site  receives the keys
    @return NotFound if the file cannot be opened, Malformed if its content is invalid
*/
std::error_code readCurveSite(const std::string &path, curve_site *site);

/** A CURVE key pair, in Z85. */
struct curve_key_pair
{
    std::string publicKey;
    std::string secretKey;
};

/** @return a new random key pair */
curve_key_pair generateCurveKeyPair();

/** Restricts connections to the CURVE servers of a context to clients with listed keys. It is the
    handler of the ZeroMQ Authentication Protocol (ZAP, RFC 27). */
class curve_authenticator
{
public:
    /** Must be constructed before the first server of the context.

        @param loop        the event loop; must outlive the authenticator
        @param context     the ZeroMQ context of the process
        @param publicKeys  keys of the clients that may connect, in Z85
    */
    curve_authenticator(event_loop &loop, zmq::context_t &context,
                        const std::vector<std::string> &publicKeys);
    curve_authenticator(const curve_authenticator &) = delete;
    curve_authenticator &operator=(const curve_authenticator &) = delete;

private:
    bool handleRequest();

    zmq::socket_t socket;
    std::vector<std::string> allowedKeys; // decoded, 32 bytes each
};

} // namespace filbert

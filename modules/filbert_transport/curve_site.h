#pragma once

#include "message_socket.h"

#include <map>
#include <string>
#include <vector>

namespace filbert {

/** CURVE keys of one process and of those it speaks with, as its site file says.

    Lines of the file, fields apart by blanks:
    @code
    self PUBLIC SECRET
    controller IP:PORT PUBLIC
    allow NAME PUBLIC
    @endcode
    'filbertctl keys site' writes one file for each process. Without a file nothing is encrypted,
    which the programs allow on loopback only.
*/
struct curve_site
{
    std::string publicKey;
    std::string secretKey;
    std::map<std::string, std::string> controllers; // public key by "tcp://IP:PORT"
    std::vector<std::string> allowed;

    bool isEncrypted() const { return !secretKey.empty(); }

    /** @return the keys for listening */
    curve_keys serverKeys() const { return {publicKey, secretKey, {}}; }

    /** @param endpoint of a controller @return the keys for connecting there; an unknown controller
        gets a key that fits nobody, so that the connection is never made in the clear */
    curve_keys clientKeys(const std::string &endpoint) const;
};

/** Reads a site file. @param path empty = no encryption @return Malformed or NotFound if it is
 * wrong */
std::error_code readCurveSite(const std::string &path, curve_site *site);

/** A new pair of keys. */
struct curve_key_pair
{
    std::string publicKey;
    std::string secretKey;
};

/** @return a random pair, Z85 */
curve_key_pair generateCurveKeyPair();

/** Lets only listed keys connect to the CURVE servers of a context (ZAP, RFC 27). */
class curve_authenticator
{
public:
    /** @param allowed public keys, Z85; must be made before the context's first server */
    curve_authenticator(event_loop &loop, zmq::context_t &context,
                        const std::vector<std::string> &allowed);
    curve_authenticator(const curve_authenticator &) = delete;
    curve_authenticator &operator=(const curve_authenticator &) = delete;

private:
    bool answerOne();

    zmq::socket_t socket;
    std::vector<std::string> allowed; // 32 bytes each
};

} // namespace filbert

#pragma once

#include "filbert_messages/filbert_messages.h"

#include <string>
#include <string_view>

namespace filbert {

/** A new key: the token for its holder, and the record for the configuration. */
struct generated_key
{
    std::string token; // "ID.SECRET"; shown once, since only its hash is stored
    messages::access_key storedKey;
};

/** Generates a random key. @param id names the key; must not contain a dot */
generated_key generateKey(const std::string &id);

/** Compares the hash of a secret with a stored one, in constant time. @return whether they match */
bool isSecretValid(std::string_view secret, const messages::access_key &key);

/** @param token "ID.SECRET" @return the id: what precedes the first dot */
std::string_view keyIdOf(std::string_view token);

/** @param token "ID.SECRET" @return the secret: what follows the first dot, or nothing */
std::string_view secretOf(std::string_view token);

/** @param bytes number of random bytes @return twice as many hexadecimal digits */
std::string randomHex(std::size_t bytes);

/** @return the BLAKE2b digest of the data, as 16 bytes */
std::string contentDigest(std::string_view data);

/** @return the bytes as lower-case hexadecimal digits */
std::string toHex(std::string_view bytes);

} // namespace filbert

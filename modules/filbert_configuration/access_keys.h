#pragma once

#include "filbert_messages/filbert_messages.h"

#include <string>
#include <string_view>

namespace filbert {

/** A new key: the token for its holder, and what the configuration keeps of it. */
struct made_key
{
    std::string token; // "ID.SECRET"; shown once
    messages::access_key stored;
};

/** Makes a random key. @param id a name for it, without a dot @return token and salted hash */
made_key makeKey(const std::string &id);

/** Compares in constant time. @param secret of the token @param key as stored */
bool isSecretOf(std::string_view secret, const messages::access_key &key);

/** @param token "ID.SECRET" @return the part before the dot */
std::string_view keyIdOf(std::string_view token);

/** @param token "ID.SECRET" @return the part behind the dot */
std::string_view secretOf(std::string_view token);

/** @param bytes how many @return random bytes, hexadecimal */
std::string randomHex(std::size_t bytes);

/** @param data any bytes @return 16 bytes of BLAKE2b */
std::string contentDigest(std::string_view data);

/** @param bytes any @return hexadecimal */
std::string toHex(std::string_view bytes);

} // namespace filbert

#include "access_keys.h"

#include "filbert_core/filbert_core.h"

#include <sodium.h>
#include <vector>

namespace filbert {

namespace {

constexpr std::size_t saltBytes = 16;
constexpr std::size_t secretBytes = 32;
constexpr std::size_t hashBytes = 32;
constexpr std::size_t digestBytes = 16;

const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

/** Hashes a secret. A fast salted hash, which takes microseconds, is sufficient, since secrets are
    256 random bits and cannot be guessed. */
std::string hashOf(std::string_view secret, std::string_view saltHex)
{
    std::string hash(hashBytes, '\0');
    crypto_generichash(reinterpret_cast<unsigned char *>(hash.data()), hash.size(), bytesOf(secret),
                       secret.size(), bytesOf(saltHex), saltHex.size());
    return toHex(hash);
}

} // namespace

std::string toHex(std::string_view bytes)
{
    std::string hex(bytes.size() * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), bytesOf(bytes), bytes.size());
    hex.pop_back();
    return hex;
}

std::string randomHex(std::size_t bytes)
{
    FILBERT_INVARIANT(sodium_init() >= 0, "libsodium can be initialised");
    std::string random(bytes, '\0');
    randombytes_buf(random.data(), random.size());
    return toHex(random);
}

std::string contentDigest(std::string_view data)
{
    std::string hash(digestBytes, '\0');
    crypto_generichash(reinterpret_cast<unsigned char *>(hash.data()), hash.size(), bytesOf(data),
                       data.size(), nullptr, 0);
    return hash;
}

generated_key generateKey(const std::string &id)
{
    generated_key key;
    const auto secret = randomHex(secretBytes);
    key.token = id + "." + secret;
    key.storedKey.set_id(id);
    key.storedKey.set_salt(randomHex(saltBytes));
    key.storedKey.set_hash(hashOf(secret, key.storedKey.salt()));
    return key;
}

std::string_view keyIdOf(std::string_view token)
{
    return token.substr(0, token.find('.'));
}

std::string_view secretOf(std::string_view token)
{
    const auto dot = token.find('.');
    return dot == std::string_view::npos ? std::string_view {} : token.substr(dot + 1);
}

bool isSecretValid(std::string_view secret, const messages::access_key &key)
{
    const auto hash = hashOf(secret, key.salt());
    return hash.size() == key.hash().size()
        && sodium_memcmp(hash.data(), key.hash().data(), hash.size()) == 0;
}

} // namespace filbert

#include "certificates.h"

#include "filbert_core/filbert_core.h"

#include <cstdio>
#include <filesystem>
#include <memory>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rand.h>
#include <openssl/x509v3.h>

namespace filbert {

namespace {

constexpr long secondsPerDay = 24L * 3'600;
constexpr long authorityValidityDays = 3'650;
constexpr long hostValidityDays = 397;
constexpr int serialBits = 64;
constexpr long x509Version3 = 2;

using key_ptr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using certificate_ptr = std::unique_ptr<X509, decltype(&X509_free)>;
using file_ptr = std::unique_ptr<FILE, decltype(&std::fclose)>;

/** A private key with its certificate. */
struct identity
{
    key_ptr key {nullptr, EVP_PKEY_free};
    certificate_ptr certificate {nullptr, X509_free};
};

file_ptr openFile(const std::string &path, const char *mode)
{
    return {std::fopen(path.c_str(), mode), std::fclose};
}

bool writePrivateKey(const std::string &path, EVP_PKEY *key)
{
    {
        const auto file = openFile(path, "w");
        if (!file) {
            return false;
        }
        std::error_code ignored;
        std::filesystem::permissions(
            path, std::filesystem::perms::owner_read | std::filesystem::perms::owner_write,
            ignored);
        if (PEM_write_PrivateKey(file.get(), key, nullptr, nullptr, 0, nullptr, nullptr) != 1) {
            return false;
        }
    }
    return true;
}

bool writeCertificate(const std::string &path, X509 *certificate)
{
    const auto file = openFile(path, "w");
    return file && PEM_write_X509(file.get(), certificate) == 1;
}

bool addExtension(X509 *certificate, X509 *issuer, int kind, const std::string &value)
{
    X509V3_CTX context;
    X509V3_set_ctx(&context, issuer, certificate, nullptr, nullptr, 0);
    auto *extension = X509V3_EXT_conf_nid(nullptr, &context, kind, value.c_str());
    if (extension == nullptr) {
        return false;
    }
    const bool isAdded = X509_add_ext(certificate, extension, -1) == 1;
    X509_EXTENSION_free(extension);
    return isAdded;
}

/** Creates a private key and an unsigned certificate for it. */
identity createUnsigned(const std::string &name, long days)
{
    identity created;
    created.key.reset(EVP_EC_gen("P-256"));
    created.certificate.reset(X509_new());
    auto *certificate = created.certificate.get();
    X509_set_version(certificate, x509Version3);
    BIGNUM *serial = BN_new();
    BN_rand(serial, serialBits, BN_RAND_TOP_ANY, BN_RAND_BOTTOM_ANY);
    BN_to_ASN1_INTEGER(serial, X509_get_serialNumber(certificate));
    BN_free(serial);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -secondsPerDay);
    X509_gmtime_adj(X509_getm_notAfter(certificate), days * secondsPerDay);
    X509_set_pubkey(certificate, created.key.get());
    X509_NAME_add_entry_by_txt(X509_get_subject_name(certificate), "CN", MBSTRING_UTF8,
                               reinterpret_cast<const unsigned char *>(name.c_str()), -1, -1, 0);
    return created;
}

bool signCertificate(X509 *certificate, const identity &authority)
{
    X509_set_issuer_name(certificate, X509_get_subject_name(authority.certificate.get()));
    return X509_sign(certificate, authority.key.get(), EVP_sha256()) > 0;
}

std::error_code createAuthority(const std::string &path, identity *authority)
{
    *authority = createUnsigned("filbertramp site authority", authorityValidityDays);
    auto *certificate = authority->certificate.get();
    const bool isCreated =
        addExtension(certificate, certificate, NID_basic_constraints, "critical,CA:TRUE")
        && addExtension(certificate, certificate, NID_key_usage, "critical,keyCertSign,cRLSign")
        && addExtension(certificate, certificate, NID_subject_key_identifier, "hash")
        && signCertificate(certificate, *authority);
    if (!isCreated) {
        return error_kind::Internal;
    }
    const bool isWritten = writePrivateKey(path + ".key", authority->key.get())
        && writeCertificate(path + ".pem", certificate);
    return isWritten ? std::error_code {} : error_kind::StorageFailed;
}

std::error_code readAuthority(const std::string &path, identity *authority)
{
    const auto keyFile = openFile(path + ".key", "r");
    const auto certificateFile = openFile(path + ".pem", "r");
    if (!keyFile || !certificateFile) {
        return error_kind::StorageFailed;
    }
    authority->key.reset(PEM_read_PrivateKey(keyFile.get(), nullptr, nullptr, nullptr));
    authority->certificate.reset(PEM_read_X509(certificateFile.get(), nullptr, nullptr, nullptr));
    return authority->key && authority->certificate ? std::error_code {}
                                                    : error_kind::StorageFailed;
}

std::error_code createHostCertificate(const std::string &folder, const host_certificate &host,
                                      const identity &authority)
{
    const auto created = createUnsigned(host.name, hostValidityDays);
    auto *certificate = created.certificate.get();
    auto *issuer = authority.certificate.get();
    const bool isCreated =
        addExtension(certificate, issuer, NID_subject_alt_name, "IP:" + host.address)
        && addExtension(certificate, issuer, NID_basic_constraints, "critical,CA:FALSE")
        && addExtension(certificate, issuer, NID_ext_key_usage, "serverAuth")
        && addExtension(certificate, issuer, NID_authority_key_identifier, "keyid")
        && signCertificate(certificate, authority);
    if (!isCreated) {
        return error_kind::Internal;
    }
    const auto path = folder + "/" + host.name;
    const bool isWritten = writePrivateKey(path + ".key", created.key.get())
        && writeCertificate(path + ".pem", certificate);
    return isWritten ? std::error_code {} : error_kind::StorageFailed;
}

} // namespace

std::error_code makeCertificates(const std::string &folder,
                                 const std::vector<host_certificate> &hosts)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error) {
        return error_kind::StorageFailed;
    }
    const auto path = folder + "/authority";
    identity authority;
    error = std::filesystem::exists(path + ".key") ? readAuthority(path, &authority)
                                                   : createAuthority(path, &authority);
    for (const auto &host : hosts) {
        if (!error) {
            error = createHostCertificate(folder, host, authority);
        }
    }
    return error;
}

} // namespace filbert

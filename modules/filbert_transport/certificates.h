#pragma once

#include <string>
#include <system_error>
#include <vector>

namespace filbert {

/** A host that a TLS certificate is issued to. */
struct host_certificate
{
    std::string name; // host name, also the base name of its files
    std::string address; // IP address that callers connect to
};

/** Creates a certificate authority and issues a certificate to each host, for sites that have no
    certificate authority of their own.

    Writes these PEM files: authority.pem (callers must trust it), authority.key (must not be copied
    to the hosts), and NAME.pem and NAME.key for each host. An authority that the folder already
    contains is reused, so that hosts can be added and certificates renewed.

    @param folder  target folder, created if absent
    @param hosts   the hosts to issue certificates to
    @return StorageFailed if a file cannot be read or written, Internal if OpenSSL fails
*/
std::error_code makeCertificates(const std::string &folder,
                                 const std::vector<host_certificate> &hosts);

} // namespace filbert

#pragma once

#include <string>
#include <system_error>
#include <vector>

namespace filbert {

/** One host's TLS files: certificate chain and private key, both PEM. */
struct host_certificate
{
    std::string name; // of the host; names the files
    std::string address; // IP that callers connect to
};

/** Makes an authority and a certificate for each host, for sites that have no authority of their
   own.

    Writes authority.pem (to be trusted by callers), authority.key (to be kept away from hosts), and
    NAME.pem and NAME.key for each host. An authority that is in the folder already is used again,
   so that hosts can be added and certificates renewed.

    @param folder  made if absent
    @param hosts   whom to make certificates for
    @return StorageFailed if a file cannot be read or written, Internal if the library refuses
*/
std::error_code makeCertificates(const std::string &folder,
                                 const std::vector<host_certificate> &hosts);

} // namespace filbert

#include "ctl_answers.h"
#include "filbertctl_commands.h"

#include "filbert_configuration/filbert_configuration.h"
#include "filbert_transport/filbert_transport.h"

#include <filesystem>
#include <fstream>
#include <iostream>

namespace filbert {

namespace {

/** Writes one site file for each process. A process with an address is a controller; any other is a
    client of the controllers, such as a gateway.
*/
int writeSiteFiles(const argument_list &arguments)
{
    struct site_process
    {
        std::string name;
        std::string address;
        curve_key_pair keys;
    };
    std::vector<site_process> processes;
    for (std::size_t i = 2; i < arguments.size(); ++i) {
        const auto separator = arguments[i].find('=');
        const auto address =
            separator == std::string::npos ? std::string {} : arguments[i].substr(separator + 1);
        if (separator != std::string::npos && !isEndpoint(address)) {
            std::cerr << "expected CONTROLLER=IP:PORT or GATEWAY, got " << arguments[i] << "\n";
            return exitUsage;
        }
        processes.push_back({arguments[i].substr(0, separator), address, generateCurveKeyPair()});
    }
    std::filesystem::create_directories(arguments[1]);
    for (const auto &self : processes) {
        const auto path = arguments[1] + "/" + self.name + ".site";
        std::ofstream file {path};
        std::filesystem::permissions(
            path, std::filesystem::perms::owner_read | std::filesystem::perms::owner_write);
        file << "self " << self.keys.publicKey << " " << self.keys.secretKey << "\n";
        for (const auto &other : processes) {
            if (!other.address.empty()) {
                file << "controller " << other.address << " " << other.keys.publicKey << "\n";
            }
            if (!self.address.empty()) {
                file << "allow " << other.name << " " << other.keys.publicKey << "\n";
            }
        }
        if (!file.flush()) {
            std::cerr << "cannot write " << path << "\n";
            return exitUsage;
        }
        std::cout << path << "\n";
    }
    return exitSuccess;
}

/** Writes a certificate and a private key for each host, and those of the site's own authority that
    signs them.
*/
int writeTlsFiles(const argument_list &arguments)
{
    std::vector<host_certificate> hosts;
    for (std::size_t i = 2; i < arguments.size(); ++i) {
        const auto separator = arguments[i].find('=');
        if (separator == std::string::npos
            || !isEndpoint(arguments[i].substr(separator + 1) + ":1")) {
            std::cerr << "expected HOST=IP, got " << arguments[i] << "\n";
            return exitUsage;
        }
        hosts.push_back({arguments[i].substr(0, separator), arguments[i].substr(separator + 1)});
    }
    if (const auto error = makeCertificates(arguments[1], hosts)) {
        std::cerr << "cannot create the TLS files in " << arguments[1] << ": " << error.message()
                  << "\n";
        return exitRefused;
    }
    std::cout << arguments[1] << "/authority.pem\n";
    for (const auto &host : hosts) {
        std::cout << arguments[1] << "/" << host.name << ".pem\n";
    }
    return exitSuccess;
}

} // namespace

int makeKeys(const argument_list &arguments)
{
    if (arguments.size() > 2 && arguments[0] == "site") {
        return writeSiteFiles(arguments);
    }
    if (arguments.size() > 2 && arguments[0] == "tls") {
        return writeTlsFiles(arguments);
    }
    if (arguments.size() != 2 || arguments[0] != "make") {
        std::cerr << "expected: keys make ID | keys site FOLDER CONTROLLER=IP:PORT... GATEWAY..."
                     " | keys tls FOLDER HOST=IP...\n";
        return exitUsage;
    }
    const auto key = generateKey(arguments[1]);
    if (isJson()) {
        std::cout << R"({"token":")" << key.token << R"(","stored":)" << writeJson(key.storedKey)
                  << "}\n";
        return exitSuccess;
    }
    std::cout << "token: " << key.token << "\n"
              << "stored: {id: " << key.storedKey.id() << ", salt: " << key.storedKey.salt()
              << ", hash: " << key.storedKey.hash() << "}\n"
              << "bootstrap: " << key.storedKey.id() << ":" << key.storedKey.salt() << ":"
              << key.storedKey.hash() << "\n";
    return exitSuccess;
}

} // namespace filbert

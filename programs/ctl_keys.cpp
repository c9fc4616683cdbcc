#include "ctl_answers.h"
#include "filbertctl_commands.h"

#include "filbert_configuration/filbert_configuration.h"
#include "filbert_transport/filbert_transport.h"

#include <filesystem>
#include <fstream>
#include <iostream>

namespace filbert {

namespace {

/** Writes one site file for each process; who has an address is a controller. */
int makeSite(const words &arguments)
{
    struct site_member
    {
        std::string name;
        std::string address;
        curve_key_pair keys;
    };
    std::vector<site_member> members;
    for (std::size_t i = 2; i < arguments.size(); ++i) {
        const auto equals = arguments[i].find('=');
        const auto address =
            equals == std::string::npos ? std::string {} : arguments[i].substr(equals + 1);
        if (equals != std::string::npos && !isEndpoint(address)) {
            std::cerr << "expected CONTROLLER=IP:PORT or GATEWAY, found " << arguments[i] << "\n";
            return exitUsage;
        }
        members.push_back({arguments[i].substr(0, equals), address, generateCurveKeyPair()});
    }
    std::filesystem::create_directories(arguments[1]);
    for (const auto &self : members) {
        const auto path = arguments[1] + "/" + self.name + ".site";
        std::ofstream file {path};
        std::filesystem::permissions(
            path, std::filesystem::perms::owner_read | std::filesystem::perms::owner_write);
        file << "self " << self.keys.publicKey << " " << self.keys.secretKey << "\n";
        for (const auto &other : members) {
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
    return exitDone;
}

/** Writes TLS files for hosts, with an authority of the site's own. */
int makeTlsFiles(const words &arguments)
{
    std::vector<host_certificate> hosts;
    for (std::size_t i = 2; i < arguments.size(); ++i) {
        const auto equals = arguments[i].find('=');
        if (equals == std::string::npos || !isEndpoint(arguments[i].substr(equals + 1) + ":1")) {
            std::cerr << "expected HOST=IP, found " << arguments[i] << "\n";
            return exitUsage;
        }
        hosts.push_back({arguments[i].substr(0, equals), arguments[i].substr(equals + 1)});
    }
    if (const auto error = makeCertificates(arguments[1], hosts)) {
        std::cerr << "cannot make the files in " << arguments[1] << ": " << error.message() << "\n";
        return exitRefused;
    }
    std::cout << arguments[1] << "/authority.pem\n";
    for (const auto &host : hosts) {
        std::cout << arguments[1] << "/" << host.name << ".pem\n";
    }
    return exitDone;
}

} // namespace

int makeKeys(const words &arguments)
{
    if (arguments.size() > 2 && arguments[0] == "site") {
        return makeSite(arguments);
    }
    if (arguments.size() > 2 && arguments[0] == "tls") {
        return makeTlsFiles(arguments);
    }
    if (arguments.size() != 2 || arguments[0] != "make") {
        std::cerr << "expected: keys make ID | keys site FOLDER CONTROLLER=IP:PORT... GATEWAY..."
                     " | keys tls FOLDER HOST=IP...\n";
        return exitUsage;
    }
    const auto made = generateKey(arguments[1]);
    if (isJson()) {
        std::cout << R"({"token":")" << made.token << R"(","stored":)" << writeJson(made.storedKey)
                  << "}\n";
        return exitDone;
    }
    std::cout << "token: " << made.token << "\n"
              << "stored: {id: " << made.storedKey.id() << ", salt: " << made.storedKey.salt()
              << ", hash: " << made.storedKey.hash() << "}\n"
              << "bootstrap: " << made.storedKey.id() << ":" << made.storedKey.salt() << ":"
              << made.storedKey.hash() << "\n";
    return exitDone;
}

} // namespace filbert

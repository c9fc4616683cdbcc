#include "settings.h"

#include "log_line.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <gflags/gflags.h>
#include <sstream>
#include <utility>

namespace filbert {

namespace {

constexpr unsigned maxPort = 65'535;

std::string variableName(const std::string &flag)
{
    std::string name = "FILBERT_" + flag;
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
    return name;
}

} // namespace

std::vector<std::string> readSettings(int *argc, char ***argv, const std::string &usage)
{
    gflags::SetUsageMessage(usage);
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    std::vector<std::string> problems;
    for (const auto &flag : flags) {
        const char *value = std::getenv(variableName(flag.name).c_str());
        if (value != nullptr && gflags::SetCommandLineOption(flag.name.c_str(), value).empty()) {
            problems.push_back(variableName(flag.name) + ": expected a " + flag.type);
        }
    }
    gflags::ParseCommandLineFlags(argc, argv, true);
    return problems;
}

settings_check::settings_check(std::vector<std::string> problems)
    : problems {std::move(problems)}
{
}

void settings_check::require(bool holds, const std::string &problem)
{
    if (!holds) {
        problems.push_back(problem);
    }
}

void settings_check::requireEndpoint(const std::string &flag, const std::string &value)
{
    require(isEndpoint(value), "--" + flag + ": expected IP:port, found '" + value + "'");
}

bool settings_check::isValid() const
{
    for (const auto &problem : problems) {
        log_line {"setting_wrong", log_line::severity::Error}.with("problem", problem);
    }
    return problems.empty();
}

endpoint_parts splitEndpoint(const std::string &endpoint)
{
    const auto colon = endpoint.rfind(':');
    endpoint_parts parts {endpoint.substr(0, colon)};
    if (colon != std::string::npos) {
        unsigned port = 0;
        std::from_chars(endpoint.data() + colon + 1, endpoint.data() + endpoint.size(), port);
        // A socket would use the lower 16 bits of a larger number.
        parts.port = port <= maxPort ? static_cast<int>(port) : 0;
    }
    return parts;
}

bool isEndpoint(const std::string &value)
{
    const auto colon = value.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    in_addr address {};
    if (inet_pton(AF_INET, value.substr(0, colon).c_str(), &address) != 1) {
        return false;
    }
    unsigned port = 0;
    const char *end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data() + colon + 1, end, port);
    return parsed.ec == std::errc {} && parsed.ptr == end && port > 0 && port <= maxPort;
}

std::vector<std::string> splitList(const std::string &value)
{
    std::vector<std::string> parts;
    std::istringstream stream {value};
    for (std::string part; std::getline(stream, part, ',');) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

void logSettings(const std::vector<std::string> &names)
{
    log_line line {"settings"};
    for (const auto &name : names) {
        std::string value;
        if (gflags::GetCommandLineOption(name.c_str(), &value)) {
            line.with(name, value);
        }
    }
}

} // namespace filbert

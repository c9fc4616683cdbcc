#include "configuration_history.h"

#include <map>

namespace filbert {

namespace {

/** The register that a cell's configuration is, as a caller can know it. */
struct configuration_register
{
    std::int64_t version = 0;
    std::map<std::string, std::int64_t> versionOfRequest;
};

bool takeChange(configuration_register &state, const configuration_call &call, bool hasReturned)
{
    const auto earlier = state.versionOfRequest.find(call.requestId);
    if (earlier != state.versionOfRequest.end()) {
        return !hasReturned
            || (call.result == change_result::Accepted && call.version == earlier->second);
    }
    if (call.base != state.version) {
        return !hasReturned || call.result == change_result::Conflict;
    }
    if (hasReturned && call.result != change_result::Accepted) {
        return false;
    }
    ++state.version;
    state.versionOfRequest[call.requestId] = state.version;
    return !hasReturned || call.version == state.version;
}

std::string nameOf(const configuration_register &state)
{
    std::string name = std::to_string(state.version);
    for (const auto &[request, version] : state.versionOfRequest) {
        name += " " + request + "=" + std::to_string(version);
    }
    return name;
}

} // namespace

bool isConfigurationHistoryRight(const std::vector<history_operation<configuration_call>> &history)
{
    linearizability_search<configuration_register, configuration_call, decltype(&takeChange),
                           decltype(&nameOf)>
        search {history, takeChange, nameOf};
    return search.run({});
}

} // namespace filbert

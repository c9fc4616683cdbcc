#include "configuration_history.h"

#include <map>

namespace filbert {

namespace {

/** Sequential model of a cell's configuration: a register that changes by compare-and-set on its
    version.
*/
struct configuration_model
{
    std::int64_t version = 0;
    std::map<std::string, std::int64_t> versionOfRequest;
};

/** Applies a change to the model. @return whether the model allows the result that was observed */
bool applyChange(configuration_model &state, const configuration_call &call, bool hasReturned)
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

std::string encodeState(const configuration_model &state)
{
    std::string text = std::to_string(state.version);
    for (const auto &[request, version] : state.versionOfRequest) {
        text += " " + request + "=" + std::to_string(version);
    }
    return text;
}

} // namespace

bool isConfigurationHistoryLinearizable(
    const std::vector<history_operation<configuration_call>> &history)
{
    linearizability_search<configuration_model, configuration_call, decltype(&applyChange),
                           decltype(&encodeState)>
        search {history, applyChange, encodeState};
    return search.run({});
}

} // namespace filbert

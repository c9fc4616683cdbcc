#include "team_succession.h"

#include <algorithm>
#include <set>
#include <utility>

namespace filbert {

namespace {

using team_by_key = std::map<std::string_view, std::string_view>;

team_by_key teamsByKey(const messages::work_configuration &configuration)
{
    team_by_key teams;
    for (const auto &team : configuration.teams()) {
        for (const auto &key : team.keys()) {
            teams.emplace(key, team.name());
        }
    }
    return teams;
}

/** @return the names of the teams that hold keys of a team in another configuration */
std::set<std::string_view> holdersOfKeys(const messages::work_team &team, const team_by_key &teams)
{
    std::set<std::string_view> holders;
    for (const auto &key : team.keys()) {
        if (const auto holder = teams.find(key); holder != teams.end()) {
            holders.insert(holder->second);
        }
    }
    return holders;
}

} // namespace

std::map<std::string, std::string> findSuccessors(const messages::work_configuration &previous,
                                                  const messages::work_configuration &next)
{
    const auto previousTeams = teamsByKey(previous);
    const auto nextTeams = teamsByKey(next);
    std::map<std::string, std::string> successors;
    for (const auto &team : previous.teams()) {
        const auto holders = holdersOfKeys(team, nextTeams);
        if (holders.contains(team.name())) {
            continue;
        }
        const std::set<std::string_view> onlyThisTeam {team.name()};
        const auto *heir =
            holders.size() == 1 ? findTeam(next, std::string {*holders.begin()}) : nullptr;
        if (heir != nullptr && holdersOfKeys(*heir, previousTeams) == onlyThisTeam) {
            successors[team.name()] = heir->name();
            continue;
        }
        const auto *namesake = findTeam(next, team.name());
        if (namesake != nullptr && !holdersOfKeys(*namesake, previousTeams).empty()) {
            successors[team.name()].clear();
        }
    }
    for (const auto &team : next.teams()) {
        // A team that left earlier may have had the name, and may still have jobs under it.
        if (findTeam(previous, team.name()) == nullptr
            && !holdersOfKeys(team, previousTeams).empty()) {
            successors[team.name()].clear();
        }
    }
    return successors;
}

void moveJobsToSuccessors(work_state &state, const std::map<std::string, std::string> &successors)
{
    if (successors.empty()) {
        return;
    }
    for (auto &[id, job] : state.jobs) {
        if (const auto found = successors.find(job.job.team()); found != successors.end()) {
            job.job.set_team(found->second);
        }
    }
    // All at once, since two teams may exchange their names.
    std::map<std::string, resource_amounts> usage;
    for (const auto &[team, used] : state.teamUsage) {
        const auto found = successors.find(team);
        usage[found == successors.end() ? team : found->second] += used;
    }
    state.teamUsage = std::move(usage);
}

} // namespace filbert

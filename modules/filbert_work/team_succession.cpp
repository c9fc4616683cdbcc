#include "team_succession.h"

#include "queue_lookup.h"

#include <algorithm>
#include <unordered_map>
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

/** @return by the name of each team of another configuration that holds keys of a team: how many */
std::map<std::string_view, int> holdersOfKeys(const messages::work_team &team,
                                              const team_by_key &teams)
{
    std::map<std::string_view, int> holders;
    for (const auto &key : team.keys()) {
        if (const auto holder = teams.find(key); holder != teams.end()) {
            ++holders[holder->second];
        }
    }
    return holders;
}

/** @return the name of the team that gets the jobs of one that does not go on; empty if none does
 */
std::string heirOf(const std::map<std::string_view, int> &holders,
                   const messages::work_configuration &next)
{
    std::string heir;
    int most = 0;
    for (const auto &team : next.teams()) { // the first of those that hold equally many
        const auto held = holders.find(team.name());
        if (held != holders.end() && held->second > most) {
            heir = team.name();
            most = held->second;
        }
    }
    return heir;
}

using team_by_fingerprint = std::unordered_map<std::uint64_t, std::string_view>;

team_by_fingerprint teamsByFingerprint(const messages::work_configuration &configuration)
{
    team_by_fingerprint teams;
    for (const auto &team : configuration.teams()) {
        for (const auto &key : team.keys()) {
            teams.emplace(keyFingerprint(key), team.name());
        }
    }
    return teams;
}

/** @return the name of the team that owns a job under the next configuration; empty if none does */
std::string ownerOf(const messages::staged_job &job, const team_by_fingerprint &holders,
                    const std::map<std::string, std::string> &successors)
{
    if (job.team_keys_size() > 0) {
        if (const auto holder = holders.find(job.team_keys(0)); holder != holders.end()) {
            return std::string {holder->second};
        }
    }
    const auto successor = successors.find(job.team());
    const auto &heir = successor == successors.end() ? job.team() : successor->second;
    if (!heir.empty()) {
        return heir;
    }
    for (const auto key : job.team_keys()) { // its team has left
        if (const auto holder = holders.find(key); holder != holders.end()) {
            return std::string {holder->second};
        }
    }
    return {};
}

/** @return what the running tasks of a job use */
resource_amounts usageOf(const work_job &job)
{
    resource_amounts usage;
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
            const auto demand = taskDemand(stepSpecOf(job, s));
            for (std::uint32_t i = 0; i < occurrence.steps[s].runningTasks; ++i) {
                usage += demand;
            }
        }
    }
    return usage;
}

/** @return whether two configurations have the same teams with the same keys */
bool haveSameTeams(const messages::work_configuration &a, const messages::work_configuration &b)
{
    return teamsByKey(a) == teamsByKey(b)
        && std::equal(a.teams().begin(), a.teams().end(), b.teams().begin(), b.teams().end(),
                      [](const auto &x, const auto &y) { return x.name() == y.name(); });
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
        const auto *namesake = findTeam(next, team.name());
        const bool hasNewKeysOnly = holders.empty() && namesake != nullptr
            && holdersOfKeys(*namesake, previousTeams).empty();
        if (!holders.contains(team.name()) && !hasNewKeysOnly) {
            successors[team.name()] = heirOf(holders, next);
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

void moveJobsToOwners(work_state &state, const messages::work_configuration &next)
{
    if (haveSameTeams(state.configuration, next)) {
        return;
    }
    const auto successors = findSuccessors(state.configuration, next);
    const auto holders = teamsByFingerprint(next);
    bool isAnyMoved = false;
    for (auto &[id, job] : state.jobs) {
        const auto owner = ownerOf(job.job, holders, successors);
        if (owner == job.job.team()) {
            continue;
        }
        const auto usage = usageOf(job);
        state.teamUsage[job.job.team()] -= usage;
        state.teamUsage[owner] += usage;
        job.job.set_team(owner);
        isAnyMoved = true;
    }
    std::erase_if(state.teamUsage,
                  [](const auto &each) { return each.second == resource_amounts {}; });
    state.ownerChanges += isAnyMoved ? 1 : 0;
}

std::vector<std::uint64_t> teamKeysOf(const messages::work_team &team, std::uint64_t callersKey)
{
    std::vector<std::uint64_t> keys {callersKey};
    for (const auto &key : team.keys()) {
        if (keys.size() == maxTeamKeys) {
            break;
        }
        if (const auto fingerprint = keyFingerprint(key); fingerprint != callersKey) {
            keys.push_back(fingerprint);
        }
    }
    return keys;
}

std::optional<std::string> ownerOnAcceptance(const messages::work_configuration &configuration,
                                             const messages::staged_job &job)
{
    if (job.team_keys().empty()) { // without a key, or of an earlier version
        return job.team();
    }
    const auto hasKey = [&](const messages::work_team &team) {
        return std::any_of(team.keys().begin(), team.keys().end(), [&](const auto &key) {
            return keyFingerprint(key) == job.team_keys(0);
        });
    };
    const auto *team = findTeam(configuration, job.team());
    if (team != nullptr && hasKey(*team)) {
        return job.team(); // as a rule; the search through all teams is dear
    }
    const auto &teams = configuration.teams();
    const auto holder = std::find_if(teams.begin(), teams.end(), hasKey);
    return holder == teams.end() ? std::nullopt : std::optional {holder->name()};
}

} // namespace filbert

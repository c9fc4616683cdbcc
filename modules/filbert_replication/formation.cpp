#include "formation.h"

#include <algorithm>

namespace filbert {

namespace {

int countVoters(const messages::membership &members)
{
    return static_cast<int>(std::count_if(members.members().begin(), members.members().end(),
                                          [](const auto &each) { return !each.learner(); }));
}

bool isAsking(const join_candidate &candidate, const formation_settings &settings, time_point now)
{
    return now - candidate.askedAt < settings.joinSpan;
}

/** Whether another process uses a member's address, which means that the member lost its disk. */
bool isReplaced(const formation_view &view, const messages::member &member,
                const formation_settings &settings, time_point now)
{
    const auto isSuccessor = [&](const messages::member &other) {
        return other.address() == member.address() && other.identity() != member.identity();
    };
    const auto &members = view.members->members();
    const auto heardSince = [&](const std::string &identity) {
        const auto found = view.heardAt.find(identity);
        return found == view.heardAt.end() ? time_point {} : found->second;
    };
    return std::any_of(members.begin(), members.end(),
                       [&](const auto &other) {
                           return isSuccessor(other)
                               && heardSince(other.identity()) > heardSince(member.identity());
                       })
        || std::any_of(view.candidates.begin(), view.candidates.end(), [&](const auto &each) {
               return isSuccessor(each.self) && isAsking(each, settings, now);
           });
}

bool isSilent(const formation_view &view, const std::string &identity,
              const formation_settings &settings, time_point now)
{
    const auto found = view.heardAt.find(identity);
    const auto since =
        std::max(view.leadingSince, found == view.heardAt.end() ? time_point {} : found->second);
    return now - since >= settings.silentSpan;
}

} // namespace

int wantedVoters(const formation_settings &settings)
{
    return 2 * settings.faultTolerance + 1;
}

std::optional<formation_step> nextFormationStep(const formation_view &view,
                                                const formation_settings &settings, time_point now)
{
    const auto &members = view.members->members();
    for (const auto &member : members) {
        if (member.learner() && member.identity() != view.self
            && isSilent(view, member.identity(), settings, now)) {
            return formation_step {false, member, "the learner is silent"};
        }
    }
    for (const auto &candidate : view.candidates) {
        const bool isKnown = findMember(*view.members, candidate.self.identity()) != nullptr;
        if (!isKnown && isAsking(candidate, settings, now)) {
            return formation_step {true, candidate.self, "the process requested to join"};
        }
    }
    if (countVoters(*view.members) <= wantedVoters(settings)) {
        return std::nullopt;
    }
    for (const auto &member : members) {
        if (member.identity() == view.self || member.learner()) {
            continue;
        }
        if (isReplaced(view, member, settings, now)) {
            return formation_step {false, member, "another process uses the address of the member"};
        }
    }
    for (const auto &member : members) {
        if (member.identity() != view.self && !member.learner()
            && isSilent(view, member.identity(), settings, now)) {
            return formation_step {false, member,
                                   "the member is silent and there are enough other voters"};
        }
    }
    return std::nullopt;
}

bool isFounder(const std::vector<std::string> &seeds, const std::string &own)
{
    return !seeds.empty() && *std::min_element(seeds.begin(), seeds.end()) == own;
}

} // namespace filbert

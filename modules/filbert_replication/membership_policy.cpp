#include "membership_policy.h"

#include <algorithm>

namespace filbert {

namespace {

int countVoters(const messages::membership &membership)
{
    return static_cast<int>(std::count_if(membership.members().begin(), membership.members().end(),
                                          [](const auto &each) { return !each.learner(); }));
}

bool isRequestCurrent(const pending_join &pendingJoin, const membership_settings &settings,
                      time_point now)
{
    return now - pendingJoin.lastRequestAt < settings.joinRequestTimeout;
}

/** Whether another process uses a member's address, which means that the member lost its disk. */
bool isReplaced(const membership_view &view, const messages::member &member,
                const membership_settings &settings, time_point now)
{
    const auto isSuccessor = [&](const messages::member &other) {
        return other.address() == member.address() && other.identity() != member.identity();
    };
    const auto &members = view.membership->members();
    const auto lastContactOf = [&](const std::string &identity) {
        const auto found = view.lastContactAt.find(identity);
        return found == view.lastContactAt.end() ? time_point {} : found->second;
    };
    return std::any_of(members.begin(), members.end(),
                       [&](const auto &other) {
                           return isSuccessor(other)
                               && lastContactOf(other.identity())
                               > lastContactOf(member.identity());
                       })
        || std::any_of(view.pendingJoins.begin(), view.pendingJoins.end(), [&](const auto &each) {
               return isSuccessor(each.member) && isRequestCurrent(each, settings, now);
           });
}

bool isSilent(const membership_view &view, const std::string &identity,
              const membership_settings &settings, time_point now)
{
    const auto found = view.lastContactAt.find(identity);
    const auto silentSince = std::max(
        view.leadingSince, found == view.lastContactAt.end() ? time_point {} : found->second);
    return now - silentSince >= settings.silenceTimeout;
}

} // namespace

int desiredVoterCount(const membership_settings &settings)
{
    return 2 * settings.faultTolerance + 1;
}

std::optional<membership_change> nextMembershipChange(const membership_view &view,
                                                      const membership_settings &settings,
                                                      time_point now)
{
    const auto &members = view.membership->members();
    for (const auto &member : members) {
        if (member.learner() && member.identity() != view.self
            && isSilent(view, member.identity(), settings, now)) {
            return membership_change {false, member, "the learner is silent"};
        }
    }
    for (const auto &pendingJoin : view.pendingJoins) {
        const bool isKnown = findMember(*view.membership, pendingJoin.member.identity()) != nullptr;
        if (!isKnown && isRequestCurrent(pendingJoin, settings, now)) {
            return membership_change {true, pendingJoin.member, "the process requested to join"};
        }
    }
    if (countVoters(*view.membership) <= desiredVoterCount(settings)) {
        return std::nullopt;
    }
    for (const auto &member : members) {
        if (member.identity() == view.self || member.learner()) {
            continue;
        }
        if (isReplaced(view, member, settings, now)) {
            return membership_change {false, member,
                                      "another process uses the address of the member"};
        }
    }
    for (const auto &member : members) {
        if (member.identity() != view.self && !member.learner()
            && isSilent(view, member.identity(), settings, now)) {
            return membership_change {false, member,
                                      "the member is silent and there are enough other voters"};
        }
    }
    return std::nullopt;
}

bool isBootstrapMember(const std::vector<std::string> &seeds, const std::string &own)
{
    return !seeds.empty() && *std::min_element(seeds.begin(), seeds.end()) == own;
}

} // namespace filbert

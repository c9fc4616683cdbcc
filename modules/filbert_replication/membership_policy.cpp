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

std::string domainOf(const membership_view &view, const std::string &identity)
{
    const auto found = view.failureDomains.find(identity);
    return found == view.failureDomains.end() ? std::string {} : found->second;
}

/** Whether a member works as far as the leader knows. */
bool isLive(const membership_view &view, const messages::member &member,
            const membership_settings &settings, time_point now)
{
    return member.identity() == view.self
        || (!isSilent(view, member.identity(), settings, now)
            && !isReplaced(view, member, settings, now));
}

/** @return the domains of the voters that work */
std::vector<std::string> liveVoterDomains(const membership_view &view,
                                          const membership_settings &settings, time_point now)
{
    std::vector<std::string> domains;
    for (const auto &member : view.membership->members()) {
        if (!member.learner() && isLive(view, member, settings, now)) {
            domains.push_back(domainOf(view, member.identity()));
        }
    }
    return domains;
}

/** @return how many of these domains are the given one; 0 if it is unknown */
std::ptrdiff_t countIn(const std::vector<std::string> &domains, const std::string &domain)
{
    return domain.empty() ? 0 : std::count(domains.begin(), domains.end(), domain);
}

/** @return the domains of all members that work, learners too */
std::vector<std::string> liveMemberDomains(const membership_view &view,
                                           const membership_settings &settings, time_point now)
{
    std::vector<std::string> domains;
    for (const auto &member : view.membership->members()) {
        if (isLive(view, member, settings, now)) {
            domains.push_back(domainOf(view, member.identity()));
        }
    }
    return domains;
}

/** @return the process to add, or nullptr if none requests to join */
const messages::member *nextToJoin(const membership_view &view, const membership_settings &settings,
                                   time_point now)
{
    const auto domains = liveMemberDomains(view, settings, now);
    const messages::member *best = nullptr;
    std::ptrdiff_t bestCount = 0;
    for (const auto &pendingJoin : view.pendingJoins) {
        const auto &member = pendingJoin.member;
        if (findMember(*view.membership, member.identity()) != nullptr
            || !isRequestCurrent(pendingJoin, settings, now)) {
            continue;
        }
        const auto count = countIn(domains, domainOf(view, member.identity()));
        if (best == nullptr || count < bestCount) {
            best = &member;
            bestCount = count;
        }
    }
    return best;
}

/** @return the voter other than the leader, among those for which a condition holds, whose domain
    has the most voters; nullptr if it holds for none */
template <typename Condition>
const messages::member *mostCrowdedVoter(const membership_view &view, Condition &&condition)
{
    std::vector<std::string> domains;
    for (const auto &member : view.membership->members()) {
        if (!member.learner()) {
            domains.push_back(domainOf(view, member.identity()));
        }
    }
    const messages::member *best = nullptr;
    std::ptrdiff_t bestCount = 0;
    for (const auto &member : view.membership->members()) {
        if (member.identity() == view.self || member.learner() || !condition(member)) {
            continue;
        }
        const auto count = countIn(domains, domainOf(view, member.identity()));
        if (best == nullptr || count > bestCount) {
            best = &member;
            bestCount = count;
        }
    }
    return best;
}

/** @return a voter without which the others survive the loss of any domain, which they do not with
    it; nullptr if there is none, or if a learner may still become a voter and change that */
const messages::member *crowdingVoter(const membership_view &view,
                                      const membership_settings &settings, time_point now)
{
    auto domains = liveVoterDomains(view, settings, now);
    if (survivesDomainLoss(domains) || !promotionOrder(view, settings, now).empty()) {
        return nullptr;
    }
    const auto *voter = mostCrowdedVoter(
        view, [&](const messages::member &member) { return isLive(view, member, settings, now); });
    const auto found = voter == nullptr
        ? domains.end()
        : std::find(domains.begin(), domains.end(), domainOf(view, voter->identity()));
    if (found == domains.end()) {
        return nullptr;
    }
    domains.erase(found);
    return survivesDomainLoss(domains) ? voter : nullptr;
}

/** @return whether the voters survive the loss of a domain together with these learners */
bool survivesWith(const membership_view &view, std::vector<std::string> voterDomains,
                  const std::vector<std::string> &learners)
{
    for (const auto &identity : learners) {
        voterDomains.push_back(domainOf(view, identity));
    }
    return survivesDomainLoss(voterDomains);
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
    if (const auto *joining = nextToJoin(view, settings, now)) {
        return membership_change {true, *joining, "the process requested to join"};
    }
    if (countVoters(*view.membership) <= desiredVoterCount(settings)) {
        return std::nullopt;
    }
    const auto *replaced = mostCrowdedVoter(view, [&](const messages::member &member) {
        return isReplaced(view, member, settings, now);
    });
    if (replaced != nullptr) {
        return membership_change {false, *replaced,
                                  "another process uses the address of the member"};
    }
    const auto *silent = mostCrowdedVoter(view, [&](const messages::member &member) {
        return isSilent(view, member.identity(), settings, now);
    });
    if (silent != nullptr) {
        return membership_change {false, *silent,
                                  "the member is silent and there are enough other voters"};
    }
    if (const auto *crowding = crowdingVoter(view, settings, now)) {
        return membership_change {false, *crowding,
                                  "its failure domain has so many voters that its loss would stop "
                                  "the log"};
    }
    return std::nullopt;
}

bool survivesDomainLoss(const std::vector<std::string> &domains)
{
    const auto voters = static_cast<std::ptrdiff_t>(domains.size());
    const auto majority = voters / 2 + 1;
    return voters > 1 && std::all_of(domains.begin(), domains.end(), [&](const auto &domain) {
               return voters - std::max<std::ptrdiff_t>(countIn(domains, domain), 1) >= majority;
           });
}

std::vector<std::string> promotionOrder(const membership_view &view,
                                        const membership_settings &settings, time_point now)
{
    const auto voterDomains = liveVoterDomains(view, settings, now);
    std::vector<std::string> learners;
    for (const auto &member : view.membership->members()) {
        if (member.learner()) {
            learners.push_back(member.identity());
        }
    }
    std::stable_sort(learners.begin(), learners.end(), [&](const auto &a, const auto &b) {
        return countIn(voterDomains, domainOf(view, a)) < countIn(voterDomains, domainOf(view, b));
    });
    const bool hasEnoughVoters =
        static_cast<int>(voterDomains.size()) >= desiredVoterCount(settings);
    if (!hasEnoughVoters || !survivesDomainLoss(voterDomains)) {
        return learners;
    }
    while (!learners.empty() && !survivesWith(view, voterDomains, learners)) {
        learners.pop_back(); // from the domain with the most voters
    }
    return learners;
}

bool isBootstrapMember(const std::vector<std::string> &seeds, const std::string &own)
{
    return !seeds.empty() && *std::min_element(seeds.begin(), seeds.end()) == own;
}

} // namespace filbert

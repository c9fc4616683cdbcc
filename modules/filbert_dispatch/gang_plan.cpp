#include "gang_plan.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace filbert {

namespace {

bool coversNeed(const resource_amounts &free, const resource_amounts &need)
{
    return need.milliCores <= free.milliCores && need.memoryMb <= free.memoryMb
        && need.accelerators <= free.accelerators;
}

/** @return when a first, second and so on member fits on a host, up to a number */
std::vector<time_point> memberTimes(gang_host host, const resource_amounts &need,
                                    std::size_t members, time_point now)
{
    std::sort(host.releases.begin(), host.releases.end(),
              [](const auto &a, const auto &b) { return a.at < b.at; });
    const auto maxMembers =
        std::min(members, static_cast<std::size_t>(std::max<std::int64_t>(host.maxMembers, 0)));
    std::vector<time_point> times;
    auto free = host.free;
    auto at = now;
    auto release = host.releases.begin();
    while (times.size() < maxMembers) {
        if (coversNeed(free, need)) {
            times.push_back(at);
            free -= need;
        } else if (release != host.releases.end()) {
            at = std::max(at, release->at);
            free += release->amounts;
            ++release;
        } else {
            break;
        }
    }
    return times;
}

} // namespace

std::optional<time_point> timeForMembers(const gang_host &host, const resource_amounts &need,
                                         std::size_t members, time_point now)
{
    const auto times = memberTimes(host, need, members, now);
    return times.size() == members && members > 0 ? std::optional {times.back()} : std::nullopt;
}

resource_amounts expectedFree(const gang_host &host, time_point at)
{
    auto free = host.free;
    for (const auto &release : host.releases) {
        if (release.at <= at) {
            free += release.amounts;
        }
    }
    return free;
}

std::int64_t occupiedCores(const gang_host &host, const resource_amounts &need)
{
    const auto &capacity = host.capacity;
    const auto byAccelerators = capacity.accelerators > 0
        ? capacity.milliCores * need.accelerators / capacity.accelerators
        : 0;
    return std::max(need.milliCores, byAccelerators);
}

std::optional<gang_plan> planGang(const std::vector<gang_host> &hosts, const resource_amounts &need,
                                  std::size_t members, time_point now)
{
    std::vector<std::tuple<time_point, std::size_t, std::int64_t>> places;
    for (const auto &host : hosts) {
        for (const auto at : memberTimes(host, need, members, now)) {
            places.emplace_back(at, host.index, occupiedCores(host, need));
        }
    }
    if (places.size() < members || members == 0) {
        return std::nullopt;
    }
    std::sort(places.begin(), places.end());
    places.resize(members);
    gang_plan plan;
    plan.startAt = std::get<time_point>(places.back());
    std::map<std::size_t, std::size_t> membersByHost;
    for (const auto &[at, index, cores] : places) {
        ++membersByHost[index];
        plan.idleCoreMs += cores * (plan.startAt - at).count;
    }
    plan.hosts.assign(membersByHost.begin(), membersByHost.end());
    return plan;
}

} // namespace filbert

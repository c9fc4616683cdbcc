#include "target_index.h"

#include "filbert_core/filbert_core.h"

#include <algorithm>

namespace filbert {

namespace {

constexpr std::int64_t acceleratorKeyFactor = 1LL << 32;

std::int64_t acceleratorKey(const target_entry &target)
{
    const auto available = freeResources(target);
    return available.accelerators * acceleratorKeyFactor
        + std::max<std::int64_t>(available.milliCores, 0);
}

/** Whether a target can take a task at present, if the task is small enough. */
bool canTakeTask(const target_entry &target)
{
    return target.isEligible && target.reservedFor == 0 && freeResources(target).slots > 0
        && !(target.isProbing && target.used.slots > 0);
}

/** Adds a target to the ordered sets or removes it from them. The keys are computed from its
   present state, so remove it before a change and add it afterwards. A target that cannot take a
   task is in none of the sets.
*/
void setListed(target_index &index, std::uint32_t number, bool isListed)
{
    const auto &target = index.targets[number];
    if (!canTakeTask(target)) {
        return;
    }
    for (const auto &service : target.services) {
        auto &domain = index.pools[service].domains[target.failureDomain];
        const bool hasAccelerators = target.capacity.accelerators > 0;
        auto &set = hasAccelerators ? domain.byFreeAccelerators : domain.byFreeCores;
        const auto key =
            hasAccelerators ? acceleratorKey(target) : freeResources(target).milliCores;
        if (isListed) {
            set.emplace(key, number);
        } else {
            set.erase({key, number});
        }
    }
}

/** Adds an eligible target to the totals of its pools and of the index, or subtracts it. */
void updateTotals(target_index &index, const target_entry &target, bool isAdded)
{
    if (!target.isEligible) {
        return;
    }
    for (const auto &service : target.services) {
        auto &pool = index.pools[service];
        if (isAdded) {
            pool.capacity += target.capacity;
            pool.used += target.used;
            ++pool.targetCount;
            ++pool.releaseCount;
        } else {
            pool.capacity -= target.capacity;
            pool.used -= target.used;
            --pool.targetCount;
        }
    }
    if (isAdded) {
        index.totalCapacity += target.capacity;
    } else {
        index.totalCapacity -= target.capacity;
    }
}

/** Changes one target and keeps all totals and ordered sets consistent. */
template <typename Change>
void changeTarget(target_index &index, std::uint32_t number, const Change &change)
{
    auto &target = index.targets[number];
    setListed(index, number, false);
    updateTotals(index, target, false);
    change(target);
    updateTotals(index, target, true);
    setListed(index, number, true);
}

/** Like changeTarget(), but cheaper: for a change of usage only. */
void changeUsage(target_index &index, std::uint32_t number, const std::string &service,
                 const resource_amounts &added, const resource_amounts &removed,
                 std::int64_t taskDelta, bool isRelease)
{
    auto &target = index.targets[number];
    setListed(index, number, false);
    target.used += added;
    target.used -= removed;
    FILBERT_INVARIANT(fitsWithin({}, target.used), "the usage of a target is never negative");
    setListed(index, number, true);
    for (const auto &offered : target.services) {
        auto &pool = index.pools[offered];
        if (target.isEligible) {
            pool.used += added;
            pool.used -= removed;
        }
        pool.releaseCount += isRelease ? 1 : 0;
        if (offered == service) {
            pool.domains[target.failureDomain].runningTasks += taskDelta;
        }
    }
}

std::uint32_t allocateNumber(target_index &index)
{
    if (index.unusedNumbers.empty()) {
        index.targets.emplace_back();
        return static_cast<std::uint32_t>(index.targets.size() - 1);
    }
    const auto number = index.unusedNumbers.back();
    index.unusedNumbers.pop_back();
    return number;
}

bool isSuitable(const target_entry &target, const resource_amounts &need,
                const std::vector<std::string> &excluded)
{
    return fitsWithin(need, freeResources(target))
        && std::find(excluded.begin(), excluded.end(), target.name) == excluded.end();
}

/** @return the first target of an ordered set, from a key on, that can take a task; or -1 */
std::int64_t findFirstSuitable(const target_index &index,
                               const std::set<std::pair<std::int64_t, std::uint32_t>> &set,
                               std::int64_t key, const resource_amounts &need,
                               const std::vector<std::string> &excluded)
{
    for (auto it = set.lower_bound({key, 0}); it != set.end(); ++it) {
        if (isSuitable(index.targets[it->second], need, excluded)) {
            return it->second;
        }
    }
    return -1;
}

std::int64_t findInDomain(const target_index &index, const domain_pool &domain,
                          const resource_amounts &need, const std::vector<std::string> &excluded)
{
    if (need.accelerators == 0) {
        const auto found =
            findFirstSuitable(index, domain.byFreeCores, need.milliCores, need, excluded);
        if (found >= 0) {
            return found;
        }
        return findFirstSuitable(index, domain.byFreeAccelerators, 0, need, excluded);
    }
    const auto key = need.accelerators * acceleratorKeyFactor + need.milliCores;
    return findFirstSuitable(index, domain.byFreeAccelerators, key, need, excluded);
}

} // namespace

resource_amounts freeResources(const target_entry &target)
{
    return target.capacity - target.used;
}

std::uint32_t upsertTarget(target_index &index, const target_entry &entry)
{
    const auto found = index.byName.find(entry.name);
    if (found == index.byName.end()) {
        const auto number = allocateNumber(index);
        index.targets[number] = entry;
        index.byName.emplace(entry.name, number);
        updateTotals(index, entry, true);
        setListed(index, number, true);
        return number;
    }
    changeTarget(index, found->second, [&](target_entry &target) {
        const auto used = target.used;
        const auto reservedFor = target.reservedFor;
        target = entry;
        target.used = used;
        target.reservedFor = reservedFor;
    });
    return found->second;
}

void removeTarget(target_index &index, std::uint32_t target)
{
    setEligible(index, target, false);
    FILBERT_INVARIANT(index.targets[target].used == resource_amounts {},
                      "a removed target runs nothing");
    index.byName.erase(index.targets[target].name);
    index.targets[target] = {};
    index.unusedNumbers.push_back(target);
}

void addUsage(target_index &index, std::uint32_t target, const std::string &service,
              const resource_amounts &need)
{
    changeUsage(index, target, service, need, {}, 1, false);
}

void removeUsage(target_index &index, std::uint32_t target, const std::string &service,
                 const resource_amounts &need)
{
    changeUsage(index, target, service, {}, need, -1, true);
}

void undoUsage(target_index &index, std::uint32_t target, const std::string &service,
               const resource_amounts &need)
{
    changeUsage(index, target, service, {}, need, -1, false);
}

void setEligible(target_index &index, std::uint32_t target, bool isEligible)
{
    if (index.targets[target].isEligible != isEligible) {
        changeTarget(index, target, [&](target_entry &entry) { entry.isEligible = isEligible; });
    }
}

void setProbing(target_index &index, std::uint32_t target, bool isProbing)
{
    if (index.targets[target].isProbing != isProbing) {
        changeTarget(index, target, [&](target_entry &entry) { entry.isProbing = isProbing; });
    }
}

void setReservation(target_index &index, std::uint32_t target, std::uint64_t workId)
{
    changeTarget(index, target, [&](target_entry &entry) { entry.reservedFor = workId; });
}

std::int64_t findTarget(const target_index &index, const std::string &service,
                        const resource_amounts &need, const std::vector<std::string> &excluded)
{
    const auto pool = index.pools.find(service);
    if (pool == index.pools.end()) {
        return -1;
    }
    std::vector<const domain_pool *> domains;
    domains.reserve(pool->second.domains.size());
    for (const auto &[name, domain] : pool->second.domains) {
        domains.push_back(&domain);
    }
    std::stable_sort(domains.begin(), domains.end(), [](const auto *a, const auto *b) {
        return a->runningTasks < b->runningTasks;
    });
    for (const auto *domain : domains) {
        const auto found = findInDomain(index, *domain, need, excluded);
        if (found >= 0) {
            return found;
        }
    }
    return -1;
}

bool offersService(const target_entry &target, const std::string &service)
{
    return std::find(target.services.begin(), target.services.end(), service)
        != target.services.end();
}

std::int64_t findFirstTarget(const target_index &index, const std::string &service,
                             const resource_amounts &need)
{
    const auto found =
        std::find_if(index.targets.begin(), index.targets.end(), [&](const auto &target) {
            return canTakeTask(target) && fitsWithin(need, freeResources(target))
                && offersService(target, service);
        });
    return found == index.targets.end() ? -1 : found - index.targets.begin();
}

bool couldEverFit(const target_index &index, const std::string &service,
                  const resource_amounts &need)
{
    return std::any_of(index.targets.begin(), index.targets.end(), [&](const auto &target) {
        return fitsWithin(need, target.capacity) && offersService(target, service);
    });
}

} // namespace filbert

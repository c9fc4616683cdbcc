#pragma once

#include "resource_amounts.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbert {

/** One target as placement sees it. */
struct target_view
{
    std::string name;
    std::string failureDomain;
    resource_amounts capacity;
    resource_amounts used;
    std::vector<std::string> services;
    bool isEligible = false; // heard in this term, leased, not leaving, not quarantined
    std::uint64_t reservedFor = 0; // gang ticket; 0 = for anybody
    bool isProbing = false; // quarantined before: one task at a time
};

/** How many tasks of a service run in a failure domain. */
struct domain_pool
{
    std::set<std::pair<std::int64_t, std::uint32_t>> byCores; // free cores; no accelerators
    std::set<std::pair<std::int64_t, std::uint32_t>> byAccelerators; // free devices, then cores
    std::int64_t running = 0;
};

/** All targets that offer a service. */
struct service_pool
{
    std::map<std::string, domain_pool> domains;
    resource_amounts capacity; // of eligible targets
    resource_amounts used;
    std::uint64_t releases = 0; // rises whenever room may have appeared
    std::int64_t targets = 0;
};

/** Targets ordered by free room within each service and failure domain, so that a decision looks
    at a few of them only.
*/
struct target_index
{
    std::vector<target_view> targets;
    std::unordered_map<std::string, std::uint32_t> byName;
    std::vector<std::uint32_t> freeNumbers; // of targets that have gone
    std::unordered_map<std::string, service_pool> pools;
    resource_amounts totalCapacity;
};

/** Adds a target or takes over a changed one; what it uses stays. @return its number */
std::uint32_t upsertTarget(target_index &index, const target_view &view);

/** Forgets a target on which nothing runs; its number may be given to another. */
void removeTarget(target_index &index, std::uint32_t target);

/** Changes what a target uses, and counts the service's running tasks in its failure domain. */
void addUse(target_index &index, std::uint32_t target, const std::string &service,
            const resource_amounts &need);
void dropUse(target_index &index, std::uint32_t target, const std::string &service,
             const resource_amounts &need);

/** Takes back an addUse() that came to nothing within the same decision. */
void undoUse(target_index &index, std::uint32_t target, const std::string &service,
             const resource_amounts &need);

/** Takes a target in or out of consideration. */
void setEligible(target_index &index, std::uint32_t target, bool isEligible);
void setProbing(target_index &index, std::uint32_t target, bool isProbing);
void setReserved(target_index &index, std::uint32_t target, std::uint64_t ticket);

/** Looks for a target.

    The failure domain with the fewest tasks of the service is tried first; in it, the target whose
    scarce resource is left with least. Hosts with accelerators come last for work that needs none.

    @param index    all targets
    @param service  that must be offered
    @param need     of one task
    @param avoid    names that are passed over
    @return a target's number, or -1
*/
std::int64_t findTarget(const target_index &index, const std::string &service,
                        const resource_amounts &need, const std::vector<std::string> &avoid);

/** Looks through the targets in the order they came; for the baselines. @return number or -1 */
std::int64_t findFirstTarget(const target_index &index, const std::string &service,
                             const resource_amounts &need);

/** Whether any known target, empty, could ever hold a need. Costly; for work that does not fit. */
bool couldEverFit(const target_index &index, const std::string &service,
                  const resource_amounts &need);

/** @return whether a target runs tasks of a service */
bool offers(const target_view &target, const std::string &service);

/** @return room left on a target */
resource_amounts roomOf(const target_view &target);

} // namespace filbert

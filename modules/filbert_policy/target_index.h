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

/** A target in the index. */
struct target_entry
{
    std::string name;
    std::string failureDomain;
    resource_amounts capacity;
    resource_amounts used;
    std::vector<std::string> services;
    bool isEligible = false; // may get work: available and not quarantined
    std::uint64_t reservedFor = 0; // work id of a gang; 0 = not reserved
    bool isProbing = false; // after a quarantine: one task at a time
};

/** The targets of a service pool that lie in one failure domain. The sets hold those that can take
    a task at present, each as a sort key and the target's number.
*/
struct domain_pool
{
    // Targets without accelerators, by free milli-cores.
    std::set<std::pair<std::int64_t, std::uint32_t>> byFreeCores;
    // Targets with accelerators, by free accelerators and then by free milli-cores.
    std::set<std::pair<std::int64_t, std::uint32_t>> byFreeAccelerators;
    std::int64_t runningTasks = 0; // tasks of the service on all targets of the domain
};

/** All targets that offer one service. */
struct service_pool
{
    std::map<std::string, domain_pool> domains;
    resource_amounts capacity; // total of the eligible targets
    resource_amounts used; // by tasks of any service on the eligible targets
    std::uint64_t releaseCount = 0; // rises whenever capacity may have become free
    std::int64_t targetCount = 0; // number of eligible targets
};

/** Targets ordered by free resources within each service and failure domain, so that a decision
    considers only a few of them. A target's number is its position in the list of targets.
*/
struct target_index
{
    std::vector<target_entry> targets;
    std::unordered_map<std::string, std::uint32_t> byName;
    std::vector<std::uint32_t> unusedNumbers; // of removed targets, to be reused
    std::unordered_map<std::string, service_pool> pools; // by service
    resource_amounts totalCapacity; // of the eligible targets
};

/** Adds a target or replaces a known one, whose usage and reservation stay. @return its number */
std::uint32_t upsertTarget(target_index &index, const target_entry &entry);

/** Removes a target on which nothing runs; its number may be reused. */
void removeTarget(target_index &index, std::uint32_t target);

/** Adds a task to a target's usage and to the running tasks of its service and failure domain. */
void addUsage(target_index &index, std::uint32_t target, const std::string &service,
              const resource_amounts &need);
/** Removes a task that has ended. The release count of the target's pools rises. */
void removeUsage(target_index &index, std::uint32_t target, const std::string &service,
                 const resource_amounts &need);

/** Undoes an addUsage() of the same decision; the release count of the pools stays. */
void undoUsage(target_index &index, std::uint32_t target, const std::string &service,
               const resource_amounts &need);

/** Sets whether a target may get work. Targets that are not eligible do not count as capacity. */
void setEligible(target_index &index, std::uint32_t target, bool isEligible);

/** Sets whether a target gets one task at a time only. */
void setProbing(target_index &index, std::uint32_t target, bool isProbing);

/** Reserves a target for a gang. @param workId of the gang, or 0 to end the reservation */
void setReservation(target_index &index, std::uint32_t target, std::uint64_t workId);

/** Finds a target for a task by best fit.

    The failure domain with the fewest running tasks of the service is tried first. Within it, the
    target with the least free cores that suffice is chosen, or with the least free accelerators if
    the task needs some. Targets with accelerators come last for a task that needs none.

    @param index     all targets
    @param service   that the target must offer
    @param need      of one task
    @param excluded  names of targets that are passed over
    @return the target's number, or -1
*/
std::int64_t findTarget(const target_index &index, const std::string &service,
                        const resource_amounts &need, const std::vector<std::string> &excluded);

/** Finds the first target that fits, by number; for the baseline policies.

    @return the target's number, or -1
*/
std::int64_t findFirstTarget(const target_index &index, const std::string &service,
                             const resource_amounts &need);

/** @return whether some target that offers the service, eligible or not, has the capacity for a
            need. The cost is linear in the number of targets, so use it only for work that does
            not fit at present.
*/
bool couldEverFit(const target_index &index, const std::string &service,
                  const resource_amounts &need);

/** @return whether a target offers a service */
bool offersService(const target_entry &target, const std::string &service);

/** @return the free resources of a target */
resource_amounts freeResources(const target_entry &target);

} // namespace filbert

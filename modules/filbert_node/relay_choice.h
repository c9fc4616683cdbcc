#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace filbert {

/** What a relay reports of itself in its hellos. */
struct relay_info
{
    std::string failureDomain;
    std::uint64_t process = 0; // differs between successive processes of one name
    std::uint32_t linkMbps = 0; // bandwidth of its host; 0 = unknown
    std::uint32_t milliCores = 0; // processor share of its host; 0 = unknown
};

/** A relay that is in contact with the leader. */
struct active_relay
{
    std::string name;
    relay_info info;
    double share = 1; // fraction of its usual orders that it gets; see relay_shares
};

/** A relay that may be chosen for targets, and its weight among the others. */
struct weighted_relay
{
    std::string name;
    std::string failureDomain;
    double weight = 1; // above 0
};

/** Weighs relays by their hosts and their shares.

    Link and processor are compared with the widest link and the largest processor share among the
    relays, and the smaller of both ratios counts. An unknown processor share does not limit a
   relay.

    @return the relays that may be chosen: without those whose link is much narrower than another's,
            or unknown while another's is known
*/
std::vector<weighted_relay> weighRelays(const std::vector<active_relay> &relays);

/** Chooses the relay of a target by weighted rendezvous hashing, the same way in every process.

    A relay that appears, is lost or changes its weight moves only targets of its own. With equal
    weights, the relay with the highest hash value is chosen.

    @param failureDomain  of the target; relays in it come before all others
    @return the name of the relay, empty if there is none
*/
std::string chooseRelay(const std::vector<weighted_relay> &relays, const std::string &target,
                        const std::string &failureDomain);

} // namespace filbert

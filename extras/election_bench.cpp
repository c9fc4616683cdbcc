/** @file filbert-election-bench: measures the time without a leader after a fault, in seeded trials
    of the replicated log in virtual time. By default a message takes 1 ms.
*/

#include "filbert_replication/filbert_replication.h"

#include <algorithm>
#include <functional>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <random>

DEFINE_int32(trials, 2'000, "number of trials for each kind of fault");
DEFINE_int32(members, 3, "members");
DEFINE_int32(delay_ms, 1, "delivery time of a message, in milliseconds");

namespace filbert {

namespace {

constexpr milliseconds tick {10};
constexpr milliseconds settlingTime {5'000};
constexpr milliseconds electionTimeLimit {60'000};

/** Members of a cell, the messages in flight between them, and disks that sync immediately. */
class simulated_cell
{
public:
    simulated_cell(int count, std::uint64_t seed)
        : random {seed}
    {
        messages::membership membership;
        for (int i = 0; i < count; ++i) {
            auto *member = membership.add_members();
            member->set_identity("c" + std::to_string(i));
        }
        messages::log_entry first = makeBootstrapEntry(membership.members(0));
        first.set_payload(membership.SerializeAsString());
        for (int i = 0; i < count; ++i) {
            stored_state stored;
            stored.identity = "c" + std::to_string(i);
            stored.term = 1;
            stored.entries = {first};
            members.push_back(makeReplicatedLog(stored, {}, random(), now));
        }
    }

    /** Runs the simulation until a condition holds or the duration has passed. */
    void run(milliseconds duration, const std::function<bool()> &until)
    {
        const auto end = now + duration;
        while (now < end && !until()) {
            now = now + milliseconds {1};
            deliver();
            if (now.ms % tick.count == 0) {
                for (std::size_t i = 0; i < members.size(); ++i) {
                    runOnMember(i,
                                [&](auto &state, auto *effects) { tickLog(state, now, effects); });
                }
            }
        }
    }

    /** @return index of a reachable leader with a valid lease, or -1 */
    int leader() const
    {
        for (std::size_t i = 0; i < members.size(); ++i) {
            if (static_cast<int>(i) != failedMember && isReadyLeader(members[i])
                && hasLease(members[i], now)) {
                return static_cast<int>(i);
            }
        }
        return -1;
    }

    time_point now {1'000};
    int failedMember = -1; // its messages are discarded; -1 = none
    bool isKilled = false; // otherwise the failed member runs on without a network
    std::mt19937_64 random;

private:
    template <typename Action>
    void runOnMember(std::size_t number, const Action &action)
    {
        if (isKilled && static_cast<int>(number) == failedMember) {
            return;
        }
        auto &state = members[number];
        replication_effects effects;
        action(state, &effects);
        if (effects.mustPersist) {
            handlePersisted(state, lastIndex(state), now, &effects);
        }
        for (const auto *list : {&effects.messagesBeforeSync, &effects.messagesAfterSync}) {
            for (const auto &message : *list) {
                inFlight.emplace(now + milliseconds {FLAGS_delay_ms}, message);
            }
        }
    }

    void deliver()
    {
        while (!inFlight.empty() && inFlight.begin()->first <= now) {
            const auto message = inFlight.begin()->second;
            inFlight.erase(inFlight.begin());
            const int from = message.from()[1] - '0';
            const int to = message.to()[1] - '0';
            if (from != failedMember && to != failedMember) {
                runOnMember(static_cast<std::size_t>(to), [&](auto &state, auto *effects) {
                    handleReplicationMessage(state, message, now, effects);
                });
            }
        }
    }

    std::vector<replicated_log_state> members;
    std::multimap<time_point, messages::replication_message> inFlight;
};

/** Measures the time without a leader. @param kills whether the leader is killed instead of being
   cut off silently */
void measure(bool kills)
{
    std::vector<std::int64_t> durations;
    int unresolved = 0;
    for (int trial = 0; trial < FLAGS_trials; ++trial) {
        simulated_cell cell {FLAGS_members, static_cast<std::uint64_t>(trial) + 1};
        cell.run(settlingTime, [] { return false; });
        cell.run({static_cast<std::int64_t>(cell.random() % 1'000)}, [] { return false; });
        const int oldLeader = cell.leader();
        cell.failedMember = oldLeader;
        cell.isKilled = kills;
        const auto since = cell.now;
        cell.run(electionTimeLimit, [&] { return cell.leader() >= 0; });
        if (oldLeader < 0 || cell.leader() < 0) {
            ++unresolved;
        } else {
            durations.push_back((cell.now - since).count);
        }
    }
    std::sort(durations.begin(), durations.end());
    const auto at = [&](double fraction) {
        return durations[static_cast<std::size_t>(fraction
                                                  * static_cast<double>(durations.size() - 1))];
    };
    std::cout << "fault=" << (kills ? "kill" : "silent_cut") << " members=" << FLAGS_members
              << " trials=" << durations.size() << " without_leader_p50_ms=" << at(0.5)
              << " p99_ms=" << at(0.99) << " max_ms=" << at(1) << " never=" << unresolved << "\n";
}

} // namespace

} // namespace filbert

int main(int argc, char **argv)
{
    using namespace filbert;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    startLog(argv[0]);
    silenceLog();
    measure(true);
    measure(false);
    return 0;
}

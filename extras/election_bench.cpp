/** @file filbert-election-bench: time without a leader, over seeded trials of the replicated log in
    virtual time with messages of 1 ms.
*/

#include "filbert_replication/filbert_replication.h"

#include <algorithm>
#include <functional>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <random>

DEFINE_int32(trials, 2'000, "seeded trials of each kind");
DEFINE_int32(members, 3, "members");
DEFINE_int32(delay_ms, 1, "time of a message");

namespace filbert {

namespace {

constexpr milliseconds tick {10};
constexpr milliseconds settle {5'000};
constexpr milliseconds patience {60'000};

/** Members with messages in flight; disks that sync at once. */
class small_cell
{
public:
    small_cell(int count, std::uint64_t seed)
        : random {seed}
    {
        messages::membership everybody;
        for (int i = 0; i < count; ++i) {
            auto *member = everybody.add_members();
            member->set_identity("c" + std::to_string(i));
        }
        messages::log_entry first = makeBootstrapEntry(everybody.members(0));
        first.set_payload(everybody.SerializeAsString());
        for (int i = 0; i < count; ++i) {
            stored_state stored;
            stored.identity = "c" + std::to_string(i);
            stored.term = 1;
            stored.entries = {first};
            members.push_back(makeReplicatedLog(stored, {}, random(), now));
        }
    }

    void run(milliseconds span, const std::function<bool()> &until)
    {
        const auto end = now + span;
        while (now < end && !until()) {
            now = now + milliseconds {1};
            deliver();
            if (now.ms % tick.count == 0) {
                for (std::size_t i = 0; i < members.size(); ++i) {
                    act(i, [&](auto &state, auto *effects) { tickLog(state, now, effects); });
                }
            }
        }
    }

    int leader() const
    {
        for (std::size_t i = 0; i < members.size(); ++i) {
            if (static_cast<int>(i) != gone && isReadyLeader(members[i])
                && hasLease(members[i], now)) {
                return static_cast<int>(i);
            }
        }
        return -1;
    }

    time_point now {1'000};
    int gone = -1;
    bool isKilled = false;
    std::mt19937_64 random;

private:
    template <typename Step>
    void act(std::size_t number, const Step &step)
    {
        if (isKilled && static_cast<int>(number) == gone) {
            return;
        }
        auto &state = members[number];
        replication_effects effects;
        step(state, &effects);
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
            if (from != gone && to != gone) {
                act(static_cast<std::size_t>(to), [&](auto &state, auto *effects) {
                    handleReplicationMessage(state, message, now, effects);
                });
            }
        }
    }

    std::vector<replicated_log_state> members;
    std::multimap<time_point, messages::replication_message> inFlight;
};

void measure(bool isKill)
{
    std::vector<std::int64_t> spans;
    int never = 0;
    for (int trial = 0; trial < FLAGS_trials; ++trial) {
        small_cell cell {FLAGS_members, static_cast<std::uint64_t>(trial) + 1};
        cell.run(settle, [] { return false; });
        cell.run({static_cast<std::int64_t>(cell.random() % 1'000)}, [] { return false; });
        const int old = cell.leader();
        cell.gone = old;
        cell.isKilled = isKill;
        const auto since = cell.now;
        cell.run(patience, [&] { return cell.leader() >= 0; });
        if (old < 0 || cell.leader() < 0) {
            ++never;
        } else {
            spans.push_back((cell.now - since).count);
        }
    }
    std::sort(spans.begin(), spans.end());
    const auto at = [&](double part) {
        return spans[static_cast<std::size_t>(part * static_cast<double>(spans.size() - 1))];
    };
    std::cout << "fault=" << (isKill ? "kill" : "silent_cut") << " members=" << FLAGS_members
              << " trials=" << spans.size() << " without_leader_p50_ms=" << at(0.5)
              << " p99_ms=" << at(0.99) << " max_ms=" << at(1) << " never=" << never << "\n";
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

#include "random_cell.h"

#include "run_requests.h"

#include <algorithm>
#include <xxhash.h>

namespace filbert {

namespace {

constexpr std::int64_t tickMs = 10;
constexpr std::int64_t clockSpreadPerMille = 15;
constexpr std::int64_t settleMs = 90'000;
constexpr int applyTries = 20; // of the first configuration

} // namespace

random_cell::random_cell(std::uint64_t seed, const fault_mix &mix)
    : time {seed}
    , mix {mix}
    , network {time}
    , operatorKey {fixedKey("root")}
    , teamKey {fixedKey("desk")}
    , spareKey {fixedKey("spare")}
    , targetKey {fixedKey("booth")}
{
    checks.slotLimits["limited"] = limitedTeamSlots;
    for (int i = 0; i < controllerCount; ++i) {
        const auto name = "c" + std::to_string(i);
        auto host = std::make_unique<controller_host>(
            time, name, [this, name](const std::string &to, const std::string &bytes) {
                route(name, to, bytes);
            });
        host->clock = {static_cast<std::int64_t>(time.below(1'000'000)),
                       1'000 - clockSpreadPerMille
                           + static_cast<std::int64_t>(time.below(2 * clockSpreadPerMille + 1))};
        host->files.skipsSync = mix.skipsSync;
        controllers.push_back(std::move(host));
    }
    for (int i = 0; i < gatewayCount; ++i) {
        const auto name = "g" + std::to_string(i);
        auto host = std::make_unique<gateway_host>(
            time, name,
            [this, name](const std::string &to, const std::string &bytes) {
                route(name, to, bytes);
            },
            [this, name](target_call &&call, const target_port::handler &onAnswer) {
                callTarget(name, std::move(call), onAnswer);
            });
        host->clock = {static_cast<std::int64_t>(time.below(1'000'000)),
                       1'000 - clockSpreadPerMille
                           + static_cast<std::int64_t>(time.below(2 * clockSpreadPerMille + 1))};
        gateways.push_back(std::move(host));
    }
    for (int i = 0; i < targetCount; ++i) {
        targets.push_back(std::make_unique<fake_target>(time, checks, "t" + std::to_string(i),
                                                        resource_amounts {8'000, 8'192, 2, 4}));
        targets.back()->clock.perMille = 1'000 - clockSpreadPerMille
            + static_cast<std::int64_t>(time.below(2 * clockSpreadPerMille + 1));
    }
}

void random_cell::note(std::uint64_t value)
{
    summary.digest = XXH64(&value, sizeof value, summary.digest);
}

gateway_host &random_cell::anyGateway()
{
    return *gateways[time.below(gateways.size())];
}

controller_host *random_cell::leader()
{
    for (const auto &host : controllers) {
        if (host->hasValidLease() && isReadyLeader(host->running->view().log)) {
            return host.get();
        }
    }
    return nullptr;
}

void random_cell::route(const std::string &from, const std::string &to, const std::string &bytes)
{
    if (to.empty()) {
        return; // nobody of that name is connected
    }
    network.send(from, to, [this, from, to, bytes] {
        const auto number = static_cast<std::size_t>(to[1] - '0');
        if (to[0] == 'c') {
            controllers[number]->take(from, bytes);
        } else {
            gateways[number]->take(from, bytes);
        }
    });
}

void random_cell::tickHosts()
{
    for (const auto &host : controllers) {
        host->tick();
    }
    for (const auto &host : gateways) {
        if (host->running) {
            host->running->tick(host->now());
        }
    }
    checkLeases();
    time.after(tickMs, [this] { tickHosts(); });
}

void random_cell::checkLeases()
{
    const auto holders = std::count_if(controllers.begin(), controllers.end(),
                                       [](const auto &host) { return host->hasValidLease(); });
    FILBERT_INVARIANT(holders <= 1, "one leader holds the lease");
    for (const auto &host : controllers) {
        if (!host->hasValidLease()) {
            continue;
        }
        for (const auto &[name, progress] : host->running->view().log.followerProgress) {
            FILBERT_INVARIANT(!hasLostEntries(progress), "a member keeps what it acknowledged");
        }
    }
}

void random_cell::setUp()
{
    controllers[0]->initialise(true);
    for (std::size_t i = 1; i < controllers.size(); ++i) {
        controllers[i]->initialise(false);
    }
    for (const auto &host : controllers) {
        host->start();
    }
    for (const auto &host : gateways) {
        host->start(operatorKey.storedKey);
    }
    tickHosts();
    const auto until = [&](const std::function<bool()> &holds) {
        const auto limit = time.now + milliseconds {60'000};
        while (!holds() && time.now < limit) {
            time.step();
        }
        FILBERT_INVARIANT(holds(), "the cell comes up");
    };
    until([&] { return leader() != nullptr; });
    until([&] {
        return std::all_of(gateways.begin(), gateways.end(), [](const auto &host) {
            return host->running->hasLeaderContact(host->now());
        });
    });
    for (std::size_t i = 1; i < controllers.size(); ++i) {
        isReplacing = true;
        finishReplacement(*controllers[i], "none");
        until([&] { return !isReplacing; });
    }
    for (int tries = 0; tries < applyTries && knownVersion == 0; ++tries) {
        apply(0, true, "first");
        const auto patience = time.now + milliseconds {15'000};
        while (knownVersion == 0 && time.now < patience) {
            time.step();
        }
    }
    FILBERT_INVARIANT(knownVersion > 0, "the first configuration is accepted");
    for (const auto &target : targets) {
        beat(*target);
    }
}

run_summary random_cell::run(std::uint64_t steps)
{
    setUp();
    actAsCaller();
    actAsOperator();
    actAsFate();
    for (std::uint64_t i = 0; i < steps; ++i) {
        time.step();
    }
    heal();
    const auto end = time.now + milliseconds {settleMs};
    while (time.now < end) {
        time.step();
    }
    auto *leading = leader();
    FILBERT_INVARIANT(leading != nullptr, "a healed cell has a leader");
    const auto &view = leading->running->view();
    checkCellInvariants(view.cell);
    for (const auto &[id, submission] : acceptedJobs) {
        const auto job = view.cell.jobs.find(id);
        FILBERT_INVARIANT(job != view.cell.jobs.end(), "an acknowledged job is found again");
        FILBERT_INVARIANT(job->second.endedMs != 0 || !job->second.holdReason.empty(),
                          "no job is lost or waits for ever");
    }
    FILBERT_INVARIANT(view.cell.configuration.version() >= knownVersion,
                      "an accepted configuration never reverts");
    FILBERT_INVARIANT(isConfigurationHistoryRight(changes),
                      "the history of configuration changes is linearizable");
    for (const auto &host : controllers) {
        FILBERT_INVARIANT(host->running && host->running->view().log.digest == view.log.digest,
                          "all members hold the same state");
    }
    summary.steps = steps;
    summary.starts = checks.starts;
    note(view.cell.digest);
    return summary;
}

} // namespace filbert

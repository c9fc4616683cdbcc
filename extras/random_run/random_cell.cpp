#include "random_cell.h"

#include "run_requests.h"

#include <algorithm>
#include <xxhash.h>

namespace filbert {

namespace {

constexpr std::int64_t tickMs = 10;
constexpr std::int64_t maxClockDriftPerMille = 15;
constexpr std::int64_t settlingPeriodMs = 90'000; // after all faults have ended
constexpr int maxApplyAttempts = 20; // of the first configuration

} // namespace

random_cell::random_cell(std::uint64_t seed, const fault_settings &settings)
    : time {seed}
    , faults {settings}
    , network {time}
    , operatorKey {cachedKey("root")}
    , teamKey {cachedKey("desk")}
    , spareKey {cachedKey("spare")}
    , targetKey {cachedKey("booth")}
{
    checks.slotLimits["limited"] = limitedTeamSlots;
    for (int i = 0; i < controllerCount; ++i) {
        const auto name = "c" + std::to_string(i);
        auto host = std::make_unique<controller_host>(
            time, name, [this, name](const std::string &to, const std::string &bytes) {
                route(name, to, bytes);
            });
        host->clock = {
            static_cast<std::int64_t>(time.randomBelow(1'000'000)),
            1'000 - maxClockDriftPerMille
                + static_cast<std::int64_t>(time.randomBelow(2 * maxClockDriftPerMille + 1))};
        host->files.skipsSync = faults.skipsSync;
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
        host->clock = {
            static_cast<std::int64_t>(time.randomBelow(1'000'000)),
            1'000 - maxClockDriftPerMille
                + static_cast<std::int64_t>(time.randomBelow(2 * maxClockDriftPerMille + 1))};
        gateways.push_back(std::move(host));
    }
    for (int i = 0; i < targetCount; ++i) {
        targets.push_back(std::make_unique<fake_target>(time, checks, "t" + std::to_string(i),
                                                        resource_amounts {8'000, 8'192, 2, 4}));
        targets.back()->clock.ratePerMille = 1'000 - maxClockDriftPerMille
            + static_cast<std::int64_t>(time.randomBelow(2 * maxClockDriftPerMille + 1));
    }
}

void random_cell::addToDigest(std::uint64_t value)
{
    summary.digest = XXH64(&value, sizeof value, summary.digest);
}

gateway_host &random_cell::randomGateway()
{
    return *gateways[time.randomBelow(gateways.size())];
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
        return; // no host of that name is connected
    }
    network.send(from, to, [this, from, to, bytes] {
        const auto number = static_cast<std::size_t>(to[1] - '0');
        if (to[0] == 'c') {
            controllers[number]->receive(from, bytes);
        } else {
            gateways[number]->receive(from, bytes);
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
    time.schedule(tickMs, [this] { tickHosts(); });
}

void random_cell::checkLeases()
{
    const auto holders = std::count_if(controllers.begin(), controllers.end(),
                                       [](const auto &host) { return host->hasValidLease(); });
    FILBERT_INVARIANT(holders <= 1, "at most one leader holds a valid lease");
    for (const auto &host : controllers) {
        if (!host->hasValidLease()) {
            continue;
        }
        for (const auto &[name, progress] : host->running->view().log.followerProgress) {
            FILBERT_INVARIANT(!hasLostEntries(progress),
                              "a member keeps the entries that it has acknowledged");
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
    const auto runUntil = [&](const std::function<bool()> &holds) {
        const auto limit = time.now + milliseconds {60'000};
        while (!holds() && time.now < limit) {
            time.runNextEvent();
        }
        FILBERT_INVARIANT(holds(), "each step of the set-up ends within 60 s");
    };
    runUntil([&] { return leader() != nullptr; });
    runUntil([&] {
        return std::all_of(gateways.begin(), gateways.end(), [](const auto &host) {
            return host->running->hasLeaderContact(host->now());
        });
    });
    for (std::size_t i = 1; i < controllers.size(); ++i) {
        isReplacingMember = true;
        finishReplacement(*controllers[i], "none");
        runUntil([&] { return !isReplacingMember; });
    }
    for (int attempt = 0; attempt < maxApplyAttempts && knownVersion == 0; ++attempt) {
        applyConfiguration(0, true, "first");
        const auto attemptEnd = time.now + milliseconds {15'000};
        while (knownVersion == 0 && time.now < attemptEnd) {
            time.runNextEvent();
        }
    }
    FILBERT_INVARIANT(knownVersion > 0, "the first configuration is accepted");
    for (const auto &target : targets) {
        sendHeartbeat(*target);
    }
}

run_summary random_cell::run(std::uint64_t steps)
{
    setUp();
    simulateCaller();
    simulateOperator();
    injectNextFault();
    for (std::uint64_t i = 0; i < steps; ++i) {
        time.runNextEvent();
    }
    heal();
    const auto end = time.now + milliseconds {settlingPeriodMs};
    while (time.now < end) {
        time.runNextEvent();
    }
    auto *leading = leader();
    FILBERT_INVARIANT(leading != nullptr, "a cell without faults has a leader");
    const auto &view = leading->running->view();
    checkCellInvariants(view.cell);
    for (const auto &[id, submission] : acceptedJobs) {
        const auto job = view.cell.jobs.find(id);
        FILBERT_INVARIANT(job != view.cell.jobs.end(), "an accepted job is kept");
        FILBERT_INVARIANT(job->second.endedMs != 0 || !job->second.holdReason.empty(),
                          "an accepted job ends or has a hold reason");
    }
    FILBERT_INVARIANT(view.cell.configuration.version() >= knownVersion,
                      "an accepted configuration is never reverted");
    FILBERT_INVARIANT(isConfigurationHistoryLinearizable(configurationHistory),
                      "the history of configuration changes is linearizable");
    for (const auto &host : controllers) {
        FILBERT_INVARIANT(host->running && host->running->view().log.digest == view.log.digest,
                          "all members have the same state");
    }
    summary.steps = steps;
    summary.starts = checks.starts;
    addToDigest(view.cell.digest);
    return summary;
}

} // namespace filbert

#include "random_cell.h"

#include "run_requests.h"

#include <algorithm>

namespace filbert {

void random_cell::injectNextFault()
{
    if (isHealed) {
        return;
    }
    time.schedule(static_cast<std::int64_t>(300 + time.randomBelow(4'000)),
                  [this] { injectNextFault(); });
    ++summary.faults;
    switch (time.randomBelow(8)) {
    case 0:
        crashController();
        break;
    case 1:
        replaceDisk();
        break;
    case 2:
    case 3:
        pauseController();
        break;
    case 4:
    case 5:
        partitionHost();
        break;
    case 6: {
        auto &host = randomGateway();
        if (faults.crashes && host.running) {
            host.powerOff();
            time.schedule(static_cast<std::int64_t>(time.randomBelow(3'000)),
                          [this, &host] { host.start(operatorKey.storedKey); });
        }
        break;
    }
    default: {
        auto &target = *targets[time.randomBelow(targets.size())];
        if (time.chance(500)) {
            target.isLeaving = true;
        } else if (faults.crashes) {
            target.restart();
        }
    }
    }
}

void random_cell::crashController()
{
    auto &host = *controllers[time.randomBelow(controllers.size())];
    if (!faults.crashes || !host.running) {
        return;
    }
    if (time.chance(500)) {
        host.powerOffAtNextSync();
        return;
    }
    host.powerOff(true);
    time.schedule(static_cast<std::int64_t>(50 + time.randomBelow(4'000)),
                  [&host] { host.start(); });
    if (time.chance(200)) { // a power failure of all controllers at once
        for (const auto &other : controllers) {
            if (other->running) {
                auto &also = *other;
                also.powerOff(true);
                time.schedule(static_cast<std::int64_t>(50 + time.randomBelow(2'000)),
                              [&also] { also.start(); });
            }
        }
    }
}

void random_cell::replaceDisk()
{
    auto *leading = leader();
    auto &host = *controllers[time.randomBelow(controllers.size())];
    const bool areAllRunning =
        std::all_of(controllers.begin(), controllers.end(),
                    [](const auto &each) { return each->running && !each->isPaused; });
    if (!faults.lostDisks || isReplacingMember || !areAllRunning || leading == nullptr
        || &host == leading || !network.blockedLinks.empty()) {
        return;
    }
    const auto &members = leading->running->view().log.membership;
    const auto isVoterNow = [&](const auto &each) {
        const auto *member = findMember(members, each->identity);
        return member != nullptr && !member->learner();
    };
    if (!std::all_of(controllers.begin(), controllers.end(), isVoterNow)) {
        return;
    }
    isReplacingMember = true;
    ++summary.replacedDisks;
    const auto oldIdentity = host.identity;
    host.powerOff(false);
    host.initialise(false);
    time.schedule(100, [&host] { host.start(); });
    time.schedule(200, [this, &host, oldIdentity] { finishReplacement(host, oldIdentity); });
}

void random_cell::finishReplacement(controller_host &host, const std::string &oldIdentity)
{
    const auto retryLater = [this, &host, oldIdentity] {
        time.schedule(300, [this, &host, oldIdentity] { finishReplacement(host, oldIdentity); });
    };
    auto *leading = leader();
    if (leading == nullptr) {
        retryLater();
        return;
    }
    const auto &members = leading->running->view().log.membership;
    const auto *now = findMember(members, host.identity);
    if (findMember(members, oldIdentity) == nullptr && now != nullptr && !now->learner()) {
        isReplacingMember = false;
        return;
    }
    messages::member_change change;
    const bool mustRemove = findMember(members, oldIdentity) != nullptr;
    if (mustRemove || now == nullptr) {
        change.set_action(mustRemove ? "remove" : "add");
        change.mutable_member()->set_identity(mustRemove ? oldIdentity : host.identity);
        change.mutable_member()->set_address("tcp://" + host.name);
        randomGateway().request(
            makeRequest("POST", "/v1/members", operatorKey.token, writeJson(change)),
            [](http_response &&) {});
    }
    retryLater();
}

void random_cell::pauseController()
{
    auto &host = *controllers[time.randomBelow(controllers.size())];
    if (!faults.pauses || host.isPaused || !host.running) {
        return;
    }
    host.isPaused = true;
    time.schedule(static_cast<std::int64_t>(50 + time.randomBelow(6'000)),
                  [&host] { host.resume(); });
}

void random_cell::partitionHost()
{
    if (!faults.partitions) {
        return;
    }
    const auto kind = time.randomBelow(3);
    const auto name = kind == 0 ? "c" + std::to_string(time.randomBelow(controllerCount))
        : kind == 1             ? "g" + std::to_string(time.randomBelow(gatewayCount))
                                : "t" + std::to_string(time.randomBelow(targetCount));
    const auto direction = time.randomBelow(3);
    const auto other = time.chance(400) ? "c" + std::to_string(time.randomBelow(controllerCount))
                                        : std::string {"*"};
    std::vector<std::pair<std::string, std::string>> pairs;
    if (direction != 1) {
        pairs.emplace_back(name, other);
    }
    if (direction != 0) {
        pairs.emplace_back(other, name);
    }
    for (const auto &pair : pairs) {
        network.blockedLinks.insert(pair);
        time.schedule(static_cast<std::int64_t>(300 + time.randomBelow(9'000)),
                      [this, pair] { network.blockedLinks.erase(pair); });
    }
}

void random_cell::heal()
{
    for (const auto &host : controllers) {
        host->files.failSyncAt = 0;
    }
    isHealed = true;
    network.blockedLinks.clear();
    network.lossPerMille = 0;
}

} // namespace filbert

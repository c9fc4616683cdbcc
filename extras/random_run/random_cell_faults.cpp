#include "random_cell.h"

#include "run_requests.h"

#include <algorithm>

namespace filbert {

void random_cell::actAsFate()
{
    if (isQuiet) {
        return;
    }
    time.after(static_cast<std::int64_t>(300 + time.below(4'000)), [this] { actAsFate(); });
    ++summary.faults;
    switch (time.below(8)) {
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
        cutSomebody();
        break;
    case 6: {
        auto &host = anyGateway();
        if (mix.crashes && host.running) {
            host.powerOff();
            time.after(static_cast<std::int64_t>(time.below(3'000)),
                       [this, &host] { host.start(operatorKey.storedKey); });
        }
        break;
    }
    default: {
        auto &target = *targets[time.below(targets.size())];
        if (time.chance(500)) {
            target.isLeaving = true;
        } else if (mix.crashes) {
            target.restart();
        }
    }
    }
}

void random_cell::crashController()
{
    auto &host = *controllers[time.below(controllers.size())];
    if (!mix.crashes || !host.running) {
        return;
    }
    if (time.chance(500)) {
        host.powerOffAtNextSync();
        return;
    }
    host.powerOff(true);
    time.after(static_cast<std::int64_t>(50 + time.below(4'000)), [&host] { host.start(); });
    if (time.chance(200)) { // all at once
        for (const auto &other : controllers) {
            if (other->running) {
                auto &also = *other;
                also.powerOff(true);
                time.after(static_cast<std::int64_t>(50 + time.below(2'000)),
                           [&also] { also.start(); });
            }
        }
    }
}

void random_cell::replaceDisk()
{
    auto *leading = leader();
    auto &host = *controllers[time.below(controllers.size())];
    const bool isWhole = std::all_of(controllers.begin(), controllers.end(), [](const auto &each) {
        return each->running && !each->isPaused;
    });
    if (!mix.lostDisks || isReplacing || !isWhole || leading == nullptr || &host == leading
        || !network.cut.empty()) {
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
    isReplacing = true;
    ++summary.replacedDisks;
    const auto oldIdentity = host.identity;
    host.powerOff(false);
    host.initialise(false);
    time.after(100, [&host] { host.start(); });
    time.after(200, [this, &host, oldIdentity] { finishReplacement(host, oldIdentity); });
}

void random_cell::finishReplacement(controller_host &host, const std::string &oldIdentity)
{
    const auto again = [this, &host, oldIdentity] {
        time.after(300, [this, &host, oldIdentity] { finishReplacement(host, oldIdentity); });
    };
    auto *leading = leader();
    if (leading == nullptr) {
        again();
        return;
    }
    const auto &members = leading->running->view().log.membership;
    const auto *now = findMember(members, host.identity);
    if (findMember(members, oldIdentity) == nullptr && now != nullptr && !now->learner()) {
        isReplacing = false;
        return;
    }
    messages::member_change change;
    const bool mustRemove = findMember(members, oldIdentity) != nullptr;
    if (mustRemove || now == nullptr) {
        change.set_action(mustRemove ? "remove" : "add");
        change.mutable_member()->set_identity(mustRemove ? oldIdentity : host.identity);
        change.mutable_member()->set_address("tcp://" + host.name);
        anyGateway().request(requestOf("POST", "/v1/members", operatorKey.token, writeJson(change)),
                             [](http_response &&) {});
    }
    again();
}

void random_cell::pauseController()
{
    auto &host = *controllers[time.below(controllers.size())];
    if (!mix.pauses || host.isPaused || !host.running) {
        return;
    }
    host.isPaused = true;
    time.after(static_cast<std::int64_t>(50 + time.below(6'000)), [&host] { host.resume(); });
}

void random_cell::cutSomebody()
{
    if (!mix.cuts) {
        return;
    }
    const auto kind = time.below(3);
    const auto name = kind == 0 ? "c" + std::to_string(time.below(controllerCount))
        : kind == 1             ? "g" + std::to_string(time.below(gatewayCount))
                                : "t" + std::to_string(time.below(targetCount));
    const auto direction = time.below(3);
    const auto other =
        time.chance(400) ? "c" + std::to_string(time.below(controllerCount)) : std::string {"*"};
    std::vector<std::pair<std::string, std::string>> pairs;
    if (direction != 1) {
        pairs.emplace_back(name, other);
    }
    if (direction != 0) {
        pairs.emplace_back(other, name);
    }
    for (const auto &pair : pairs) {
        network.cut.insert(pair);
        time.after(static_cast<std::int64_t>(300 + time.below(9'000)),
                   [this, pair] { network.cut.erase(pair); });
    }
}

void random_cell::heal()
{
    for (const auto &host : controllers) {
        host->files.failSyncAt = 0;
    }
    isQuiet = true;
    network.cut.clear();
    network.lossPerMille = 0;
}

} // namespace filbert

#include "random_cell.h"

#include <algorithm>
#include <xxhash.h>

namespace filbert {

namespace {

constexpr int controllerCount = 3;
constexpr int gatewayCount = 2;
constexpr int targetCount = 4;
constexpr std::int64_t tickMs = 10;
constexpr std::int64_t beatMs = 500;
constexpr std::int64_t clockSpreadPerMille = 15;
constexpr std::int64_t settleMs = 90'000;
constexpr std::int64_t limitedTeamSlots = 5;

/** Keys that are the same in each run, unlike those of makeKey(). */
made_key fixedKey(const std::string &id)
{
    static std::map<std::string, made_key> made;
    if (!made.contains(id)) {
        made[id] = makeKey(id);
    }
    return made[id];
}

http_request requestOf(const std::string &method, const std::string &path, const std::string &token,
                       std::string body)
{
    http_request request;
    request.method = method;
    request.path = path;
    request.authorization = "Bearer " + token;
    request.body = std::move(body);
    return request;
}

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
            host->running->takeTime(host->now());
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
}

// ---- targets --------------------------------------------------------------------------------

std::string random_cell::targetOf(const std::string &address) const
{
    return "t" + address.substr(address.rfind(':') + 1);
}

void random_cell::callTarget(const std::string &from, target_call &&call,
                             const target_port::handler &onAnswer)
{
    const auto name = targetOf(call.address);
    auto &target = *targets[static_cast<std::size_t>(name[1] - '1')];
    if (network.isCut(from, target.name)) {
        time.after(5, [onAnswer] { onAnswer(error_kind::ConnectionFailed, {}); });
        return;
    }
    auto isDone = std::make_shared<bool>(false);
    const auto finish = [isDone, onAnswer](std::error_code error, http_answer &&answer) {
        if (!std::exchange(*isDone, true)) {
            onAnswer(error, std::move(answer));
        }
    };
    time.after(call.timeout.count, [finish] { finish(error_kind::Timeout, {}); });
    const auto back = [this, from, &target, finish](http_answer &&answer) {
        network.sendOnce(target.name, from, [finish, answer] { finish({}, http_answer {answer}); });
    };
    network.sendOnce(from, target.name, [this, &target, call, back] {
        for (const auto &each : targets) {
            each->dropAfterLease();
        }
        auto answer = answerOfTarget(target, call, back);
        if (answer.status != 0) {
            back(std::move(answer));
        }
    });
}

http_answer random_cell::answerOfTarget(fake_target &target, const target_call &call,
                                        const std::function<void(http_answer &&)> &later)
{
    http_answer answer;
    if (call.path == "/v1/run") {
        const auto placement =
            static_cast<std::uint64_t>(headerNumber(call.headers, "filbert-placement"));
        const auto service = headerValue(call.headers, "filbert-service");
        answer.headers = {{"filbert-placement", std::to_string(placement)}};
        answer.body = "did " + call.body;
        started_task task;
        task.team = call.body.substr(0, call.body.find(':'));
        task.body = call.body;
        task.need = {1'000, 256, 0, 1};
        task.isIdempotent = service == "quote";
        const auto why = target.start(placement, headerNumber(call.headers, "filbert-epoch"),
                                      headerNumber(call.headers, "filbert-start-by"), task,
                                      static_cast<std::int64_t>(1 + time.below(300)),
                                      [later, answer] { later(http_answer {answer}); });
        answer.status = why.empty() ? 0 : (why == "refused" ? 412 : 409);
        return answer;
    }
    answer.body = "{}";
    std::string detail;
    if (call.path == "/v1/tasks/stop") {
        messages::stop_order order;
        readJson(call.body, &order, &detail);
        target.stop(order.placement_id());
        return answer;
    }
    messages::start_order order;
    readJson(call.body, &order, &detail);
    started_task task;
    const auto job = acceptedJobs.find(order.job_id());
    task.team = job == acceptedJobs.end() ? "free" : job->second.team();
    task.jobId = order.job_id();
    task.taskIndex = order.task_index();
    task.body = "job";
    task.need = taskNeedOf(order.task());
    task.isIdempotent = order.payload() == "again";
    const auto why = target.start(order.placement_id(), order.target_epoch(), order.start_by(),
                                  task, static_cast<std::int64_t>(50 + time.below(5'000)), [] {});
    answer.status = why == "refused" ? 412 : 202;
    return answer;
}

void random_cell::announce(fake_target &target)
{
    messages::target_registration body;
    body.set_address("127.0.0.1:" + std::to_string(target.name[1] - '0' + 1));
    body.set_failure_domain("d" + std::to_string((target.name[1] - '0') % 3));
    body.set_epoch(target.epoch);
    *body.mutable_capacity() = messageOf(target.capacity);
    body.add_services("quote");
    body.add_services("die");
    auto &gateway = anyGateway();
    if (network.isCut(target.name, gateway.name)) {
        return;
    }
    gateway.request(requestOf("POST", "/v1/targets/" + target.name + "/announce", targetKey.token,
                              writeJson(body)),
                    [&target, epoch = target.epoch](http_answer &&answer) {
                        target.isAnnounced |= answer.status == 200 && target.epoch == epoch;
                    });
}

void random_cell::beat(fake_target &target)
{
    time.after(beatMs, [this, &target] { beat(target); });
    target.dropAfterLease();
    if (!target.isAnnounced) {
        announce(target);
        return;
    }
    messages::target_heartbeat body;
    body.set_epoch(target.epoch);
    body.set_clock_ms(target.clockMs());
    for (const auto &[placement, task] : target.running) {
        auto *row = body.add_running();
        row->set_placement_id(placement);
        *row->mutable_used() = messageOf(task.need);
    }
    for (const auto &[placement, stopped] : target.finished) {
        auto *row = body.add_finished();
        row->set_placement_id(placement);
        row->set_succeeded(!stopped);
        row->set_stopped(stopped);
    }
    auto &gateway = anyGateway();
    if (network.isCut(target.name, gateway.name)) {
        return;
    }
    const auto path = "/v1/targets/" + target.name + "/heartbeat";
    network.send(target.name, gateway.name,
                 [this, &gateway, &target, path, epoch = target.epoch, text = writeJson(body)] {
                     gateway.request(requestOf("POST", path, targetKey.token, text),
                                     [this, &target, epoch](http_answer &&answer) {
                                         takeBeatReply(target, epoch, answer);
                                     });
                 });
}

void random_cell::takeBeatReply(fake_target &target, std::int64_t epoch, const http_answer &answer)
{
    messages::heartbeat_reply reply;
    std::string detail;
    if (answer.status != 200 || target.epoch != epoch || readJson(answer.body, &reply, &detail)) {
        return;
    }
    if (reply.announce_again()) {
        target.isAnnounced = false;
        return;
    }
    target.dropAfterLease();
    target.leaseUntil = std::max(target.leaseUntil, reply.lease_until());
    for (const auto placement : reply.acknowledged()) {
        target.finished.erase(placement);
    }
    for (const auto placement : reply.stop()) {
        target.stop(placement);
    }
}

// ---- callers --------------------------------------------------------------------------------

void random_cell::actAsCaller()
{
    if (!isQuiet) {
        time.after(static_cast<std::int64_t>(20 + time.below(200)), [this] { actAsCaller(); });
    }
    const auto team = time.chance(400) ? std::string {"limited"} : std::string {"free"};
    const auto body = team + ":" + std::to_string(++lastBody);
    const auto token = team == "limited" ? fixedKey("limited-desk").token
        : time.chance(300)               ? spareKey.token
                                         : teamKey.token;
    switch (time.below(8)) {
    case 0:
        submitJob();
        break;
    case 1:
        cancelJob();
        break;
    case 2:
    case 3:
        sendService("die", body, "key-" + body, token);
        break;
    case 4:
        if (!dieOrders.empty()) {
            auto which = std::next(dieOrders.begin(),
                                   static_cast<std::ptrdiff_t>(time.below(dieOrders.size())));
            const auto owner = which->second.body.substr(0, which->second.body.find(':'));
            sendService("die", which->second.body, which->second.key,
                        owner == "limited" ? fixedKey("limited-desk").token : teamKey.token);
        }
        break;
    default:
        sendService("quote", body, "", token);
    }
}

void random_cell::sendService(const std::string &service, const std::string &body,
                              const std::string &key, const std::string &token)
{
    auto request = requestOf("POST", "/v1/services/" + service, token, body);
    request.idempotencyKey = key;
    request.deadline = {static_cast<std::int64_t>(500 + time.below(4'000))};
    if (!key.empty()) {
        auto &order = dieOrders[key];
        order.body = body;
        order.key = key;
        ++order.sendings;
    }
    const bool isWithdrawn = token == spareKey.token && isSpareWithdrawn;
    const auto seen = isWithdrawn ? configurationChanges + 1 : 0;
    ++summary.unanswered;
    anyGateway().request(std::move(request),
                         [this, service, body, key, seen](http_answer &&answer) {
                             --summary.unanswered;
                             takeServiceAnswer(service, body, key, seen, std::move(answer));
                         });
}

void random_cell::takeServiceAnswer(const std::string &service, const std::string &body,
                                    const std::string &key, std::uint64_t withdrawalsSeen,
                                    http_answer &&answer)
{
    note(static_cast<std::uint64_t>(answer.status));
    if (answer.status == 200) {
        ++summary.answered;
        FILBERT_INVARIANT(answer.body == "did " + body, "every caller gets its own whole answer");
        FILBERT_INVARIANT(withdrawalsSeen == 0 || withdrawalsSeen != configurationChanges + 1,
                          "a withdrawn key has stopped working");
        return;
    }
    ++summary.refused;
    messages::problem problem;
    std::string detail;
    FILBERT_INVARIANT(!readJson(answer.body, &problem, &detail), "a refusal can be read");
    if (problem.outcome() != "not_run") {
        return;
    }
    if (key.empty()) {
        if (service != "quote") {
            checks.toldNotRun(body);
        }
        return;
    }
    auto &order = dieOrders.at(key);
    if (++order.notRun == order.sendings && order.sendings == 1) {
        order.sendings = 1'000; // from here on resends may run it, so nothing more is claimed
    }
}

void random_cell::submitJob()
{
    messages::submit_body body;
    const bool isGang = time.chance(300);
    const bool isIdempotent = time.chance(600);
    body.set_queue(isGang ? "gangs" : "batches");
    body.set_service("quote");
    body.set_name("job");
    body.set_tasks(static_cast<int>(1 + time.below(isGang ? 5 : 3)));
    body.mutable_task()->set_milli_cores(static_cast<int>(500 + time.below(3'000)));
    body.mutable_task()->set_memory_mb(512);
    body.mutable_task()->set_accelerators(time.chance(300) ? 1 : 0);
    body.set_idempotent(isIdempotent);
    body.set_payload(isIdempotent ? "again" : "once");
    auto request = requestOf("POST", "/v1/jobs", teamKey.token, writeJson(body));
    request.idempotencyKey = "job-" + std::to_string(++lastBody);
    anyGateway().request(std::move(request), [this](http_answer &&answer) {
        messages::job_reply reply;
        std::string detail;
        if (answer.status == 201 && !readJson(answer.body, &reply, &detail)) {
            messages::job_submission accepted;
            accepted.set_team("free");
            acceptedJobs[reply.job().id()] = accepted;
            ++summary.jobs;
        }
    });
}

void random_cell::cancelJob()
{
    if (acceptedJobs.empty() || !time.chance(300)) {
        return;
    }
    const auto which = std::next(acceptedJobs.begin(),
                                 static_cast<std::ptrdiff_t>(time.below(acceptedJobs.size())));
    anyGateway().request(
        requestOf("DELETE", "/v1/jobs/" + std::to_string(which->first), teamKey.token, ""),
        [](http_answer &&) {});
}

// ---- operators ------------------------------------------------------------------------------

messages::configuration random_cell::makeConfiguration(bool hasSpareKey, int variant) const
{
    messages::configuration whole;
    whole.set_cell("random");
    auto *team = whole.add_teams();
    team->set_name("free");
    team->set_share(1 + variant % 7);
    *team->add_keys() = teamKey.stored;
    if (hasSpareKey) {
        *team->add_keys() = spareKey.stored;
    }
    auto *limited = whole.add_teams();
    limited->set_name("limited");
    limited->set_share(1);
    limited->mutable_upper_limit()->set_slots(limitedTeamSlots);
    *limited->add_keys() = fixedKey("limited-desk").stored;
    const auto addQueue = [&](const char *name, messages::queue_policy policy) {
        auto *queue = whole.add_queues();
        queue->set_name(name);
        queue->set_policy(policy);
    };
    addQueue("urgent", messages::URGENT);
    addQueue("batches", messages::BATCH);
    addQueue("gangs", messages::GANG);
    const auto addService = [&](const char *name, bool isIdempotent) {
        auto *service = whole.add_services();
        service->set_name(name);
        service->set_queue("urgent");
        service->set_idempotent(isIdempotent);
        service->mutable_task()->set_milli_cores(1'000);
        service->mutable_task()->set_memory_mb(256);
    };
    addService("quote", true);
    addService("die", false);
    const auto addPrincipal = [&](const char *name, const char *role, const made_key &key) {
        auto *principal = whole.add_principals();
        principal->set_name(name);
        principal->set_role(role);
        *principal->add_keys() = key.stored;
    };
    addPrincipal("operators", "operator", operatorKey);
    addPrincipal("booths", "target", targetKey);
    return whole;
}

void random_cell::actAsOperator()
{
    if (!isQuiet) {
        time.after(static_cast<std::int64_t>(500 + time.below(3'000)), [this] { actAsOperator(); });
    }
    const auto requestId = "request-" + std::to_string(++lastBody);
    const auto base = time.chance(900) ? knownVersion : knownVersion - 1;
    const bool hasSpareKey = time.chance(500);
    apply(base, hasSpareKey, requestId);
    if (time.chance(300)) {
        apply(base, time.chance(500), "rival-" + std::to_string(++lastBody));
    }
    if (time.chance(300)) {
        time.after(static_cast<std::int64_t>(time.below(2'000)),
                   [this, base, hasSpareKey, requestId] { apply(base, hasSpareKey, requestId); });
    }
}

void random_cell::apply(std::int64_t base, bool hasSpareKey, const std::string &requestId)
{
    messages::apply_request body;
    *body.mutable_next() = makeConfiguration(hasSpareKey, lastBody);
    body.set_base_version(base);
    body.set_request_id(requestId);
    isSpareWithdrawn = false;
    const auto change = ++configurationChanges;
    anyGateway().request(requestOf("PUT", "/v1/configuration", operatorKey.token, writeJson(body)),
                         [this, hasSpareKey, requestId, change](http_answer &&answer) {
                             messages::apply_reply reply;
                             std::string detail;
                             if (answer.status != 200 || readJson(answer.body, &reply, &detail)) {
                                 return;
                             }
                             ++summary.configurations;
                             const auto [version, isNew] =
                                 digestOfVersion.emplace(reply.version(), reply.digest());
                             FILBERT_INVARIANT(version->second == reply.digest(),
                                               "a version stands for one configuration");
                             const auto [request, isFirst] =
                                 versionOfRequest.emplace(requestId, reply.version());
                             FILBERT_INVARIANT(request->second == reply.version(),
                                               "a resent change gets its first answer");
                             knownVersion = std::max(knownVersion, reply.version());
                             if (!hasSpareKey && isFirst) {
                                 watchInForce(reply.version(), change);
                             }
                         });
}

void random_cell::learnVersion()
{
    anyGateway().request(requestOf("GET", "/v1/members", operatorKey.token, ""),
                         [this](http_answer &&answer) {
                             messages::status_reply status;
                             std::string detail;
                             if (answer.status == 200 && !readJson(answer.body, &status, &detail)) {
                                 knownVersion = std::max(knownVersion, status.version());
                             }
                         });
}

void random_cell::watchInForce(std::int64_t version, std::uint64_t change)
{
    if (change != configurationChanges) {
        return; // another change may have brought the key back
    }
    auto request = requestOf("GET", "/v1/members", operatorKey.token, "");
    request.query = "version=" + std::to_string(version);
    anyGateway().request(std::move(request), [this, version, change](http_answer &&answer) {
        messages::status_reply status;
        std::string detail;
        const bool isKnown = answer.status == 200 && !readJson(answer.body, &status, &detail);
        if (isKnown && status.in_force() && status.version() == version) {
            isSpareWithdrawn = change == configurationChanges;
        } else {
            time.after(500, [this, version, change] { watchInForce(version, change); });
        }
    });
}

// ---- faults ---------------------------------------------------------------------------------

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
                       [this, &host] { host.start(operatorKey.stored); });
        }
        break;
    }
    default:
        if (mix.crashes) {
            targets[time.below(targets.size())]->restart();
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
    const auto &members = leading->running->view().log.members;
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
    const auto &members = leading->running->view().log.members;
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
                             [](http_answer &&) {});
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

// ---- the run --------------------------------------------------------------------------------

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
        host->start(operatorKey.stored);
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
        return std::all_of(gateways.begin(), gateways.end(),
                           [](const auto &host) { return host->running->hasContact(host->now()); });
    });
    for (std::size_t i = 1; i < controllers.size(); ++i) {
        isReplacing = true;
        finishReplacement(*controllers[i], "none");
        until([&] { return !isReplacing; });
    }
    while (knownVersion == 0) {
        apply(0, true, "first");
        const auto patience = time.now + milliseconds {15'000};
        while (knownVersion == 0 && time.now < patience) {
            time.step();
        }
    }
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
    checkCell(view.cell);
    for (const auto &[id, submission] : acceptedJobs) {
        const auto job = view.cell.jobs.find(id);
        FILBERT_INVARIANT(job != view.cell.jobs.end(), "an acknowledged job is found again");
        FILBERT_INVARIANT(job->second.endedMs != 0 || !job->second.holdReason.empty(),
                          "no job is lost or waits for ever");
    }
    FILBERT_INVARIANT(view.cell.configuration.version() >= knownVersion,
                      "an accepted configuration never reverts");
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

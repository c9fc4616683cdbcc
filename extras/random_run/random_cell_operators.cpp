#include "random_cell.h"

#include "run_requests.h"

#include <algorithm>

namespace filbert {

messages::configuration random_cell::makeConfiguration(bool hasSpareKey, int variant) const
{
    messages::configuration whole;
    whole.set_cell("random");
    auto *team = whole.add_teams();
    team->set_name("free");
    team->set_share(1 + variant % 7);
    *team->add_keys() = teamKey.storedKey;
    if (hasSpareKey) {
        *team->add_keys() = spareKey.storedKey;
    }
    auto *limited = whole.add_teams();
    limited->set_name("limited");
    limited->set_share(1);
    limited->mutable_upper_limit()->set_slots(limitedTeamSlots);
    *limited->add_keys() = cachedKey("limited-desk").storedKey;
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
    const auto addPrincipal = [&](const char *name, const char *role, const generated_key &key) {
        auto *principal = whole.add_principals();
        principal->set_name(name);
        principal->set_role(role);
        *principal->add_keys() = key.storedKey;
    };
    addPrincipal("operators", "operator", operatorKey);
    addPrincipal("booths", "target", targetKey);
    return whole;
}

void random_cell::simulateOperator()
{
    if (!isHealed) {
        time.schedule(static_cast<std::int64_t>(500 + time.randomBelow(3'000)),
                      [this] { simulateOperator(); });
    }
    queryVersion(); // for the next change; after a lost answer the base version would stay outdated
    const auto requestId = "request-" + std::to_string(++lastRequestNumber);
    const auto base = time.chance(900) ? knownVersion : knownVersion - 1;
    const bool hasSpareKey = time.chance(500);
    applyConfiguration(base, hasSpareKey, requestId);
    if (time.chance(300)) {
        applyConfiguration(base, time.chance(500), "rival-" + std::to_string(++lastRequestNumber));
    }
    if (time.chance(300)) {
        time.schedule(static_cast<std::int64_t>(time.randomBelow(2'000)),
                      [this, base, hasSpareKey, requestId] {
                          applyConfiguration(base, hasSpareKey, requestId);
                      });
    }
}

void random_cell::applyConfiguration(std::int64_t base, bool hasSpareKey,
                                     const std::string &requestId)
{
    messages::apply_request body;
    *body.mutable_next() = makeConfiguration(hasSpareKey, lastRequestNumber);
    body.set_base_version(base);
    body.set_request_id(requestId);
    isSpareKeyRevoked = false;
    const auto change = ++configurationChangeCount;
    const auto number = configurationHistory.size();
    configurationHistory.push_back({time.now.ms, neverReturned, {requestId, base}});
    randomGateway().request(
        makeRequest("PUT", "/v1/configuration", operatorKey.token, writeJson(body)),
        [this, hasSpareKey, requestId, change, number](http_response &&answer) {
            recordChangeAnswer(number, answer);
            messages::apply_reply reply;
            std::string detail;
            if (answer.status != 200 || readJson(answer.body, &reply, &detail)) {
                return;
            }
            ++summary.configurations;
            const auto [version, isNew] = digestOfVersion.emplace(reply.version(), reply.digest());
            FILBERT_INVARIANT(version->second == reply.digest(),
                              "a version identifies exactly one configuration");
            const auto [request, isFirst] = versionOfRequest.emplace(requestId, reply.version());
            FILBERT_INVARIANT(request->second == reply.version(),
                              "a resent change gets its original answer");
            knownVersion = std::max(knownVersion, reply.version());
            if (!hasSpareKey && isFirst) {
                pollUntilInForce(reply.version(), change);
            }
        });
}

void random_cell::recordChangeAnswer(std::size_t number, const http_response &answer)
{
    auto &change = configurationHistory[number];
    messages::apply_reply reply;
    messages::problem problem;
    std::string detail;
    if (answer.status == 200 && !readJson(answer.body, &reply, &detail)) {
        change.call.result = change_result::Accepted;
        change.call.version = reply.version();
    } else if (!readJson(answer.body, &problem, &detail) && problem.kind() == "conflict") {
        change.call.result = change_result::Conflict;
    } else {
        return; // after any other answer the change may or may not have been accepted
    }
    change.returnedAt = time.now.ms;
}

void random_cell::queryVersion()
{
    randomGateway().request(
        makeRequest("GET", "/v1/members", operatorKey.token, ""), [this](http_response &&answer) {
            messages::status_reply status;
            std::string detail;
            if (answer.status == 200 && !readJson(answer.body, &status, &detail)) {
                knownVersion = std::max(knownVersion, status.version());
            }
        });
}

void random_cell::pollUntilInForce(std::int64_t version, std::uint64_t change)
{
    if (change != configurationChangeCount) {
        return; // a later change may have restored the key
    }
    auto request = makeRequest("GET", "/v1/members", operatorKey.token, "");
    request.query = "version=" + std::to_string(version);
    randomGateway().request(std::move(request), [this, version, change](http_response &&answer) {
        messages::status_reply status;
        std::string detail;
        const bool isKnown = answer.status == 200 && !readJson(answer.body, &status, &detail);
        if (isKnown && status.in_force() && status.version() == version) {
            isSpareKeyRevoked = change == configurationChangeCount;
        } else {
            time.schedule(500, [this, version, change] { pollUntilInForce(version, change); });
        }
    });
}

} // namespace filbert

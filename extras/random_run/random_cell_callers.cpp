#include "random_cell.h"

#include "run_requests.h"

#include <algorithm>

namespace filbert {

void random_cell::simulateCaller()
{
    if (!isHealed) {
        time.schedule(static_cast<std::int64_t>(20 + time.randomBelow(200)),
                      [this] { simulateCaller(); });
    }
    const auto team = time.chance(400) ? std::string {"limited"} : std::string {"free"};
    const auto body = team + ":" + std::to_string(++lastRequestNumber);
    const auto token = team == "limited" ? cachedKey("limited-desk").token
        : time.chance(300)               ? spareKey.token
                                         : teamKey.token;
    switch (time.randomBelow(8)) {
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
        if (!nonIdempotentRequests.empty()) {
            auto which = std::next(
                nonIdempotentRequests.begin(),
                static_cast<std::ptrdiff_t>(time.randomBelow(nonIdempotentRequests.size())));
            const auto owner = which->second.body.substr(0, which->second.body.find(':'));
            sendService("die", which->second.body, which->second.key,
                        owner == "limited" ? cachedKey("limited-desk").token : teamKey.token);
        }
        break;
    default:
        sendService("quote", body, "", token);
    }
}

void random_cell::sendService(const std::string &service, const std::string &body,
                              const std::string &key, const std::string &token)
{
    auto request = makeRequest("POST", "/v1/services/" + service, token, body);
    request.idempotencyKey = key;
    request.deadline = {static_cast<std::int64_t>(500 + time.randomBelow(4'000))};
    if (!key.empty()) {
        auto &sentRequest = nonIdempotentRequests[key];
        sentRequest.body = body;
        sentRequest.key = key;
        ++sentRequest.sendCount;
    }
    const bool isRevoked = token == spareKey.token && isSpareKeyRevoked;
    const auto revocationNumber = isRevoked ? configurationChangeCount + 1 : 0;
    ++summary.unanswered;
    randomGateway().request(std::move(request),
                            [this, body, key, revocationNumber](http_response &&answer) {
                                --summary.unanswered;
                                handleServiceAnswer(body, key, revocationNumber, std::move(answer));
                            });
}

void random_cell::handleServiceAnswer(const std::string &body, const std::string &key,
                                      std::uint64_t revocationNumber, http_response &&answer)
{
    addToDigest(static_cast<std::uint64_t>(answer.status));
    if (answer.status == 200) {
        ++summary.answered;
        FILBERT_INVARIANT(answer.body == "did " + body,
                          "a caller gets the complete answer to its own request");
        FILBERT_INVARIANT(revocationNumber == 0 || revocationNumber != configurationChangeCount + 1,
                          "a revoked key is no longer accepted");
        return;
    }
    ++summary.refused;
    messages::problem problem;
    std::string detail;
    FILBERT_INVARIANT(!readJson(answer.body, &problem, &detail),
                      "a refusal has a valid problem document");
    if (problem.outcome() != "not_run") {
        return;
    }
    if (key.empty()) {
        checks.recordNotRun(body);
        return;
    }
    auto &sentRequest = nonIdempotentRequests.at(key);
    if (++sentRequest.notRunCount == sentRequest.sendCount && sentRequest.sendCount == 1) {
        sentRequest.sendCount = 1'000; // a resend may still run it, so this isn't counted again
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
    body.set_tasks(static_cast<int>(1 + time.randomBelow(isGang ? 5 : 3)));
    body.mutable_task()->set_milli_cores(static_cast<int>(500 + time.randomBelow(3'000)));
    body.mutable_task()->set_memory_mb(512);
    body.mutable_task()->set_accelerators(time.chance(300) ? 1 : 0);
    body.set_idempotent(isIdempotent);
    body.set_payload(isIdempotent ? "again" : "once");
    auto request = makeRequest("POST", "/v1/jobs", teamKey.token, writeJson(body));
    request.idempotencyKey = "job-" + std::to_string(++lastRequestNumber);
    randomGateway().request(std::move(request), [this](http_response &&answer) {
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
    const auto which = std::next(
        acceptedJobs.begin(), static_cast<std::ptrdiff_t>(time.randomBelow(acceptedJobs.size())));
    randomGateway().request(
        makeRequest("DELETE", "/v1/jobs/" + std::to_string(which->first), teamKey.token, ""),
        [](http_response &&) {});
}

} // namespace filbert

#include "random_cell.h"

#include "run_requests.h"

#include <algorithm>

namespace filbert {

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
    anyGateway().request(std::move(request), [this, body, key, seen](http_response &&answer) {
        --summary.unanswered;
        takeServiceAnswer(body, key, seen, std::move(answer));
    });
}

void random_cell::takeServiceAnswer(const std::string &body, const std::string &key,
                                    std::uint64_t withdrawalsSeen, http_response &&answer)
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
        checks.toldNotRun(body);
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
    anyGateway().request(std::move(request), [this](http_response &&answer) {
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
        [](http_response &&) {});
}

} // namespace filbert

#include "policy.h"

#include <cmath>

namespace review {

namespace {

using nlohmann::json;

/** @return the step of a task: its name without the index */
std::string stepOf(const std::string &task)
{
    return task.substr(0, task.rfind('.'));
}

} // namespace

json makeAdvice()
{
    return {
        {"decideMs", policyDecideMs}, {"eachMs", policyPerWorkerMs}, {"validMs", ticketValidityMs}};
}

bool isTicketValid(const std::string &ticket, const std::string &worker, const std::string &task)
{
    const auto prefix = worker + "/" + stepOf(task) + "/";
    return ticket.starts_with(prefix)
        && nowMs() - std::stoll(ticket.substr(prefix.size())) < ticketValidityMs;
}

policy_service::policy_service(const std::string &endpoint, record_file &recordFile)
    : record {recordFile}
    , listener {endpoint, [this](const http_request &request) { return advise(request); }}
{
}

http_response policy_service::advise(const http_request &request)
{
    const auto body = json::parse(request.body, nullptr, false);
    if (request.path != "/v1/advise" || body.is_discarded()) {
        return {400, "{}"};
    }
    const auto step = body.value("phase", std::string {});
    const auto workers = body.value("workers", std::vector<std::string> {});
    sleepMs(policyDecideMs + std::llround(policyPerWorkerMs * static_cast<double>(workers.size())));
    json answer {{"admitted", json::array()}};
    for (const auto &worker : workers) {
        auto ticket = worker;
        ticket.append("/").append(step).append("/").append(std::to_string(nowMs()));
        answer["admitted"].push_back({worker, ticket});
    }
    record.write("advice on " + step + " for " + std::to_string(workers.size()) + " workers");
    return {200, answer.dump()};
}

} // namespace review

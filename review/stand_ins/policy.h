#pragma once

#include "http.h"
#include "record.h"

#include <nlohmann/json.hpp>
#include <string>

namespace review {

/** What the policy of the queue takes, as in the site file: 150 ms and 2.1 ms for each worker. */
constexpr std::int64_t policyDecideMs = 150;
constexpr double policyPerWorkerMs = 2.1;
constexpr std::int64_t ticketValidityMs = 2'000;

/** @return the policy of the queue as a configuration names it */
nlohmann::json makeAdvice();

/** @return whether a ticket is for this worker and for the step of this task, and still valid */
bool isTicketValid(const std::string &ticket, const std::string &worker, const std::string &task);

/** The policy service. It lets each step run on all workers that it is asked about, and handles the
    calls of a gateway, which come on one connection, one after the other. */
class policy_service
{
public:
    policy_service(const std::string &endpoint, record_file &record);

private:
    http_response advise(const http_request &request);

    record_file &record;
    http_listener listener;
};

} // namespace review

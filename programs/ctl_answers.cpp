#include "ctl_answers.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(output, "text", "output format: text or json");

namespace filbert {

int reportFailure(const gateway_response &response)
{
    if (response.error) {
        std::cerr << "no gateway answered: " << response.error.message() << "\n";
        return exitNoGateway;
    }
    if (response.status < 300) {
        return exitSuccess;
    }
    messages::problem problem;
    std::string detail;
    if (readJson(response.body, &problem, &detail)) {
        std::cerr << "status " << response.status << ": " << response.body << "\n";
        return exitRefused;
    }
    std::cerr << problem.kind() << " (" << problem.outcome() << "): " << problem.title();
    if (!problem.detail().empty() && problem.detail() != problem.title()) {
        std::cerr << ": " << problem.detail();
    }
    std::cerr << "\n";
    return problem.outcome() == outcomeName(work_outcome::NotRun) ? exitRefused : exitUnknown;
}

bool isJson()
{
    return FLAGS_output == "json";
}

int fetch(const std::string &path, google::protobuf::Message *message)
{
    const auto response = sendRequest("GET", path, "", {});
    if (const int code = reportFailure(response)) {
        return code;
    }
    std::string detail;
    if (readJson(response.body, message, &detail)) {
        std::cerr << "cannot parse the gateway's response: " << detail << "\n";
        return exitRefused;
    }
    return exitSuccess;
}

int printJson(const google::protobuf::Message &message)
{
    std::cout << writeJson(message, true);
    return exitSuccess;
}

} // namespace filbert

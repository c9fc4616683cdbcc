#include "ctl_answers.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(output, "text", "text or json");

namespace filbert {

int report(const gateway_answer &answer)
{
    if (answer.error) {
        std::cerr << "no gateway answered: " << answer.error.message() << "\n";
        return exitNoGateway;
    }
    if (answer.status < 300) {
        return exitDone;
    }
    messages::problem problem;
    std::string detail;
    if (readJson(answer.body, &problem, &detail)) {
        std::cerr << "status " << answer.status << ": " << answer.body << "\n";
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
    const auto answer = askGateway("GET", path, "", {});
    if (const int code = report(answer)) {
        return code;
    }
    std::string detail;
    if (readJson(answer.body, message, &detail)) {
        std::cerr << "an answer that cannot be read: " << detail << "\n";
        return exitRefused;
    }
    return exitDone;
}

int printJson(const google::protobuf::Message &message)
{
    std::cout << writeJson(message, true);
    return exitDone;
}

} // namespace filbert

#include "ctl_answers.h"
#include "filbertctl_commands.h"

#include "filbert_configuration/filbert_configuration.h"

#include <chrono>
#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DEFINE_bool(wait, false, "after 'apply', wait until the configuration is in force everywhere");
DEFINE_int64(base_version, -1, "version that the change is based on; -1 = the current version");
DEFINE_string(request_id, "",
              "identifier that makes it safe to resend the change; random if empty");
DECLARE_int32(wait_ms);

namespace filbert {

namespace {

constexpr std::size_t requestIdBytes = 8;

int readConfigurationFiles(const argument_list &files, messages::configuration *configuration)
{
    if (files.empty()) {
        std::cerr << "expected at least one configuration file\n";
        return exitUsage;
    }
    std::vector<configuration_problem> problems;
    readConfiguration(files, configuration, &problems);
    for (const auto &problem : problems) {
        std::cerr << (problem.file.empty() ? "configuration" : problem.file) << ":" << problem.line
                  << ": " << problem.field << ": expected " << problem.expected << "\n";
    }
    return problems.empty() ? exitSuccess : exitUsage;
}

int waitUntilInForce(std::int64_t version)
{
    const auto deadline = monotonicNow() + milliseconds {FLAGS_wait_ms};
    while (monotonicNow() < deadline) {
        messages::status_reply status;
        if (fetch("/v1/members?version=" + std::to_string(version), &status) == exitSuccess
            && status.in_force()) {
            std::cout << "in force everywhere\n";
            return exitSuccess;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds {pollMs});
    }
    std::cerr << "timed out: the configuration is not yet known to be in force everywhere\n";
    return exitUnknown;
}

} // namespace

int checkFiles(const argument_list &files)
{
    messages::configuration configuration;
    if (const int code = readConfigurationFiles(files, &configuration)) {
        return code;
    }
    std::cout << "right: " << configuration.teams_size() << " teams, "
              << configuration.queues_size() << " queues, " << configuration.services_size()
              << " services\n";
    return exitSuccess;
}

int diffFiles(const argument_list &files)
{
    messages::configuration configuration;
    messages::status_reply current;
    if (const int code = readConfigurationFiles(files, &configuration)) {
        return code;
    }
    if (const int code = fetch("/v1/configuration", &current)) {
        return code;
    }
    const auto currentItems = itemsOf(current.configuration());
    for (const auto &item : changesBetween(currentItems, itemsOf(configuration))) {
        const char *sign = item.removed() ? "-" : (currentItems.contains(item.key()) ? "~" : "+");
        std::cout << sign << " " << item.key() << "\n";
    }
    std::cout << "based on version " << current.version() << "\n";
    return exitSuccess;
}

int applyFiles(const argument_list &files)
{
    messages::apply_request request;
    if (const int code = readConfigurationFiles(files, request.mutable_next())) {
        return code;
    }
    auto baseVersion = FLAGS_base_version;
    if (baseVersion < 0) {
        messages::status_reply current;
        if (const int code = fetch("/v1/members", &current)) {
            return code;
        }
        baseVersion = current.version();
    }
    request.set_base_version(baseVersion);
    request.set_request_id(FLAGS_request_id.empty() ? randomHex(requestIdBytes) : FLAGS_request_id);
    const auto response = sendRequest("PUT", "/v1/configuration", writeJson(request), {});
    if (const int code = reportFailure(response)) {
        return code;
    }
    messages::apply_reply reply;
    std::string detail;
    readJson(response.body, &reply, &detail);
    if (isJson()) {
        printJson(reply);
    } else {
        std::cout << "version " << reply.version() << ": " << reply.summary() << "\n";
    }
    return FLAGS_wait ? waitUntilInForce(reply.version()) : exitSuccess;
}

} // namespace filbert

#include "ctl_answers.h"
#include "filbertctl_commands.h"

#include "filbert_configuration/filbert_configuration.h"

#include <chrono>
#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DEFINE_bool(wait, false, "wait until an applied configuration is in force everywhere");
DEFINE_int64(base_version, -1, "version that the change is based on; -1 = the current one");
DEFINE_string(request_id, "", "name of this change, for a safe resend; made at random if empty");
DECLARE_int32(wait_ms);

namespace filbert {

namespace {

constexpr std::size_t requestIdBytes = 8;

int readFiles(const words &files, messages::configuration *whole)
{
    if (files.empty()) {
        std::cerr << "expected at least one configuration file\n";
        return exitUsage;
    }
    std::vector<configuration_problem> problems;
    readConfiguration(files, whole, &problems);
    for (const auto &problem : problems) {
        std::cerr << (problem.file.empty() ? "configuration" : problem.file) << ":" << problem.line
                  << ": " << problem.field << ": expected " << problem.expected << "\n";
    }
    return problems.empty() ? exitDone : exitUsage;
}

int waitInForce(std::int64_t version)
{
    const auto until = monotonicNow() + milliseconds {FLAGS_wait_ms};
    while (monotonicNow() < until) {
        messages::status_reply status;
        if (fetch("/v1/members?version=" + std::to_string(version), &status) == exitDone
            && status.in_force()) {
            std::cout << "in force everywhere\n";
            return exitDone;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds {pollMs});
    }
    std::cerr << "not yet known to be in force everywhere\n";
    return exitUnknown;
}

} // namespace

int checkFiles(const words &files)
{
    messages::configuration whole;
    if (const int code = readFiles(files, &whole)) {
        return code;
    }
    std::cout << "right: " << whole.teams_size() << " teams, " << whole.queues_size() << " queues, "
              << whole.services_size() << " services\n";
    return exitDone;
}

int diffFiles(const words &files)
{
    messages::configuration whole;
    messages::status_reply current;
    if (const int code = readFiles(files, &whole)) {
        return code;
    }
    if (const int code = fetch("/v1/configuration", &current)) {
        return code;
    }
    const auto old = itemsOf(current.configuration());
    for (const auto &item : changesBetween(old, itemsOf(whole))) {
        const char *sign = item.removed() ? "-" : (old.contains(item.key()) ? "~" : "+");
        std::cout << sign << " " << item.key() << "\n";
    }
    std::cout << "based on version " << current.version() << "\n";
    return exitDone;
}

int applyFiles(const words &files)
{
    messages::apply_request request;
    if (const int code = readFiles(files, request.mutable_next())) {
        return code;
    }
    auto base = FLAGS_base_version;
    if (base < 0) {
        messages::status_reply current;
        if (const int code = fetch("/v1/members", &current)) {
            return code;
        }
        base = current.version();
    }
    request.set_base_version(base);
    request.set_request_id(FLAGS_request_id.empty() ? randomHex(requestIdBytes) : FLAGS_request_id);
    const auto answer = askGateway("PUT", "/v1/configuration", writeJson(request), {});
    if (const int code = report(answer)) {
        return code;
    }
    messages::apply_reply reply;
    std::string detail;
    readJson(answer.body, &reply, &detail);
    if (isJson()) {
        printJson(reply);
    } else {
        std::cout << "version " << reply.version() << ": " << reply.summary() << "\n";
    }
    return FLAGS_wait ? waitInForce(reply.version()) : exitDone;
}

} // namespace filbert

#include "filbertctl_commands.h"

#include "gateway_connection.h"

#include "filbert_configuration/filbert_configuration.h"

#include "filbert_transport/filbert_transport.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <thread>

DEFINE_string(output, "text", "text or json");
DEFINE_bool(wait, false, "wait until an applied configuration is in force everywhere");
DEFINE_int32(wait_ms, 30'000, "longest time to wait");
DEFINE_int64(base_version, -1, "version that the change is based on; -1 = the current one");
DEFINE_string(request_id, "", "name of this change, for a safe resend; made at random if empty");
DEFINE_string(identity, "", "identity of a controller, as its --initialise printed it");
DEFINE_string(member_name, "", "name of a controller");
DEFINE_string(body, "", "body of a request");
DEFINE_string(idempotency_key, "", "the request runs at most once under this key");
DEFINE_int32(deadline_ms, 0, "deadline of a request; 0 = the service's own");
DEFINE_string(queue, "", "queue of a job");
DEFINE_string(service, "", "service whose targets run a job");
DEFINE_string(job_name, "", "name of a job, for learning its size");
DEFINE_int32(tasks, 1, "tasks of a job");
DEFINE_int32(milli_cores, 1'000, "of one task");
DEFINE_int32(memory_mb, 512, "of one task");
DEFINE_int32(accelerators, 0, "of one task");
DEFINE_bool(idempotent, false, "the job's tasks may run again after a failure");
DEFINE_string(payload, "", "what a job's tasks are given");

namespace filbert {

namespace {

constexpr int exitDone = 0;
constexpr int exitRefused = 1;
constexpr int exitUsage = 2;
constexpr int exitNoGateway = 3;
constexpr int exitUnknown = 4;
constexpr int pollMs = 200;
constexpr std::size_t requestIdBytes = 8;

using words = std::vector<std::string>;

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

/** Fetches a path into a message. @return an exit code, 0 on success */
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

// ---- configuration --------------------------------------------------------------------------

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
    const auto old = partsOf(current.configuration());
    for (const auto &item : differenceOf(old, partsOf(whole))) {
        const char *sign = item.removed() ? "-" : (old.contains(item.key()) ? "~" : "+");
        std::cout << sign << " " << item.key() << "\n";
    }
    std::cout << "based on version " << current.version() << "\n";
    return exitDone;
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

/** Writes one site file for each process; who has an address is a controller. */
int makeSite(const words &arguments)
{
    struct site_member
    {
        std::string name;
        std::string address;
        curve_pair keys;
    };
    std::vector<site_member> members;
    for (std::size_t i = 2; i < arguments.size(); ++i) {
        const auto equals = arguments[i].find('=');
        const auto address =
            equals == std::string::npos ? std::string {} : arguments[i].substr(equals + 1);
        if (equals != std::string::npos && !isEndpoint(address)) {
            std::cerr << "expected CONTROLLER=IP:PORT or GATEWAY, found " << arguments[i] << "\n";
            return exitUsage;
        }
        members.push_back({arguments[i].substr(0, equals), address, makeCurvePair()});
    }
    std::filesystem::create_directories(arguments[1]);
    for (const auto &self : members) {
        const auto path = arguments[1] + "/" + self.name + ".site";
        std::ofstream file {path};
        std::filesystem::permissions(
            path, std::filesystem::perms::owner_read | std::filesystem::perms::owner_write);
        file << "self " << self.keys.publicKey << " " << self.keys.secretKey << "\n";
        for (const auto &other : members) {
            if (!other.address.empty()) {
                file << "controller " << other.address << " " << other.keys.publicKey << "\n";
            }
            if (!self.address.empty()) {
                file << "allow " << other.name << " " << other.keys.publicKey << "\n";
            }
        }
        if (!file.flush()) {
            std::cerr << "cannot write " << path << "\n";
            return exitUsage;
        }
        std::cout << path << "\n";
    }
    return exitDone;
}

int makeKeys(const words &arguments)
{
    if (arguments.size() > 2 && arguments[0] == "site") {
        return makeSite(arguments);
    }
    if (arguments.size() != 2 || arguments[0] != "make") {
        std::cerr << "expected: keys make ID | keys site FOLDER CONTROLLER=IP:PORT... GATEWAY...\n";
        return exitUsage;
    }
    const auto made = makeKey(arguments[1]);
    if (isJson()) {
        std::cout << R"({"token":")" << made.token << R"(","stored":)" << writeJson(made.stored)
                  << "}\n";
        return exitDone;
    }
    std::cout << "token: " << made.token << "\n"
              << "stored: {id: " << made.stored.id() << ", salt: " << made.stored.salt()
              << ", hash: " << made.stored.hash() << "}\n"
              << "bootstrap: " << made.stored.id() << ":" << made.stored.salt() << ":"
              << made.stored.hash() << "\n";
    return exitDone;
}

// ---- status ---------------------------------------------------------------------------------

void printResources(const messages::resources &r)
{
    std::cout << r.milli_cores() << " mcores " << r.memory_mb() << " MB " << r.accelerators()
              << " acc " << r.slots() << " tasks";
}

int showStatus(const words & /*arguments*/)
{
    messages::status_reply status;
    if (const int code = fetch("/v1/status", &status)) {
        return code;
    }
    if (isJson()) {
        return printJson(status);
    }
    std::cout << "cell " << status.cell() << ", configuration " << status.version() << ", leader "
              << status.leader() << ", term " << status.term() << ", applied " << status.applied()
              << "\n\nteam            share  used%  waiting  running\n";
    constexpr int percent = 100;
    for (const auto &team : status.teams()) {
        std::cout << std::left << std::setw(14) << team.name() << std::right << std::setw(7)
                  << std::defaultfloat << std::setprecision(6) << team.share() << std::setw(7)
                  << std::fixed << std::setprecision(1) << team.used_share() * percent
                  << std::setw(9) << team.waiting() << "  ";
        printResources(team.used());
        std::cout << "\n";
    }
    std::cout << "\nqueue           waiting\n";
    for (const auto &queue : status.queues()) {
        std::cout << std::left << std::setw(14) << queue.name() << std::right << std::setw(9)
                  << queue.waiting() << "  " << messages::queue_policy_Name(queue.policy()) << "\n";
    }
    std::cout << "\ntarget          state        domain\n";
    for (const auto &target : status.targets()) {
        std::cout << std::left << std::setw(15) << target.name() << " " << std::setw(12)
                  << target.state() << " " << std::setw(8) << target.failure_domain() << " ";
        printResources(target.used());
        std::cout << " of ";
        printResources(target.capacity());
        std::cout << " " << target.reason() << "\n";
    }
    std::cout << "\ngateway         version\n";
    for (const auto &gateway : status.gateways()) {
        std::cout << std::left << std::setw(15) << gateway.name() << " " << gateway.version()
                  << "\n";
    }
    return exitDone;
}

int showAudit(const words & /*arguments*/)
{
    messages::status_reply status;
    if (const int code = fetch("/v1/audit", &status)) {
        return code;
    }
    if (isJson()) {
        return printJson(status);
    }
    for (const auto &record : status.audit()) {
        std::cout << record.wall_ms() << " " << record.author() << " base " << record.base_version()
                  << " version " << record.version() << " digest " << record.digest() << " "
                  << record.outcome() << ": " << record.summary() << "\n";
    }
    return exitDone;
}

int runMembers(const words &arguments)
{
    if (arguments.empty() || arguments[0] == "list") {
        messages::status_reply status;
        if (const int code = fetch("/v1/members", &status)) {
            return code;
        }
        if (isJson()) {
            return printJson(status);
        }
        for (const auto &member : status.members().members()) {
            std::cout << member.identity() << " " << member.name() << " " << member.address()
                      << (member.learner() ? " learner" : " voter")
                      << (member.identity() == status.leader() ? " leader" : "") << "\n";
        }
        return exitDone;
    }
    messages::member_change change;
    change.set_action(arguments[0]);
    if (arguments.size() != 2 || (arguments[0] != "add" && arguments[0] != "remove")
        || (arguments[0] == "add" && (FLAGS_identity.empty() || !isEndpoint(arguments[1])))) {
        std::cerr << "expected: members list | add IP:PORT --identity=I | remove IDENTITY\n";
        return exitUsage;
    }
    if (arguments[0] == "add") {
        change.mutable_member()->set_address("tcp://" + arguments[1]);
        change.mutable_member()->set_identity(FLAGS_identity);
        change.mutable_member()->set_name(FLAGS_member_name);
    } else {
        change.mutable_member()->set_identity(arguments[1]);
    }
    return report(askGateway("POST", "/v1/members", writeJson(change), {}));
}

// ---- work -----------------------------------------------------------------------------------

std::vector<http_header> workHeaders()
{
    std::vector<http_header> headers;
    if (!FLAGS_idempotency_key.empty()) {
        headers.push_back({"idempotency-key", FLAGS_idempotency_key});
    }
    if (FLAGS_deadline_ms > 0) {
        headers.push_back({"filbert-deadline-ms", std::to_string(FLAGS_deadline_ms)});
    }
    return headers;
}

int callService(const words &arguments)
{
    if (arguments.size() != 1) {
        std::cerr << "expected: call SERVICE\n";
        return exitUsage;
    }
    const auto answer =
        askGateway("POST", "/v1/services/" + arguments[0], FLAGS_body, workHeaders());
    if (const int code = report(answer)) {
        return code;
    }
    std::cout << answer.body << "\n";
    return exitDone;
}

void printJob(const messages::job_status &job)
{
    std::cout << "job " << job.id() << " " << job.state() << ": " << job.tasks() << " tasks, "
              << job.waiting() << " waiting, " << job.running() << " running, " << job.succeeded()
              << " succeeded, " << job.failed() << " failed, " << job.cancelled() << " cancelled, "
              << job.unknown() << " unknown\n";
}

int submitJob(const words & /*arguments*/)
{
    messages::submit_body body;
    body.set_queue(FLAGS_queue);
    body.set_service(FLAGS_service);
    body.set_name(FLAGS_job_name);
    body.set_tasks(FLAGS_tasks);
    body.mutable_task()->set_milli_cores(FLAGS_milli_cores);
    body.mutable_task()->set_memory_mb(FLAGS_memory_mb);
    body.mutable_task()->set_accelerators(FLAGS_accelerators);
    body.set_idempotent(FLAGS_idempotent);
    body.set_payload(FLAGS_payload);
    const auto answer = askGateway("POST", "/v1/jobs", writeJson(body), workHeaders());
    if (const int code = report(answer)) {
        return code;
    }
    messages::job_reply reply;
    std::string detail;
    readJson(answer.body, &reply, &detail);
    if (isJson()) {
        return printJson(reply);
    }
    std::cout << reply.job().id() << "\n";
    return exitDone;
}

int showJob(const words &arguments)
{
    messages::job_status job;
    if (arguments.size() != 1) {
        std::cerr << "expected the number of a job\n";
        return exitUsage;
    }
    if (const int code = fetch("/v1/jobs/" + arguments[0], &job)) {
        return code;
    }
    if (isJson()) {
        return printJson(job);
    }
    printJob(job);
    if (!job.reason().empty()) {
        std::cout << "  " << job.reason() << "\n";
    }
    if (job.position() > 0) {
        std::cout << "  place " << job.position() << " in its team's line, for " << job.waiting_ms()
                  << " ms\n";
    }
    return exitDone;
}

int listJobs(const words & /*arguments*/)
{
    messages::job_list list;
    if (const int code = fetch("/v1/jobs", &list)) {
        return code;
    }
    if (isJson()) {
        return printJson(list);
    }
    for (const auto &job : list.jobs()) {
        printJob(job);
    }
    return exitDone;
}

int waitJob(const words &arguments)
{
    const auto until = monotonicNow() + milliseconds {FLAGS_wait_ms};
    std::string last;
    while (arguments.size() == 1 && monotonicNow() < until) {
        messages::job_status job;
        const int code = fetch("/v1/jobs/" + arguments[0], &job);
        if (code == exitRefused) {
            return code;
        }
        const auto line =
            job.state() + " " + std::to_string(job.succeeded()) + "/" + std::to_string(job.tasks());
        if (line != last && code == exitDone) {
            std::cerr << line << "\n";
            last = line;
        }
        const bool hasEnded = code == exitDone && job.waiting() == 0 && job.running() == 0;
        if (hasEnded) {
            printJob(job);
            return job.state() == "succeeded" ? exitDone
                                              : (job.unknown() > 0 ? exitUnknown : exitRefused);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds {pollMs});
    }
    std::cerr << "not ended\n";
    return exitUnknown;
}

int changeJob(const std::string &method, const words &arguments, const std::string &suffix)
{
    if (arguments.size() != 1) {
        std::cerr << "expected the number of a job\n";
        return exitUsage;
    }
    return report(askGateway(method, "/v1/jobs/" + arguments[0] + suffix, "", {}));
}

int cancelJob(const words &arguments)
{
    return changeJob("DELETE", arguments, "");
}

int holdJob(const words &arguments)
{
    return changeJob("POST", arguments, "/hold");
}

int releaseJob(const words &arguments)
{
    return changeJob("POST", arguments, "/release");
}

/** One row: a command and what it runs. */
struct command_row
{
    std::string_view name;
    int (*run)(const words &arguments);
};

constexpr command_row commands[] = {
    {"keys", makeKeys},     {"check", checkFiles},   {"diff", diffFiles},   {"apply", applyFiles},
    {"status", showStatus}, {"audit", showAudit},    {"call", callService}, {"submit", submitJob},
    {"show", showJob},      {"explain", showJob},    {"list", listJobs},    {"wait", waitJob},
    {"cancel", cancelJob},  {"members", runMembers}, {"hold", holdJob},     {"release", releaseJob},
};

} // namespace

int runCommand(const std::vector<std::string> &given)
{
    const auto *found = std::find_if(std::begin(commands), std::end(commands),
                                     [&](const auto &row) { return row.name == given[0]; });
    if (found == std::end(commands)) {
        std::cerr << "unknown command " << given[0] << "; see --help\n";
        return exitUsage;
    }
    return found->run({given.begin() + 1, given.end()});
}

} // namespace filbert

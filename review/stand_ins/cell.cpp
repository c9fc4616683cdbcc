#include "cell.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int controllerCount = 3;
constexpr int firstControllerAddress = 10;
constexpr int firstGatewayAddress = 20;
constexpr int policyAddress = 50;
constexpr int controlPort = 8688;
constexpr int frontPort = 8686;
constexpr int readinessPort = 8689;
constexpr int messagePort = 7180;
constexpr int metricsPort = 7181;
constexpr int policyPort = 8683;
constexpr std::int64_t answerTimeoutMs = 1'000;
constexpr std::int64_t callerDeadlineMs = 3'000;
constexpr std::int64_t retryDelayMs = 200;
constexpr std::int64_t patienceMs = 20'000;

const char *const hostName = "desk.example";
const char *const queuePrefix = "/quotes/";
const char *const teamKey = "3hh2b9wu3fexd9dnn2ct";

/** A prefix of addresses that differs between cases that run at the same time. */
std::string chooseAddressPrefix()
{
    const auto id = ::getpid();
    return "127." + std::to_string(1 + id / 250 % 250) + "." + std::to_string(1 + id % 250) + ".";
}

bool isLeading(const std::string &metrics)
{
    std::istringstream lines {metrics};
    std::string line;
    while (std::getline(lines, line)) {
        if (line.starts_with("filbert") && line.find("leading") != std::string::npos
            && line.ends_with(" 1")) {
            return true;
        }
    }
    return false;
}

} // namespace

cell::cell(const case_paths &casePaths, record_file &recordFile, int gatewayCount)
    : paths {casePaths}
    , record {recordFile}
    , addressPrefix {chooseAddressPrefix()}
{
    for (int i = 0; i < controllerCount; ++i) {
        controls.push_back(address(firstControllerAddress + i) + ":" + std::to_string(controlPort));
    }
    for (int i = 0; i < controllerCount; ++i) {
        addController(i);
    }
    for (int i = 0; i < gatewayCount; ++i) {
        addGateway(i);
    }
    for (auto &[name, each] : processes) {
        start(each, name);
    }
}

cell::~cell()
{
    for (auto &[name, each] : processes) {
        if (each.id > 0) {
            ::kill(each.id, SIGKILL);
            ::waitpid(each.id, nullptr, 0);
        }
    }
}

void cell::addController(int number)
{
    const auto name = "controller-" + std::to_string(number);
    const auto ip = address(firstControllerAddress + number);
    const auto settings = renderTemplate("controller.flags",
                                         {{"role", "controller"},
                                          {"nodeName", name},
                                          {"ip", ip},
                                          {"listen.controlPlane", controls[number]},
                                          {"dataDir", paths.work + "/data-" + name},
                                          {"bootstrap", "true"},
                                          {"faultTolerance.machines", "1"},
                                          {"bounds.holdMaxMs", "6000"}});
    auto &added = processes[name];
    added.program = paths.programs + "/filbert-platform-controller";
    added.settingsFile = paths.work + "/" + name + ".toml";
    std::ofstream {added.settingsFile} << settings;
}

void cell::addGateway(int number)
{
    const auto name = "gateway-" + std::to_string(number);
    const auto ip = address(firstGatewayAddress + number);
    fronts.push_back(ip + ":" + std::to_string(frontPort));
    const auto settings =
        renderTemplate("gateway.flags",
                       {{"role", "gateway"},
                        {"nodeName", name},
                        {"ip", ip},
                        {"listen.frontend", fronts.back()},
                        {"advice", policyEndpoint()},
                        {"listen.readiness", ip + ":" + std::to_string(readinessPort)}});
    auto &added = processes[name];
    added.program = paths.programs + "/filbert-platform-gateway";
    added.settingsFile = paths.work + "/" + name + ".toml";
    std::ofstream {added.settingsFile} << settings;
}

/** Replaces the placeholders of a template; those without a value become empty. */
std::string cell::renderTemplate(const std::string &name,
                                 const std::map<std::string, std::string> &values) const
{
    std::ifstream stream {paths.templates + "/" + name};
    const std::string text {std::istreambuf_iterator<char> {stream}, {}};
    auto all = values;
    all.insert({{"internalPorts.0", std::to_string(messagePort)},
                {"internalPorts.1", std::to_string(metricsPort)},
                {"zone", "morava-a"},
                {"limits.linkMbps", "1000.0"}});
    for (const auto &control : controls) {
        all["seeds"] += (all["seeds"].empty() ? "" : ",") + control;
    }
    std::string rendered;
    std::size_t position = 0;
    while (position < text.size()) {
        const auto begin = text.find("{{", position);
        const auto end = text.find("}}", begin);
        if (begin == std::string::npos || end == std::string::npos) {
            break;
        }
        rendered += text.substr(position, begin - position);
        rendered += all[text.substr(begin + 2, end - begin - 2)];
        position = end + 2;
    }
    return rendered + text.substr(position);
}

void cell::start(process &started, const std::string &name) const
{
    const auto logFile = paths.work + "/" + name + ".log";
    constexpr mode_t readableByAll = 0644;
    auto settings = "FILBERTRAMP_SETTINGS=" + started.settingsFile;
    std::array<char *, 2> arguments {started.program.data(), nullptr};
    std::array<char *, 2> environment {settings.data(), nullptr};
    const auto parent = ::getpid();
    started.id = ::fork();
    if (started.id == 0) {
        // The process must not outlive this one, however this one ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log =
            ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, readableByAll);
        if (::getppid() == parent && log >= 0 && ::dup2(log, STDOUT_FILENO) >= 0
            && ::dup2(log, STDERR_FILENO) >= 0) {
            ::execve(started.program.c_str(), arguments.data(), environment.data());
        }
        ::_exit(1);
    }
    if (started.id < 0) {
        record.write("failed to start " + name);
    }
}

void cell::signal(const std::string &name, int number)
{
    record.write("signal " + std::to_string(number) + " to " + name);
    auto &each = processes.at(name);
    if (each.id <= 0) {
        return;
    }
    ::kill(each.id, number);
    if (number == SIGKILL) {
        ::waitpid(each.id, nullptr, 0);
        each.id = 0;
    }
}

void cell::restart(const std::string &name)
{
    record.write("start of " + name);
    start(processes.at(name), name);
}

bool cell::isRunning(const std::string &name)
{
    auto &each = processes.at(name);
    if (each.id > 0 && ::waitpid(each.id, nullptr, WNOHANG) == each.id) {
        each.id = 0;
    }
    return each.id > 0;
}

std::size_t cell::memoryOf(const std::string &name) const
{
    std::ifstream stream {"/proc/" + std::to_string(processes.at(name).id) + "/statm"};
    std::size_t total = 0;
    std::size_t resident = 0;
    stream >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

int cell::countInLog(const std::string &name, const std::string &text) const
{
    std::ifstream stream {paths.work + "/" + name + ".log"};
    const std::string log {std::istreambuf_iterator<char> {stream}, {}};
    int count = 0;
    for (auto at = log.find(text); at != std::string::npos; at = log.find(text, at + 1)) {
        ++count;
    }
    return count;
}

std::string cell::leader() const
{
    for (int i = 0; i < controllerCount; ++i) {
        const auto endpoint =
            address(firstControllerAddress + i) + ":" + std::to_string(metricsPort);
        if (isLeading(callHttp(endpoint, "GET", "/metrics", {}, {}, answerTimeoutMs).body)) {
            return "controller-" + std::to_string(i);
        }
    }
    return {};
}

std::string cell::policyEndpoint() const
{
    return address(policyAddress) + ":" + std::to_string(policyPort);
}

bool cell::configure(const nlohmann::json &document)
{
    const auto deadline = nowMs() + patienceMs;
    for (std::size_t i = 0; nowMs() < deadline; ++i) {
        const auto &endpoint = controls[i % controls.size()];
        const auto response = callHttp(endpoint, "PUT", "/v1/config", {{"Host", endpoint}},
                                       document.dump(), answerTimeoutMs);
        if (response.status == 200) {
            record.write("configuration " + document["version"].dump() + " acknowledged");
            return true;
        }
        sleepMs(retryDelayMs);
    }
    return false;
}

nlohmann::json makeConfiguration(int version, int maxAttempts, const nlohmann::json &advice)
{
    nlohmann::json document {{"version", version}};
    document["routes"] = {{{"name", "quotes"},
                           {"host", hostName},
                           {"pathPrefix", queuePrefix},
                           {"kind", "non_idempotent"},
                           {"timeoutMs", 3'000},
                           {"targetLatencyMs", 2'500},
                           {"priority", 1},
                           {"service", "orders"},
                           {"maxAttempts", maxAttempts},
                           {"slackFactor", 2.2},
                           {"anonymous", false}}};
    if (!advice.is_null()) {
        document["routes"][0]["advice"] = advice;
    }
    document["services"] = {{{"name", "orders"},
                             {"healthPath", "/healthz"},
                             {"maxConns", 64},
                             {"protocol", "h1"},
                             {"tlsEnabled", false},
                             {"rejectsOverload", false},
                             {"standby", false}}};
    document["limits"] = {{"maxHeaderBytes", 16'384},
                          {"maxBodyBytes", 262'144},
                          {"headerTimeoutMs", 3'000},
                          {"idleTimeoutMs", 15'000}};
    document["tenants"] = {
        {{"name", "desk"}, {"apiKeys", {teamKey}}, {"priority", 1}, {"weight", 13}}};
    return document;
}

http_response caller::call(const std::string &method, const std::string &id,
                           const std::string &body)
{
    const auto &fronts = servers.frontEndpoints();
    const auto &endpoint = fronts[onlyGateway.value_or(attempts++ % fronts.size())];
    return callHttp(endpoint, method, queuePrefix + id,
                    {{"Host", hostName},
                     {"Authorization", std::string {"Bearer "} + teamKey},
                     {"Filbertramp-Deadline-Ms", std::to_string(callerDeadlineMs)}},
                    body, callerDeadlineMs);
}

bool caller::submit(const std::string &id, const nlohmann::json &job)
{
    const auto deadline = nowMs() + patienceMs;
    while (nowMs() < deadline) {
        const auto response = call("POST", id, job.dump());
        record.write("POST " + id + " -> " + std::to_string(response.status));
        if (response.status >= 200 && response.status < 300) {
            return true;
        }
        sleepMs(retryDelayMs);
    }
    return false;
}

std::string caller::state(const std::string &id)
{
    const auto response = call("GET", id, {});
    if (response.status == 410) {
        return "unknown";
    }
    return response.status == 200
        ? nlohmann::json::parse(response.body).value("state", std::string {})
        : std::string {};
}

bool caller::cancel(const std::string &id)
{
    const auto deadline = nowMs() + patienceMs;
    while (nowMs() < deadline) {
        const auto response = call("DELETE", id, {});
        record.write("DELETE " + id + " -> " + std::to_string(response.status));
        if (response.status == 200 || response.status == 410) {
            return true;
        }
        sleepMs(retryDelayMs);
    }
    return false;
}

} // namespace review

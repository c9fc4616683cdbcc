#include "cell.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

using nlohmann::json;

constexpr const char *zones[] = {"zone-a", "zone-b", "zone-c"};
constexpr int gatewayNumber = 20; // the last byte of the address of the first gateway
constexpr int workerNumber = 50;
constexpr int controllerNumber = 10;
constexpr unsigned caseSeconds = 115;

std::string readFile(const std::string &path)
{
    std::ifstream file {path};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void replaceAll(std::string *text, const std::string &from, const std::string &to)
{
    for (auto at = text->find(from); at != std::string::npos;
         at = text->find(from, at + to.size())) {
        text->replace(at, from.size(), to);
    }
}

std::string fill(std::string text, const std::map<std::string, std::string> &values)
{
    replaceAll(&text, "{{#zones}}{{@}}{{,}}{{/zones}}", "zone-a,zone-b,zone-c");
    for (const auto &[name, value] : values) {
        replaceAll(&text, "{{" + name + "}}", value);
    }
    return text;
}

/** @return the command of a role in the deploy file */
std::string commandOf(const std::string &role)
{
    const auto text = readFile("deploy/system.toml");
    const auto section = text.find("[roles." + role + "]");
    const auto begin = text.find("run = \"", section) + 7;
    return text.substr(begin, text.find('"', begin) - begin);
}

std::vector<std::string> splitWords(const std::string &text)
{
    std::istringstream stream {text};
    std::vector<std::string> words;
    for (std::string word; stream >> word;) {
        words.push_back(word);
    }
    return words;
}

std::string zoneOf(int number)
{
    return zones[number % 3];
}

} // namespace

cell::cell(const cell_settings &settings, std::string recordPath)
    : settings {settings}
    , recordPath {std::move(recordPath)}
{
    prctl(PR_SET_PDEATHSIG, SIGKILL); // also if the script is killed
    alarm(caseSeconds);
    signal(SIGPIPE, SIG_IGN);
    std::filesystem::remove(this->recordPath);
    const auto *parent = getenv("TMPDIR");
    temporaryFolder = std::string {parent != nullptr ? parent : "/tmp"} + "/filbert-review-XXXXXX";
    if (mkdtemp(temporaryFolder.data()) == nullptr) {
        throw std::runtime_error {"no temporary folder"};
    }
    // Addresses and ports that no other cell on this machine is likely to use at the same time.
    network = 1 + static_cast<int>(getpid() % 250);
    basePort = 20'000 + static_cast<int>(getpid() / 250 % 1'000) * 10;
}

cell::~cell()
{
    for (const auto &[name, pid] : processes) {
        ::kill(pid, SIGCONT);
        ::kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    if (getenv("REVIEW_KEEP") == nullptr) {
        std::filesystem::remove_all(temporaryFolder);
    }
}

std::string cell::hostOf(int number) const
{
    return "127." + std::to_string(network) + ".77." + std::to_string(number);
}

std::string cell::controlOf(int controller) const
{
    return hostOf(controllerNumber + controller) + ":" + std::to_string(basePort + 2);
}

std::string cell::frontOf(int gateway) const
{
    return hostOf(gatewayNumber + gateway) + ":" + std::to_string(basePort);
}

pid_t cell::pidOf(const std::string &name) const
{
    const auto found = processes.find(name);
    return found == processes.end() ? -1 : found->second;
}

pid_t cell::spawn(const std::string &name, const std::vector<std::string> &words,
                  const std::string &settingsPath)
{
    const auto logPath = temporaryFolder + "/" + name + ".log";
    std::vector<char *> arguments;
    arguments.reserve(words.size() + 1);
    for (const auto &word : words) {
        arguments.push_back(const_cast<char *>(word.c_str()));
    }
    arguments.push_back(nullptr);
    const pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // also if this program is killed
        const int log = open(logPath.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        setenv("FILBERTRAMP_SETTINGS", settingsPath.c_str(), 1);
        execv(arguments[0], arguments.data());
        _exit(127);
    }
    processes[name] = pid;
    record("started " + name);
    return pid;
}

void cell::startProgram(const std::string &name, const std::string &role, int number,
                        const std::map<std::string, std::string> &values)
{
    const auto host = hostOf(number);
    std::string seeds;
    for (int i = 0; i < settings.controllers; ++i) {
        seeds += (i > 0 ? "," : "") + controlOf(i);
    }
    const auto isGateway = role == "gateway";
    std::map<std::string, std::string> all {
        {"role", role},
        {"nodeName", name},
        {"ip", host},
        {"seeds", seeds},
        {"listen.controlPlane", host + ":" + std::to_string(basePort + 2)},
        {"listen.frontend", host + ":" + std::to_string(basePort)},
        {"listen.readiness", host + ":" + std::to_string(basePort + 1)},
        {"advice", ""},
        {"dataDir", temporaryFolder + "/" + name},
        {"internalPorts.0", std::to_string(basePort + 3)},
        {"internalPorts.1", std::to_string(basePort + 4)},
        {"faultTolerance.machines", "1"},
        {"bounds.holdMaxMs", "6000"},
        {"limits.cpuShare", isGateway ? "0.25" : "0.5"},
        {"limits.memoryMb", isGateway ? "260" : "256"},
        {"limits.maxFds", isGateway ? "4100" : "4096"},
        {"limits.linkMbps", "1000"},
        {"zone", zoneOf(number)}};
    for (const auto &[field, value] : values) {
        all[field] = value;
    }
    const auto settingsPath = temporaryFolder + "/" + name + ".settings";
    std::ofstream {settingsPath} << fill(readFile("deploy/" + role + ".flags"), all);
    spawn(name, splitWords(fill(commandOf(role), all)), settingsPath);
}

void cell::startController(int index, bool isFirstStart)
{
    startProgram("controller-" + std::to_string(index), "controller", controllerNumber + index,
                 {{"bootstrap", isFirstStart ? "true" : "false"}});
}

void cell::startGateway(int index)
{
    startProgram("gateway-" + std::to_string(index), "gateway", gatewayNumber + index, {});
}

void cell::startWorker(int index)
{
    std::string controls;
    for (int i = 0; i < settings.controllers; ++i) {
        controls += (i > 0 ? "," : "") + controlOf((i + index) % settings.controllers);
    }
    const auto number = std::to_string(index);
    spawn("worker-" + number,
          {"build-review-3/bin/worker", "i-worker-" + number,
           hostOf(workerNumber + index) + ":" + std::to_string(basePort), "orders", zoneOf(index),
           index == 0 ? "b" : "a", "r-" + number, std::to_string(settings.workerCpu), controls,
           std::filesystem::absolute(recordPath).string()},
          "");
}

bool cell::start()
{
    for (int i = 0; i < settings.controllers; ++i) {
        startController(i, true);
    }
    for (int i = 0; i < settings.gateways; ++i) {
        startGateway(i);
    }
    if (!configure(configurationText(1, 3), 25s)) {
        return false;
    }
    for (int i = 0; i < settings.workers; ++i) {
        startWorker(i);
    }
    std::this_thread::sleep_for(2'500ms); // all workers have sent heartbeats by then
    return true;
}

void cell::signalProcess(const std::string &name, int signal)
{
    record("signal " + std::to_string(signal) + " to " + name);
    ::kill(processes.at(name), signal);
}

void cell::kill(const std::string &name)
{
    signalProcess(name, SIGKILL);
    waitpid(processes.at(name), nullptr, 0);
    processes.erase(name);
}

bool cell::hasEnded(const std::string &name)
{
    const auto found = processes.find(name);
    int status = 0;
    if (found == processes.end() || waitpid(found->second, &status, WNOHANG) != found->second) {
        return false;
    }
    record(name + " ended by itself with "
           + (WIFEXITED(status) ? "code " + std::to_string(WEXITSTATUS(status))
                                : "signal " + std::to_string(WTERMSIG(status))));
    processes.erase(found);
    return true;
}

bool cell::configure(const std::string &document, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    http_message request;
    request.method = "PUT";
    request.path = "/v1/config";
    request.body = document;
    for (int i = 0; std::chrono::steady_clock::now() < deadline; ++i) {
        const auto response =
            callOnce(controlOf(i % settings.controllers), request, "control", 1'000ms);
        if (response && response->status == 200) {
            record("configuration acknowledged");
            return true;
        }
        std::this_thread::sleep_for(100ms);
    }
    record("configuration not acknowledged");
    return false;
}

int cell::call(int gateway, const std::string &method, const std::string &path,
               const std::string &body, std::chrono::milliseconds timeout,
               std::string *responseBody, const std::string &key)
{
    http_message request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers["Authorization"] = "Bearer " + key;
    request.headers["Filbertramp-Deadline-Ms"] = std::to_string(timeout.count());
    const auto response = callOnce(frontOf(gateway), request, clientHost, timeout);
    const int status = response ? response->status : 0;
    record("client " + method + " " + path + " at gateway-" + std::to_string(gateway) + ": "
           + (response ? std::to_string(status) + " " + response->body : "no response"));
    if (responseBody != nullptr) {
        *responseBody = response ? response->body : std::string {};
    }
    return status;
}

void cell::record(const std::string &text) const
{
    std::ofstream {recordPath, std::ios::app} << wallMs() << " " << text << "\n";
}

std::vector<std::string> cell::recorded(const std::vector<std::string> &texts) const
{
    std::ifstream file {recordPath};
    std::vector<std::string> lines;
    for (std::string line; std::getline(file, line);) {
        bool hasAll = true;
        for (const auto &text : texts) {
            hasAll = hasAll && line.find(text) != std::string::npos;
        }
        if (hasAll) {
            lines.push_back(line);
        }
    }
    return lines;
}

std::string configurationText(int version, int maxAttempts)
{
    const json document {{"version", version},
                         {"routes",
                          {{{"name", "r-quotes"},
                            {"host", clientHost},
                            {"pathPrefix", queuePath},
                            {"kind", "non_idempotent"},
                            {"timeoutMs", 3'000},
                            {"targetLatencyMs", 3'000},
                            {"priority", 0},
                            {"service", "orders"},
                            {"maxAttempts", maxAttempts},
                            {"slackFactor", 4.0},
                            {"anonymous", false}}}},
                         {"services",
                          {{{"name", "orders"},
                            {"healthPath", "/healthz"},
                            {"maxConns", 64},
                            {"protocol", "h1"},
                            {"tlsEnabled", false},
                            {"rejectsOverload", false},
                            {"standby", false}}}},
                         {"limits",
                          {{"maxHeaderBytes", 16'384},
                           {"maxBodyBytes", 262'144},
                           {"headerTimeoutMs", 3'000},
                           {"idleTimeoutMs", 15'000}}},
                         {"tenants",
                          {{{"name", "tenant-1"},
                            {"apiKeys", {"tenant-key"}},
                            {"priority", 1},
                            {"weight", 10},
                            {"cap", {{"cpu", 0}, {"memMb", 0}, {"gpu", 0}}}}}}};
    return document.dump();
}

} // namespace review

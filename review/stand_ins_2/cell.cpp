#include "cell.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

using nlohmann::json;

constexpr int controlPort = 8'688;
constexpr int messagePort = 7'180;
constexpr int frontPort = 8'686;
constexpr int readinessPort = 8'689;
constexpr int workerPort = 8'080;
constexpr int controllers = 3;
constexpr int gateways = 2;
constexpr int firstGatewayNumber = 20;
constexpr int firstWorkerNumber = 30;
constexpr unsigned longestSeconds = 115; // of a case
constexpr int exitCouldNotRun = 2;
constexpr std::size_t longestShownBody = 300; // in the record
constexpr int callTimeoutMs = 3'000; // the deadline of the sites' clients
constexpr int controlTimeoutMs = 1'000;
constexpr std::int64_t startTimeoutMs = 15'000;
constexpr std::int64_t knownAfterMs = 3'500; // two heartbeats
constexpr int firstTimeoutMs = 3'000; // of the route
constexpr const char *host = "case.example";
constexpr const char *prefix = "/queue/";
constexpr const char *key = "key-of-the-only-tenant";

std::string readFile(const std::string &name)
{
    std::ifstream stream {name};
    return {std::istreambuf_iterator<char> {stream}, {}};
}

void replaceAll(std::string *text, const std::string &from, const std::string &to)
{
    for (auto at = text->find(from); at != std::string::npos;
         at = text->find(from, at + to.size())) {
        text->replace(at, from.size(), to);
    }
}

std::string configuration(int version, const std::string &routeName, int timeoutMs)
{
    json route {{"name", routeName},      {"host", host},
                {"pathPrefix", prefix},   {"kind", "non_idempotent"},
                {"timeoutMs", timeoutMs}, {"targetLatencyMs", 2'500},
                {"priority", 1},          {"service", "service"},
                {"maxAttempts", 3},       {"slackFactor", 2.2},
                {"anonymous", false}};
    json service {{"name", "service"}, {"healthPath", "/healthz"}, {"maxConns", 64},
                  {"protocol", "h1"},  {"tlsEnabled", false},      {"rejectsOverload", false},
                  {"standby", false}};
    json tenant {{"name", "tenant"},
                 {"apiKeys", {key}},
                 {"weight", 1},
                 {"cap", {{"cpu", 0}, {"memMb", 0}, {"gpu", 0}}}};
    json limits {{"maxHeaderBytes", 16'384},
                 {"maxBodyBytes", 262'144},
                 {"headerTimeoutMs", 3'000},
                 {"idleTimeoutMs", 15'000}};
    return json {{"version", version},
                 {"routes", json::array({route})},
                 {"services", json::array({service})},
                 {"limits", limits},
                 {"tenants", json::array({tenant})}}
        .dump();
}

} // namespace

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds {ms});
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string {value} != "0";
}

case_record::case_record(const std::string &file)
    : stream {file}
    , startedAt {wallMs()}
{
}

void case_record::write(const std::string &line)
{
    const std::lock_guard lock {mutex};
    auto ms = std::to_string(wallMs() - startedAt);
    ms.insert(0, ms.size() < 6 ? 6 - ms.size() : 0, ' ');
    stream << ms << " ms  " << line << std::endl;
}

cell::cell(case_record &record, int workerCount, std::int64_t milliCores)
    : record {record}
{
    // The processes of the cell end with this one, see startProcess().
    std::signal(SIGALRM, [](int) { _exit(exitCouldNotRun); });
    alarm(longestSeconds);
    auto name = (std::filesystem::temp_directory_path() / "filbert-case-XXXXXX").string();
    folder = mkdtemp(name.data());
    for (int i = 0; i < controllers; ++i) {
        control.push_back(address(10 + i) + ":" + std::to_string(controlPort));
        seeds.append(i == 0 ? "" : ",").append(control.back());
    }
    for (int i = 0; i < gateways; ++i) {
        fronts.push_back(address(firstGatewayNumber + i) + ":" + std::to_string(frontPort));
    }
    for (int i = 0; i < workerCount; ++i) {
        worker_settings settings;
        settings.name = "w" + std::to_string(i + 1);
        settings.ip = address(firstWorkerNumber + i);
        settings.port = workerPort;
        settings.service = "service";
        settings.control = control;
        settings.milliCores = milliCores;
        settings.kind = i == 0 ? "b" : "a"; // its first label
        workers.push_back(std::make_unique<worker>(
            settings, [&record](const std::string &line) { record.write(line); }));
    }
}

cell::~cell()
{
    workers.clear();
    for (const auto process : processes) {
        kill(process, SIGKILL);
        waitpid(process, nullptr, 0);
    }
    std::filesystem::remove_all(folder);
}

/** The addresses depend on the process id, so that several cases can run at the same time. */
std::string cell::address(int number) const
{
    const auto id = getpid();
    return "127." + std::to_string(1 + id / 250 % 250) + "." + std::to_string(id % 250) + "."
        + std::to_string(number);
}

void cell::startProcess(const std::string &name, const std::string &program,
                        const std::string &flagsFile, int number)
{
    auto settings = readFile(flagsFile);
    const auto data = folder / (name + "-data");
    std::filesystem::create_directories(data);
    const auto ip = address(number);
    const auto endpoint = [&](int port) { return ip + ":" + std::to_string(port); };
    const std::pair<std::string, std::string> values[] = {
        {"{{role}}-{{nodeName}}", name},
        {"{{ip}}", ip},
        {"{{listen.controlPlane}}", endpoint(controlPort)},
        {"{{listen.frontend}}", endpoint(frontPort)},
        {"{{listen.readiness}}", endpoint(readinessPort)},
        {"{{dataDir}}", data.string()},
        {"{{seeds}}", seeds},
        {"{{internalPorts.0}}", std::to_string(messagePort)},
        {"{{internalPorts.1}}", std::to_string(messagePort + 15)},
        {"{{bootstrap}}", "true"},
        {"{{faultTolerance.machines}}", "1"},
        {"{{bounds.holdMaxMs}}", "6000"},
        {"{{zone}}", "zone-a"},
        {"{{limits.linkMbps}}", "1000"},
        {"{{advice}}", ""},
    };
    for (const auto &[from, to] : values) {
        replaceAll(&settings, from, to);
    }
    const auto file = (folder / (name + ".flags")).string();
    std::ofstream {file} << settings;
    const auto variable = "FILBERTRAMP_SETTINGS=" + file;
    const auto log = (folder / (name + ".log")).string();
    const auto process = fork();
    if (process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // also if this program is killed
        constexpr mode_t readableByAll = 0644;
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, readableByAll);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        const char *const arguments[] = {program.c_str(), nullptr};
        const char *const variables[] = {variable.c_str(), nullptr};
        execve(program.c_str(), const_cast<char *const *>(arguments),
               const_cast<char *const *>(variables));
        _exit(127);
    }
    processes.push_back(process);
    record.write("process " + name + " is started: " + program);
}

bool cell::start()
{
    for (int i = 0; i < controllers; ++i) {
        startProcess("controller-" + std::to_string(i + 1),
                     "target/bin/filbert-platform-controller", "deploy/controller.flags", 10 + i);
    }
    for (int i = 0; i < gateways; ++i) {
        startProcess("gateway-" + std::to_string(i + 1), "target/bin/filbert-platform-gateway",
                     "deploy/gateway.flags", firstGatewayNumber + i);
    }
    for (const auto &each : workers) {
        each->start();
    }
    const bool isConfigured = configure(1, "queue", firstTimeoutMs);
    sleepMs(knownAfterMs);
    return isConfigured;
}

bool cell::configure(int version, const std::string &routeName, int timeoutMs)
{
    const auto body = configuration(version, routeName, timeoutMs);
    const auto deadline = wallMs() + startTimeoutMs;
    for (std::size_t i = 0; wallMs() < deadline; ++i) {
        const auto &endpoint = control[i % control.size()];
        const auto status =
            call(endpoint, {"PUT", "/v1/config", {}, body}, controlTimeoutMs).status;
        record.write("operator: PUT /v1/config " + body + " -> " + std::to_string(status));
        if (status == 200) {
            return true;
        }
        sleepMs(300);
    }
    return false;
}

response cell::callFront(const request &message)
{
    auto sent = message;
    sent.headers["host"] = host;
    sent.headers["authorization"] = std::string {"Bearer "} + key;
    sent.headers["filbertramp-deadline-ms"] = std::to_string(callTimeoutMs);
    return call(fronts[nextFront++ % fronts.size()], sent, callTimeoutMs);
}

int cell::submit(const std::string &job, const std::string &body)
{
    response answer;
    for (int attempt = 0; attempt < 5; ++attempt) {
        answer = callFront({"POST", prefix + job, {}, body});
        const auto shown =
            body.size() <= longestShownBody ? body : "(" + std::to_string(body.size()) + " bytes)";
        std::string line {"client: POST "};
        line.append(job).append(" ").append(shown).append(" -> ");
        record.write(line.append(std::to_string(answer.status)));
        if (answer.status != 0 && answer.status != 502 && answer.status != 504) {
            break;
        }
    }
    return answer.status;
}

std::string cell::stateOf(const std::string &job)
{
    const auto answer = callFront({"GET", prefix + job, {}, {}});
    std::string state;
    if (answer.status == 200) {
        state = json::parse(answer.body).value("state", std::string {});
    }
    record.write("client: GET " + job + " -> " + std::to_string(answer.status) + " " + state);
    return state;
}

int cell::statusOf(const std::string &job)
{
    const auto status = callFront({"GET", prefix + job, {}, {}}).status;
    record.write("client: GET " + job + " -> " + std::to_string(status));
    return status;
}

int cell::cancel(const std::string &job)
{
    const auto status = callFront({"DELETE", prefix + job, {}, {}}).status;
    record.write("client: DELETE " + job + " -> " + std::to_string(status));
    return status;
}

std::vector<run_record> cell::runsOf(const std::string &task) const
{
    std::vector<run_record> runs;
    for (const auto &each : workers) {
        for (const auto &run : each->history()) {
            if (run.task == task) {
                runs.push_back(run);
            }
        }
    }
    std::sort(runs.begin(), runs.end(),
              [](const auto &a, const auto &b) { return a.startedAt < b.startedAt; });
    return runs;
}

worker *cell::runnerOf(const std::string &task) const
{
    for (const auto &each : workers) {
        if (each->runs(task)) {
            return each.get();
        }
    }
    return nullptr;
}

std::int64_t cell::usedCores() const
{
    std::int64_t used = 0;
    for (const auto &each : workers) {
        used += each->usedCores();
    }
    return used;
}

} // namespace review

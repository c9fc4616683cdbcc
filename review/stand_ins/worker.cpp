#include "worker.h"

#include "policy.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace review {

namespace {

using nlohmann::json;

constexpr std::int64_t longestLeaseMs = 6'000; // holdMaxMs
constexpr std::int64_t stopDurationMs = 50; // far below stopMs
constexpr std::int64_t clockPeriodMs = 5;
constexpr std::int64_t heartbeatPeriodMs = 1'500; // heartbeatMs
constexpr std::int64_t heartbeatTimeoutMs = 1'000;
constexpr std::int64_t longestWaitMs = 2'000; // of a poll
constexpr std::int64_t startupMs = 300; // until a task that lasts is at work
constexpr std::int64_t drainPatienceMs = 5'000;
constexpr std::size_t endsPerAnswer = 500; // the pages: 500 at a time
constexpr int allWork = 100;

/** @return how long a task works, in ms; negative if it lasts */
double workOf(const std::string &spec, const std::string &task)
{
    const std::string prefix = "work";
    if (!spec.starts_with(prefix)) {
        return -1;
    }
    const auto mean = std::stod(spec.substr(prefix.size() + 1));
    if (spec[prefix.size()] == '=') {
        return mean;
    }
    constexpr std::size_t steps = 1'000;
    const auto draw = std::hash<std::string> {}(task) % steps;
    return mean * (0.5 + static_cast<double>(draw) / steps);
}

} // namespace

worker::worker(worker_settings workerSettings, worker_events workerEvents, record_file &recordFile)
    : settings {std::move(workerSettings)}
    , events {std::move(workerEvents)}
    , record {recordFile}
{
    restart();
    clockThread = std::thread {[this] { runClock(); }};
    heartbeatThread = std::thread {[this] { sendHeartbeats(); }};
}

worker::~worker()
{
    crash();
    {
        const std::lock_guard lock {mutex};
        isStopping = true;
    }
    changed.notify_all();
    clockThread.join();
    heartbeatThread.join();
}

void worker::crash()
{
    std::unique_ptr<http_listener> closed;
    {
        const std::lock_guard lock {mutex};
        if (!isUp) {
            return;
        }
        isUp = false;
        running.clear();
        closed = std::move(listener);
    }
    changed.notify_all();
    closed.reset();
    record.write("worker " + settings.id + " is down");
}

void worker::restart()
{
    const std::lock_guard lock {mutex};
    ++life;
    born = wallMs();
    clockStart = nowMs();
    leaseUntil = 0;
    fence = 0;
    lastEnd = 0;
    sequence = 0;
    highestEnded.clear();
    ends.clear();
    isDraining = false;
    isUp = true;
    listener = std::make_unique<http_listener>(
        settings.endpoint, [this](const http_request &request) { return handleRequest(request); });
    record.write("worker " + settings.id + " is up, born " + std::to_string(born)
                 + (listener->isListening() ? "" : ", but cannot listen"));
    changed.notify_all();
}

void worker::cutOff()
{
    const std::lock_guard lock {mutex};
    isCutOff = true;
    record.write("worker " + settings.id + " is cut off");
    changed.notify_all();
}

void worker::reconnect()
{
    const std::lock_guard lock {mutex};
    isCutOff = false;
    record.write("worker " + settings.id + " is connected again; it holds "
                 + std::to_string(ends.size()) + " ends and " + std::to_string(running.size())
                 + " runs");
    changed.notify_all();
}

void worker::ignoreStarts(bool isIgnoring)
{
    const std::lock_guard lock {mutex};
    isIgnoringStarts = isIgnoring;
    record.write("worker " + settings.id
                 + (isIgnoring ? " leaves starts unanswered" : " answers starts again"));
}

std::int64_t worker::drain(std::int64_t remainingMs)
{
    {
        const std::lock_guard lock {mutex};
        isDraining = true;
        drainDeadline = nowMs() + remainingMs;
    }
    const auto deadline = nowMs() + drainPatienceMs;
    while (nowMs() < deadline) {
        if (sendHeartbeat()) {
            const auto acknowledgedAt = nowMs();
            record.write("worker " + settings.id + " is draining: acknowledged");
            return acknowledgedAt;
        }
    }
    return -1;
}

void worker::setSlowness(double factor)
{
    const std::lock_guard lock {mutex};
    const auto now = nowMs();
    for (auto &[task, run] : running) {
        if (run.workMs >= 0) {
            run.workMs -= static_cast<double>(now - run.startedAt) / slowness;
            run.startedAt = now;
        }
    }
    slowness = factor;
}

std::size_t worker::runCount()
{
    const std::lock_guard lock {mutex};
    return running.size();
}

bool worker::isAtWork(const std::string &task)
{
    const std::lock_guard lock {mutex};
    const auto found = running.find(task);
    return found != running.end() && percentOf(found->second) == allWork;
}

http_response worker::makeResponse(int status, const std::string &reason) const
{
    json body {{"clockMs", clock()}, {"born", born}};
    if (!reason.empty()) {
        body["reason"] = reason;
    }
    return {status, body.dump()};
}

std::optional<http_response> worker::handleRequest(const http_request &request)
{
    std::unique_lock lock {mutex};
    const auto callLife = life;
    const auto isGone = [&] { return !isUp || isStopping || isCutOff || life != callLife; };
    if (isGone()) {
        return std::nullopt;
    }
    if (request.header("filbertramp-expected-instance") != settings.id) {
        return makeResponse(421);
    }
    const auto body = json::parse(request.body, nullptr, false);
    if (body.is_discarded()) {
        return makeResponse(400);
    }
    const auto response =
        request.path == "/v1/hold" ? poll(body, lock) : handleOrder(request.path, body);
    return isGone() ? std::nullopt : response;
}

std::optional<http_response> worker::handleOrder(const std::string &path, const json &body)
{
    if (path == "/v1/run-start" && isIgnoringStarts) {
        return std::nullopt;
    }
    const auto token = body.value("fencingToken", std::uint64_t {0});
    if (token < fence) {
        return makeResponse(409, "fence");
    }
    fence = token;
    if (path == "/v1/run-start") {
        return start(body);
    }
    return path == "/v1/run-stop" ? stop(body) : makeResponse(200);
}

void worker::extendLease(const json &body)
{
    const auto until = body.value("untilMs", std::int64_t {0});
    leaseUntil = std::max(leaseUntil, std::min(until, clock() + longestLeaseMs));
}

http_response worker::start(const json &body)
{
    const auto task = body.value("task", std::string {});
    const auto run = body.value("runId", 0U);
    if (body.value("untilMs", std::int64_t {0}) <= clock()) {
        return makeResponse(409, "late");
    }
    extendLease(body);
    const auto existing = running.find(task);
    if (existing != running.end()) {
        return existing->second.run == run ? makeResponse(200) : makeResponse(409, "old");
    }
    const auto ended = highestEnded.find(task);
    if (ended != highestEnded.end() && run <= ended->second) {
        return makeResponse(409, "old");
    }
    if (settings.needsTickets
        && !isTicketValid(body.value("ticket", std::string {}), settings.id, task)) {
        return makeResponse(409, "ticket");
    }
    const auto spec = body.value("spec", std::string {});
    run_state started;
    started.run = run;
    started.startedAt = nowMs();
    started.workMs = workOf(spec, task);
    running[task] = started;
    events.onStart(settings.id, task, run);
    return makeResponse(200);
}

http_response worker::stop(const json &body)
{
    const auto task = body.value("task", std::string {});
    const auto run = body.value("runId", 0U);
    const auto found = running.find(task);
    if (found != running.end() && found->second.run <= run) {
        if (found->second.stopsAt == 0) {
            found->second.stopsAt = nowMs() + stopDurationMs;
        }
    } else if (found == running.end()) {
        highestEnded[task] = std::max(highestEnded[task], run);
    }
    return makeResponse(200);
}

std::optional<http_response> worker::poll(const json &body, std::unique_lock<std::mutex> &lock)
{
    const auto token = body.value("fencingToken", std::uint64_t {0});
    if (token < fence) {
        return makeResponse(409, "fence");
    }
    fence = token;
    if (body.contains("untilMs")) {
        extendLease(body);
    }
    const auto lastSeen = body.value("lastSeen", std::uint64_t {0});
    for (const auto &end : ends) {
        if (end.number <= lastSeen) {
            events.onAcknowledged(settings.id, end.task, end.run, end.how);
        }
    }
    std::erase_if(ends, [&](const auto &end) { return end.number <= lastSeen; });
    const auto wait = std::min(body.value("waitMs", std::int64_t {0}), longestWaitMs);
    const auto callLife = life;
    changed.wait_for(lock, std::chrono::milliseconds {wait}, [&] {
        return !ends.empty() || !isUp || isStopping || isCutOff || life != callLife;
    });
    json answer {{"clockMs", clock()}, {"born", born}};
    answer["running"] = json::array();
    for (const auto &[task, run] : running) {
        answer["running"].push_back({task, run.run, "", percentOf(run), 0});
    }
    answer["finished"] = json::array();
    for (std::size_t i = 0; i < std::min(ends.size(), endsPerAnswer); ++i) {
        answer["finished"].push_back({ends[i].number, ends[i].task, ends[i].run, ends[i].how, ""});
    }
    return http_response {200, answer.dump()};
}

int worker::percentOf(const run_state &run) const
{
    const auto elapsed = static_cast<double>(nowMs() - run.startedAt);
    if (run.workMs < 0) {
        return std::min(allWork, static_cast<int>(elapsed * allWork / startupMs));
    }
    return std::min(allWork - 1, static_cast<int>(elapsed / slowness * allWork / run.workMs));
}

void worker::endRun(const std::string &task, const std::string &how)
{
    const auto run = running.at(task).run;
    running.erase(task);
    ends.push_back({++lastEnd, task, run, how});
    highestEnded[task] = std::max(highestEnded[task], run);
    events.onEnd(settings.id, task, run, how);
}

void worker::runClock()
{
    std::unique_lock lock {mutex};
    while (!isStopping) {
        changed.wait_for(lock, std::chrono::milliseconds {clockPeriodMs},
                         [this] { return isStopping; });
        const auto now = nowMs();
        std::vector<std::pair<std::string, std::string>> due;
        for (const auto &[task, run] : running) {
            const auto done = static_cast<double>(now - run.startedAt) / slowness;
            if (clock() > leaseUntil) {
                due.emplace_back(task, "lapsed");
            } else if (run.stopsAt > 0 && now >= run.stopsAt) {
                due.emplace_back(task, "stopped");
            } else if (run.workMs >= 0 && done >= run.workMs) {
                due.emplace_back(task, "done");
            }
        }
        for (const auto &[task, how] : due) {
            endRun(task, how);
        }
        if (!due.empty()) {
            changed.notify_all();
        }
    }
}

void worker::sendHeartbeats()
{
    while (true) {
        {
            std::unique_lock lock {mutex};
            if (isStopping) {
                return;
            }
        }
        const auto sentAt = nowMs();
        for (std::size_t i = 0; i < settings.controlEndpoints.size() && !sendHeartbeat(); ++i) { }
        std::unique_lock lock {mutex};
        const auto callLife = life;
        const auto remaining = std::max<std::int64_t>(heartbeatPeriodMs - (nowMs() - sentAt), 1);
        changed.wait_for(lock, std::chrono::milliseconds {remaining},
                         [&] { return isStopping || life != callLife; });
    }
}

/** Sends one heartbeat to the next controller. @return whether it was acknowledged, or none is due
    since the worker is down or cut off */
bool worker::sendHeartbeat()
{
    std::unique_lock lock {mutex};
    if (!isUp || isCutOff) {
        return true;
    }
    json report {
        {"service", "orders"},
        {"address", settings.endpoint},
        {"zone", "morava-a"},
        {"version", "v1"},
        {"slots", 8},
        {"state", isDraining ? "draining" : "ready"},
        {"coldLeftMs", 0},
        {"capacity", {{"cpu", settings.milliCores}, {"memMb", settings.memoryMb}, {"gpu", 0}}},
        {"labels", {"a", "r1-" + std::to_string(settings.labelRack)}},
        {"clockMs", clock()},
        {"born", born},
        {"machine", "m-" + settings.id},
        {"sequence", ++sequence}};
    if (isDraining) {
        report["remainingMs"] = std::max<std::int64_t>(drainDeadline - nowMs(), 0);
    }
    const auto &endpoint = settings.controlEndpoints[static_cast<std::size_t>(sequence)
                                                     % settings.controlEndpoints.size()];
    lock.unlock();
    const auto response = callHttp(endpoint, "PUT", "/v1/instances/" + settings.id,
                                   {{"Host", endpoint}}, report.dump(), heartbeatTimeoutMs);
    return response.status >= 200 && response.status < 300;
}

} // namespace review

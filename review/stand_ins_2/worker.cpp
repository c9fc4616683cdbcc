#include "worker.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace review {

namespace {

using nlohmann::json;

constexpr std::int64_t longestLeaseMs = 6'000; // holdMaxMs of the pages' example
constexpr std::int64_t stopMs = 100; // within stopMs, 900
constexpr std::int64_t startupMs = 300; // of a task that lasts
constexpr auto tickPeriod = std::chrono::milliseconds {20};
constexpr int ticksPerBeat = 75; // heartbeatMs, 1500
constexpr int beatTimeoutMs = 1'000;
constexpr std::int64_t lateMs = 3'000; // an order without an answer: 2 to 12 s
constexpr std::int64_t remainingMs = 10'000; // while it drains
constexpr std::size_t endsInList = 500;

std::int64_t steadyMs()
{
    using std::chrono::duration_cast;
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

std::int64_t wallMs()
{
    using std::chrono::duration_cast;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return duration_cast<std::chrono::milliseconds>(now).count();
}

worker::worker(worker_settings settings, recorder record)
    : settings {std::move(settings)}
    , record {std::move(record)}
    , listener {
          std::make_unique<server>(this->settings.ip, this->settings.port,
                                   [this](const request &message) { return handle(message); })}
{
    ticker = std::thread {[this] {
        while (!isClosing) {
            std::this_thread::sleep_for(tickPeriod);
            tick();
        }
    }};
    beater = std::thread {[this] {
        while (!isClosing) {
            if (isAlive) {
                sendHeartbeat();
            }
            for (int i = 0; i < ticksPerBeat && !isClosing; ++i) {
                std::this_thread::sleep_for(tickPeriod);
            }
        }
    }};
}

worker::~worker()
{
    isClosing = true;
    ticker.join();
    beater.join();
    {
        const std::lock_guard lock {mutex};
        isAlive = false;
    }
    hasEnds.notify_all();
    listener->stop();
}

std::int64_t worker::clock() const
{
    return steadyMs() - clockStart;
}

void worker::start()
{
    {
        const std::lock_guard lock {mutex};
        born = wallMs();
        id = settings.name + "-" + std::to_string(born);
        clockStart = steadyMs();
        leaseUntil = 0;
        fencingToken = 0;
        endNumber = 0;
        sequence = 0;
        highestEnded.clear();
        ends.clear();
        isAlive = true;
    }
    listener->start();
    record("worker " + id + " is up at " + settings.ip);
}

void worker::crash()
{
    {
        const std::lock_guard lock {mutex};
        for (const auto &[task, run] : running) {
            auto &entry = records[run.record];
            entry.endedAt = wallMs();
            entry.end = "crashed";
            entry.percent = percentOf(run);
        }
        running.clear();
        isAlive = false;
    }
    hasEnds.notify_all();
    listener->stop();
    record("worker " + id + " has crashed");
}

std::vector<run_record> worker::history() const
{
    const std::lock_guard lock {mutex};
    return records;
}

bool worker::runs(const std::string &task) const
{
    const std::lock_guard lock {mutex};
    return running.contains(task);
}

std::int64_t worker::usedCores() const
{
    const std::lock_guard lock {mutex};
    std::int64_t used = 0;
    for (const auto &[task, run] : running) {
        used += run.milliCores;
    }
    return used;
}

response worker::answer(int status, const std::string &reason) const
{
    json body {{"clockMs", clock()}, {"born", born}};
    if (!reason.empty()) {
        body["reason"] = reason;
    }
    return {status, body.dump()};
}

response worker::handle(const request &message)
{
    std::unique_lock lock {mutex};
    if (!isAlive) {
        return {};
    }
    const auto expected = message.headers.find("filbertramp-expected-instance");
    if (expected != message.headers.end() && expected->second != id) {
        return answer(421, {});
    }
    ++orders;
    if (message.path == "/v1/run-start") {
        return clock() < unansweredUntil ? carryOutLate(lock, message.body)
                                         : handleStart(message.body, false);
    }
    if (message.path == "/v1/run-stop") {
        return handleStop(message.body);
    }
    return message.path == "/v1/hold" ? handleHold(lock, message.body) : answer(200, {});
}

bool worker::isFenced(std::uint64_t token)
{
    if (token < fencingToken) {
        return true;
    }
    fencingToken = token;
    return false;
}

void worker::extendLease(std::int64_t until)
{
    leaseUntil = std::max(leaseUntil, std::min(until, clock() + longestLeaseMs));
}

response worker::carryOutLate(std::unique_lock<std::mutex> &lock, const std::string &text)
{
    ++unansweredOrders;
    const auto life = id;
    hasEnds.wait_for(lock, std::chrono::milliseconds {lateMs},
                     [&] { return !isAlive || isClosing; });
    if (isAlive && !isClosing && life == id) {
        handleStart(text, true);
    }
    return {};
}

std::int64_t worker::drain()
{
    isDraining = true;
    const bool isAcknowledged = sendHeartbeat();
    record("worker " + settings.name + " reports that it is draining: "
           + (isAcknowledged ? "acknowledged" : "not acknowledged"));
    return isAcknowledged ? wallMs() : 0;
}

void worker::leaveStartsUnanswered(std::int64_t forMs)
{
    const std::lock_guard lock {mutex};
    unansweredUntil = clock() + forMs;
    record("worker " + settings.name + " leaves starts unanswered for " + std::to_string(forMs)
           + " ms");
}

std::pair<int, int> worker::orderCounts() const
{
    const std::lock_guard lock {mutex};
    return {orders, unansweredOrders};
}

response worker::handleStart(const std::string &text, bool isLate)
{
    const auto body = json::parse(text);
    const auto task = body.at("task").get<std::string>();
    const auto run = body.at("runId").get<std::uint32_t>();
    const auto spec = body.value("spec", std::string {});
    const auto until = body.value("untilMs", std::int64_t {0});
    if (isFenced(body.value("fencingToken", std::uint64_t {0}))) {
        return answer(409, "fence");
    }
    if (until <= clock()) {
        return answer(409, "late");
    }
    extendLease(until);
    const auto existing = running.find(task);
    if (existing != running.end() && existing->second.run == run) {
        return answer(200, {});
    }
    const auto ended = highestEnded.find(task);
    if (existing != running.end() || (ended != highestEnded.end() && run <= ended->second)) {
        return answer(409, "old");
    }
    constexpr std::string_view workPrefix = "work:";
    auto &started = running[task];
    started.run = run;
    started.startedAt = clock();
    started.workMs = spec.starts_with(workPrefix)
        ? std::strtoll(spec.c_str() + workPrefix.size(), nullptr, 10)
        : 0;
    const auto cores = spec.find("cores:");
    started.milliCores =
        cores == std::string::npos ? 0 : std::strtoll(spec.c_str() + cores + 6, nullptr, 10);
    started.record = records.size();
    records.push_back({task, run, id, wallMs(), 0, {}, 0, isLate});
    record("run " + task + " " + std::to_string(run) + " has started on " + id
           + (isLate ? ", late" : ""));
    return answer(200, {});
}

response worker::handleStop(const std::string &text)
{
    const auto body = json::parse(text);
    const auto task = body.at("task").get<std::string>();
    const auto run = body.at("runId").get<std::uint32_t>();
    if (isFenced(body.value("fencingToken", std::uint64_t {0}))) {
        return answer(409, "fence");
    }
    const auto found = running.find(task);
    if (found == running.end()) {
        highestEnded[task] = std::max(highestEnded[task], run);
    } else if (found->second.run <= run && found->second.stopsAt == 0) {
        found->second.stopsAt = clock() + stopMs;
    }
    record("stop of " + task + " " + std::to_string(run) + " ordered on " + id);
    return answer(200, {});
}

response worker::handleHold(std::unique_lock<std::mutex> &lock, const std::string &text)
{
    const auto body = json::parse(text);
    if (isFenced(body.value("fencingToken", std::uint64_t {0}))) {
        return answer(409, "fence");
    }
    if (body.contains("untilMs")) {
        extendLease(body.at("untilMs").get<std::int64_t>());
    }
    const auto seen = body.value("lastSeen", std::uint64_t {0});
    std::erase_if(ends, [&](const auto &each) { return each.number <= seen; });
    const auto life = id;
    hasEnds.wait_for(lock, std::chrono::milliseconds {body.value("waitMs", 0)},
                     [&] { return !ends.empty() || !isAlive || isClosing; });
    return isAlive && life == id ? lists() : response {};
}

int worker::percentOf(const current_run &run) const
{
    const auto duration = run.workMs == 0 ? startupMs : run.workMs;
    const auto percent = (clock() - run.startedAt) * 100 / duration;
    return static_cast<int>(std::min<std::int64_t>(percent, run.workMs == 0 ? 100 : 99));
}

response worker::lists() const
{
    json body {{"clockMs", clock()}, {"born", born}};
    body["running"] = json::array();
    for (const auto &[task, run] : running) {
        body["running"].push_back({task, run.run, "", percentOf(run), run.milliCores});
    }
    body["finished"] = json::array();
    for (std::size_t i = 0; i < std::min(ends.size(), endsInList); ++i) {
        body["finished"].push_back({ends[i].number, ends[i].task, ends[i].run, ends[i].how, ""});
    }
    return {200, body.dump()};
}

void worker::end(const std::string &task, const std::string &how)
{
    const auto found = running.find(task);
    auto &entry = records[found->second.record];
    entry.endedAt = wallMs();
    entry.end = how;
    entry.percent = how == "done" ? 100 : percentOf(found->second);
    record("run " + task + " " + std::to_string(found->second.run) + " on " + id + " has ended "
           + how + " at " + std::to_string(entry.percent) + " percent");
    ends.push_back({++endNumber, task, found->second.run, how});
    highestEnded[task] = std::max(highestEnded[task], found->second.run);
    running.erase(found);
    hasEnds.notify_all();
}

void worker::tick()
{
    const std::lock_guard lock {mutex};
    if (!isAlive) {
        return;
    }
    const auto now = clock();
    std::vector<std::pair<std::string, std::string>> ended;
    for (const auto &[task, run] : running) {
        if (now >= leaseUntil) {
            ended.emplace_back(task, "lapsed");
        } else if (run.stopsAt != 0 && now >= run.stopsAt) {
            ended.emplace_back(task, "stopped");
        } else if (run.workMs != 0 && now - run.startedAt >= run.workMs) {
            ended.emplace_back(task, "done");
        }
    }
    for (const auto &[task, how] : ended) {
        end(task, how);
    }
}

bool worker::sendHeartbeat()
{
    request message;
    {
        const std::lock_guard lock {mutex};
        json body;
        body["service"] = settings.service;
        body["address"] = settings.ip + ":" + std::to_string(settings.port);
        body["zone"] = "zone-a";
        body["version"] = "v1";
        body["slots"] = 8;
        body["state"] = isDraining ? "draining" : "ready";
        if (isDraining) {
            body["remainingMs"] = remainingMs;
        }
        body["coldLeftMs"] = 0;
        body["capacity"] = {{"cpu", settings.milliCores}, {"memMb", 65'536}, {"gpu", 0}};
        body["labels"] = {settings.kind, "rack-" + settings.name};
        body["machine"] = settings.name;
        body["clockMs"] = clock();
        body["born"] = born;
        body["sequence"] = ++sequence;
        message = {"PUT", "/v1/instances/" + id, {}, body.dump()};
    }
    for (std::size_t i = 0; i < settings.control.size(); ++i) {
        const auto &endpoint = settings.control[controlIndex % settings.control.size()];
        const auto status = call(endpoint, message, beatTimeoutMs).status;
        if (status >= 200 && status < 300) {
            return true;
        }
        ++controlIndex;
    }
    return false;
}

} // namespace review

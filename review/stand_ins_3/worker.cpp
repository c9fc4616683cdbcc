/** @file
    A stand-in for a worker of the users' platform, one process for each of its lives.

    Usage: worker ID IP:PORT SERVICE ZONE KIND RACK CPU CONTROL,... RECORD

    The text of a task says how long it works: "work=MS", or "lasts". It writes a line for each
   start and end to the record.
*/

#include "http_message.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace {

using namespace review;
using nlohmann::json;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr std::int64_t holdMaxMs = 6'000;
constexpr std::int64_t stopMs = 100;
constexpr std::int64_t endlessMs = 3'600'000;
constexpr milliseconds heartbeatPeriod {1'500};
constexpr std::size_t maxListedEnds = 500;
constexpr std::int64_t unhealthyMs = 6'500;

volatile std::sig_atomic_t unhealthySignals = 0;

struct task_run
{
    std::int64_t run = 0;
    std::int64_t startedAt = 0; // all times on the worker's clock
    std::int64_t endsAt = 0;
    std::int64_t stopsAt = 0;
    bool lasts = false;
};

struct ended_run
{
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
};

class worker
{
public:
    explicit worker(const std::vector<std::string> &arguments)
        : id {arguments[0]}
        , address {arguments[1]}
        , service {arguments[2]}
        , zone {arguments[3]}
        , kind {arguments[4]}
        , rack {arguments[5]}
        , cpu {std::atoi(arguments[6].c_str())}
        , recordFile {open(arguments[8].c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644)}
    {
        std::istringstream list {arguments[7]};
        for (std::string each; std::getline(list, each, ',');) {
            controls.push_back(each);
        }
    }

    int serve()
    {
        const int listener = listenAt(address);
        if (listener < 0) {
            return 2;
        }
        std::thread {[this] { sendHeartbeats(); }}.detach();
        std::thread {[this] { tickForEver(); }}.detach();
        while (true) {
            const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted >= 0) {
                std::thread {[this, accepted] { serveConnection(accepted); }}.detach();
            }
        }
    }

private:
    std::int64_t clock() const
    {
        return std::chrono::duration_cast<milliseconds>(steady::now() - startTime).count() + 1'000;
    }

    void record(const std::string &text) const
    {
        const auto line = std::to_string(wallMs()) + " worker " + id + " " + text + "\n";
        if (write(recordFile, line.data(), line.size()) < 0) {
            std::cerr << "the record cannot be written\n";
        }
    }

    json answer() const { return {{"clockMs", clock()}, {"born", born}}; }

    std::string refusal(const std::string &reason, int *status) const
    {
        *status = 409;
        auto body = answer();
        body["reason"] = reason;
        return body.dump();
    }

    void end(const std::string &task, const std::string &how)
    {
        const auto found = running.find(task);
        ended.push_back({++lastEnd, task, found->second.run, how});
        highestEnded[task] = std::max(highestEnded[task], found->second.run);
        record("end " + task + " run " + std::to_string(found->second.run) + " " + how);
        running.erase(found);
    }

    void renewLease(const json &body)
    {
        const auto until = body.value("untilMs", std::int64_t {0});
        leaseUntil = std::max(leaseUntil, std::min(until, clock() + holdMaxMs));
    }

    std::string start(const json &body, int *status)
    {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("runId").get<std::int64_t>();
        if (body.value("untilMs", std::int64_t {0}) <= clock()) {
            return refusal("late", status);
        }
        renewLease(body);
        if (const auto found = running.find(task); found != running.end()) {
            return found->second.run == run ? answer().dump() : refusal("old", status);
        }
        if (const auto found = highestEnded.find(task);
            found != highestEnded.end() && run <= found->second) {
            return refusal("old", status);
        }
        const auto spec = body.value("spec", std::string {});
        const bool lasts = spec.starts_with("lasts");
        const auto work =
            spec.starts_with("work=") ? std::atoll(spec.c_str() + 5) : std::int64_t {1'000};
        running[task] = {run, clock(), clock() + (lasts ? endlessMs : work), 0, lasts};
        record("start " + task + " run " + std::to_string(run));
        return answer().dump();
    }

    std::string stop(const json &body)
    {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("runId").get<std::int64_t>();
        const auto found = running.find(task);
        if (found == running.end()) {
            highestEnded[task] = std::max(highestEnded[task], run);
        } else if (found->second.run <= run && found->second.stopsAt == 0) {
            found->second.stopsAt = clock() + stopMs;
        }
        return answer().dump();
    }

    std::string lists() const
    {
        auto body = answer();
        body["running"] = json::array();
        for (const auto &[task, run] : running) {
            const auto worked = clock() - run.startedAt;
            const auto percent = run.lasts
                ? 100
                : std::min<std::int64_t>(99, worked * 100 / (run.endsAt - run.startedAt));
            body["running"].push_back({task, run.run, "", percent, 0});
        }
        body["finished"] = json::array();
        for (std::size_t i = 0; i < std::min(ended.size(), maxListedEnds); ++i) {
            const auto &each = ended[i];
            body["finished"].push_back({each.number, each.task, each.run, each.how, ""});
        }
        return body.dump();
    }

    std::string hold(const json &body, std::unique_lock<std::mutex> &lock)
    {
        const auto lastSeen = body.value("lastSeen", std::int64_t {0});
        std::erase_if(ended, [&](const auto &each) { return each.number <= lastSeen; });
        if (body.contains("untilMs")) {
            renewLease(body);
        }
        const auto until = clock() + body.value("waitMs", std::int64_t {0});
        while (ended.empty() && clock() < until) {
            lock.unlock();
            std::this_thread::sleep_for(5ms);
            lock.lock();
        }
        return lists();
    }

    std::string handle(const http_message &request, int *status)
    {
        const auto expected = request.headers.find("filbertramp-expected-instance");
        if (expected != request.headers.end() && expected->second != id) {
            *status = 421;
            return "{}";
        }
        const auto body = json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            *status = 400;
            return "{}";
        }
        std::unique_lock lock {mutex};
        const auto token = body.value("fencingToken", std::uint64_t {0});
        if (token < highestToken) {
            return refusal("fence", status);
        }
        highestToken = token;
        if (request.path == "/v1/run-start") {
            if (clock() < unhealthyUntil) {
                *status = 503;
                return answer().dump();
            }
            return start(body, status);
        }
        if (request.path == "/v1/run-stop") {
            return stop(body);
        }
        return request.path == "/v1/hold" ? hold(body, lock) : answer().dump();
    }

    void serveConnection(int descriptor)
    {
        connection link {descriptor};
        while (const auto request = link.receive(steady::now() + 60s)) {
            int status = 200;
            const auto body = handle(*request, &status);
            if (!link.sendText(responseText(status, body))) {
                return;
            }
        }
    }

    void tickForEver()
    {
        while (true) {
            {
                const std::lock_guard lock {mutex};
                if (std::exchange(unhealthySignals, 0) != 0) {
                    unhealthyUntil = clock() + unhealthyMs;
                    record("is unhealthy");
                }
                std::vector<std::pair<std::string, std::string>> ends;
                for (const auto &[task, run] : running) {
                    if (clock() > leaseUntil) {
                        ends.emplace_back(task, "lapsed");
                    } else if (run.stopsAt > 0 && clock() >= run.stopsAt) {
                        ends.emplace_back(task, "stopped");
                    } else if (clock() >= run.endsAt) {
                        ends.emplace_back(task, "done");
                    }
                }
                for (const auto &[task, how] : ends) {
                    end(task, how);
                }
            }
            std::this_thread::sleep_for(5ms);
        }
    }

    void sendHeartbeats()
    {
        std::size_t next = 0;
        for (std::int64_t sequence = 1;; ++sequence) {
            http_message beat;
            beat.method = "PUT";
            beat.path = "/v1/instances/" + id;
            beat.body = json {
                {"service", service},
                {"address", address},
                {"zone", zone},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"coldLeftMs", 0},
                {"capacity", {{"cpu", cpu}, {"memMb", 65'536}, {"gpu", 0}}},
                {"labels", {kind, rack}},
                {"clockMs", clock()},
                {"born", born},
                {"sequence",
                 sequence}}.dump();
            const auto nextBeat = steady::now() + heartbeatPeriod;
            for (std::size_t i = 0; i < controls.size(); ++i) {
                const auto response =
                    callOnce(controls[next % controls.size()], beat, "control", 1'000ms);
                if (response && response->status >= 200 && response->status < 300) {
                    break;
                }
                ++next;
            }
            std::this_thread::sleep_until(nextBeat);
        }
    }

    std::string id;
    std::string address;
    std::string service;
    std::string zone;
    std::string kind;
    std::string rack;
    int cpu;
    int recordFile;
    std::vector<std::string> controls;
    const steady::time_point startTime = steady::now();
    const std::int64_t born = wallMs();
    std::mutex mutex;
    std::uint64_t highestToken = 0;
    std::int64_t leaseUntil = 0;
    std::int64_t unhealthyUntil = 0;
    std::int64_t lastEnd = 0;
    std::map<std::string, task_run> running;
    std::map<std::string, std::int64_t> highestEnded;
    std::vector<ended_run> ended;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 10) {
        std::cerr << "usage: worker ID IP:PORT SERVICE ZONE KIND RACK CPU CONTROL,... RECORD\n";
        return 2;
    }
    std::signal(SIGUSR1, [](int) { unhealthySignals = 1; });
    worker self {{argv + 1, argv + argc}};
    return self.serve();
}

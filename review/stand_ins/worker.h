#pragma once

#include "http.h"
#include "record.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace review {

struct worker_settings
{
    std::string id;
    std::string endpoint; // IP:port
    std::vector<std::string> controlEndpoints;
    int milliCores = 32'000;
    int memoryMb = 65'536;
    int labelRack = 1;
    bool needsTickets = false; // starts need a ticket of the policy service
};

/** What a case observes of the runs on all workers. */
struct worker_events
{
    std::function<void(const std::string &worker, const std::string &task, unsigned run)> onStart;
    /** The end of a run; `how` as it is listed. */
    std::function<void(const std::string &worker, const std::string &task, unsigned run,
                       const std::string &how)>
        onEnd;
    /** An end that the system has acknowledged by `lastSeen`. */
    std::function<void(const std::string &worker, const std::string &task, unsigned run,
                       const std::string &how)>
        onAcknowledged;
};

/** A worker as the pages describe it.

    The text of a job says what its tasks do: `work=MS` takes that long and ends as done, `work~MS`
    takes from half of that time to one and a half times as long, which differs by task, and `lasts`
    runs until it is stopped.
*/
class worker
{
public:
    worker(worker_settings settings, worker_events events, record_file &record);
    ~worker();
    worker(const worker &) = delete;
    worker &operator=(const worker &) = delete;

    /** Ends the process without a word: its runs and all that it knows are lost. */
    void crash();

    /** Starts the process again, with the same id, at the same address. */
    void restart();

    /** Leaves all calls unanswered and does nothing for them until resumeCalls(); it sends no
        heartbeats either: the worker is cut off. */
    void cutOff();
    void reconnect();

    /** Leaves start orders unanswered, and does nothing for them. */
    void ignoreStarts(bool isIgnoring);

    /** Reports from now on that it is draining. @return when that was acknowledged, in ms; -1 if it
        was not within 5 s */
    std::int64_t drain(std::int64_t remainingMs);

    /** All work takes this many times as long as its text says. */
    void setSlowness(double factor);

    /** @return the number of runs in progress */
    std::size_t runCount();

    /** @return whether a task is at work here */
    bool isAtWork(const std::string &task);

    const std::string &id() const { return settings.id; }

private:
    struct run_state
    {
        unsigned run = 0;
        std::int64_t startedAt = 0;
        double workMs = 0; // what is left at startedAt; negative: it lasts
        std::int64_t stopsAt = 0; // 0 = no stop was ordered
    };

    struct ended_run
    {
        std::uint64_t number = 0;
        std::string task;
        unsigned run = 0;
        std::string how;
    };

    std::optional<http_response> handleRequest(const http_request &request);
    std::optional<http_response> handleOrder(const std::string &path, const nlohmann::json &body);
    http_response start(const nlohmann::json &body);
    http_response stop(const nlohmann::json &body);
    std::optional<http_response> poll(const nlohmann::json &body,
                                      std::unique_lock<std::mutex> &lock);
    http_response makeResponse(int status, const std::string &reason = {}) const;
    void extendLease(const nlohmann::json &body);
    void endRun(const std::string &task, const std::string &how);
    int percentOf(const run_state &run) const;
    void runClock();
    void sendHeartbeats();
    bool sendHeartbeat();
    std::int64_t clock() const { return nowMs() - clockStart; }

    worker_settings settings;
    worker_events events;
    record_file &record;
    std::mutex mutex;
    std::condition_variable changed;
    bool isStopping = false;
    bool isUp = false;
    bool isCutOff = false;
    bool isIgnoringStarts = false;
    bool isDraining = false;
    std::int64_t drainDeadline = 0;
    double slowness = 1;
    std::int64_t born = 0;
    std::int64_t clockStart = 0;
    std::int64_t leaseUntil = 0;
    std::uint64_t fence = 0;
    std::uint64_t lastEnd = 0;
    std::int64_t sequence = 0;
    std::uint64_t life = 0; // counts restarts
    std::map<std::string, run_state> running;
    std::map<std::string, unsigned> highestEnded; // stopped or ended, by task
    std::vector<ended_run> ends; // those that were not acknowledged
    std::unique_ptr<http_listener> listener;
    std::thread clockThread;
    std::thread heartbeatThread;
};

} // namespace review

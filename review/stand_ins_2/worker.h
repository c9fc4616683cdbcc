#pragma once

#include "http.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/** Milliseconds since 1970. */
std::int64_t wallMs();

/** Writes a line with the time to the record of the case. */
using recorder = std::function<void(const std::string &)>;

struct worker_settings
{
    std::string name; // of the machine; the id of each life begins with it
    std::string ip;
    int port = 0;
    std::string service;
    std::vector<std::string> control; // IP:port of the controllers
    std::int64_t milliCores = 16'000;
    std::string kind = "a";
};

/** What a worker has run of a task. */
struct run_record
{
    std::string task;
    std::uint32_t run = 0;
    std::string worker;
    std::int64_t startedAt = 0; // wall clock
    std::int64_t endedAt = 0; // 0 = still running
    std::string end; // "crashed" if the worker crashed
    int percent = 0; // of the work, when it ended
    bool isLate = false; // its order got no answer and was carried out late
};

/** A sound worker. It runs what it is told to, keeps the leases and lists the ends until they are
    acknowledged. How long a task works stands in the job's spec: "work:MS", or "lasting". */
class worker
{
public:
    worker(worker_settings settings, recorder record);
    ~worker();
    worker(const worker &) = delete;
    worker &operator=(const worker &) = delete;

    /** Begins a life: a new id, empty, with a new clock. */
    void start();

    /** Ends without a word, with all that runs. */
    void crash();

    /** Reports from now on that it is draining. @return when that was acknowledged, by wallMs() */
    std::int64_t drain();

    /** Leaves orders to start a run unanswered for a time, and carries them out 3 s later. */
    void leaveStartsUnanswered(std::int64_t forMs);

    /** @return how many orders came, and how many of them got no answer */
    std::pair<int, int> orderCounts() const;

    bool isUp() const { return isAlive; }
    const std::string &name() const { return settings.name; }
    std::vector<run_record> history() const;

    /** @return whether a run of the task is at work here */
    bool runs(const std::string &task) const;

    /** @return thousandths of cores of what runs here */
    std::int64_t usedCores() const;

private:
    struct current_run
    {
        std::uint32_t run = 0;
        std::int64_t startedAt = 0; // on the worker's clock
        std::int64_t workMs = 0; // 0 = it lasts
        std::int64_t stopsAt = 0; // 0 = no stop was ordered
        std::int64_t milliCores = 0;
        std::size_t record = 0; // index into the history
    };

    struct listed_end
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string how;
    };

    response handle(const request &message);
    response handleStart(const std::string &text, bool isLate);
    response carryOutLate(std::unique_lock<std::mutex> &lock, const std::string &text);
    response handleStop(const std::string &text);
    response handleHold(std::unique_lock<std::mutex> &lock, const std::string &text);
    response answer(int status, const std::string &reason) const;
    response lists() const;
    bool isFenced(std::uint64_t token);
    void extendLease(std::int64_t until);
    int percentOf(const current_run &run) const;
    void end(const std::string &task, const std::string &how);
    void tick();
    bool sendHeartbeat();
    std::int64_t clock() const;

    worker_settings settings;
    recorder record;
    mutable std::mutex mutex;
    std::condition_variable hasEnds;
    std::unique_ptr<server> listener;
    std::string id;
    std::int64_t born = 0;
    std::int64_t clockStart = 0;
    std::int64_t leaseUntil = 0;
    std::uint64_t fencingToken = 0;
    std::uint64_t endNumber = 0;
    std::int64_t sequence = 0;
    std::map<std::string, current_run> running;
    std::map<std::string, std::uint32_t> highestEnded;
    std::vector<listed_end> ends;
    std::vector<run_record> records;
    std::size_t controlIndex = 0;
    std::int64_t unansweredUntil = 0; // on the worker's clock
    int orders = 0;
    int unansweredOrders = 0;
    std::atomic<bool> isDraining {false};
    std::atomic<bool> isAlive {false};
    std::atomic<bool> isClosing {false};
    std::thread ticker;
    std::thread beater;
};

} // namespace review

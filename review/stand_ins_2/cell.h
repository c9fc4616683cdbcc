#pragma once

#include "worker.h"

#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/** The record of a case: what was sent, answered and run, with the time since its start. */
class case_record
{
public:
    explicit case_record(const std::string &file);
    void write(const std::string &line);

private:
    std::mutex mutex;
    std::ofstream stream;
    std::int64_t startedAt;
};

/** Three controllers and two gateways, started with the commands of the deploy file, and the
    operator and the clients that call them. */
class cell
{
public:
    /** @param workers  how many workers the only service has */
    cell(case_record &record, int workers, std::int64_t milliCores);
    ~cell();
    cell(const cell &) = delete;
    cell &operator=(const cell &) = delete;

    /** Starts all, and sends the first configuration.
        @return whether it was acknowledged and all workers are known */
    bool start();

    worker &workerAt(std::size_t index) { return *workers[index]; }
    std::size_t workerCount() const { return workers.size(); }

    /** @return the state of a job that a GET shows; empty if there was no answer with 200 */
    std::string stateOf(const std::string &job);

    /** Hands a job in, and again after no answer. @return the last status */
    int submit(const std::string &job, const std::string &body);

    /** @return the status of a GET of a job */
    int statusOf(const std::string &job);

    /** Cancels a job. @return the status of the DELETE */
    int cancel(const std::string &job);

    /** Sends a configuration with one route until it is acknowledged.
        @param routeName  of the route, which has the same host, path prefix and service each time
        @return whether it was acknowledged in time */
    bool configure(int version, const std::string &routeName, int timeoutMs);

    /** @return all runs of a task, by their start */
    std::vector<run_record> runsOf(const std::string &task) const;

    /** @return the worker that runs a task, or nullptr */
    worker *runnerOf(const std::string &task) const;

    std::int64_t usedCores() const;

private:
    std::string address(int number) const;
    void startProcess(const std::string &name, const std::string &program,
                      const std::string &flagsFile, int number);
    response callFront(const request &message);

    case_record &record;
    std::filesystem::path folder;
    std::vector<std::string> control;
    std::vector<std::string> fronts;
    std::string seeds;
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<pid_t> processes;
    std::size_t nextFront = 0;
};

void sleepMs(std::int64_t ms);

/** @return whether the disruption is to be played */
bool hasTrouble();

} // namespace review

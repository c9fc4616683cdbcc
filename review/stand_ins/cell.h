#pragma once

#include "http.h"
#include "record.h"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/** Where a case finds and keeps its files. */
struct case_paths
{
    std::string programs; // folder of the built programs
    std::string templates; // folder of the templates of the settings
    std::string work; // a new folder for data, settings and logs
};

/** The programs of a small deployment as processes on loopback: three controllers and some
   gateways, started with the commands of the deploy file and settings from its templates. */
class cell
{
public:
    cell(const case_paths &paths, record_file &record, int gatewayCount);
    ~cell();
    cell(const cell &) = delete;
    cell &operator=(const cell &) = delete;

    /** @return a loopback address of this cell that no other cell uses */
    std::string address(int number) const { return addressPrefix + std::to_string(number); }

    /** Sends a signal to a process, e.g. "controller-1". */
    void signal(const std::string &name, int number);

    /** Starts a process again after it was killed. */
    void restart(const std::string &name);

    /** @return whether a process is running; one that has ended by itself is not */
    bool isRunning(const std::string &name);

    /** @return the memory that a process uses, in bytes */
    std::size_t memoryOf(const std::string &name) const;

    /** @return how often a text is in the log of a process, over all its starts */
    int countInLog(const std::string &name, const std::string &text) const;

    /** @return the controller that leads, by its own metrics; empty if none is found */
    std::string leader() const;

    const std::vector<std::string> &controlEndpoints() const { return controls; }
    const std::vector<std::string> &frontEndpoints() const { return fronts; }

    /** @return the address of the policy service, which the gateways call */
    std::string policyEndpoint() const;

    /** Repeats a configuration until it is acknowledged. @return whether it was, within 20 s */
    bool configure(const nlohmann::json &document);

private:
    struct process
    {
        std::string program;
        std::string settingsFile;
        pid_t id = 0;
    };

    void addController(int number);
    void addGateway(int number);
    void start(process &started, const std::string &name) const;
    std::string renderTemplate(const std::string &name,
                               const std::map<std::string, std::string> &values) const;

    case_paths paths;
    record_file &record;
    std::string addressPrefix;
    std::map<std::string, process> processes;
    std::vector<std::string> controls;
    std::vector<std::string> fronts;
};

/** @return a configuration with one queue, one service and one team
    @param maxAttempts  failed runs of a task after which its job fails
    @param advice       how the policy of the queue works; null = it has none */
nlohmann::json makeConfiguration(int version, int maxAttempts, const nlohmann::json &advice = {});

/** A caller that repeats what gets no clear answer, as the pages tell. */
class caller
{
public:
    caller(const cell &servers, record_file &record)
        : servers {servers}
        , record {record}
    {
    }

    /** @return whether the job was accepted within 20 s */
    bool submit(const std::string &id, const nlohmann::json &job);

    /** Sends all further calls to one gateway. */
    void useOnly(std::size_t gateway) { onlyGateway = gateway; }

    /** @return the state of a job, "unknown" after a 410, or an empty text without a clear answer
     */
    std::string state(const std::string &id);

    /** @return whether the cancellation was acknowledged within 20 s */
    bool cancel(const std::string &id);

private:
    http_response call(const std::string &method, const std::string &id, const std::string &body);

    const cell &servers;
    record_file &record;
    std::size_t attempts = 0;
    std::optional<std::size_t> onlyGateway;
};

} // namespace review

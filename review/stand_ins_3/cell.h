#pragma once

#include "http_message.h"

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/** Where and how large a cell is; see cell. */
struct cell_settings
{
    int controllers = 3; // in one zone each, like gateways and workers in turn
    int gateways = 2;
    int workers = 8;
    int workerCpu = 32'000;
};

/** A small deployment of the programs in `target/bin`, on loopback addresses and in a temporary
    folder. Its processes are started with the commands and templates of the folder `deploy`, and
    are ended by the destructor.

    It runs in the root of the repository. What happens goes to the record, with the time of day in
    milliseconds.
*/
class cell
{
public:
    cell(const cell_settings &settings, std::string recordPath);
    ~cell();
    cell(const cell &) = delete;
    cell &operator=(const cell &) = delete;

    /** Starts all processes and has the first configuration accepted.
        @return whether the cell serves */
    bool start();

    void startController(int index, bool isFirstStart);
    void startGateway(int index);
    void startWorker(int index); // with the id that it had; worker-0 is of kind b, others of kind a

    /** Sends a signal to a process by its name: controller-0, gateway-1, worker-2. */
    void signalProcess(const std::string &name, int signal);

    /** Kills a process and waits for its end. */
    void kill(const std::string &name);

    /** @return whether a process has ended by itself */
    bool hasEnded(const std::string &name);

    /** Sends a configuration until it is acknowledged. @return whether it was in time */
    bool configure(const std::string &document, std::chrono::milliseconds timeout);

    /** Calls a gateway as a client. @return the status, 0 if there was no response in time */
    int call(int gateway, const std::string &method, const std::string &path,
             const std::string &body, std::chrono::milliseconds timeout,
             std::string *responseBody = nullptr, const std::string &key = "tenant-key");

    std::string frontOf(int gateway) const;
    std::string controlOf(int controller) const;
    pid_t pidOf(const std::string &name) const;

    void record(const std::string &text) const;

    /** @return the lines of the record that hold all of these texts */
    std::vector<std::string> recorded(const std::vector<std::string> &texts) const;

    const std::string &folder() const { return temporaryFolder; }

private:
    std::string hostOf(int number) const;
    void startProgram(const std::string &name, const std::string &role, int number,
                      const std::map<std::string, std::string> &values);
    pid_t spawn(const std::string &name, const std::vector<std::string> &words,
                const std::string &settingsPath);

    cell_settings settings;
    std::string recordPath;
    std::string temporaryFolder;
    int network = 0;
    int basePort = 0;
    std::map<std::string, pid_t> processes;
};

/** @return the JSON of a configuration with one service `orders`, one queue at queuePath and one
    tenant with the key `tenant-key`
    @param maxAttempts  of the queue */
std::string configurationText(int version, int maxAttempts);

constexpr const char *clientHost = "orders.example";
constexpr const char *queuePath = "/quotes/";

} // namespace review

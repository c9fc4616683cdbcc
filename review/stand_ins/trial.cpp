#include "trial.h"

#include <csignal>
#include <iostream>
#include <sys/prctl.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int firstWorkerAddress = 100;
constexpr int workerPort = 8080;
constexpr int workersPerRack = 5;
constexpr int argumentCount = 6;
constexpr unsigned longestRunSeconds = 115; // a case may take 120 s

} // namespace

void trial::addWorkers(int count, const worker_events &events)
{
    for (int i = 0; i < count; ++i) {
        worker_settings settings;
        settings.id = "w-" + std::to_string(i);
        settings.endpoint =
            servers.address(firstWorkerAddress + i) + ":" + std::to_string(workerPort);
        settings.controlEndpoints = servers.controlEndpoints();
        settings.needsTickets = needsTickets;
        settings.labelRack = 1 + i / workersPerRack;
        workers.push_back(std::make_unique<worker>(settings, events, record));
    }
}

worker_events trial::recordingEvents()
{
    worker_events events;
    events.onStart = [this](const std::string &worker, const std::string &task, unsigned run) {
        record.write("start  " + task + " run " + std::to_string(run) + " on " + worker);
    };
    events.onEnd = [this](const std::string &worker, const std::string &task, unsigned run,
                          const std::string &how) {
        record.write("end    " + task + " run " + std::to_string(run) + " on " + worker + ": "
                     + how);
    };
    events.onAcknowledged = [this](const std::string &worker, const std::string &task, unsigned run,
                                   const std::string &how) {
        record.write("noted  " + task + " run " + std::to_string(run) + " on " + worker + ": "
                     + how);
    };
    return events;
}

void trial::recordState(const std::string &id, const std::string &state)
{
    auto line = "GET " + id;
    line.append(" -> ").append(state.empty() ? "no clear answer" : state);
    record.write(line);
}

exit_code trial::judge(bool isBroken, const std::string &what)
{
    const auto text = isBroken ? "broken: " + what : std::string {"held"};
    record.write("the rule is " + text);
    std::cout << text << std::endl;
    return isBroken ? exit_code::Broken : exit_code::Held;
}

int runTrial(int argc, char **argv, const std::function<exit_code(trial &)> &run, int gatewayCount)
{
    if (argc != argumentCount) {
        std::cerr << "usage: " << argv[0]
                  << " PROGRAMS TEMPLATES WORK_FOLDER RECORD_FILE TROUBLE\n";
        return static_cast<int>(exit_code::CouldNotRun);
    }
    std::signal(SIGPIPE, SIG_IGN);
    ::prctl(PR_SET_PDEATHSIG, SIGTERM); // ends with the script that started it
    ::alarm(longestRunSeconds);
    record_file record {argv[4]};
    trial current {{argv[1], argv[2], argv[3]}, record, gatewayCount};
    current.hasTrouble = std::string {argv[5]} != "0";
    const auto result = run(current);
    current.workers.clear();
    return static_cast<int>(result);
}

} // namespace review

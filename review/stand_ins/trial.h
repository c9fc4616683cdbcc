#pragma once

#include "cell.h"
#include "worker.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace review {

enum class exit_code { Held = 0, Broken = 1, CouldNotRun = 2 };

/** What all cases have: a cell, a caller, workers and the record. */
struct trial
{
    record_file &record;
    cell servers;
    caller client;
    std::vector<std::unique_ptr<worker>> workers;
    bool hasTrouble = true;
    bool needsTickets = false; // of the workers that are added

    trial(const case_paths &paths, record_file &recordFile, int gatewayCount)
        : record {recordFile}
        , servers {paths, recordFile, gatewayCount}
        , client {servers, recordFile}
    {
    }

    /** Starts workers w-0, w-1, ... */
    void addWorkers(int count, const worker_events &events);

    /** @return events that are written to the record and do nothing else */
    worker_events recordingEvents();

    /** Writes to the record that a job was shown in a state. */
    void recordState(const std::string &id, const std::string &state);

    /** Writes the result to the record.
        @param what  what was seen, if the rule was broken */
    exit_code judge(bool isBroken, const std::string &what);
};

/** Runs a case with the arguments of its program.
    @param gatewayCount  number of gateways of its cell
    @return the exit code of the program */
int runTrial(int argc, char **argv, const std::function<exit_code(trial &)> &run,
             int gatewayCount = 2);

} // namespace review

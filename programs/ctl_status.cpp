#include "ctl_answers.h"
#include "filbertctl_commands.h"

#include <iomanip>
#include <iostream>

namespace filbert {

namespace {

void printResources(const messages::resources &resources)
{
    std::cout << resources.milli_cores() << " mcores " << resources.memory_mb() << " MB "
              << resources.accelerators() << " acc " << resources.slots() << " tasks";
}

} // namespace

int showStatus(const argument_list & /*arguments*/)
{
    messages::status_reply status;
    if (const int code = fetch("/v1/status", &status)) {
        return code;
    }
    if (isJson()) {
        return printJson(status);
    }
    std::cout << "cell " << status.cell() << ", configuration " << status.version() << ", leader "
              << status.leader() << ", term " << status.term() << ", applied " << status.applied()
              << "\n\nteam            share  used%  waiting  running\n";
    constexpr int percent = 100;
    for (const auto &team : status.teams()) {
        std::cout << std::left << std::setw(14) << team.name() << std::right << std::setw(7)
                  << std::defaultfloat << std::setprecision(6) << team.share() << std::setw(7)
                  << std::fixed << std::setprecision(1) << team.used_share() * percent
                  << std::setw(9) << team.waiting() << "  ";
        printResources(team.used());
        std::cout << "\n";
    }
    std::cout << "\nqueue           waiting\n";
    for (const auto &queue : status.queues()) {
        std::cout << std::left << std::setw(14) << queue.name() << std::right << std::setw(9)
                  << queue.waiting() << "  " << messages::queue_policy_Name(queue.policy()) << "\n";
    }
    std::cout << "\ntarget          state        domain\n";
    for (const auto &target : status.targets()) {
        std::cout << std::left << std::setw(15) << target.name() << " " << std::setw(12)
                  << target.state() << " " << std::setw(8) << target.failure_domain() << " ";
        printResources(target.used());
        std::cout << " of ";
        printResources(target.capacity());
        std::cout << " " << target.reason() << "\n";
    }
    std::cout << "\ngateway         version\n";
    for (const auto &gateway : status.gateways()) {
        std::cout << std::left << std::setw(15) << gateway.name() << " " << gateway.version()
                  << "\n";
    }
    return exitSuccess;
}

int showAudit(const argument_list & /*arguments*/)
{
    messages::status_reply status;
    if (const int code = fetch("/v1/audit", &status)) {
        return code;
    }
    if (isJson()) {
        return printJson(status);
    }
    for (const auto &record : status.audit()) {
        std::cout << record.wall_ms() << " " << record.author() << " base " << record.base_version()
                  << " version " << record.version() << " digest " << record.digest() << " "
                  << record.outcome() << ": " << record.summary() << "\n";
    }
    return exitSuccess;
}

} // namespace filbert

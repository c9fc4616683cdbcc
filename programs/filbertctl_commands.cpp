#include "filbertctl_commands.h"

#include "ctl_answers.h"

#include <algorithm>
#include <iostream>

namespace filbert {

namespace {

/** A command and the function that runs it. */
struct command_entry
{
    std::string_view name;
    int (*run)(const argument_list &arguments);
};

constexpr command_entry commands[] = {
    {"keys", makeKeys},     {"check", checkFiles},   {"diff", diffFiles},   {"apply", applyFiles},
    {"status", showStatus}, {"audit", showAudit},    {"call", callService}, {"submit", submitJob},
    {"show", showJob},      {"explain", showJob},    {"list", listJobs},    {"wait", waitJob},
    {"cancel", cancelJob},  {"members", runMembers}, {"hold", holdJob},     {"release", releaseJob},
};

} // namespace

int runCommand(const std::vector<std::string> &arguments)
{
    const auto *found = std::find_if(std::begin(commands), std::end(commands),
                                     [&](const auto &entry) { return entry.name == arguments[0]; });
    if (found == std::end(commands)) {
        std::cerr << "unknown command " << arguments[0] << "; see --help\n";
        return exitUsage;
    }
    return found->run({arguments.begin() + 1, arguments.end()});
}

} // namespace filbert

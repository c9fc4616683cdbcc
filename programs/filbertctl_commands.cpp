#include "filbertctl_commands.h"

#include "ctl_answers.h"

#include <algorithm>
#include <iostream>

namespace filbert {

namespace {

/** One row: a command and what it runs. */
struct command_row
{
    std::string_view name;
    int (*run)(const words &arguments);
};

constexpr command_row commands[] = {
    {"keys", makeKeys},     {"check", checkFiles},   {"diff", diffFiles},   {"apply", applyFiles},
    {"status", showStatus}, {"audit", showAudit},    {"call", callService}, {"submit", submitJob},
    {"show", showJob},      {"explain", showJob},    {"list", listJobs},    {"wait", waitJob},
    {"cancel", cancelJob},  {"members", runMembers}, {"hold", holdJob},     {"release", releaseJob},
};

} // namespace

int runCommand(const std::vector<std::string> &given)
{
    const auto *found = std::find_if(std::begin(commands), std::end(commands),
                                     [&](const auto &row) { return row.name == given[0]; });
    if (found == std::end(commands)) {
        std::cerr << "unknown command " << given[0] << "; see --help\n";
        return exitUsage;
    }
    return found->run({given.begin() + 1, given.end()});
}

} // namespace filbert

#pragma once

#include <string>
#include <vector>

namespace filbert {

// One function per command. Each takes the arguments that follow the command and returns an exit
// code.
int makeKeys(const std::vector<std::string> &arguments);
int checkFiles(const std::vector<std::string> &files);
int diffFiles(const std::vector<std::string> &files);
int applyFiles(const std::vector<std::string> &files);
int showStatus(const std::vector<std::string> &arguments);
int showAudit(const std::vector<std::string> &arguments);
int runMembers(const std::vector<std::string> &arguments);
int callService(const std::vector<std::string> &arguments);
int submitJob(const std::vector<std::string> &arguments);
int showJob(const std::vector<std::string> &arguments);
int listJobs(const std::vector<std::string> &arguments);
int waitJob(const std::vector<std::string> &arguments);
int cancelJob(const std::vector<std::string> &arguments);
int holdJob(const std::vector<std::string> &arguments);
int releaseJob(const std::vector<std::string> &arguments);

/** Runs a filbertctl command.

    @param arguments  the command followed by its arguments, without flags
    @return an exit code as documented in the usage text
*/
int runCommand(const std::vector<std::string> &arguments);

} // namespace filbert

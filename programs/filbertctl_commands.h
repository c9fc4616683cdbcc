#pragma once

#include <string>
#include <vector>

namespace filbert {

// One function for each command; each takes the words behind the command and returns an exit code.
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

/** Runs one command of filbertctl.

    @param words  the command and its arguments, flags left out
    @return the exit code that the usage text describes
*/
int runCommand(const std::vector<std::string> &words);

} // namespace filbert

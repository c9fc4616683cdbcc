#pragma once

#include <string>
#include <vector>

namespace filbert {

/** Reads a program's settings: flags first, then environment variables for those not given.

    The variable of flag `data_folder` is `FILBERT_DATA_FOLDER`. An unknown flag ends the program.

    @param argc   as main() got it; what is not a flag stays
    @param argv   as main() got it
    @param usage  one paragraph for --help
    @return what was wrong with values from the environment, one sentence each
*/
std::vector<std::string> readSettings(int *argc, char ***argv, const std::string &usage);

/** Collects what is wrong with the settings, so that all of it is named at once. */
class settings_check
{
public:
    explicit settings_check(std::vector<std::string> problems);

    /** @param holds whether the setting is right @param problem what to say if it is not */
    void require(bool holds, const std::string &problem);

    /** `IP:port`, both numeric. @param flag its name @param value its value */
    void requireEndpoint(const std::string &flag, const std::string &value);

    /** Logs each problem. @return true if there is none */
    bool isValid() const;

private:
    std::vector<std::string> problems;
};

/** The parts of `IP:port`. */
struct endpoint_parts
{
    std::string address;
    int port = 0; // 0 = none that can be read
};

/** @param endpoint  e.g. "127.0.0.1:8080"; isEndpoint() tells whether it is one */
endpoint_parts splitEndpoint(const std::string &endpoint);

/** Whether a text is an IPv4 address and a port. @param value e.g. "127.0.0.1:8080" */
bool isEndpoint(const std::string &value);

/** Splits a comma-separated setting. @param value e.g. "a,b" @return the parts, empty ones left out
 */
std::vector<std::string> splitList(const std::string &value);

/** Logs the flags of the program's own file. @param names flags that are not secret */
void logSettings(const std::vector<std::string> &names);

} // namespace filbert

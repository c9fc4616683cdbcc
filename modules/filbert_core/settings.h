#pragma once

#include <string>
#include <vector>

namespace filbert {

/** Reads the settings of a program from command-line flags and environment variables. A flag takes
    precedence over its environment variable.

    The variable of the flag `data_folder` is `FILBERT_DATA_FOLDER`. An unknown flag ends the
    program.

    @param argc   as passed to main(); arguments that are not flags remain
    @param argv   as passed to main()
    @param usage  text for --help, one paragraph
    @return a message for each invalid value of an environment variable
*/
std::vector<std::string> readSettings(int *argc, char ***argv, const std::string &usage);

/** Collects all problems with the settings of a program, so that they are reported together. */
class settings_check
{
public:
    explicit settings_check(std::vector<std::string> problems);

    /** Adds a problem unless a condition holds. @param problem the message */
    void require(bool holds, const std::string &problem);

    /** Adds a problem unless a value is a numeric `IP:port`. @param flag name of the flag */
    void requireEndpoint(const std::string &flag, const std::string &value);

    /** Logs all problems. @return whether there are none */
    bool isValid() const;

private:
    std::vector<std::string> problems;
};

/** The components of an endpoint `IP:port`. */
struct endpoint_parts
{
    std::string address;
    int port = 0; // 0 = absent or invalid
};

/** Splits an endpoint such as "127.0.0.1:8080" without validating it. @see isEndpoint */
endpoint_parts splitEndpoint(const std::string &endpoint);

/** @return whether a value is an IPv4 address with a port, e.g. "127.0.0.1:8080" */
bool isEndpoint(const std::string &value);

/** Splits a comma-separated setting. @param value e.g. "a,b" @return the non-empty items */
std::vector<std::string> splitList(const std::string &value);

/** Logs the values of flags. @param names the flags; must not include secret ones */
void logSettings(const std::vector<std::string> &names);

} // namespace filbert

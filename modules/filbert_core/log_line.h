#pragma once

#include <concepts>
#include <sstream>
#include <string>
#include <string_view>

namespace filbert {

/** One event as one line of key=value pairs, written to the log when it goes out of scope.

    Values with blanks, quotes or control characters are quoted, so that a line stays one line.
    Never pass a secret.

    @code log_line {"target_quarantined"}.with ("target", name).with ("failures", 5); @endcode
*/
class log_line
{
public:
    enum class severity { Info, Warning, Error };

    explicit log_line(std::string_view event, severity level = severity::Info);
    ~log_line();
    log_line(const log_line &) = delete;
    log_line &operator=(const log_line &) = delete;

    log_line &with(std::string_view key, std::string_view value);

    log_line &with(std::string_view key, bool value)
    {
        return with(key, std::string_view {value ? "true" : "false"});
    }

    log_line &with(std::string_view key, const char *value)
    {
        return with(key, std::string_view {value});
    }

    template <typename Number>
    requires std::integral<Number> || std::floating_point<Number> log_line &
    with(std::string_view key, Number value)
    {
        text << ' ' << key << '=' << value;
        return *this;
    }

private:
    std::ostringstream text;
    severity level;
};

/** Sets up the log: to standard error, one line an event. @param program name of the program */
void startLog(const char *program);

/** Sets up the log to standard output instead, bounded and never blocking.

    Lines are gathered and written by flushLog(). Where nobody reads them, or where there are more a
    second than the bound, lines are left out and their number is logged.
    @param linesPerSecond  the bound
*/
void startStdoutLog(const char *program, int linesPerSecond);

/** Writes out what startStdoutLog() has gathered, as far as that goes without waiting. */
void flushLog();

/** Keeps all events below a program's end out of the log; for tests and benchmarks. */
void silenceLog();

} // namespace filbert

#pragma once

#include <concepts>
#include <string>
#include <string_view>

namespace filbert {

/** A structured log entry: an event with key=value pairs on a single line. It is written to the log
    when the object goes out of scope.

    Values with blanks, quotes, backslashes, equals signs, control or other characters outside of
    ASCII are quoted, so that an entry never spans several lines. Values are cut after 1,000 bytes,
    and bytes that are not UTF-8 are replaced. Never pass secrets.

    @code log_line {"target_quarantined"}.with ("target", name).with ("failures", 5); @endcode
*/
class log_line
{
public:
    enum class severity { Info, Warning, Error };

    /** Whether the line counts against the limit of lines per second. Periodic lines, which sum up
        what the others tell one by one, do not: they matter most when the others are discarded. */
    enum class volume { Limited, Periodic };

    explicit log_line(std::string_view event, severity level = severity::Info,
                      volume rate = volume::Limited);
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
        if (!isWritten) {
            return *this;
        }
        text += ' ';
        text += key;
        text += '=';
        appendNumber(value);
        return *this;
    }

private:
    void appendNumber(std::integral auto value) { text += std::to_string(value); }
    void appendNumber(double value);

    std::string text;
    severity level;
    bool isWritten; // false beyond the limit of lines: nothing is formatted then
};

/** Starts logging to standard error. @param program name of the program */
void startLog(const char *program);

/** Starts logging to standard output, with limited volume and without ever blocking.

    Lines are buffered and written by flushLog(). If the reader is too slow or there are more
    lines in a second than the limit, the excess lines are discarded and their number is logged.

    @param program         name of the program
    @param linesPerSecond  maximum number of lines per second
*/
void startStdoutLog(const char *program, int linesPerSecond);

/** Writes the lines buffered since startStdoutLog(), as far as possible without blocking. */
void flushLog();

/** Suppresses all log entries except fatal ones; for tests and benchmarks. */
void silenceLog();

} // namespace filbert

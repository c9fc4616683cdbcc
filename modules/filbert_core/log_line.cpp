#include "log_line.h"

#include "clock.h"
#include "output_log.h"
#include "text.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <glog/logging.h>
#include <memory>
#include <unistd.h>

namespace filbert {

namespace {

constexpr std::size_t maxValueBytes = 1'000; // values may come from other processes

bool needsNoQuotes(char c)
{
    return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\';
}

void appendQuoted(std::string *out, std::string_view value)
{
    *out += '"';
    for (const char c : value) {
        if (c == '\n') {
            *out += "\\n";
        } else if (static_cast<unsigned char>(c) < ' ' || c == 0x7f) {
            *out += '?';
        } else {
            if (c == '"' || c == '\\') {
                *out += '\\';
            }
            *out += c;
        }
    }
    *out += '"';
}

// Holds the lines of one second at the highest rate that is allowed.
constexpr std::size_t maxBufferedBytes = 256 << 10;

/** Passes the messages of glog to an output_log. */
class output_sink : public google::LogSink
{
public:
    explicit output_sink(int linesPerSecond)
        : output {STDOUT_FILENO, linesPerSecond, maxBufferedBytes}
    {
    }

    void send(google::LogSeverity severity, const char *, const char *, int,
              const google::LogMessageTime &, const char *message, std::size_t length) override
    {
        if (output.acceptsLine(monotonicNow())) {
            write(severity, {message, length});
        }
    }

    /** Writes a line that the output has accepted. */
    void write(google::LogSeverity severity, std::string_view message)
    {
        std::string line = "ts_ms=" + std::to_string(wallClockMs()) + " level=";
        line += google::GetLogSeverityName(severity);
        line += ' ';
        line += message;
        output.addAccepted(line);
    }

    output_log output;
};

std::unique_ptr<output_sink> outputSink;

google::LogSeverity toGlogSeverity(log_line::severity level)
{
    constexpr google::LogSeverity severities[] = {google::GLOG_INFO, google::GLOG_WARNING,
                                                  google::GLOG_ERROR};
    return severities[static_cast<std::size_t>(level)];
}

} // namespace

log_line::log_line(std::string_view event, severity level, volume rate)
    : level {level}
    , isWritten {FLAGS_minloglevel <= toGlogSeverity(level)
                 && (!outputSink || rate == volume::Periodic
                     || outputSink->output.acceptsLine(monotonicNow()))}
{
    if (isWritten) {
        text += "event=";
        text += event;
    }
}

log_line::~log_line()
{
    if (!isWritten) {
        return;
    }
    if (outputSink) {
        outputSink->write(toGlogSeverity(level), text); // glog would format a prefix for nobody
        return;
    }
    switch (level) {
    case severity::Info:
        LOG(INFO) << text;
        break;
    case severity::Warning:
        LOG(WARNING) << text;
        break;
    case severity::Error:
        LOG(ERROR) << text;
        break;
    }
}

log_line &log_line::with(std::string_view key, std::string_view value)
{
    if (!isWritten) {
        return *this;
    }
    text += ' ';
    text += key;
    text += '=';
    if (!value.empty() && value.size() <= maxValueBytes
        && std::all_of(value.begin(), value.end(), needsNoQuotes)) {
        text += value;
    } else {
        appendQuoted(&text, toUtf8(value, maxValueBytes));
    }
    return *this;
}

void log_line::appendNumber(double value)
{
    std::array<char, 32> digits {};
    const auto length = std::snprintf(digits.data(), digits.size(), "%g", value);
    text.append(digits.data(), static_cast<std::size_t>(length));
}

void startLog(const char *program)
{
    FLAGS_logtostderr = true;
    FLAGS_log_prefix = true;
    google::InitGoogleLogging(program);
}

void startStdoutLog(const char *program, int linesPerSecond)
{
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
        google::SetLogDestination(severity, ""); // no log files
    }
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    google::InitGoogleLogging(program);
    outputSink = std::make_unique<output_sink>(linesPerSecond);
    google::AddLogSink(outputSink.get());
    google::InstallFailureSignalHandler(); // prints the stack to standard error on a crash
}

void flushLog()
{
    if (outputSink) {
        outputSink->output.flush();
    }
}

void silenceLog()
{
    FLAGS_minloglevel = google::GLOG_FATAL;
}

} // namespace filbert

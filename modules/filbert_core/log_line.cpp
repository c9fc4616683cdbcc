#include "log_line.h"

#include <algorithm>
#include <glog/logging.h>

namespace filbert {

namespace {

bool isPlain(char c)
{
    return c > ' ' && c != '"' && c != '=' && c != '\\' && c != 0x7f;
}

void writeQuoted(std::ostream &out, std::string_view value)
{
    out << '"';
    for (const char c : value) {
        if (c == '\n') {
            out << "\\n";
        } else if (static_cast<unsigned char>(c) < ' ' || c == 0x7f) {
            out << '?';
        } else {
            if (c == '"' || c == '\\') {
                out << '\\';
            }
            out << c;
        }
    }
    out << '"';
}

} // namespace

log_line::log_line(std::string_view event, severity level)
    : level {level}
{
    text << "event=" << event;
}

log_line::~log_line()
{
    switch (level) {
    case severity::Info:
        LOG(INFO) << text.str();
        break;
    case severity::Warning:
        LOG(WARNING) << text.str();
        break;
    case severity::Error:
        LOG(ERROR) << text.str();
        break;
    }
}

log_line &log_line::with(std::string_view key, std::string_view value)
{
    text << ' ' << key << '=';
    if (!value.empty() && std::all_of(value.begin(), value.end(), isPlain)) {
        text << value;
    } else {
        writeQuoted(text, value);
    }
    return *this;
}

void startLog(const char *program)
{
    FLAGS_logtostderr = true;
    FLAGS_log_prefix = true;
    google::InitGoogleLogging(program);
}

void silenceLog()
{
    FLAGS_minloglevel = google::GLOG_FATAL;
}

} // namespace filbert

#include "output_log.h"

#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace filbert {

namespace {

constexpr milliseconds second {1'000};

} // namespace

output_log::output_log(int descriptor, int linesPerSecond, std::size_t maxBytes)
    : descriptor {descriptor}
    , linesPerSecond {linesPerSecond}
    , maxBytes {maxBytes}
{
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
}

bool output_log::acceptsLine(time_point now)
{
    if (now - secondStart >= second) {
        secondStart = now;
        linesInSecond = 0;
    }
    if (++linesInSecond > linesPerSecond) {
        ++discardedCount;
        return false;
    }
    return true;
}

void output_log::addAccepted(std::string_view line)
{
    if (buffer.size() + line.size() >= maxBytes) {
        ++discardedCount;
        return;
    }
    if (discardedCount > 0) {
        buffer +=
            "event=log_lines_left_out count=" + std::to_string(std::exchange(discardedCount, 0));
        buffer += '\n';
    }
    buffer += line;
    buffer += '\n';
}

void output_log::add(std::string_view line, time_point now)
{
    if (acceptsLine(now)) {
        addAccepted(line);
    }
}

void output_log::flush()
{
    while (!buffer.empty()) {
        const auto written = write(descriptor, buffer.data(), buffer.size());
        if (written <= 0) {
            return; // the reader is too slow; add() discards and counts lines that do not fit
        }
        buffer.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace filbert

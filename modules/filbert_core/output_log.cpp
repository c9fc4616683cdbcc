#include "output_log.h"

#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace filbert {

namespace {

constexpr milliseconds second {1'000};

} // namespace

output_log::output_log(int descriptor, int linesPerSecond, std::size_t mostBytes)
    : descriptor {descriptor}
    , linesPerSecond {linesPerSecond}
    , mostBytes {mostBytes}
{
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
}

void output_log::add(std::string_view line, time_point now)
{
    if (now - secondStart >= second) {
        secondStart = now;
        linesInSecond = 0;
    }
    const bool hasRoom = gathered.size() + line.size() < mostBytes;
    if (!hasRoom || ++linesInSecond > linesPerSecond) {
        ++dropped;
        return;
    }
    if (dropped > 0) {
        gathered += "event=log_lines_left_out count=" + std::to_string(std::exchange(dropped, 0));
        gathered += '\n';
    }
    gathered += line;
    gathered += '\n';
}

void output_log::flush()
{
    while (!gathered.empty()) {
        const auto written = write(descriptor, gathered.data(), gathered.size());
        if (written <= 0) {
            return; // nobody reads: what does not fit is left out and counted
        }
        gathered.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace filbert

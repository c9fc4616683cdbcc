#pragma once

#include "clock.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace filbert {

/** Buffers log lines for a file descriptor that may not accept them, without ever blocking. The
    number of lines per second and the size of the buffer are limited. */
class output_log
{
public:
    /** @param descriptor      the output; set to non-blocking mode
        @param linesPerSecond  maximum number of lines per second; further ones are discarded
        @param maxBytes        size of the buffer; lines that do not fit are discarded
    */
    output_log(int descriptor, int linesPerSecond, std::size_t maxBytes);

    /** Counts a line against the limit per second, before it is formatted.

        @param now  time on any monotonic clock
        @return whether the line may be added; otherwise it is counted as discarded
    */
    bool acceptsLine(time_point now);

    /** Adds a line that acceptsLine() has accepted.

        @param line  the text without a newline
    */
    void addAccepted(std::string_view line);

    /** Adds a line if it is accepted.

        @param line  the text without a newline
        @param now   time on any monotonic clock
    */
    void add(std::string_view line, time_point now);

    /** Writes the buffered lines as far as the descriptor accepts them. */
    void flush();

    /** @return the number of discarded lines that were not reported in the log yet */
    std::size_t discardedLines() const { return discardedCount; }

private:
    int descriptor;
    int linesPerSecond;
    std::size_t maxBytes;
    std::string buffer;
    time_point secondStart;
    int linesInSecond = 0;
    std::size_t discardedCount = 0;
};

} // namespace filbert

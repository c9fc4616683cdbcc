#pragma once

#include "clock.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace filbert {

/** Lines for a descriptor that may not take them: bounded in number and bytes, never waiting. */
class output_log
{
public:
    /** @param descriptor  switched to non-blocking writes
        @param linesPerSecond  more are left out
        @param mostBytes  gathered while the descriptor takes nothing */
    output_log(int descriptor, int linesPerSecond, std::size_t mostBytes);

    /** @param line without its end @param now of any clock that rises */
    void add(std::string_view line, time_point now);

    /** Writes what is gathered, as far as the descriptor takes it. */
    void flush();

    /** @return lines that were left out and not yet reported */
    std::size_t discardedLines() const { return dropped; }

private:
    int descriptor;
    int linesPerSecond;
    std::size_t mostBytes;
    std::string gathered;
    time_point secondStart;
    int linesInSecond = 0;
    std::size_t dropped = 0;
};

} // namespace filbert

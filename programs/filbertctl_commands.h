#pragma once

#include <string>
#include <vector>

namespace filbert {

/** Runs one command of filbertctl.

    @param words  the command and its arguments, flags left out
    @return the exit code that the usage text describes
*/
int runCommand(const std::vector<std::string> &words);

} // namespace filbert

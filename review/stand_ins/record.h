#pragma once

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/** The file in which a case records what was sent, answered and run. */
class record_file
{
public:
    explicit record_file(const std::string &path)
        : stream {path}
    {
    }

    /** Writes a line with the time since the start of the process. */
    void write(const std::string &line);

private:
    std::mutex mutex;
    std::ofstream stream;
};

} // namespace review

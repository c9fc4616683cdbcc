#include "record.h"

#include "http.h"

namespace review {

void record_file::write(const std::string &line)
{
    const std::lock_guard lock {mutex};
    stream << nowMs() << " ms  " << line << std::endl;
}

} // namespace review

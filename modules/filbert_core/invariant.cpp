#include "invariant.h"

#include "log_line.h"

#include <cstdlib>
#include <stdexcept>
#include <string>

namespace filbert {

namespace {

bool &throwsOnViolation()
{
    static bool value = false;
    return value;
}

} // namespace

void invariantViolated(std::string_view what, std::string_view where)
{
    if (throwsOnViolation()) {
        throw std::logic_error {std::string {what} + " at " + std::string {where}};
    }
    log_line {"invariant_violated", log_line::severity::Error}
        .with("what", what)
        .with("where", where);
    std::abort();
}

void throwOnViolatedInvariant()
{
    throwsOnViolation() = true;
}

} // namespace filbert

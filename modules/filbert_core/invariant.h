#pragma once

#include <string_view>

namespace filbert {

/** Handles a violated invariant: logs it and aborts the process, or throws std::logic_error after
    throwOnViolatedInvariant().

    @param what   description of the invariant
    @param where  source file and line
*/
[[noreturn]] void invariantViolated(std::string_view what, std::string_view where);

/** Makes invariantViolated() throw std::logic_error instead of aborting; for tests. */
void throwOnViolatedInvariant();

} // namespace filbert

#define FILBERT_STRINGIFY_(x) #x
#define FILBERT_STRINGIFY(x) FILBERT_STRINGIFY_(x)

/** Checks an invariant at run time, in every build. @see invariantViolated */
#define FILBERT_INVARIANT(condition, what)                                                         \
    do {                                                                                           \
        if (!(condition)) {                                                                        \
            ::filbert::invariantViolated(what, __FILE__ ":" FILBERT_STRINGIFY(__LINE__));          \
        }                                                                                          \
    } while (false)

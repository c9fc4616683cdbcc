#pragma once

#include <string_view>

namespace filbert {

/** What happens when an invariant does not hold; throws in tests, ends the process otherwise.

    @param what   the invariant, in words
    @param where  file and line
*/
[[noreturn]] void invariantViolated(std::string_view what, std::string_view where);

/** Makes invariantViolated() throw std::logic_error, so that a test can expect it. */
void throwOnViolatedInvariant();

} // namespace filbert

#define FILBERT_STRINGIFY_(x) #x
#define FILBERT_STRINGIFY(x) FILBERT_STRINGIFY_(x)

/** Asserts a promise of the product; checked in every build. */
#define FILBERT_INVARIANT(condition, what)                                                         \
    do {                                                                                           \
        if (!(condition)) {                                                                        \
            ::filbert::invariantViolated(what, __FILE__ ":" FILBERT_STRINGIFY(__LINE__));          \
        }                                                                                          \
    } while (false)

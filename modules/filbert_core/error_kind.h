#pragma once

#include <string_view>
#include <system_error>

namespace filbert {

/** All errors that a call can report. @see errorInfo */
enum class error_kind {
    None,
    Malformed,
    TooLarge,
    Unauthorized,
    Forbidden,
    NotFound,
    MethodNotAllowed,
    Conflict,
    LimitReached,
    NoCapacity,
    NeverFits,
    Overloaded,
    NoLeader,
    NotInForce,
    Stopping,
    DeadlineExceeded,
    TargetRefused,
    TargetLost,
    OutcomeUnknown,
    KeyReused,
    StorageFailed,
    StorageDamaged,
    FolderInUse,
    DiskFull,
    Timeout,
    ConnectionFailed,
    Internal,
};

/** What is known about the requested work after a failed call. */
enum class work_outcome {
    NotRun,
    MayHaveRun,
    Ran,
};

/** How an error is reported to callers. */
struct error_info
{
    error_kind kind;
    std::string_view name;
    int httpStatus;
    work_outcome outcome;
    std::string_view description;
};

/** @param kind any error @return how it is reported; values outside the list give Internal */
const error_info &errorInfo(error_kind kind);

/** @param outcome any value @return its name in responses, e.g. "not_run" */
std::string_view outcomeName(work_outcome outcome);

/** Converts an error_kind to a std::error_code; the standard library finds it by this name. */
std::error_code make_error_code(error_kind kind); // NOLINT(readability-identifier-naming)

/** Converts a std::error_code back. Codes of other categories become Internal. */
error_kind errorKindOf(const std::error_code &code);

} // namespace filbert

template <>
struct std::is_error_code_enum<filbert::error_kind> : std::true_type
{
};

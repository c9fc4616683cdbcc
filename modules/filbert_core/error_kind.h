#pragma once

#include <string_view>
#include <system_error>

namespace filbert {

/** Every way in which a call can fail; the list is closed. @see errorInfo */
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

/** What is certain about the work behind a failed call. */
enum class work_outcome {
    NotRun,
    MayHaveRun,
    Ran,
};

/** One row of the table from kind to answer. */
struct error_info
{
    error_kind kind;
    std::string_view name;
    int httpStatus;
    work_outcome outcome;
    std::string_view description;
};

/** The answer for a kind. @param kind any kind @return its row; never fails */
const error_info &errorInfo(error_kind kind);

/** @param outcome any value @return its name in answers, e.g. "not_run" */
std::string_view outcomeName(work_outcome outcome);

/** Brings error_kind into std::error_code. @return the code of that kind */
std::error_code make_error_code(error_kind kind); // NOLINT(readability-identifier-naming)

/** The way back. @param code any code @return its kind; foreign codes are Internal */
error_kind errorKindOf(const std::error_code &code);

} // namespace filbert

template <>
struct std::is_error_code_enum<filbert::error_kind> : std::true_type
{
};

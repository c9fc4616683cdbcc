#include "error_kind.h"

#include <array>
#include <string>

namespace filbert {

namespace {

using enum error_kind;
using enum work_outcome;

constexpr std::array errorTable {
    error_info {None, "none", 200, Ran, "no error"},
    error_info {Malformed, "malformed", 400, NotRun, "the request is malformed"},
    error_info {TooLarge, "too_large", 413, NotRun, "the request exceeds a size limit"},
    error_info {Unauthorized, "unauthorized", 401, NotRun,
                "the key is missing, invalid or revoked"},
    error_info {Forbidden, "forbidden", 403, NotRun, "the key does not allow this"},
    error_info {NotFound, "not_found", 404, NotRun, "the requested item does not exist"},
    error_info {MethodNotAllowed, "method_not_allowed", 405, NotRun,
                "the HTTP method is not allowed here"},
    error_info {Conflict, "conflict", 409, NotRun,
                "the base version is no longer the current version"},
    error_info {LimitReached, "limit_reached", 429, NotRun, "the team has reached its upper limit"},
    error_info {NoCapacity, "no_capacity", 503, NotRun, "no target had free capacity in time"},
    error_info {NeverFits, "never_fits", 422, NotRun,
                "no target meets the requirements of the task"},
    error_info {Overloaded, "overloaded", 503, NotRun, "too many requests are already waiting"},
    error_info {NoLeader, "no_leader", 503, NotRun, "there is currently no leading controller"},
    error_info {NotInForce, "not_in_force", 503, NotRun,
                "no configuration is in force on this host"},
    error_info {Stopping, "stopping", 503, NotRun, "this process is shutting down"},
    error_info {DeadlineExceeded, "deadline_exceeded", 504, MayHaveRun,
                "no response by the deadline"},
    error_info {TargetRefused, "target_refused", 503, NotRun,
                "the target refused to start the task"},
    error_info {TargetLost, "target_lost", 502, MayHaveRun, "the response of the target was lost"},
    error_info {OutcomeUnknown, "outcome_unknown", 409, MayHaveRun,
                "an earlier request with this idempotency key may have run"},
    error_info {KeyReused, "key_reused", 422, NotRun,
                "the idempotency key was used with a different request"},
    error_info {StorageFailed, "storage_failed", 500, MayHaveRun,
                "writing to storage or syncing failed"},
    error_info {StorageDamaged, "storage_damaged", 500, NotRun, "stored data is damaged"},
    error_info {FolderInUse, "folder_in_use", 500, NotRun,
                "the data folder is in use by another process"},
    error_info {DiskFull, "disk_full", 507, NotRun, "no disk space left for the data folder"},
    error_info {Timeout, "timeout", 504, MayHaveRun, "no response within the timeout"},
    error_info {ConnectionFailed, "connection_failed", 502, NotRun,
                "the connection could not be established"},
    error_info {Internal, "internal", 500, MayHaveRun, "an internal error occurred"},
};

constexpr bool isTableOrdered()
{
    for (std::size_t i = 0; i < errorTable.size(); ++i) {
        if (static_cast<std::size_t>(errorTable[i].kind) != i) {
            return false;
        }
    }
    return errorTable.size() == static_cast<std::size_t>(Internal) + 1;
}

static_assert(isTableOrdered(),
              "errorTable needs one row per error_kind, in the order of the enumerators");

class filbert_category : public std::error_category
{
public:
    const char *name() const noexcept override { return "filbert"; }

    std::string message(int value) const override
    {
        return std::string {errorInfo(static_cast<error_kind>(value)).description};
    }
};

const filbert_category &category()
{
    static const filbert_category instance;
    return instance;
}

} // namespace

const error_info &errorInfo(error_kind kind)
{
    const auto row = static_cast<std::size_t>(kind);
    return row < errorTable.size() ? errorTable[row] : errorTable.back();
}

std::string_view outcomeName(work_outcome outcome)
{
    constexpr std::array<std::string_view, 3> names {"not_run", "may_have_run", "ran"};
    return names[static_cast<std::size_t>(outcome)];
}

std::error_code make_error_code(error_kind kind) // NOLINT(readability-identifier-naming)
{
    return {static_cast<int>(kind), category()};
}

error_kind errorKindOf(const std::error_code &code)
{
    if (!code) {
        return None;
    }
    return code.category() == category() ? static_cast<error_kind>(code.value()) : Internal;
}

} // namespace filbert

#include "error_kind.h"

#include <array>
#include <string>

namespace filbert {

namespace {

using enum error_kind;
using enum work_outcome;

constexpr std::array errorTable {
    error_info {None, "none", 200, Ran, "no error"},
    error_info {Malformed, "malformed", 400, NotRun, "the request cannot be read"},
    error_info {TooLarge, "too_large", 413, NotRun, "the request exceeds a size limit"},
    error_info {Unauthorized, "unauthorized", 401, NotRun,
                "the key is missing, wrong or withdrawn"},
    error_info {Forbidden, "forbidden", 403, NotRun, "the key does not allow this"},
    error_info {NotFound, "not_found", 404, NotRun, "there is no such thing"},
    error_info {MethodNotAllowed, "method_not_allowed", 405, NotRun, "use another method"},
    error_info {Conflict, "conflict", 409, NotRun, "the base version is no longer the current one"},
    error_info {LimitReached, "limit_reached", 429, NotRun, "team is at its upper limit"},
    error_info {NoCapacity, "no_capacity", 503, NotRun, "no target had room in time"},
    error_info {NeverFits, "never_fits", 422, NotRun, "no target could ever run this"},
    error_info {Overloaded, "overloaded", 503, NotRun, "too much is waiting already"},
    error_info {NoLeader, "no_leader", 503, NotRun, "no controller is leading at present"},
    error_info {NotInForce, "not_in_force", 503, NotRun, "no current configuration on this host"},
    error_info {Stopping, "stopping", 503, NotRun, "this process is shutting down"},
    error_info {DeadlineExceeded, "deadline_exceeded", 504, MayHaveRun,
                "no answer by the deadline"},
    error_info {TargetRefused, "target_refused", 503, NotRun, "the target did not start it"},
    error_info {TargetLost, "target_lost", 502, MayHaveRun, "the target's answer was lost"},
    error_info {OutcomeUnknown, "outcome_unknown", 409, MayHaveRun,
                "an earlier request with this key may have run"},
    error_info {KeyReused, "key_reused", 422, NotRun, "the key came with another request before"},
    error_info {StorageFailed, "storage_failed", 500, MayHaveRun, "writing or syncing failed"},
    error_info {StorageDamaged, "storage_damaged", 500, NotRun, "stored data is damaged"},
    error_info {FolderInUse, "folder_in_use", 500, NotRun, "another process has the data folder"},
    error_info {DiskFull, "disk_full", 507, NotRun, "no room left in the data folder"},
    error_info {Timeout, "timeout", 504, MayHaveRun, "no answer in time"},
    error_info {ConnectionFailed, "connection_failed", 502, NotRun, "no connection was made"},
    error_info {Internal, "internal", 500, MayHaveRun, "an unexpected failure"},
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

static_assert(isTableOrdered(), "one row for each kind, in the order of the kinds");

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

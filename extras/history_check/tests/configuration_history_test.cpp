#include "configuration_history.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

using operation = history_operation<configuration_call>;

operation accepted(std::int64_t from, std::int64_t to, const std::string &request,
                   std::int64_t base, std::int64_t version)
{
    return {from, to, {request, base, change_result::Accepted, version}};
}

operation conflict(std::int64_t from, std::int64_t to, const std::string &request,
                   std::int64_t base)
{
    return {from, to, {request, base, change_result::Conflict, 0}};
}

operation unanswered(std::int64_t from, const std::string &request, std::int64_t base)
{
    return {from, neverReturned, {request, base, change_result::Unknown, 0}};
}

} // namespace

TEST_CASE("linearizable histories of configuration changes are accepted")
{
    CHECK(isConfigurationHistoryLinearizable({}));
    // Two concurrent changes with the same base: one is accepted, the other conflicts.
    CHECK(isConfigurationHistoryLinearizable(
        {accepted(0, 9, "a", 0, 1), conflict(1, 8, "b", 0), accepted(10, 12, "c", 1, 2)}));
    // The answer to a change is lost, another operator builds on it, and a resend gets the answer.
    CHECK(isConfigurationHistoryLinearizable(
        {unanswered(0, "a", 0), accepted(5, 6, "b", 1, 2), accepted(7, 8, "a", 0, 1)}));
    // A change without an answer that never took effect.
    CHECK(isConfigurationHistoryLinearizable({unanswered(0, "a", 0), accepted(5, 6, "b", 0, 1)}));
}

TEST_CASE("histories of configuration changes that aren't linearizable are rejected")
{
    // Two changes with the same base are both accepted.
    CHECK_FALSE(
        isConfigurationHistoryLinearizable({accepted(0, 9, "a", 0, 1), accepted(1, 8, "b", 0, 1)}));
    // A change is based on a version that no change has created.
    CHECK_FALSE(
        isConfigurationHistoryLinearizable({accepted(0, 1, "a", 0, 1), accepted(2, 3, "b", 2, 3)}));
    // The accepted version is reverted: a later change is accepted on an earlier base.
    CHECK_FALSE(isConfigurationHistoryLinearizable(
        {accepted(0, 1, "a", 0, 1), accepted(2, 3, "b", 1, 2), accepted(4, 5, "c", 1, 2)}));
    // A resend is accepted as a new change.
    CHECK_FALSE(isConfigurationHistoryLinearizable(
        {accepted(0, 1, "a", 0, 1), accepted(2, 3, "b", 1, 2), accepted(4, 5, "a", 2, 3)}));
    // A change conflicts although no other change was sent before it returned.
    CHECK_FALSE(
        isConfigurationHistoryLinearizable({conflict(0, 1, "a", 0), accepted(2, 3, "b", 0, 1)}));
    // The change with the later version returned before the one it is based on was invoked.
    CHECK_FALSE(isConfigurationHistoryLinearizable(
        {accepted(10, 11, "a", 0, 1), accepted(0, 5, "b", 1, 2)}));
}

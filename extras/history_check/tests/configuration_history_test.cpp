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

TEST_CASE("right histories of changes can be put into an order")
{
    CHECK(isConfigurationHistoryRight({}));
    // Two with one base at once: whichever came first, the other conflicts.
    CHECK(isConfigurationHistoryRight(
        {accepted(0, 9, "a", 0, 1), conflict(1, 8, "b", 0), accepted(10, 12, "c", 1, 2)}));
    // A lost answer, found again by its resend, after another operator has built on it.
    CHECK(isConfigurationHistoryRight(
        {unanswered(0, "a", 0), accepted(5, 6, "b", 1, 2), accepted(7, 8, "a", 0, 1)}));
    // A lost change that never took effect.
    CHECK(isConfigurationHistoryRight({unanswered(0, "a", 0), accepted(5, 6, "b", 0, 1)}));
}

TEST_CASE("planted wrong histories of changes are rejected")
{
    // Both of two with one base are accepted.
    CHECK_FALSE(
        isConfigurationHistoryRight({accepted(0, 9, "a", 0, 1), accepted(1, 8, "b", 0, 1)}));
    // A version is skipped that nobody can have made.
    CHECK_FALSE(
        isConfigurationHistoryRight({accepted(0, 1, "a", 0, 1), accepted(2, 3, "b", 2, 3)}));
    // The accepted version reverts: a later change is accepted on an earlier base.
    CHECK_FALSE(isConfigurationHistoryRight(
        {accepted(0, 1, "a", 0, 1), accepted(2, 3, "b", 1, 2), accepted(4, 5, "c", 1, 2)}));
    // A resend is taken as a new change.
    CHECK_FALSE(isConfigurationHistoryRight(
        {accepted(0, 1, "a", 0, 1), accepted(2, 3, "b", 1, 2), accepted(4, 5, "a", 2, 3)}));
    // A conflict although nothing else had been changed before it ended.
    CHECK_FALSE(isConfigurationHistoryRight({conflict(0, 1, "a", 0), accepted(2, 3, "b", 0, 1)}));
    // In real time, the second began after the first had ended.
    CHECK_FALSE(
        isConfigurationHistoryRight({accepted(10, 11, "a", 0, 1), accepted(0, 5, "b", 1, 2)}));
}

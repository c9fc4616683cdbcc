#include "history.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

const std::vector<caller_record> calls {
    {"a", "quote", 200, "ran"}, {"b", "die", 200, "ran"}, {"c", "die", 503, "not_run"}};
const std::vector<start_record> starts {{"1", "t1", "quote", "a"}, {"2", "t2", "die", "b"}};

} // namespace

TEST_CASE("a right history has no violation")
{
    CHECK(findViolations(calls, starts, {"die"}).empty());
    auto retried = starts;
    retried.push_back({"3", "t2", "quote", "a"}); // idempotent: it may run again elsewhere
    CHECK(findViolations(calls, retried, {"die"}).empty());
}

TEST_CASE("each planted violation is found")
{
    const auto withStart = [](const start_record &start) {
        auto changed = starts;
        changed.push_back(start);
        return findViolations(calls, changed, {"die"});
    };
    CHECK(withStart({"3", "t1", "die", "b"}).size() == 1); // ran twice
    CHECK(withStart({"3", "t1", "die", "c"}).size() == 1); // told not run
    CHECK(withStart({"2", "t1", "quote", "z"}).size() == 1); // one placement, two places
    CHECK(findViolations(calls, {starts[0]}, {"die"}).size() == 1); // answered, never ran
}

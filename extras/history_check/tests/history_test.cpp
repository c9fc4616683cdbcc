#include "history.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

const std::vector<caller_record> calls {
    {"a", "quote", 200, "ran"}, {"b", "die", 200, "ran"}, {"c", "die", 503, "not_run"}};
const std::vector<start_record> starts {{"1", "t1", "quote", "a"}, {"2", "t2", "die", "b"}};

} // namespace

TEST_CASE("a history that keeps all guarantees has no violations")
{
    CHECK(findViolations(calls, starts, {"die"}).empty());
    auto retried = starts;
    retried.push_back(
        {"3", "t2", "quote", "a"}); // an idempotent request may run again on another target
    CHECK(findViolations(calls, retried, {"die"}).empty());
}

TEST_CASE("each kind of violation is reported")
{
    const auto withStart = [](const start_record &start) {
        auto changed = starts;
        changed.push_back(start);
        return findViolations(calls, changed, {"die"});
    };
    CHECK(withStart({"3", "t1", "die", "b"}).size() == 1); // non-idempotent, but ran twice
    CHECK(withStart({"3", "t1", "die", "c"}).size() == 1); // refused as not run, but ran
    CHECK(withStart({"2", "t1", "quote", "z"}).size() == 1); // one placement on two targets
    CHECK(findViolations(calls, {starts[0]}, {"die"}).size() == 1); // answered, but never ran
}

#include "filbert_messages/filbert_messages.h"

#include "property.h"
#include <catch2/catch.hpp>

using namespace filbert;

namespace {

bool parsesAsSubmitBody(const std::string &text)
{
    messages::submit_body body;
    std::string detail;
    const bool isParsed = !readJson(text, &body, &detail);
    CHECK(isParsed == detail.empty());
    return isParsed;
}

} // namespace

TEST_CASE("JSON is parsed strictly")
{
    CHECK(parsesAsSubmitBody(R"({"queue":"a","task":{"milli_cores":5}})"));
    CHECK_FALSE(parsesAsSubmitBody(R"({"queue":"a","queue":"b"})"));
    CHECK_FALSE(parsesAsSubmitBody(R"({"task":{"milli_cores":5,"milli_cores":6}})"));
    CHECK_FALSE(parsesAsSubmitBody(R"({"colour":1})"));
    CHECK_FALSE(parsesAsSubmitBody(R"({"tasks":"many"})"));
    CHECK_FALSE(parsesAsSubmitBody(R"({"queue":"a")"));
    CHECK_FALSE(parsesAsSubmitBody("{\"queue\":\"\xff\"}"));
    CHECK_FALSE(parsesAsSubmitBody(std::string(5'000, '[')));
    CHECK_FALSE(parsesAsSubmitBody(""));
}

TEST_CASE(
    "messages survive the conversion to JSON and back, and invalid input gives an explanation")
{
    checkProperty([](const std::string &randomText, int tasks, bool idempotent) {
        messages::submit_body body;
        body.set_queue("q");
        body.set_tasks(tasks);
        body.set_idempotent(idempotent);
        messages::submit_body parsed;
        std::string detail;
        RC_ASSERT(!readJson(writeJson(body), &parsed, &detail));
        RC_ASSERT(parsed.SerializeAsString() == body.SerializeAsString());
        const bool isRejected = static_cast<bool>(readJson(randomText, &parsed, &detail));
        RC_ASSERT(isRejected == !detail.empty());
    });
}

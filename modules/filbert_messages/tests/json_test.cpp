#include "filbert_messages/filbert_messages.h"

#include "property.h"
#include <catch2/catch.hpp>

using namespace filbert;

namespace {

bool isRead(const std::string &text)
{
    messages::submit_body body;
    std::string detail;
    const bool isRight = !readJson(text, &body, &detail);
    CHECK(isRight == detail.empty());
    return isRight;
}

} // namespace

TEST_CASE("JSON is read strictly")
{
    CHECK(isRead(R"({"queue":"a","task":{"milli_cores":5}})"));
    CHECK_FALSE(isRead(R"({"queue":"a","queue":"b"})"));
    CHECK_FALSE(isRead(R"({"task":{"milli_cores":5,"milli_cores":6}})"));
    CHECK_FALSE(isRead(R"({"colour":1})"));
    CHECK_FALSE(isRead(R"({"tasks":"many"})"));
    CHECK_FALSE(isRead(R"({"queue":"a")"));
    CHECK_FALSE(isRead("{\"queue\":\"\xff\"}"));
    CHECK_FALSE(isRead(std::string(5'000, '[')));
    CHECK_FALSE(isRead(""));
}

TEST_CASE("any message is read back as it was written, and any bytes end in a clear answer")
{
    checkProperty([](const std::string &noise, int tasks, bool idempotent) {
        messages::submit_body body;
        body.set_queue("q");
        body.set_tasks(tasks);
        body.set_idempotent(idempotent);
        messages::submit_body again;
        std::string detail;
        RC_ASSERT(!readJson(writeJson(body), &again, &detail));
        RC_ASSERT(again.SerializeAsString() == body.SerializeAsString());
        const bool isRefused = static_cast<bool>(readJson(noise, &again, &detail));
        RC_ASSERT(isRefused == !detail.empty());
    });
}

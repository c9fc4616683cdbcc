#include "filbert_transport/filbert_transport.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace filbert;

namespace {

constexpr std::size_t mb = 1'000'000;
constexpr std::size_t kib = 1024;

// An entry host of the smallest class and a controller.
constexpr process_limits entryHost {120 * mb, 3'075};
constexpr process_limits controllerHost {384 * mb, 4'096};

request_budget budgetOf(const process_limits &limits)
{
    request_budget budget;
    budget.settings = budgetSettings(limits);
    return budget;
}

/** Adds a request on a connection of its own, both with the same id. */
void addBody(request_budget &budget, std::uint64_t id, std::size_t bytes, time_point now)
{
    addConnection(budget, id, now);
    addRequest(budget, id, id, now);
    setHeldBytes(budget, id, bytes);
}

/** Does what the limiter does after each change. @return the ids of the ended requests */
std::vector<std::uint64_t> enforce(request_budget &budget, time_point now)
{
    auto ended = requestsBeyondMemory(budget, now);
    for (const auto id : ended) {
        removeConnection(budget, id);
    }
    return ended;
}

} // namespace

// Guards against a change of behaviour for processes without the settings.
TEST_CASE("without limits nothing is ended", "[transport]")
{
    auto budget = budgetOf({});
    for (std::uint64_t id = 1; id <= 5'000; ++id) {
        addBody(budget, id, 4'096 * kib, {0});
        CHECK(mayWait(budget, id, 4'096 * kib));
    }
    CHECK(requestsBeyondMemory(budget, {1'000}).empty());
    CHECK(hasRoomForConnection(budget));
    CHECK(connectionsBeyondLimit(budget, {1'000}).connections.empty());
}

// Guards against limits that ordinary load meets: hundreds of requests a second with bodies of
// some kB, each answered within a second, on the smallest entry host.
TEST_CASE("ordinary load stays within the budget of a small entry host", "[transport]")
{
    auto budget = budgetOf(entryHost);
    for (std::uint64_t id = 1; id <= 800; ++id) {
        CHECK(hasRoomForConnection(budget));
        addBody(budget, id, 8 * kib, {0});
        CHECK(mayWait(budget, id, 8 * kib));
        setStage(budget, id, request_stage::Waiting, 8 * kib, {0});
        CHECK(requestsBeyondMemory(budget, {0}).empty());
    }
}

// Guards against refusing a single large request in calm.
TEST_CASE("one request of the largest legal size is always served", "[transport]")
{
    for (const auto &limits : {entryHost, controllerHost, process_limits {64 * mb, 128}}) {
        auto budget = budgetOf(limits);
        addBody(budget, 1, 4'096 * kib, {0});
        CHECK(requestsBeyondMemory(budget, {0}).empty());
        CHECK(mayWait(budget, 1, 4'096 * kib));
    }
}

// Guards against a process that unfinished bodies end through its memory.
TEST_CASE("unfinished bodies never exceed the budget", "[transport]")
{
    auto budget = budgetOf(entryHost);
    for (std::uint64_t id = 1; id <= 1'200; ++id) {
        addBody(budget, id, 256 * kib, {static_cast<std::int64_t>(id)});
        enforce(budget, {static_cast<std::int64_t>(id)});
        REQUIRE(budget.heldBytes <= budget.settings.maxBytes);
        REQUIRE(budget.largeBytes <= budget.settings.maxLargeBytes);
    }
    CHECK(budget.requests.size() > 10);
}

// Guards against small ordinary requests that are ended because of large ones.
TEST_CASE("the largest and slowest requests are ended first, small ones last", "[transport]")
{
    auto budget = budgetOf(entryHost);
    addBody(budget, 1, 20 * kib, {0});
    addBody(budget, 2, 1'024 * kib, {5'000}); // large, and younger than the next
    addBody(budget, 3, 1'024 * kib, {0});
    std::uint64_t id = 3;
    std::vector<std::uint64_t> ended;
    while (ended.empty()) {
        addBody(budget, ++id, 128 * kib, {6'000});
        ended = enforce(budget, {6'000});
    }
    CHECK(ended == std::vector<std::uint64_t> {3});
    CHECK(budget.requests.contains(1));
}

// Guards against small requests that find no room beside large ones.
TEST_CASE("a part of the memory is reserved for small requests", "[transport]")
{
    auto budget = budgetOf(entryHost);
    for (std::uint64_t id = 1; id <= 100; ++id) {
        addBody(budget, id, 1'024 * kib, {0});
        enforce(budget, {1});
    }
    const auto large = budget.requests.size();
    for (std::uint64_t id = 1'001; id <= 1'100; ++id) {
        addBody(budget, id, 20 * kib, {1});
        CHECK(enforce(budget, {1}).empty());
        CHECK(mayWait(budget, id, 20 * kib));
    }
    CHECK(budget.requests.size() == large + 100);
}

// Guards against large requests that take all of the time at the leader, and against endless queues
// there.
TEST_CASE("waiting requests are bounded by size and number", "[transport]")
{
    auto budget = budgetOf(entryHost);
    std::uint64_t id = 0;
    addBody(budget, ++id, 256 * kib, {0});
    while (mayWait(budget, id, 256 * kib)) {
        setStage(budget, id, request_stage::Waiting, 256 * kib, {0});
        addBody(budget, ++id, 256 * kib, {0});
    }
    CHECK(budget.waitingBytes <= budget.settings.maxLargeWaitingBytes);
    addBody(budget, ++id, 4 * kib, {0});
    CHECK(mayWait(budget, id, 4 * kib));
    while (mayWait(budget, id, 1 * kib)) {
        setStage(budget, id, request_stage::Waiting, 1 * kib, {0});
        addBody(budget, ++id, 1 * kib, {0});
    }
    CHECK(budget.waitingRequests <= budget.settings.maxWaitingRequests);
    CHECK(budget.waitingBytes <= budget.settings.maxWaitingBytes);
}

// Guards against bodies that take far more memory once they are decoded.
TEST_CASE("the size of a waiting request may grow only within the budget", "[transport]")
{
    auto budget = budgetOf(entryHost);
    for (std::uint64_t id = 1; id <= 2; ++id) {
        addBody(budget, id, 30 * kib, {0});
        setStage(budget, id, request_stage::Waiting, 30 * kib, {0});
    }
    CHECK(mayWait(budget, 1, 14 * mb)); // alone among the large ones
    setHeldBytes(budget, 1, 14 * mb);
    CHECK(mayWait(budget, 1, 14 * mb));
    CHECK(!mayWait(budget, 2, 14 * mb));
    CHECK(mayWait(budget, 2, 30 * kib));
    CHECK(requestsBeyondMemory(budget, {0}).empty());
    addBody(budget, 3, 20 * kib, {0});
    addBody(budget, 4, 256 * kib, {0});
    addBody(budget, 5, 1'024 * kib, {0});
    CHECK(requestsBeyondMemory(budget, {1}) == std::vector<std::uint64_t> {5, 4});
}

// Guards against a request that waits for the leader being dropped: it may have been accepted.
TEST_CASE("requests that wait for their answer are never ended", "[transport]")
{
    auto budget = budgetOf(entryHost);
    addBody(budget, 1, 1'024 * kib, {0});
    setStage(budget, 1, request_stage::Waiting, 1'024 * kib, {0});
    for (std::uint64_t id = 2; id <= 100; ++id) {
        addBody(budget, id, 1'024 * kib, {1'000});
        const auto ended = enforce(budget, {1'000'000});
        CHECK(std::find(ended.begin(), ended.end(), 1) == ended.end());
    }
    CHECK(expiredParts(budget, {10'000'000}).requests.size() == budget.requests.size() - 1);
}

// Guards against connections that use up the descriptors that calls to targets need.
TEST_CASE("connections without a request make room for new ones", "[transport]")
{
    auto budget = budgetOf({0, 384});
    for (std::uint64_t id = 1; hasRoomForConnection(budget); ++id) {
        addConnection(budget, id, {static_cast<std::int64_t>(id)});
    }
    CHECK(budget.connections.size() == 256);
    addRequest(budget, 1, 1, {2'000}); // the oldest one is in use
    const auto excess = connectionsBeyondLimit(budget, {3'000});
    REQUIRE(!excess.connections.empty());
    CHECK(excess.connections.front() == 2);
    for (const auto id : excess.connections) {
        removeConnection(budget, id);
    }
    CHECK(hasRoomForConnection(budget));
}

// Guards against connections that are all in the middle of a body.
TEST_CASE("unfinished requests make room for new connections", "[transport]")
{
    auto budget = budgetOf({0, 384});
    for (std::uint64_t id = 1; hasRoomForConnection(budget); ++id) {
        addBody(budget, id, id == 7 ? 128 * kib : 1, {0});
    }
    CHECK(connectionsBeyondLimit(budget, {1'000}).connections.front() == 7);
}

// Guards against bodies and heads that trickle for ever, and against limits that a slow client on a
// link of 0.5 Mbit/s meets.
TEST_CASE("what makes too little progress expires", "[transport]")
{
    auto budget = budgetOf(entryHost);
    addConnection(budget, 1, {0});
    addBody(budget, 2, 256 * kib, {0});
    addBody(budget, 3, 100, {0});
    CHECK(expiredParts(budget, {15'000}).connections.empty());
    CHECK(expiredParts(budget, {15'000}).requests.empty());
    CHECK(expiredParts(budget, {26'000}).connections == std::vector<std::uint64_t> {1});
    CHECK(expiredParts(budget, {26'000}).requests == std::vector<std::uint64_t> {3});
    CHECK(expiredParts(budget, {300'000}).requests.size() == 2);
}

// Guards against bytes that stay counted, which would let a process refuse everything in the end.
TEST_CASE("all that is added is removed again", "[transport]")
{
    auto budget = budgetOf(entryHost);
    for (std::uint64_t id = 1; id <= 100; ++id) {
        addBody(budget, id, id * kib, {0});
        setStage(budget, id, id % 2 == 0 ? request_stage::Waiting : request_stage::Answer, id * kib,
                 {1});
    }
    for (std::uint64_t id = 1; id <= 100; ++id) {
        if (id % 3 == 0) {
            removeRequest(budget, id, {2});
        }
        removeConnection(budget, id);
        removeRequest(budget, id, {3});
    }
    CHECK(budget.requests.empty());
    CHECK(budget.connections.empty());
    CHECK(budget.heldBytes + budget.largeBytes + budget.waitingBytes + budget.largeWaitingBytes
              + budget.waitingRequests
          == 0);
}

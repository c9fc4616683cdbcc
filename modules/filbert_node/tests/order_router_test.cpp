#include "filbert_node/filbert_node.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

struct router_fixture
{
    time_point now {10'000};
    std::vector<std::pair<std::string, messages::work_envelope>> sent;
    std::vector<target_order> directCalls;
    std::vector<std::pair<target_order, order_answer>> answered;
    std::string drainingTarget; // gets no starts any more
    order_router router;

    explicit router_fixture(std::uint64_t idBase = 0)
        : router {settings(idBase),
                  {[this](const std::string &relayName, const messages::work_envelope &envelope) {
                       sent.emplace_back(relayName, envelope);
                   },
                   [this](const target_order &order) { directCalls.push_back(order); },
                   [this](const target_order &order, time_point) {
                       return order.target != drainingTarget;
                   },
                   [this](const target_order &order, const order_answer &answer) {
                       answered.emplace_back(order, answer);
                   }}}
    {
    }

    static order_router_settings settings(std::uint64_t idBase)
    {
        order_router_settings settings;
        settings.idBase = idBase;
        return settings;
    }

    /** Lets time pass, and then the loop read its messages between two ticks. */
    void tickTwice(milliseconds duration)
    {
        now = now + duration;
        router.tick(now);
        now = now + milliseconds {10};
        router.tick(now);
    }

    static target_order orderFor(const std::string &target)
    {
        target_order order;
        order.kind = order_kind::Start;
        order.target = target;
        order.task = {"5c0e7a21d94b36f8", 0, 1, 2};
        order.run = 3;
        order.leaseExpiresAt = 77;
        order.timeout = {300};
        return order;
    }

    void send(const std::string &target, std::size_t targets = 350)
    {
        router.send(orderFor(target), targets, "a", now);
        router.flush(now);
    }
};

} // namespace

TEST_CASE("few targets are called directly, many through relays", "[relay]")
{
    router_fixture fixture;
    fixture.send("t1");
    CHECK(fixture.directCalls.size() == 1); // directly, since there is no relay
    fixture.router.registerRelay("g1", {"a", 1}, fixture.now);
    fixture.send("t1", 48);
    CHECK(fixture.directCalls.size() == 2);
    fixture.send("t1");
    CHECK(fixture.directCalls.size() == 2);
    REQUIRE(fixture.sent.size() == 1);
    CHECK(fixture.sent[0].first == "g1");
}

TEST_CASE("a new leader's orders wait briefly for a relay, then go directly to the target",
          "[relay]")
{
    router_fixture fixture;
    fixture.router.startTerm(fixture.now);
    fixture.send("t1");
    CHECK(fixture.directCalls.empty());
    CHECK(fixture.sent.empty());
    const bool hasRelay = GENERATE(true, false);
    if (hasRelay) {
        fixture.router.registerRelay("g1", {"a", 1}, fixture.now);
    } else {
        fixture.now = fixture.now + milliseconds {400};
    }
    fixture.router.flush(fixture.now);
    CHECK(fixture.sent.size() == (hasRelay ? 1 : 0));
    CHECK(fixture.directCalls.size() == (hasRelay ? 0 : 1));
    fixture.router.flush(fixture.now);
    CHECK(fixture.sent.size() + fixture.directCalls.size() == 1); // exactly once
}

TEST_CASE("orders that wait for a relay are discarded at the end of their term", "[relay]")
{
    router_fixture fixture;
    fixture.router.startTerm(fixture.now);
    fixture.send("t1");
    fixture.router.startTerm(fixture.now);
    fixture.router.registerRelay("g1", {"a", 1}, fixture.now);
    fixture.router.flush(fixture.now);
    CHECK(fixture.sent.empty());
    CHECK(fixture.directCalls.empty());
}

TEST_CASE("a target keeps one relay, in its own failure domain", "[relay]")
{
    router_fixture fixture;
    for (const auto *name : {"g1", "g2", "g3"}) {
        fixture.router.registerRelay(name, {name == std::string {"g3"} ? "b" : "a", 1},
                                     fixture.now);
    }
    for (int i = 0; i < 20; ++i) {
        fixture.send("t1");
    }
    for (const auto &[relayName, envelope] : fixture.sent) {
        CHECK(relayName == fixture.sent[0].first);
        CHECK(relayName != "g3");
    }
}

TEST_CASE("a relay with a narrow link gets orders only while no other relay has a wide one",
          "[relay]")
{
    router_fixture fixture;
    fixture.router.registerRelay("entry", {"a", 1, 2}, fixture.now);
    fixture.send("t1");
    fixture.router.registerRelay("follower", {"b", 1, 1'000}, fixture.now);
    fixture.send("t1");
    fixture.router.unregisterRelay("follower");
    fixture.send("t1");
    REQUIRE(fixture.sent.size() == 3);
    CHECK(fixture.sent[0].first == "entry");
    CHECK(fixture.sent[1].first == "follower");
    CHECK(fixture.sent[2].first == "entry");
}

TEST_CASE("an order that its relay does not answer ends once, and not as a failure of the target",
          "[relay]")
{
    router_fixture fixture;
    fixture.router.registerRelay("g1", {"a", 1}, fixture.now);
    fixture.send("t1");
    fixture.tickTwice({700});
    REQUIRE(fixture.answered.size() == 1);
    CHECK(fixture.answered[0].second.result == order_result::RelayLost);
    messages::carried_answers late;
    late.add_answers()->set_id(fixture.sent[0].second.carried().orders(0).id());
    fixture.router.handleAnswers("g1", late, fixture.now);
    CHECK(fixture.answered.size() == 1);
    fixture.send("t1");
    CHECK(fixture.directCalls.size() == 1); // the silent relay is not used before its next hello
}

TEST_CASE("all orders of a relay end at once when it is replaced or silent", "[relay]")
{
    router_fixture fixture;
    auto poll = router_fixture::orderFor("t2");
    poll.kind = order_kind::Poll;
    poll.timeout = {2'200};
    const bool isReplaced = GENERATE(true, false);
    fixture.router.registerRelay("g1", {"a", 1}, fixture.now);
    fixture.router.send(poll, 350, "a", fixture.now);
    if (isReplaced) {
        fixture.now = fixture.now + milliseconds {300};
        fixture.router.registerRelay("g1", {"a", 2}, fixture.now);
    } else {
        fixture.tickTwice({1'000});
    }
    REQUIRE(fixture.answered.size() == 1);
    CHECK(fixture.answered[0].second.result == order_result::RelayLost);
    CHECK(fixture.answered[0].first.kind == order_kind::Poll);
}

TEST_CASE("one unanswered order ends all orders of its relay", "[relay]")
{
    router_fixture fixture;
    fixture.router.registerRelay("g1", {"a", 1}, fixture.now);
    auto poll = router_fixture::orderFor("t2");
    poll.kind = order_kind::Poll;
    poll.timeout = {2'200};
    fixture.router.send(poll, 350, "a", fixture.now);
    fixture.send("t1");
    // The start order has timed out, the poll has not.
    fixture.tickTwice({700});
    CHECK(fixture.answered.size() == 2);
}

TEST_CASE("a stopping relay gets no new orders, and its answers to earlier ones still count",
          "[relay]")
{
    router_fixture fixture;
    fixture.router.registerRelay("g1", {"a", 1}, fixture.now);
    fixture.send("t1");
    fixture.router.unregisterRelay("g1");
    fixture.send("t2");
    CHECK(fixture.sent.size() == 1);
    CHECK(fixture.directCalls.size() == 1);
    messages::carried_answers answers;
    answers.add_answers()->set_id(fixture.sent[0].second.carried().orders(0).id());
    fixture.router.handleAnswers("g1", answers, fixture.now);
    REQUIRE(fixture.answered.size() == 1);
    CHECK(fixture.answered[0].first.target == "t1");
}

TEST_CASE("an answer to an earlier process of the same name matches no order", "[relay]")
{
    router_fixture before {1'000};
    before.router.registerRelay("g1", {"a", 1}, before.now);
    before.send("t1");
    messages::carried_answers answers;
    answers.add_answers()->set_id(before.sent[0].second.carried().orders(0).id());
    router_fixture after {2'000};
    after.router.registerRelay("g1", {"a", 1}, after.now);
    after.send("t2");
    after.router.handleAnswers("g1", answers, after.now);
    CHECK(after.answered.empty());
}

TEST_CASE("orders and answers are unchanged after conversion to messages and back", "[relay]")
{
    const auto order = router_fixture::orderFor("t1");
    const auto restored = toTargetOrder(toOrderMessage(order));
    CHECK(restored.target == "t1");
    CHECK(restored.task == order.task);
    CHECK(restored.run == 3);
    CHECK(restored.leaseExpiresAt == 77);
    CHECK(restored.timeout == order.timeout);
    order_answer answer;
    answer.result = order_result::NoCapacity;
    answer.incarnation = 5;
    answer.runs.push_back({order.task, 3, "cp", 41, 7});
    answer.ends.push_back({9, order.task, 3, messages::END_ALONE, "x"});
    answer.hasUnreadableRows = true;
    const auto read = toOrderAnswer(toAnswerMessage(answer));
    CHECK(read.hasUnreadableRows);
    CHECK(read.result == order_result::NoCapacity);
    CHECK(read.incarnation == 5);
    CHECK_FALSE(read.clockMs);
    CHECK(read.runs[0].percentDone == 41);
    CHECK(read.ends[0].kind == messages::END_ALONE);
}

// Guards against numbers from another process that index a table of names.
TEST_CASE("kinds and results of other versions are recognised, not cast", "[relay]")
{
    auto order = toOrderMessage(router_fixture::orderFor("t1"));
    CHECK(hasKnownKind(order));
    for (const int kind : {-1, 4, 1'000'000}) {
        order.set_kind(kind);
        CHECK_FALSE(hasKnownKind(order));
    }
    messages::carried_answer answer;
    for (const int result : {-1, 12, 2'147'483'647}) {
        answer.set_result(result);
        CHECK(toOrderAnswer(answer).result == order_result::Unanswered);
    }
    answer.set_result(static_cast<int>(order_result::RelayLost));
    CHECK(toOrderAnswer(answer).result == order_result::RelayLost);
}

// Guards against orders that are repeated because the leader has not read their answers yet.
TEST_CASE("an order is not lost while its answer may be unread after a long turn", "[relay]")
{
    router_fixture fixture;
    fixture.router.registerRelay("g1", {"a", 1}, fixture.now);
    fixture.send("t1");
    fixture.router.tick(fixture.now);
    fixture.now = fixture.now + milliseconds {5'000}; // in one turn
    fixture.router.tick(fixture.now);
    CHECK(fixture.answered.empty());
    fixture.now = fixture.now + milliseconds {10}; // meanwhile, all messages have been read
    fixture.router.tick(fixture.now);
    CHECK(fixture.answered.size() == 1);
}

// Guards against starts that reach a target after it began to drain, because no relay was known.
TEST_CASE("an order that waits for a relay is dropped if it may not be sent any more", "[relay]")
{
    router_fixture fixture;
    fixture.router.startTerm(fixture.now);
    fixture.send("t1");
    fixture.send("t2");
    CHECK(fixture.sent.empty());
    fixture.drainingTarget = "t1";
    fixture.router.registerRelay("gateway-1", {"a", 1, 0}, fixture.now);
    fixture.router.flush(fixture.now);
    REQUIRE(fixture.sent.size() == 1);
    REQUIRE(fixture.sent[0].second.carried().orders_size() == 1);
    CHECK(fixture.sent[0].second.carried().orders(0).target() == "t2");
}

// Guards against a relay that falls behind and keeps its targets, and against targets of other
// relays that move for it.
TEST_CASE("targets move away from a relay that answers late, and only those", "[relay]")
{
    router_fixture fixture;
    constexpr int targets = 1'000;
    const auto relaysOfTargets = [&] {
        fixture.sent.clear();
        for (int i = 0; i < targets; ++i) {
            fixture.router.send(router_fixture::orderFor(std::to_string(i).insert(0, "t")), 350,
                                "a", fixture.now);
        }
        fixture.router.flush(fixture.now);
        std::map<std::string, std::string> relays;
        for (const auto &[relay, envelope] : fixture.sent) {
            for (const auto &order : envelope.carried().orders()) {
                relays[order.target()] = relay;
            }
        }
        return relays;
    };
    const auto answer = [&](bool isLate) {
        for (const auto &[relay, envelope] : fixture.sent) {
            messages::carried_answers answers;
            for (const auto &order : envelope.carried().orders()) {
                answers.add_answers()->set_id(order.id());
            }
            if ((relay == "g1") == isLate) {
                fixture.router.handleAnswers(relay, answers, fixture.now);
            }
        }
    };
    std::map<std::string, std::string> before;
    std::map<std::string, std::string> after;
    for (int i = 0; i < 2; ++i) {
        for (const auto *name : {"g1", "g2", "g3"}) {
            fixture.router.registerRelay(name, {"a", 1, 2, 120}, fixture.now);
        }
        after = relaysOfTargets();
        before = i == 0 ? after : before;
        CHECK(after == before);
        fixture.now = fixture.now + milliseconds {10};
        answer(false);
        fixture.now = fixture.now + milliseconds {240};
        answer(true);
        fixture.router.tick(fixture.now);
    }
    CHECK(fixture.router.sharesByRelay().at("g1") == 0.5);
    after = relaysOfTargets();
    int moved = 0;
    for (const auto &[target, relay] : before) {
        const bool hasMoved = after.at(target) != relay;
        moved += hasMoved ? 1 : 0;
        CHECK((!hasMoved || relay == "g1"));
    }
    // From a third to a fifth of all targets, as the others keep their weights.
    CHECK(moved > targets / 10);
    CHECK(moved < targets / 6);
    fixture.router.startTerm(fixture.now);
    CHECK(relaysOfTargets() == before); // a new leader starts without history
}

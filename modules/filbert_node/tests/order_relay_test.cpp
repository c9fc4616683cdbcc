#include "filbert_node/filbert_node.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

struct relay_fixture
{
    time_point now {10'000};
    std::vector<std::pair<std::string, messages::work_envelope>> sent;
    std::vector<target_order> called;
    std::vector<std::pair<target_order, order_answer>> answered;
    order_router relay;

    explicit relay_fixture(std::uint64_t idBase = 0)
        : relay {settings(idBase),
                 {[this](const std::string &carrier, const messages::work_envelope &envelope) {
                      sent.emplace_back(carrier, envelope);
                  },
                  [this](const target_order &order) { called.push_back(order); },
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
        relay.send(orderFor(target), targets, "a", now);
        relay.flush(now);
    }
};

} // namespace

TEST_CASE("few targets are called directly, many through relays", "[relay]")
{
    relay_fixture cell;
    cell.send("t1");
    CHECK(cell.called.size() == 1); // directly, since there is no relay
    cell.relay.registerRelay("g1", {"a", 1}, cell.now);
    cell.send("t1", 48);
    CHECK(cell.called.size() == 2);
    cell.send("t1");
    CHECK(cell.called.size() == 2);
    REQUIRE(cell.sent.size() == 1);
    CHECK(cell.sent[0].first == "g1");
}

TEST_CASE("a new leader's orders wait briefly for a relay, then go directly to the target",
          "[relay]")
{
    relay_fixture cell;
    cell.relay.startTerm(cell.now);
    cell.send("t1");
    CHECK(cell.called.empty());
    CHECK(cell.sent.empty());
    const bool comesOne = GENERATE(true, false);
    if (comesOne) {
        cell.relay.registerRelay("g1", {"a", 1}, cell.now);
    } else {
        cell.now = cell.now + milliseconds {400};
    }
    cell.relay.flush(cell.now);
    CHECK(cell.sent.size() == (comesOne ? 1 : 0));
    CHECK(cell.called.size() == (comesOne ? 0 : 1));
    cell.relay.flush(cell.now);
    CHECK(cell.sent.size() + cell.called.size() == 1); // exactly once
}

TEST_CASE("orders that wait for a relay are discarded at the end of their term", "[relay]")
{
    relay_fixture cell;
    cell.relay.startTerm(cell.now);
    cell.send("t1");
    cell.relay.startTerm(cell.now);
    cell.relay.registerRelay("g1", {"a", 1}, cell.now);
    cell.relay.flush(cell.now);
    CHECK(cell.sent.empty());
    CHECK(cell.called.empty());
}

TEST_CASE("a target keeps one relay, in its own failure domain", "[relay]")
{
    relay_fixture cell;
    for (const auto *name : {"g1", "g2", "g3"}) {
        cell.relay.registerRelay(name, {name == std::string {"g3"} ? "b" : "a", 1}, cell.now);
    }
    for (int i = 0; i < 20; ++i) {
        cell.send("t1");
    }
    for (const auto &[carrier, envelope] : cell.sent) {
        CHECK(carrier == cell.sent[0].first);
        CHECK(carrier != "g3");
    }
}

TEST_CASE("a relay with a narrow link gets orders only while no other relay has a wide one",
          "[relay]")
{
    relay_fixture cell;
    cell.relay.registerRelay("entry", {"a", 1, 2}, cell.now);
    cell.send("t1");
    cell.relay.registerRelay("follower", {"b", 1, 1'000}, cell.now);
    cell.send("t1");
    cell.relay.unregisterRelay("follower");
    cell.send("t1");
    REQUIRE(cell.sent.size() == 3);
    CHECK(cell.sent[0].first == "entry");
    CHECK(cell.sent[1].first == "follower");
    CHECK(cell.sent[2].first == "entry");
}

TEST_CASE("an order that its relay does not answer ends once, and not as a failure of the target",
          "[relay]")
{
    relay_fixture cell;
    cell.relay.registerRelay("g1", {"a", 1}, cell.now);
    cell.send("t1");
    cell.now = cell.now + milliseconds {700};
    cell.relay.tick(cell.now);
    REQUIRE(cell.answered.size() == 1);
    CHECK(cell.answered[0].second.result == order_result::RelayLost);
    messages::carried_answers late;
    late.add_answers()->set_id(cell.sent[0].second.carried().orders(0).id());
    cell.relay.handleAnswers("g1", late);
    CHECK(cell.answered.size() == 1);
    cell.send("t1");
    CHECK(cell.called.size() == 1); // the silent relay is not used before its next hello
}

TEST_CASE("all orders of a relay end at once when it is replaced or silent", "[relay]")
{
    relay_fixture cell;
    auto look = relay_fixture::orderFor("t2");
    look.kind = order_kind::Poll;
    look.timeout = {2'200};
    const bool isReplaced = GENERATE(true, false);
    cell.relay.registerRelay("g1", {"a", 1}, cell.now);
    cell.relay.send(look, 350, "a", cell.now);
    if (isReplaced) {
        cell.now = cell.now + milliseconds {300};
        cell.relay.registerRelay("g1", {"a", 2}, cell.now);
    } else {
        cell.now = cell.now + milliseconds {1'000};
        cell.relay.tick(cell.now);
    }
    REQUIRE(cell.answered.size() == 1);
    CHECK(cell.answered[0].second.result == order_result::RelayLost);
    CHECK(cell.answered[0].first.kind == order_kind::Poll);
}

TEST_CASE("one unanswered order ends all orders of its relay", "[relay]")
{
    relay_fixture cell;
    cell.relay.registerRelay("g1", {"a", 1}, cell.now);
    auto look = relay_fixture::orderFor("t2");
    look.kind = order_kind::Poll;
    look.timeout = {2'200};
    cell.relay.send(look, 350, "a", cell.now);
    cell.send("t1");
    cell.now = cell.now + milliseconds {700}; // the start order has timed out, the poll has not
    cell.relay.tick(cell.now);
    CHECK(cell.answered.size() == 2);
}

TEST_CASE("a stopping relay gets no new orders, and its answers to earlier ones still count",
          "[relay]")
{
    relay_fixture cell;
    cell.relay.registerRelay("g1", {"a", 1}, cell.now);
    cell.send("t1");
    cell.relay.unregisterRelay("g1");
    cell.send("t2");
    CHECK(cell.sent.size() == 1);
    CHECK(cell.called.size() == 1);
    messages::carried_answers answers;
    answers.add_answers()->set_id(cell.sent[0].second.carried().orders(0).id());
    cell.relay.handleAnswers("g1", answers);
    REQUIRE(cell.answered.size() == 1);
    CHECK(cell.answered[0].first.target == "t1");
}

TEST_CASE("an answer to an earlier process of the same name matches no order", "[relay]")
{
    relay_fixture before {1'000};
    before.relay.registerRelay("g1", {"a", 1}, before.now);
    before.send("t1");
    messages::carried_answers answers;
    answers.add_answers()->set_id(before.sent[0].second.carried().orders(0).id());
    relay_fixture after {2'000};
    after.relay.registerRelay("g1", {"a", 1}, after.now);
    after.send("t2");
    after.relay.handleAnswers("g1", answers);
    CHECK(after.answered.empty());
}

TEST_CASE("orders and answers are unchanged after conversion to messages and back", "[relay]")
{
    const auto order = relay_fixture::orderFor("t1");
    const auto back = orderFrom(orderMessageOf(order));
    CHECK(back.target == "t1");
    CHECK(back.task == order.task);
    CHECK(back.run == 3);
    CHECK(back.leaseExpiresAt == 77);
    CHECK(back.timeout == order.timeout);
    order_answer answer;
    answer.result = order_result::NoCapacity;
    answer.incarnation = 5;
    answer.runs.push_back({order.task, 3, "cp", 41, 7});
    answer.ends.push_back({9, order.task, 3, messages::END_ALONE, "x"});
    const auto read = answerFrom(answerMessageOf(answer));
    CHECK(read.result == order_result::NoCapacity);
    CHECK(read.incarnation == 5);
    CHECK_FALSE(read.clockMs);
    CHECK(read.runs[0].percentDone == 41);
    CHECK(read.ends[0].kind == messages::END_ALONE);
}

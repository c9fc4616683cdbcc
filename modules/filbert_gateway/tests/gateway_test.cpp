#include "filbert_gateway/filbert_gateway.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>

using namespace filbert;

namespace {

messages::configuration smallConfiguration(const generated_key &desk)
{
    messages::configuration whole;
    whole.set_cell("c");
    auto *team = whole.add_teams();
    team->set_name("orders");
    team->set_share(1);
    *team->add_keys() = desk.storedKey;
    whole.add_queues()->set_name("quotes");
    for (const bool isIdempotent : {true, false}) {
        auto *service = whole.add_services();
        service->set_name(isIdempotent ? "quote" : "die");
        service->set_queue("quotes");
        service->set_idempotent(isIdempotent);
    }
    return whole;
}

messages::configuration_grant grantOf(const messages::configuration &whole, std::int64_t version)
{
    const auto parts = itemsOf(whole);
    messages::configuration_grant grant;
    grant.set_version(version);
    grant.set_digest(digestOfItems(parts));
    grant.set_lease_ms(3'000);
    for (const auto &[key, value] : parts) {
        auto *item = grant.add_items();
        item->set_key(key);
        item->set_value(value);
    }
    return grant;
}

/** One gateway between a controller, a target and a caller that the test plays. */
class lone_gateway : public controller_transport, public caller_port, public target_port
{
public:
    lone_gateway()
        : links {"g1", {"tcp://c1"}, *this}
        , running {gateway_settings {}, links, *this, *this, metrics}
    {
        running.tick(now);
    }

    void connect(const std::string & /*address*/) override { }
    void reconnect(const std::string & /*address*/) override { ++renewals; }

    bool send(const std::string & /*address*/, const messages::envelope &envelope) override
    {
        toController.push_back(envelope);
        return true;
    }

    void respond(std::uint64_t /*request*/, http_response &&answer) override
    {
        answers.push_back(std::move(answer));
    }

    void call(target_call &&call, handler onAnswer) override
    {
        calls.push_back(std::move(call));
        onAnswers.push_back(std::move(onAnswer));
    }

    void cancel(std::uint64_t id) override { cancelled.push_back(id); }
    void setGateways(int /*gateways*/) override { }

    /** Answers the oldest message to the controller. */
    void answer(messages::envelope envelope)
    {
        envelope.set_exchange(toController.front().exchange());
        toController.pop_front();
        links.handleAnswer("tcp://c1", envelope, now);
    }

    void grant(const messages::configuration_grant &granted)
    {
        messages::envelope envelope;
        *envelope.mutable_grant() = granted;
        answer(std::move(envelope));
    }

    void dispatched(std::uint64_t placement)
    {
        messages::envelope envelope;
        envelope.mutable_dispatched()->set_placement_id(placement);
        envelope.mutable_dispatched()->set_target("t" + std::to_string(placement));
        answer(std::move(envelope));
    }

    void request(const std::string &service)
    {
        http_request request;
        request.id = ++lastRequest;
        request.method = "POST";
        request.path = "/v1/services/" + service;
        request.authorization = "Bearer " + desk.token;
        running.handleRequest(std::move(request), now);
    }

    void pass(std::int64_t ms)
    {
        now = now + milliseconds {ms};
        running.tick(now);
    }

    void targetAnswers(std::error_code error, int status = 200, std::uint64_t placement = 1)
    {
        http_response answer;
        answer.status = status;
        answer.body = "done";
        answer.headers = {{"filbert-placement", std::to_string(placement)}};
        const auto onAnswer = std::move(onAnswers.front());
        onAnswers.pop_front();
        onAnswer(error, std::move(answer));
    }

    std::string lastProblem() const
    {
        messages::problem problem;
        std::string detail;
        readJson(answers.back().body, &problem, &detail);
        return problem.kind() + " " + problem.outcome();
    }

    generated_key desk = generateKey("desk");
    gateway_metrics metrics;
    std::deque<messages::envelope> toController;
    std::deque<target_call> calls;
    std::deque<handler> onAnswers;
    std::vector<std::uint64_t> cancelled;
    int renewals = 0;
    std::vector<http_response> answers;
    controller_links links;
    time_point now {1'000};
    std::uint64_t lastRequest = 0;
    gateway running;
};

} // namespace

TEST_CASE("a gateway takes work under its configuration lease only, and counts it from the hello")
{
    lone_gateway cell;
    cell.request("quote");
    CHECK(cell.lastProblem() == "not_in_force not_run");
    cell.now = cell.now + milliseconds {700}; // the answer to its hello was slow
    cell.grant(grantOf(smallConfiguration(cell.desk), 1));
    CHECK(cell.running.isReady(cell.now));
    cell.request("quote");
    CHECK(cell.toController.back().has_dispatch());
    cell.pass(2'299);
    CHECK(cell.running.isReady(cell.now));
    cell.pass(1);
    CHECK_FALSE(cell.running.isReady(cell.now));
    const auto before = cell.toController.size();
    cell.request("quote");
    CHECK(cell.lastProblem() == "not_in_force not_run");
    CHECK(cell.toController.size() == before);
}

TEST_CASE("a configuration lease takes deltas on its own version, and versions never fall")
{
    const auto key = generateKey("desk");
    configuration_lease lease;
    REQUIRE(applyGrant(lease, grantOf(smallConfiguration(key), 5), {0}));
    CHECK_FALSE(applyGrant(lease, grantOf(smallConfiguration(key), 4), {10}));
    auto next = smallConfiguration(key);
    next.mutable_teams(0)->set_share(4);
    auto delta = grantOf(next, 7);
    delta.clear_items();
    for (const auto &item : changesBetween(itemsOf(smallConfiguration(key)), itemsOf(next))) {
        *delta.add_items() = item;
    }
    delta.set_from_version(6);
    CHECK_FALSE(applyGrant(lease, delta, {20})); // it holds version 5
    delta.set_from_version(5);
    CHECK(applyGrant(lease, delta, {20}));
    CHECK(lease.configuration.version() == 7);
    auto wrong = delta;
    wrong.set_from_version(7);
    wrong.set_version(8);
    wrong.set_digest("another");
    CHECK_FALSE(applyGrant(lease, wrong, {30}));
    CHECK_FALSE(isInForce(lease, {31})); // it asks for the whole before it serves again
}

TEST_CASE("what may have run is tried again only where that does no harm")
{
    lone_gateway cell;
    cell.grant(grantOf(smallConfiguration(cell.desk), 1));

    cell.request("die");
    cell.dispatched(1);
    cell.targetAnswers(error_kind::TargetLost);
    CHECK(cell.lastProblem() == "target_lost may_have_run");
    CHECK(cell.toController.empty());

    cell.request("die");
    cell.dispatched(2);
    cell.targetAnswers(error_kind::ConnectionFailed); // not a byte left, so it did not run
    cell.pass(10);
    REQUIRE(cell.toController.size() == 2);
    CHECK(cell.toController[0].end().result() == messages::NOT_RUN);
    CHECK(cell.toController[1].dispatch().avoid(0) == "t2");
    cell.toController.clear();

    cell.request("quote");
    cell.dispatched(3);
    cell.targetAnswers(error_kind::TargetLost);
    REQUIRE(cell.toController.size() == 1);
    CHECK(cell.toController[0].dispatch().avoid(0) == "t3");
    CHECK(cell.toController[0].dispatch().avoid(1) == "t2"); // could not be reached just now
    cell.dispatched(4);
    cell.targetAnswers({}, 200, 3); // the answer to another placement
    REQUIRE(cell.toController.size() == 1);
    cell.dispatched(5);
    cell.targetAnswers({}, 200, 5);
    CHECK(cell.answers.back().status == 200);
    CHECK(cell.answers.back().body == "done");
}

TEST_CASE("a grant that comes too late or twice is given back and used once")
{
    lone_gateway cell;
    cell.grant(grantOf(smallConfiguration(cell.desk), 1));
    cell.request("quote");
    const auto copy = cell.toController.front();
    cell.dispatched(1);
    CHECK(cell.calls.size() == 1);
    messages::envelope late;
    late.set_exchange(copy.exchange());
    late.mutable_dispatched()->set_placement_id(2);
    CHECK_FALSE(cell.links.handleAnswer("tcp://c1", late, cell.now));
    cell.running.handleOrder(late, cell.now);
    REQUIRE(cell.toController.size() == 1);
    CHECK(cell.toController[0].end().placement_id() == 2);
    CHECK(cell.toController[0].end().result() == messages::NOT_RUN);
    cell.running.handleOrder(late, cell.now);
    late.mutable_dispatched()->set_placement_id(1);
    cell.running.handleOrder(late, cell.now);
    CHECK(cell.toController.size() == 1);
    CHECK(cell.calls.size() == 1);
}

TEST_CASE(
    "a request on a silent connection goes elsewhere once its target's heartbeats show its end")
{
    lone_gateway cell;
    cell.grant(grantOf(smallConfiguration(cell.desk), 1));
    const auto notice = [&](std::uint64_t placement, messages::task_result result) {
        messages::envelope envelope;
        envelope.mutable_notice()->set_placement_id(placement);
        envelope.mutable_notice()->set_result(result);
        cell.running.handleOrder(envelope, cell.now);
    };
    notice(9, messages::NOT_RUN); // another gateway's
    CHECK(cell.cancelled.empty());

    cell.request("die"); // not idempotent, but it certainly did not run
    cell.dispatched(1);
    notice(1, messages::NOT_RUN);
    CHECK(cell.cancelled == std::vector<std::uint64_t> {1});
    cell.targetAnswers(error_kind::TargetLost);
    cell.pass(10);
    REQUIRE_FALSE(cell.toController.empty());
    CHECK(cell.toController.back().dispatch().avoid(0) == "t1");
    CHECK(cell.toController.front().end().unreachable_target() == "t1"); // evidence against it
    cell.toController.clear();

    cell.request("die"); // it ran, and only its answer is lost
    cell.dispatched(2);
    notice(2, messages::UNKNOWN);
    cell.targetAnswers(error_kind::TargetLost);
    CHECK(cell.lastProblem() == "target_lost may_have_run");
    CHECK(cell.toController.empty());
}

TEST_CASE("a refusal says not run only if that is true of every try")
{
    lone_gateway cell;
    cell.grant(grantOf(smallConfiguration(cell.desk), 1));
    cell.request("quote");
    cell.dispatched(1);
    cell.targetAnswers(error_kind::TargetLost);
    messages::envelope full;
    full.mutable_refused()->set_kind(static_cast<int>(error_kind::NoCapacity));
    cell.answer(full);
    CHECK(cell.lastProblem() == "target_lost may_have_run");

    cell.request("quote");
    cell.answer(full);
    CHECK(cell.lastProblem() == "no_capacity not_run");
}

TEST_CASE("connections to controllers are renewed when the leader is silent")
{
    lone_gateway cell;
    cell.pass(400);
    CHECK(cell.renewals == 0);
    cell.pass(200);
    CHECK(cell.renewals == 1);
}

TEST_CASE("refusals of targets are tried again within bounds, with growing pauses")
{
    lone_gateway cell;
    cell.grant(grantOf(smallConfiguration(cell.desk), 1));
    constexpr int refusedByTarget = 412;
    cell.request("die");
    int tries = 0;
    std::vector<std::int64_t> pauses;
    while (cell.answers.empty()) {
        ++tries;
        REQUIRE(tries <= 10);
        while (!cell.toController.front().has_dispatch()) {
            cell.toController.pop_front(); // ends and hellos
        }
        CHECK(cell.toController.front().dispatch().avoid_size() <= 2); // those that refused last
        cell.dispatched(static_cast<std::uint64_t>(tries));
        cell.targetAnswers({}, refusedByTarget, static_cast<std::uint64_t>(tries));
        const auto isAsked = [&] {
            return std::any_of(cell.toController.begin(), cell.toController.end(),
                               [](const auto &each) { return each.has_dispatch(); });
        };
        pauses.push_back(0);
        for (; cell.answers.empty() && !isAsked(); pauses.back() += 5) {
            cell.pass(5);
        }
    }
    pauses.pop_back(); // the last refusal was the answer
    CHECK(pauses.front() <= 15);
    CHECK(pauses.back() >= 320);
    CHECK(tries == 10);
    CHECK(cell.lastProblem() == "target_refused not_run");
}

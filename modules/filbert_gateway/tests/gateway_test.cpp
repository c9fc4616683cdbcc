#include "filbert_gateway/filbert_gateway.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>

using namespace filbert;

namespace {

messages::configuration smallConfiguration(const generated_key &teamKey)
{
    messages::configuration configuration;
    configuration.set_cell("c");
    auto *team = configuration.add_teams();
    team->set_name("orders");
    team->set_share(1);
    *team->add_keys() = teamKey.storedKey;
    configuration.add_queues()->set_name("quotes");
    for (const bool isIdempotent : {true, false}) {
        auto *service = configuration.add_services();
        service->set_name(isIdempotent ? "quote" : "die");
        service->set_queue("quotes");
        service->set_idempotent(isIdempotent);
    }
    return configuration;
}

messages::configuration_grant grantOf(const messages::configuration &configuration,
                                      std::int64_t version)
{
    const auto items = itemsOf(configuration);
    messages::configuration_grant grant;
    grant.set_version(version);
    grant.set_digest(digestOfItems(items));
    grant.set_lease_ms(3'000);
    for (const auto &[key, value] : items) {
        auto *item = grant.add_items();
        item->set_key(key);
        item->set_value(value);
    }
    return grant;
}

/** A gateway whose controller, target and caller are simulated by the test. */
class gateway_fixture : public controller_transport, public caller_port, public target_port
{
public:
    gateway_fixture()
        : links {"g1", {"tcp://c1"}, *this}
        , testedGateway {gateway_settings {}, links, *this, *this, metrics}
    {
        testedGateway.tick(now);
    }

    void connect(const std::string & /*address*/) override { }
    void reconnect(const std::string & /*address*/) override { ++reconnects; }

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
    void setGatewayCount(int /*gateways*/) override { }

    /** Answers the oldest message to the controller that has not been answered. */
    void answer(messages::envelope envelope)
    {
        envelope.set_exchange(toController.front().exchange());
        toController.pop_front();
        links.handleAnswer("tcp://c1", envelope, now);
    }

    void answerGrant(const messages::configuration_grant &grant)
    {
        messages::envelope envelope;
        *envelope.mutable_grant() = grant;
        answer(std::move(envelope));
    }

    void answerDispatched(std::uint64_t placement)
    {
        messages::envelope envelope;
        envelope.mutable_dispatched()->set_placement_id(placement);
        envelope.mutable_dispatched()->set_target("t" + std::to_string(placement));
        answer(std::move(envelope));
    }

    void sendRequest(const std::string &service)
    {
        http_request request;
        request.id = ++lastRequest;
        request.method = "POST";
        request.path = "/v1/services/" + service;
        request.authorization = "Bearer " + teamKey.token;
        testedGateway.handleRequest(std::move(request), now);
    }

    void advance(std::int64_t ms)
    {
        now = now + milliseconds {ms};
        testedGateway.tick(now);
    }

    void answerCall(std::error_code error, int status = 200, std::uint64_t placement = 1)
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

    generated_key teamKey = generateKey("desk");
    gateway_metrics metrics;
    std::deque<messages::envelope> toController;
    std::deque<target_call> calls;
    std::deque<handler> onAnswers;
    std::vector<std::uint64_t> cancelled;
    int reconnects = 0;
    std::vector<http_response> answers;
    controller_links links;
    time_point now {1'000};
    std::uint64_t lastRequest = 0;
    gateway testedGateway;
};

} // namespace

TEST_CASE(
    "a gateway accepts work only under a configuration lease, which starts when the hello is sent")
{
    gateway_fixture fixture;
    fixture.sendRequest("quote");
    CHECK(fixture.lastProblem() == "not_in_force not_run");
    fixture.now = fixture.now + milliseconds {700}; // the answer to its hello is delayed
    fixture.answerGrant(grantOf(smallConfiguration(fixture.teamKey), 1));
    CHECK(fixture.testedGateway.isReady(fixture.now));
    fixture.sendRequest("quote");
    CHECK(fixture.toController.back().has_dispatch());
    fixture.advance(2'299);
    CHECK(fixture.testedGateway.isReady(fixture.now));
    fixture.advance(1);
    CHECK_FALSE(fixture.testedGateway.isReady(fixture.now));
    const auto messageCount = fixture.toController.size();
    fixture.sendRequest("quote");
    CHECK(fixture.lastProblem() == "not_in_force not_run");
    CHECK(fixture.toController.size() == messageCount);
}

TEST_CASE(
    "a configuration lease applies only deltas on its own version, and versions never decrease")
{
    const auto key = generateKey("desk");
    configuration_lease lease;
    REQUIRE(applyGrant(lease, grantOf(smallConfiguration(key), 5), {0}));
    CHECK_FALSE(applyGrant(lease, grantOf(smallConfiguration(key), 4), {10}));
    auto changed = smallConfiguration(key);
    changed.mutable_teams(0)->set_share(4);
    auto delta = grantOf(changed, 7);
    delta.clear_items();
    for (const auto &item : changesBetween(itemsOf(smallConfiguration(key)), itemsOf(changed))) {
        *delta.add_items() = item;
    }
    delta.set_from_version(6);
    CHECK_FALSE(applyGrant(lease, delta, {20})); // a delta on version 6, while 5 is held
    delta.set_from_version(5);
    CHECK(applyGrant(lease, delta, {20}));
    CHECK(lease.configuration.version() == 7);
    auto wrongDigest = delta;
    wrongDigest.set_from_version(7);
    wrongDigest.set_version(8);
    wrongDigest.set_digest("another");
    CHECK_FALSE(applyGrant(lease, wrongDigest, {30}));
    CHECK_FALSE(isInForce(lease, {31})); // it needs a full copy before it serves again
}

TEST_CASE("a request that may have run is retried only if its service is idempotent")
{
    gateway_fixture fixture;
    fixture.answerGrant(grantOf(smallConfiguration(fixture.teamKey), 1));

    fixture.sendRequest("die");
    fixture.answerDispatched(1);
    fixture.answerCall(error_kind::TargetLost);
    CHECK(fixture.lastProblem() == "target_lost may_have_run");
    CHECK(fixture.toController.empty());

    fixture.sendRequest("die");
    fixture.answerDispatched(2);
    fixture.answerCall(error_kind::ConnectionFailed); // not a byte was sent, so it did not run
    fixture.advance(10);
    REQUIRE(fixture.toController.size() == 2);
    CHECK(fixture.toController[0].end().result() == messages::NOT_RUN);
    CHECK(fixture.toController[1].dispatch().avoid(0) == "t2");
    fixture.toController.clear();

    fixture.sendRequest("quote");
    fixture.answerDispatched(3);
    fixture.answerCall(error_kind::TargetLost);
    REQUIRE(fixture.toController.size() == 1);
    CHECK(fixture.toController[0].dispatch().avoid(0) == "t3");
    CHECK(fixture.toController[0].dispatch().avoid(1) == "t2"); // it was unreachable a moment ago
    fixture.answerDispatched(4);
    fixture.answerCall({}, 200, 3); // the answer names another placement
    REQUIRE(fixture.toController.size() == 1);
    fixture.answerDispatched(5);
    fixture.answerCall({}, 200, 5);
    CHECK(fixture.answers.back().status == 200);
    CHECK(fixture.answers.back().body == "done");
}

TEST_CASE("a grant that arrives late or twice is returned, and each placement is used at most once")
{
    gateway_fixture fixture;
    fixture.answerGrant(grantOf(smallConfiguration(fixture.teamKey), 1));
    fixture.sendRequest("quote");
    const auto firstRequest = fixture.toController.front();
    fixture.answerDispatched(1);
    CHECK(fixture.calls.size() == 1);
    messages::envelope late;
    late.set_exchange(firstRequest.exchange());
    late.mutable_dispatched()->set_placement_id(2);
    CHECK_FALSE(fixture.links.handleAnswer("tcp://c1", late, fixture.now));
    fixture.testedGateway.handleControllerMessage(late, fixture.now);
    REQUIRE(fixture.toController.size() == 1);
    CHECK(fixture.toController[0].end().placement_id() == 2);
    CHECK(fixture.toController[0].end().result() == messages::NOT_RUN);
    fixture.testedGateway.handleControllerMessage(late, fixture.now);
    late.mutable_dispatched()->set_placement_id(1);
    fixture.testedGateway.handleControllerMessage(late, fixture.now);
    CHECK(fixture.toController.size() == 1);
    CHECK(fixture.calls.size() == 1);
}

TEST_CASE(
    "a call on an unresponsive connection is cancelled once the target's heartbeats show its end")
{
    gateway_fixture fixture;
    fixture.answerGrant(grantOf(smallConfiguration(fixture.teamKey), 1));
    const auto notice = [&](std::uint64_t placement, messages::task_result result) {
        messages::envelope envelope;
        envelope.mutable_notice()->set_placement_id(placement);
        envelope.mutable_notice()->set_result(result);
        fixture.testedGateway.handleControllerMessage(envelope, fixture.now);
    };
    notice(9, messages::NOT_RUN); // a placement of another gateway
    CHECK(fixture.cancelled.empty());

    fixture.sendRequest("die"); // not idempotent, but it certainly did not run
    fixture.answerDispatched(1);
    notice(1, messages::NOT_RUN);
    CHECK(fixture.cancelled == std::vector<std::uint64_t> {1});
    fixture.answerCall(error_kind::TargetLost);
    fixture.advance(10);
    REQUIRE_FALSE(fixture.toController.empty());
    CHECK(fixture.toController.back().dispatch().avoid(0) == "t1");
    // The report names the target, so that the failure counts against it.
    CHECK(fixture.toController.front().end().unreachable_target() == "t1");
    fixture.toController.clear();

    fixture.sendRequest("die"); // it ran, but its answer is lost
    fixture.answerDispatched(2);
    notice(2, messages::UNKNOWN);
    fixture.answerCall(error_kind::TargetLost);
    CHECK(fixture.lastProblem() == "target_lost may_have_run");
    CHECK(fixture.toController.empty());
}

TEST_CASE("a problem reports not_run only if no attempt may have run")
{
    gateway_fixture fixture;
    fixture.answerGrant(grantOf(smallConfiguration(fixture.teamKey), 1));
    fixture.sendRequest("quote");
    fixture.answerDispatched(1);
    fixture.answerCall(error_kind::TargetLost);
    messages::envelope noCapacity;
    noCapacity.mutable_refused()->set_kind(static_cast<int>(error_kind::NoCapacity));
    fixture.answer(noCapacity);
    CHECK(fixture.lastProblem() == "target_lost may_have_run");

    fixture.sendRequest("quote");
    fixture.answer(noCapacity);
    CHECK(fixture.lastProblem() == "no_capacity not_run");
}

TEST_CASE("connections to controllers are replaced when the leader does not answer")
{
    gateway_fixture fixture;
    fixture.advance(400);
    CHECK(fixture.reconnects == 0);
    fixture.advance(200);
    CHECK(fixture.reconnects == 1);
}

TEST_CASE("refusals by targets are retried a limited number of times, with increasing pauses")
{
    gateway_fixture fixture;
    fixture.answerGrant(grantOf(smallConfiguration(fixture.teamKey), 1));
    constexpr int refusedByTarget = 412;
    fixture.sendRequest("die");
    int attempts = 0;
    std::vector<std::int64_t> pauses;
    while (fixture.answers.empty()) {
        ++attempts;
        REQUIRE(attempts <= 10);
        while (!fixture.toController.front().has_dispatch()) {
            fixture.toController.pop_front(); // reports of placement ends, and hellos
        }
        // Only the two targets that refused last are excluded.
        CHECK(fixture.toController.front().dispatch().avoid_size() <= 2);
        fixture.answerDispatched(static_cast<std::uint64_t>(attempts));
        fixture.answerCall({}, refusedByTarget, static_cast<std::uint64_t>(attempts));
        const auto hasDispatchRequest = [&] {
            return std::any_of(fixture.toController.begin(), fixture.toController.end(),
                               [](const auto &each) { return each.has_dispatch(); });
        };
        pauses.push_back(0);
        for (; fixture.answers.empty() && !hasDispatchRequest(); pauses.back() += 5) {
            fixture.advance(5);
        }
    }
    pauses.pop_back(); // after the last refusal the caller was answered
    CHECK(pauses.front() <= 15);
    CHECK(pauses.back() >= 320);
    CHECK(attempts == 10);
    CHECK(fixture.lastProblem() == "target_refused not_run");
}

// Guards against a request that no controller can parse, and whose caller waits for its deadline.
TEST_CASE("a request with text that is not UTF-8 is refused at once")
{
    gateway_fixture fixture;
    fixture.toController.clear();
    const std::string odd = "\xff\xfe";
    std::vector<http_request> requests(5);
    requests[0].path = "/v1/targets/" + odd + "/announce";
    requests[1].path = "/v1/targets/a\r\nb/heartbeat";
    for (std::size_t i = 2; i < requests.size(); ++i) {
        requests[i].path = "/v1/services/quote";
    }
    requests[2].idempotencyKey = odd;
    requests[3].authorization = "Bearer " + odd;
    requests[4].contentType = "text/" + odd;
    for (auto &request : requests) {
        request.id = ++fixture.lastRequest;
        request.method = "POST";
        fixture.testedGateway.handleRequest(std::move(request), fixture.now);
        REQUIRE_FALSE(fixture.answers.empty());
        CHECK(fixture.answers.back().status == 400);
        fixture.answers.clear();
    }
    CHECK(fixture.toController.empty());
}

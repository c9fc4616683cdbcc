#include "filbert_node/filbert_node.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace filbert;

namespace {

struct client_fixture
{
    time_point now {10'000};
    std::vector<std::pair<std::string, messages::work_envelope>> sent;
    std::vector<std::string> reconnected;
    leader_client client;

    client_fixture()
        : client {settings(),
                  {[this](const std::string &address, const messages::work_envelope &envelope) {
                       sent.emplace_back(address, envelope);
                       return true;
                   },
                   [this](const std::string &address) { reconnected.push_back(address); },
                   [](const messages::admission_request &, const std::string &) {},
                   [](const messages::carried_orders &, const std::string &) {}}}
    {
        client.setSeeds({"tcp://c1", "tcp://c2"});
    }

    static leader_client_settings settings()
    {
        leader_client_settings settings;
        settings.name = "gateway-1";
        settings.linkMbps = 5;
        settings.milliCores = 120;
        return settings;
    }

    void receiveWelcome(const std::string &from, const std::string &leader)
    {
        messages::work_envelope envelope;
        envelope.mutable_welcome()->set_leader(leader);
        envelope.mutable_welcome()->set_leader_address(leader);
        client.handleEnvelope(from, envelope, now);
    }

    void advance(milliseconds duration)
    {
        for (const auto end = now + duration; now < end; now = now + milliseconds {20}) {
            client.tick(now);
        }
    }

    std::vector<std::string> requestAddresses() const
    {
        std::vector<std::string> addresses;
        for (const auto &[address, envelope] : sent) {
            if (envelope.has_request()) {
                addresses.push_back(address);
            }
        }
        return addresses;
    }
};

} // namespace

TEST_CASE("a request completes unsent well before its deadline if no leader is found", "[link]")
{
    client_fixture fixture;
    std::optional<call_result> result;
    fixture.client.call({}, fixture.now, fixture.now + milliseconds {10'000},
                        [&](call_result &&completed) { result = completed; });
    fixture.advance({1'400});
    CHECK_FALSE(result);
    fixture.advance({300});
    REQUIRE(result);
    CHECK_FALSE(result->isAnswered);
    CHECK_FALSE(result->wasSent);
}

TEST_CASE("a request is sent to the new leader after the first controller denies leading", "[link]")
{
    client_fixture fixture;
    fixture.receiveWelcome("tcp://c1", "tcp://c1");
    std::optional<call_result> result;
    fixture.client.call({}, fixture.now, fixture.now + milliseconds {3'000},
                        [&](call_result &&completed) { result = completed; });
    REQUIRE(fixture.requestAddresses() == std::vector<std::string> {"tcp://c1"});
    messages::work_envelope denial;
    denial.set_exchange(1);
    denial.mutable_answer()->set_kind(messages::ANSWER_NO_LEADER);
    fixture.client.handleEnvelope("tcp://c1", denial, fixture.now);
    fixture.receiveWelcome("tcp://c2", "tcp://c2");
    CHECK(fixture.requestAddresses() == std::vector<std::string> {"tcp://c1", "tcp://c2"});
    messages::work_envelope confirmation;
    confirmation.set_exchange(1);
    confirmation.mutable_answer()->set_kind(messages::ANSWER_OK);
    fixture.client.handleEnvelope("tcp://c2", confirmation, fixture.now);
    REQUIRE(result);
    CHECK(result->isAnswered);
    CHECK(fixture.client.pendingCalls() == 0);
}

TEST_CASE("an unanswered request is resent, and completes as sent at its deadline", "[link]")
{
    client_fixture fixture;
    fixture.receiveWelcome("tcp://c1", "tcp://c1");
    std::optional<call_result> result;
    fixture.client.call({}, fixture.now, fixture.now + milliseconds {900},
                        [&](call_result &&completed) { result = completed; });
    fixture.advance({1'000});
    CHECK(fixture.requestAddresses().size() == 2);
    REQUIRE(result);
    CHECK_FALSE(result->isAnswered);
    CHECK(result->wasSent);
}

// Guards against a caller that is told that its request was rejected, while an earlier copy of it
// was accepted.
TEST_CASE("the answer to a resent request says that an earlier copy may have taken effect",
          "[link]")
{
    for (const bool isResent : {false, true}) {
        client_fixture fixture;
        fixture.receiveWelcome("tcp://c1", "tcp://c1");
        std::optional<call_result> result;
        fixture.client.call({}, fixture.now, fixture.now + milliseconds {3'000},
                            [&](call_result &&outcome) { result = std::move(outcome); });
        if (isResent) {
            fixture.advance({700});
        }
        messages::work_envelope answer;
        answer.mutable_answer()->set_kind(messages::ANSWER_UNAUTHORIZED);
        for (const auto &[address, envelope] : fixture.sent) {
            if (envelope.has_request()) {
                answer.set_exchange(envelope.exchange());
            }
        }
        fixture.client.handleEnvelope("tcp://c1", answer, fixture.now);
        REQUIRE(result);
        CHECK(result->isAnswered);
        CHECK(result->wasResent == isResent);
    }
}

// Guards against a leader that is short of time and gets each request several times.
TEST_CASE("an unanswered request is resent more and more rarely", "[link]")
{
    client_fixture fixture;
    fixture.receiveWelcome("tcp://c1", "tcp://c1");
    fixture.client.call({}, fixture.now, fixture.now + milliseconds {10'000},
                        [](call_result &&) {});
    for (int i = 0; i < 40; ++i) {
        fixture.advance({100});
        fixture.receiveWelcome("tcp://c1", "tcp://c1");
    }
    CHECK(fixture.requestAddresses().size() == 3); // after 600 and 1,800 ms
}

TEST_CASE("a follower's welcome does not replace a leader that is still in contact", "[link]")
{
    client_fixture fixture;
    fixture.receiveWelcome("tcp://c1", "tcp://c1");
    fixture.receiveWelcome("tcp://c2", "tcp://c9");
    CHECK(fixture.client.hasLeader(fixture.now));
    fixture.client.call({}, fixture.now, fixture.now + milliseconds {900}, [](call_result &&) {});
    CHECK(fixture.requestAddresses() == std::vector<std::string> {"tcp://c1"});
}

TEST_CASE("a silent connection is re-established", "[link]")
{
    client_fixture fixture;
    fixture.receiveWelcome("tcp://c1", "tcp://c1");
    fixture.advance({1'600});
    CHECK(std::count(fixture.reconnected.begin(), fixture.reconnected.end(), "tcp://c1") >= 1);
}

TEST_CASE("a newly learned controller gets a hello soon", "[link]")
{
    client_fixture fixture;
    fixture.receiveWelcome("tcp://c1", "tcp://c1");
    fixture.advance({40});
    fixture.sent.clear();
    messages::work_envelope envelope;
    envelope.mutable_welcome()->add_members()->set_address("tcp://c3");
    fixture.client.handleEnvelope("tcp://c2", envelope, fixture.now);
    fixture.advance({100});
    CHECK(std::any_of(fixture.sent.begin(), fixture.sent.end(),
                      [](const auto &entry) { return entry.first == "tcp://c3"; }));
}

TEST_CASE("hellos are sent more often while no leader is known", "[link]")
{
    const auto countHellos = [](client_fixture &fixture) {
        fixture.sent.clear();
        fixture.advance({900});
        return fixture.sent.size() / 2; // each goes to two controllers
    };
    client_fixture withoutLeader;
    CHECK(countHellos(withoutLeader) >= 8);
    client_fixture withLeader;
    withLeader.receiveWelcome("tcp://c1", "tcp://c1");
    CHECK(countHellos(withLeader) <= 4);
}

TEST_CASE("a stopping process announces it in its next hello", "[link]")
{
    client_fixture fixture;
    fixture.advance({40});
    fixture.sent.clear();
    fixture.client.stopAcceptingWork();
    fixture.advance({20});
    REQUIRE(!fixture.sent.empty());
    CHECK_FALSE(fixture.sent.back().second.hello().carries_orders());
}

TEST_CASE(
    "a controller that denies leading is not flooded with requests while others still name it",
    "[link]")
{
    client_fixture fixture;
    fixture.receiveWelcome("tcp://c2", "tcp://c1");
    fixture.client.call({}, fixture.now, fixture.now + milliseconds {10'000},
                        [](call_result &&) {});
    messages::work_envelope denial;
    denial.mutable_answer()->set_kind(messages::ANSWER_NO_LEADER);
    std::size_t answered = 0;
    // Everything that was sent is answered after a network delay of 1 ms. Without pauses between
    // retries, denials and welcomes would make the client resend requests and hellos each time.
    for (const auto end = fixture.now + milliseconds {600}; fixture.now < end;
         fixture.now = fixture.now + milliseconds {1}) {
        fixture.client.tick(fixture.now);
        for (; answered < fixture.sent.size(); ++answered) {
            const auto [address, envelope] = fixture.sent[answered];
            if (envelope.has_request()) {
                denial.set_exchange(envelope.exchange());
                fixture.client.handleEnvelope(address, denial, fixture.now);
            } else if (address == "tcp://c2") {
                fixture.receiveWelcome("tcp://c2", "tcp://c1");
            }
        }
    }
    CHECK(fixture.requestAddresses().size() <= 4);
    CHECK(fixture.sent.size() <= 30);
    fixture.receiveWelcome("tcp://c1", "tcp://c1"); // the leader's own welcome counts at once
    const auto before = fixture.requestAddresses().size();
    fixture.advance({100});
    CHECK(fixture.requestAddresses().size() > before);
}

// Guards against a caller who waits until its deadline for an answer that cannot come.
TEST_CASE("a request that the leader could not parse is refused at once and not sent", "[client]")
{
    client_fixture fixture;
    fixture.receiveWelcome("tcp://c1", "tcp://c1");
    fixture.sent.clear();
    messages::work_request request;
    request.mutable_job()->set_path("/quotes/\xff");
    std::optional<call_result> result;
    fixture.client.call(request, fixture.now, fixture.now + milliseconds {3'000},
                        [&](call_result &&completed) { result = std::move(completed); });
    REQUIRE(result);
    CHECK(result->isAnswered);
    CHECK(result->answer.kind() == messages::ANSWER_MALFORMED);
    CHECK(fixture.sent.empty());
    CHECK(fixture.client.pendingCalls() == 0);
}

// Guards against relays that are taken for equal since their hosts are not stated.
TEST_CASE("hellos state the link and the processor share of their host", "[link]")
{
    client_fixture fixture;
    fixture.advance({20});
    REQUIRE_FALSE(fixture.sent.empty());
    const auto &hello = fixture.sent[0].second.hello();
    CHECK(hello.link_mbps() == 5);
    CHECK(hello.milli_cores() == 120);
}

// Guards against a gateway that fills the memory of the leader, or its own, with requests.
TEST_CASE("requests beyond the limit of pending ones are refused as not run", "[node]")
{
    auto settings = client_fixture::settings();
    settings.maxPendingCalls = 2;
    int sent = 0;
    leader_client client {settings,
                          {[&](const std::string &, const messages::work_envelope &envelope) {
                               sent += envelope.has_request() ? 1 : 0;
                               return true;
                           },
                           [](const std::string &) {},
                           [](const messages::admission_request &, const std::string &) {},
                           [](const messages::carried_orders &, const std::string &) {}}};
    std::vector<call_result> results;
    messages::work_request request;
    request.set_target_leaves("t1");
    for (int i = 0; i < 3; ++i) {
        client.call(request, {0}, {5'000},
                    [&](call_result &&result) { results.push_back(std::move(result)); });
    }
    REQUIRE(results.size() == 1);
    CHECK(results[0].isAnswered);
    CHECK(!results[0].wasResent);
    CHECK(results[0].answer.kind() == messages::ANSWER_NOT_NOW);
    CHECK(results[0].answer.number() > 0);
    CHECK(client.pendingCalls() == 2);
    client.tick({6'000}); // both end without a leader
    CHECK(client.pendingCalls() == 0);
}

// Guards against submissions that are handed on after their callers have given up, by a process
// that stood still: it hears of a new leader before it notices that their deadline has passed.
TEST_CASE("a request whose deadline has passed is not sent any more", "[link]")
{
    client_fixture fixture;
    bool isCompleted = false;
    fixture.receiveWelcome("tcp://c1", "tcp://c1");
    const auto call = [&](time_point deadline) {
        fixture.client.call({}, fixture.now, deadline,
                            [&](call_result &&result) { isCompleted = !result.isAnswered; });
    };
    call(fixture.now + milliseconds {1'000});
    REQUIRE(fixture.requestAddresses().size() == 1);
    fixture.now = fixture.now + milliseconds {5'000}; // stood still
    fixture.receiveWelcome("tcp://c2", "tcp://c2");
    CHECK(fixture.requestAddresses().size() == 1);
    fixture.client.tick(fixture.now);
    CHECK(isCompleted);
    isCompleted = false;
    call(fixture.now - milliseconds {1});
    fixture.client.tick(fixture.now);
    CHECK(fixture.requestAddresses().size() == 1);
    CHECK(isCompleted);
}

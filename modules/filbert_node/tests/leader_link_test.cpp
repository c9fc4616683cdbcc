#include "filbert_node/filbert_node.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

struct link_fixture
{
    time_point now {10'000};
    std::vector<std::pair<std::string, messages::work_envelope>> sent;
    std::vector<std::string> renewed;
    leader_client link;

    link_fixture()
        : link {settings(),
                {[this](const std::string &address, const messages::work_envelope &envelope) {
                     sent.emplace_back(address, envelope);
                     return true;
                 },
                 [this](const std::string &address) { renewed.push_back(address); },
                 [](const messages::admission_request &, const std::string &) {},
                 [](const messages::carried_orders &, const std::string &) {}}}
    {
        link.setSeeds({"tcp://c1", "tcp://c2"});
    }

    static leader_client_settings settings()
    {
        leader_client_settings settings;
        settings.name = "gateway-1";
        return settings;
    }

    void welcome(const std::string &from, const std::string &leader)
    {
        messages::work_envelope envelope;
        envelope.mutable_welcome()->set_leader(leader);
        envelope.mutable_welcome()->set_leader_address(leader);
        link.handleEnvelope(from, envelope, now);
    }

    void pass(milliseconds span)
    {
        for (const auto end = now + span; now < end; now = now + milliseconds {20}) {
            link.tick(now);
        }
    }

    std::vector<std::string> requestsTo() const
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
    link_fixture cell;
    std::optional<call_result> result;
    cell.link.call({}, cell.now, cell.now + milliseconds {10'000},
                   [&](call_result &&what) { result = what; });
    cell.pass({1'400});
    CHECK_FALSE(result);
    cell.pass({300});
    REQUIRE(result);
    CHECK_FALSE(result->isAnswered);
    CHECK_FALSE(result->wasSent);
}

TEST_CASE("a request is sent to the new leader after the first controller denies leading", "[link]")
{
    link_fixture cell;
    cell.welcome("tcp://c1", "tcp://c1");
    std::optional<call_result> result;
    cell.link.call({}, cell.now, cell.now + milliseconds {3'000},
                   [&](call_result &&what) { result = what; });
    REQUIRE(cell.requestsTo() == std::vector<std::string> {"tcp://c1"});
    messages::work_envelope no;
    no.set_exchange(1);
    no.mutable_answer()->set_kind(messages::ANSWER_NO_LEADER);
    cell.link.handleEnvelope("tcp://c1", no, cell.now);
    cell.welcome("tcp://c2", "tcp://c2");
    CHECK(cell.requestsTo() == std::vector<std::string> {"tcp://c1", "tcp://c2"});
    messages::work_envelope yes;
    yes.set_exchange(1);
    yes.mutable_answer()->set_kind(messages::ANSWER_OK);
    cell.link.handleEnvelope("tcp://c2", yes, cell.now);
    REQUIRE(result);
    CHECK(result->isAnswered);
    CHECK(cell.link.pendingCalls() == 0);
}

TEST_CASE("an unanswered request is resent, and completes as sent at its deadline", "[link]")
{
    link_fixture cell;
    cell.welcome("tcp://c1", "tcp://c1");
    std::optional<call_result> result;
    cell.link.call({}, cell.now, cell.now + milliseconds {900},
                   [&](call_result &&what) { result = what; });
    cell.pass({1'000});
    CHECK(cell.requestsTo().size() == 2);
    REQUIRE(result);
    CHECK_FALSE(result->isAnswered);
    CHECK(result->wasSent);
}

TEST_CASE("a follower's welcome does not replace a leader that is still in contact", "[link]")
{
    link_fixture cell;
    cell.welcome("tcp://c1", "tcp://c1");
    cell.welcome("tcp://c2", "tcp://c9");
    CHECK(cell.link.hasLeader(cell.now));
    cell.link.call({}, cell.now, cell.now + milliseconds {900}, [](call_result &&) {});
    CHECK(cell.requestsTo() == std::vector<std::string> {"tcp://c1"});
}

TEST_CASE("a silent connection is re-established", "[link]")
{
    link_fixture cell;
    cell.welcome("tcp://c1", "tcp://c1");
    cell.pass({1'600});
    CHECK(std::count(cell.renewed.begin(), cell.renewed.end(), "tcp://c1") >= 1);
}

TEST_CASE("a newly learned controller gets a hello soon", "[link]")
{
    link_fixture cell;
    cell.welcome("tcp://c1", "tcp://c1");
    cell.pass({40});
    cell.sent.clear();
    messages::work_envelope envelope;
    envelope.mutable_welcome()->add_members()->set_address("tcp://c3");
    cell.link.handleEnvelope("tcp://c2", envelope, cell.now);
    cell.pass({100});
    CHECK(std::any_of(cell.sent.begin(), cell.sent.end(),
                      [](const auto &each) { return each.first == "tcp://c3"; }));
}

TEST_CASE("hellos are sent more often while no leader is known", "[link]")
{
    const auto hellosOf = [](link_fixture &cell) {
        cell.sent.clear();
        cell.pass({900});
        return cell.sent.size() / 2; // each goes to two controllers
    };
    link_fixture searching;
    CHECK(hellosOf(searching) >= 8);
    link_fixture settled;
    settled.welcome("tcp://c1", "tcp://c1");
    CHECK(hellosOf(settled) <= 4);
}

TEST_CASE("a stopping process announces it in its next hello", "[link]")
{
    link_fixture cell;
    cell.pass({40});
    cell.sent.clear();
    cell.link.stopAcceptingWork();
    cell.pass({20});
    REQUIRE(!cell.sent.empty());
    CHECK_FALSE(cell.sent.back().second.hello().carries_orders());
}

TEST_CASE(
    "a controller that denies leading is not flooded with requests while others still name it",
    "[link]")
{
    link_fixture cell;
    cell.welcome("tcp://c2", "tcp://c1");
    cell.link.call({}, cell.now, cell.now + milliseconds {10'000}, [](call_result &&) {});
    messages::work_envelope denial;
    denial.mutable_answer()->set_kind(messages::ANSWER_NO_LEADER);
    std::size_t answered = 0;
    // Everything that was sent is answered after a network delay of 1 ms. Without pauses between
    // retries, denials and welcomes would make the client resend requests and hellos each time.
    for (const auto end = cell.now + milliseconds {600}; cell.now < end;
         cell.now = cell.now + milliseconds {1}) {
        cell.link.tick(cell.now);
        for (; answered < cell.sent.size(); ++answered) {
            const auto [address, envelope] = cell.sent[answered];
            if (envelope.has_request()) {
                denial.set_exchange(envelope.exchange());
                cell.link.handleEnvelope(address, denial, cell.now);
            } else if (address == "tcp://c2") {
                cell.welcome("tcp://c2", "tcp://c1");
            }
        }
    }
    CHECK(cell.requestsTo().size() <= 4);
    CHECK(cell.sent.size() <= 30);
    cell.welcome("tcp://c1", "tcp://c1"); // the leader's own welcome counts at once
    const auto before = cell.requestsTo().size();
    cell.pass({100});
    CHECK(cell.requestsTo().size() > before);
}

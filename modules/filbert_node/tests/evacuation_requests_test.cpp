#include "../../filbert_storage/tests/fake_file_system.h"
#include "filbert_node/filbert_node.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

/** The only controller of a cell, which is asked for evacuations. */
struct evacuation_controller
{
    time_point now = monotonicNow();
    fake_file_system files;
    std::unique_ptr<log_store> store = std::make_unique<log_store>(files);
    work_metrics metrics;
    std::map<std::uint64_t, messages::work_answer> answers; // by exchange
    std::unique_ptr<work_controller> controller;
    std::uint64_t lastExchange = 0;

    explicit evacuation_controller(const std::set<std::string> &failureDomains = {})
    {
        REQUIRE(!store->initialise("a"));
        stored_state stored;
        storage_damage damage;
        REQUIRE(!store->open(&stored, &damage));
        messages::member self;
        self.set_identity("a");
        self.set_name("controller-a");
        self.set_address("tcp://host-a");
        stored.term = 1;
        stored.entries = {makeBootstrapEntry(self)};
        REQUIRE(!store->append(1, "", stored.entries));
        start(stored, failureDomains);
    }

    void restart()
    {
        controller.reset();
        store = std::make_unique<log_store>(files);
        stored_state stored;
        storage_damage damage;
        REQUIRE(!store->open(&stored, &damage));
        start(stored, {});
    }

    void start(const stored_state &stored, const std::set<std::string> &failureDomains)
    {
        work_controller_settings settings;
        settings.name = "controller-a";
        settings.address = "tcp://host-a";
        settings.failureDomains = failureDomains;
        settings.membership.faultTolerance = 0;
        work_controller_hooks hooks;
        hooks.sendToMember = [](const messages::member &, const messages::work_envelope &) {};
        hooks.sendToPeer = [this](const std::string &, const messages::work_envelope &envelope) {
            answers[envelope.exchange()] = envelope.answer();
        };
        hooks.callTarget = [](const target_order &) {};
        hooks.controllerAddresses = [] { return std::vector<std::string> {}; };
        controller =
            std::make_unique<work_controller>(settings, replication_settings {}, stored, 3, *store,
                                              metrics, hooks, now - milliseconds {3'000});
        runTurn();
        runTurn();
    }

    void runTurn()
    {
        controller->tick(now);
        REQUIRE(!controller->flush(now, 1'000));
    }

    void greet(const std::string &name, const std::string &domain)
    {
        messages::work_envelope envelope;
        envelope.set_from(name);
        envelope.mutable_hello()->set_name(name);
        envelope.mutable_hello()->set_failure_domain(domain);
        controller->handleEnvelope(name, envelope, now, 1'000);
    }

    messages::work_answer_kind request(const std::string &domain, bool isWithdrawn = false)
    {
        messages::work_envelope envelope;
        envelope.set_exchange(++lastExchange);
        writeEvacuation({domain, isWithdrawn}, envelope.mutable_request());
        messages::work_envelope parsed; // as it comes from another process
        REQUIRE(parsed.ParseFromString(envelope.SerializeAsString()));
        controller->handleEnvelope("controller-b", parsed, now, 1'000);
        CHECK_FALSE(answers.contains(lastExchange));
        runTurn();
        return answers[lastExchange].kind();
    }

    messages::work_answer refusedRequest(const std::string &domain)
    {
        messages::work_envelope envelope;
        envelope.set_exchange(++lastExchange);
        writeEvacuation({domain, false}, envelope.mutable_request());
        controller->handleEnvelope("controller-b", envelope, now, 1'000);
        return answers[lastExchange];
    }

    const std::set<std::string> &evacuated() const { return controller->work().evacuatedDomains; }
};

} // namespace

// Guards against an acknowledgement before the order is committed, and an order that is lost with
// the process.
TEST_CASE("an evacuation is acknowledged when it is committed, and survives a restart",
          "[evacuation]")
{
    evacuation_controller cell;
    REQUIRE(cell.controller->isLeading());
    CHECK(cell.request("d1") == messages::ANSWER_OK);
    CHECK(cell.request("d2") == messages::ANSWER_OK);
    CHECK(cell.request("d1") == messages::ANSWER_OK); // repeated
    CHECK(cell.evacuated() == std::set<std::string> {"d1", "d2"});
    CHECK(cell.request("d2", true) == messages::ANSWER_OK);
    CHECK(cell.request("d2", true) == messages::ANSWER_OK);
    cell.restart();
    REQUIRE(cell.controller->isLeading());
    CHECK(cell.evacuated() == std::set<std::string> {"d1"});
}

TEST_CASE("the evacuation of an unknown failure domain is refused and says so", "[evacuation]")
{
    evacuation_controller cell {{"d1", "d2"}};
    const auto refused = cell.refusedRequest("d9");
    CHECK(refused.kind() == messages::ANSWER_NO_DOMAIN);
    CHECK(refused.detail() == "no such failure domain: d9");
    CHECK(cell.refusedRequest("").kind() == messages::ANSWER_MALFORMED);
    CHECK(cell.refusedRequest("d\r1").kind() == messages::ANSWER_MALFORMED);
    CHECK(cell.evacuated().empty());
    CHECK(cell.request("d2") == messages::ANSWER_OK);
    cell.greet("controller-a", "d9"); // a controller is in this domain
    CHECK(cell.request("d9") == messages::ANSWER_OK);
    cell.greet("someone", "d8"); // no controller of this cell
    CHECK(cell.refusedRequest("d8").kind() == messages::ANSWER_NO_DOMAIN);
    cell.controller->setFailureDomains({"d1", "d8"});
    CHECK(cell.request("d8") == messages::ANSWER_OK);
}

TEST_CASE("the metrics count evacuations", "[evacuation]")
{
    evacuation_controller cell;
    CHECK(cell.request("d1") == messages::ANSWER_OK);
    cell.metrics.setEvacuation(cell.evacuated().size(),
                               countRunsInEvacuatedDomains(cell.controller->work()));
    const auto text = cell.metrics.text();
    CHECK(text.find("filbert_work_commands_total{kind=\"evacuate\"} 1") != std::string::npos);
    CHECK(text.find("filbert_work_state{of=\"evacuated_domains\"} 1") != std::string::npos);
}

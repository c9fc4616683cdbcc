#include "work_fixture.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

struct evacuation_fixture : work_fixture
{
    evacuation_fixture()
    {
        for (const auto *id : {"t1", "t2"}) {
            messages::work_command command;
            *command.mutable_target() = targetRegistration(id, 1);
            command.mutable_target()->set_failure_domain(id == std::string {"t1"} ? "d1" : "d2");
            apply(command);
        }
        accept("j", {step(3)});
    }

    command_outcome evacuate(const std::string &domain, bool isWithdrawn = false)
    {
        messages::work_command command;
        writeEvacuation({domain, isWithdrawn}, &command);
        return apply(command);
    }

    error_kind startOn(const std::string &target, std::uint32_t task)
    {
        return start({"j", 0, 0, task}, 1, target).error;
    }
};

} // namespace

// Guards against starts that were proposed before an evacuation and are committed after it.
TEST_CASE("no start in an evacuated failure domain is applied until it is withdrawn",
          "[evacuation]")
{
    evacuation_fixture cell;
    CHECK(cell.startOn("t1", 0) == error_kind::None);
    CHECK(cell.evacuate("d1").error == error_kind::None);
    CHECK(cell.startOn("t1", 1) == error_kind::Conflict);
    CHECK(cell.startOn("t2", 1) == error_kind::None);
    CHECK(cell.evacuate("d1", true).error == error_kind::None);
    CHECK(cell.startOn("t1", 2) == error_kind::None);
}

TEST_CASE("a repeated evacuation or withdrawal is no error and changes nothing", "[evacuation]")
{
    evacuation_fixture cell;
    CHECK(cell.evacuate("d1").error == error_kind::None);
    CHECK(cell.evacuate("d1").error == error_kind::None);
    CHECK(cell.evacuate("d2").error == error_kind::None);
    CHECK(cell.state.evacuatedDomains == std::set<std::string> {"d1", "d2"});
    CHECK(cell.evacuate("d1", true).error == error_kind::None);
    CHECK(cell.evacuate("d1", true).error == error_kind::None);
    CHECK(cell.state.evacuatedDomains == std::set<std::string> {"d2"});
    CHECK(cell.evacuate("").error == error_kind::Malformed);
    CHECK(cell.evacuate("d\n1").error == error_kind::Malformed);
    CHECK(cell.state.evacuatedDomains == std::set<std::string> {"d2"});
}

TEST_CASE("runs in an evacuated failure domain go on and end as usual", "[evacuation]")
{
    evacuation_fixture cell;
    REQUIRE(cell.startOn("t1", 0) == error_kind::None);
    cell.evacuate("d1");
    CHECK(countRunsInEvacuatedDomains(cell.state) == 1);
    cell.end({"j", 0, 0, 0}, 1, "t1", messages::END_DONE);
    CHECK(findTask(cell.state, {"j", 0, 0, 0})->status == task_status::Done);
    CHECK(countRunsInEvacuatedDomains(cell.state) == 0);
}

// Guards against an evacuation that is lost when the log is compacted.
TEST_CASE("a snapshot holds the evacuated failure domains", "[evacuation]")
{
    evacuation_fixture cell;
    cell.evacuate("d1");
    cell.evacuate("d2");
    work_state restored;
    REQUIRE(!readWorkState(writeWorkState(cell.state), &restored));
    CHECK(restored.evacuatedDomains == cell.state.evacuatedDomains);
}

TEST_CASE("a snapshot of an earlier version, without evacuations, can be read", "[evacuation]")
{
    evacuation_fixture cell;
    messages::work_state_image image; // the fields that earlier versions write
    *image.mutable_configuration() = cell.state.configuration;
    work_state restored;
    restored.evacuatedDomains = {"d1"};
    REQUIRE(!readWorkState(image.SerializeAsString(), &restored));
    CHECK(restored.evacuatedDomains.empty());
    CHECK(restored.configuration.version() == cell.state.configuration.version());
}

// Guards against a change of field numbers: logs and snapshots on disk must stay readable.
TEST_CASE("evacuations have the bytes that work.proto defines", "[evacuation]")
{
    messages::work_command command;
    writeEvacuation({"d1", true}, &command);
    CHECK(command.SerializeAsString()
          == std::string("\x62\x06\x0a\x02"
                         "d1"
                         "\x10\x01",
                         8));
    messages::work_request request;
    writeEvacuation({"d1", false}, &request);
    CHECK(request.SerializeAsString()
          == std::string("\x32\x04\x0a\x02"
                         "d1",
                         6));
    messages::work_state_image image;
    writeEvacuatedDomains({"d1"}, &image);
    CHECK(image.SerializeAsString()
          == std::string("\x22\x02"
                         "d1",
                         4));
}

TEST_CASE("an evacuation is read back from a batch of the log and from an envelope", "[evacuation]")
{
    messages::work_batch batch;
    writeEvacuation({"d1", true}, batch.add_commands());
    batch.add_commands()->set_cancel("j");
    messages::work_batch parsedBatch;
    REQUIRE(parsedBatch.ParseFromString(batch.SerializeAsString()));
    const auto order = readEvacuation(parsedBatch.commands(0));
    REQUIRE(order);
    CHECK(order->failureDomain == "d1");
    CHECK(order->isWithdrawn);
    CHECK_FALSE(readEvacuation(parsedBatch.commands(1)));
    messages::work_envelope envelope;
    writeEvacuation({"d2", false}, envelope.mutable_request());
    messages::work_envelope parsedEnvelope;
    REQUIRE(parsedEnvelope.ParseFromString(envelope.SerializeAsString()));
    REQUIRE(readEvacuation(parsedEnvelope.request()));
    CHECK(readEvacuation(parsedEnvelope.request())->failureDomain == "d2");
    CHECK_FALSE(readEvacuation(parsedEnvelope.request())->isWithdrawn);
}

TEST_CASE("a failure domain is known from the settings, a target, a controller or an evacuation",
          "[evacuation]")
{
    evacuation_fixture cell;
    known_domains known;
    CHECK(isKnownDomain(cell.state, known, "anything"));
    known.configured = {"d3"};
    known.ofControllers = {"d4"};
    for (const auto *domain : {"d1", "d2", "d3", "d4"}) {
        CHECK(isKnownDomain(cell.state, known, domain));
    }
    CHECK_FALSE(isKnownDomain(cell.state, known, "d5"));
    cell.evacuate("d5"); // before the settings changed: it can still be withdrawn
    CHECK(isKnownDomain(cell.state, known, "d5"));
}

TEST_CASE("the name of a failure domain is short and plain text", "[evacuation]")
{
    CHECK(isFailureDomain("d1"));
    CHECK(isFailureDomain("Österreich 1"));
    CHECK_FALSE(isFailureDomain(""));
    CHECK_FALSE(isFailureDomain("d\r\n1"));
    CHECK_FALSE(isFailureDomain("\xff\xfe"));
    CHECK_FALSE(isFailureDomain(std::string(257, 'd')));
}

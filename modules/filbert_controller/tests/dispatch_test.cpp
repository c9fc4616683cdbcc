#include "filbert_controller/filbert_controller.h"
#include "filbert_storage/tests/fake_file_system.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

/** One controller that is its whole cell, with what it sends to gateways. */
class lone_controller : public controller_outbox
{
public:
    lone_controller()
        : store {files}
    {
        store.initialise("c1-x");
        stored_state stored;
        storage_damage damage;
        store.open(&stored, &damage);
        messages::member self;
        self.set_identity("c1-x");
        auto first = makeFirstEntry(self);
        store.append(1, "", {first});
        stored.entries = {first};
        running = std::make_unique<controller>(controller_settings {}, replication_settings {},
                                               stored, 1, store, *this, now);
        for (int i = 0; i < 200; ++i) {
            pass(10);
        }
    }

    void sendToMember(const messages::member &, const messages::replication_message &) override { }

    void sendToGateway(const std::string &, const messages::envelope &envelope) override
    {
        sent.push_back(envelope);
    }

    void pass(std::int64_t ms)
    {
        now = now + milliseconds {ms};
        running->takeTime(now);
        running->flush(now, now.ms);
    }

    void take(messages::envelope envelope)
    {
        envelope.set_exchange(++lastExchange);
        running->takeMessage("g1", envelope, now);
    }

    void announce(std::int64_t epoch)
    {
        messages::envelope envelope;
        auto *target = envelope.mutable_announce();
        target->set_name("t1");
        target->set_address("127.0.0.1:9");
        target->set_epoch(epoch);
        *target->mutable_capacity() = messageOf({4'000, 4'000, 0, 4});
        target->add_services("quote");
        take(envelope);
    }

    void beat(std::int64_t epoch, std::int64_t clockMs, bool isLeaving = false)
    {
        messages::envelope envelope;
        envelope.mutable_heartbeat()->set_leaving(isLeaving);
        envelope.mutable_heartbeat()->set_name("t1");
        envelope.mutable_heartbeat()->set_epoch(epoch);
        envelope.mutable_heartbeat()->set_clock_ms(clockMs);
        take(envelope);
    }

    void configure()
    {
        messages::envelope envelope;
        auto *apply = envelope.mutable_apply();
        apply->set_request_id("first");
        apply->mutable_next()->set_cell("c");
        auto *team = apply->mutable_next()->add_teams();
        team->set_name("orders");
        team->set_share(1);
        *team->add_keys() = makeKey("desk").stored;
        apply->mutable_next()->add_queues()->set_name("quotes");
        auto *service = apply->mutable_next()->add_services();
        service->set_name("quote");
        service->set_queue("quotes");
        service->set_idempotent(true);
        take(envelope);
        pass(1);
    }

    void dispatch(const std::string &key = "")
    {
        messages::envelope envelope;
        auto *request = envelope.mutable_dispatch();
        request->set_team("orders");
        request->set_key_id("desk");
        request->set_service("quote");
        request->set_wait_ms(3'000);
        request->set_idempotency_key(key);
        take(envelope);
    }

    fake_file_system files;
    log_store store;
    std::unique_ptr<controller> running;
    std::vector<messages::envelope> sent;
    time_point now {1'000};
    std::uint64_t lastExchange = 0;
};

} // namespace

TEST_CASE("a request whose target restarts under it waits on instead of being refused")
{
    lone_controller cell;
    cell.configure();
    cell.announce(1);
    cell.pass(1);
    cell.beat(1, 100);
    cell.pass(1);
    cell.sent.clear();
    cell.announce(2); // in the same batch, so that the decision is for the earlier start
    cell.dispatch();
    const auto exchange = cell.lastExchange;
    cell.pass(1);
    for (const auto &envelope : cell.sent) {
        CHECK(envelope.exchange() != exchange);
    }
    cell.beat(2, 50);
    cell.pass(1);
    REQUIRE_FALSE(cell.sent.empty());
    const auto &answer = cell.sent.back();
    CHECK(answer.exchange() == exchange);
    CHECK(answer.dispatched().target_epoch() == 2);
}

TEST_CASE("a full disk refuses work as not run, and takes it again when there is room")
{
    lone_controller cell;
    cell.configure();
    cell.announce(1);
    cell.pass(1);
    cell.beat(1, 100);
    cell.pass(1);
    cell.files.capacity = cell.files.bytes();
    cell.sent.clear();
    cell.dispatch();
    cell.pass(1);
    CHECK(cell.sent.empty()); // decided, but not durable, so nothing may be said
    cell.dispatch();
    cell.pass(1);
    REQUIRE(cell.sent.size() == 1);
    CHECK(static_cast<error_kind>(cell.sent[0].refused().kind()) == error_kind::DiskFull);
    cell.files.capacity = SIZE_MAX;
    cell.pass(10);
    cell.pass(10);
    REQUIRE(cell.sent.size() == 2);
    CHECK(cell.sent[1].has_dispatched());
}

TEST_CASE("a leaving target is drained once all that was decided for it has ended")
{
    lone_controller cell;
    cell.configure();
    cell.announce(1);
    cell.pass(1);
    cell.beat(1, 100);
    cell.pass(1);
    cell.dispatch();
    cell.pass(1);
    const auto placement = cell.sent.back().dispatched().placement_id();
    REQUIRE(placement != 0);
    cell.beat(1, 200, true);
    cell.pass(1);
    CHECK_FALSE(cell.sent.back().heartbeat_reply().drained());

    messages::envelope end;
    end.mutable_end()->set_placement_id(placement);
    end.mutable_end()->set_result(messages::SUCCEEDED);
    cell.take(end);
    cell.pass(1);
    cell.beat(1, 300);
    cell.pass(1);
    CHECK_FALSE(cell.sent.back().heartbeat_reply().drained()); // it does not leave
    cell.beat(1, 400, true);
    cell.pass(1);
    CHECK(cell.sent.back().heartbeat_reply().drained());
    cell.sent.clear();
    cell.dispatch();
    cell.pass(1);
    CHECK(cell.sent.empty()); // and gets no more work
}

#include "filbert_controller/filbert_controller.h"
#include "filbert_storage/tests/fake_file_system.h"

#include <catch2/catch.hpp>
#include <set>
#include <vector>

using namespace filbert;

namespace {

/** The only controller of a cell, with the messages that it sends to gateways. */
class single_controller : public controller_outbox
{
public:
    single_controller()
        : store {files}
    {
        store.initialise("c1-x");
        stored_state stored;
        storage_damage damage;
        store.open(&stored, &damage);
        messages::member self;
        self.set_identity("c1-x");
        auto first = makeBootstrapEntry(self);
        store.append(1, "", {first});
        stored.entries = {first};
        instance = std::make_unique<controller>(controller_settings {}, replication_settings {},
                                                stored, 1, store, *this, now);
        for (int i = 0; i < 200; ++i) {
            advance(10);
        }
    }

    void sendToMember(const messages::member &, const messages::replication_message &) override { }

    void sendToGateway(const std::string &, const messages::envelope &envelope) override
    {
        sent.push_back(envelope);
    }

    void advance(std::int64_t ms)
    {
        now = now + milliseconds {ms};
        instance->tick(now);
        instance->flush(now, now.ms);
    }

    void receive(messages::envelope envelope)
    {
        envelope.set_exchange(++lastExchange);
        instance->handleMessage("g1", envelope, now);
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
        receive(envelope);
    }

    void sendHeartbeat(std::int64_t epoch, std::int64_t clockMs, bool isLeaving = false)
    {
        messages::envelope envelope;
        envelope.mutable_heartbeat()->set_leaving(isLeaving);
        envelope.mutable_heartbeat()->set_name("t1");
        envelope.mutable_heartbeat()->set_epoch(epoch);
        envelope.mutable_heartbeat()->set_clock_ms(clockMs);
        receive(envelope);
    }

    /** Sends a heartbeat of t1 with running tasks. @param used by each of them */
    void sendHeartbeatWithTasks(std::int64_t clockMs, const std::vector<std::uint64_t> &running,
                                const resource_amounts &used)
    {
        messages::envelope envelope;
        envelope.mutable_heartbeat()->set_name("t1");
        envelope.mutable_heartbeat()->set_epoch(1);
        envelope.mutable_heartbeat()->set_clock_ms(clockMs);
        for (const auto id : running) {
            auto *task = envelope.mutable_heartbeat()->add_running();
            task->set_placement_id(id);
            *task->mutable_used() = messageOf(used);
        }
        receive(envelope);
        advance(1);
    }

    /** Submits a job whose tasks need one core each. @return the placements that were started */
    std::vector<std::uint64_t> startJob(const std::string &queue, int tasks)
    {
        sent.clear();
        messages::envelope envelope;
        auto *submit = envelope.mutable_submit();
        submit->set_team("orders");
        submit->set_queue(queue);
        submit->set_service("quote");
        submit->set_tasks(tasks);
        submit->mutable_task()->set_milli_cores(1'000);
        submit->set_idempotent(true);
        receive(envelope);
        advance(1); // accepts the job; then it is scheduled and started
        advance(600);
        return started();
    }

    /** @return the placements of the start orders that were sent */
    std::vector<std::uint64_t> started() const
    {
        std::vector<std::uint64_t> placements;
        for (const auto &envelope : sent) {
            if (envelope.has_start()) {
                placements.push_back(envelope.start().placement_id());
            }
        }
        return placements;
    }

    void end(std::uint64_t placement, messages::task_result result)
    {
        messages::envelope envelope;
        envelope.mutable_end()->set_placement_id(placement);
        envelope.mutable_end()->set_result(result);
        receive(envelope);
        advance(1);
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
        *team->add_keys() = generateKey("desk").storedKey;
        for (const auto policy : {messages::URGENT, messages::BATCH, messages::GANG}) {
            auto *queue = apply->mutable_next()->add_queues();
            queue->set_name(policy == messages::URGENT      ? "quotes"
                                : policy == messages::BATCH ? "batches"
                                                            : "gangs");
            queue->set_policy(policy);
        }
        auto *service = apply->mutable_next()->add_services();
        service->set_name("quote");
        service->set_queue("quotes");
        service->set_idempotent(true);
        receive(envelope);
        advance(1);
    }

    /** Configures the cell and makes t1 available. */
    void makeReady()
    {
        configure();
        announce(1);
        advance(1);
        sendHeartbeat(1, 100);
        advance(1);
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
        receive(envelope);
    }

    fake_file_system files;
    log_store store;
    std::unique_ptr<controller> instance;
    std::vector<messages::envelope> sent;
    time_point now {1'000};
    std::uint64_t lastExchange = 0;
};

} // namespace

TEST_CASE("a request whose target restarts before its placement is committed keeps waiting")
{
    single_controller fixture;
    fixture.makeReady();
    fixture.sent.clear();
    fixture.announce(2); // in the same batch, so that the scheduler decides for epoch 1
    fixture.dispatch();
    const auto exchange = fixture.lastExchange;
    fixture.advance(1);
    for (const auto &envelope : fixture.sent) {
        CHECK(envelope.exchange() != exchange);
    }
    fixture.sendHeartbeat(2, 50);
    fixture.advance(1);
    REQUIRE_FALSE(fixture.sent.empty());
    const auto &answer = fixture.sent.back();
    CHECK(answer.exchange() == exchange);
    CHECK(answer.dispatched().target_epoch() == 2);
}

TEST_CASE("work is refused while the disk is full, and accepted again once it has space")
{
    single_controller fixture;
    fixture.makeReady();
    fixture.files.capacity = fixture.files.bytes();
    fixture.sent.clear();
    fixture.dispatch();
    fixture.advance(1);
    CHECK(fixture.sent.empty()); // scheduled, but not durable, so no answer may be sent
    fixture.dispatch();
    fixture.advance(1);
    REQUIRE(fixture.sent.size() == 1);
    CHECK(static_cast<error_kind>(fixture.sent[0].refused().kind()) == error_kind::DiskFull);
    fixture.files.capacity = SIZE_MAX;
    fixture.advance(10);
    fixture.advance(10);
    REQUIRE(fixture.sent.size() == 2);
    CHECK(fixture.sent[1].has_dispatched());
}

TEST_CASE("a leaving target is drained once all tasks placed on it have ended")
{
    single_controller fixture;
    fixture.makeReady();
    fixture.dispatch();
    fixture.advance(1);
    const auto placement = fixture.sent.back().dispatched().placement_id();
    REQUIRE(placement != 0);
    fixture.sendHeartbeat(1, 200, true);
    fixture.advance(1);
    CHECK_FALSE(fixture.sent.back().heartbeat_reply().drained());

    fixture.end(placement, messages::SUCCEEDED);
    fixture.sendHeartbeat(1, 300);
    fixture.advance(1);
    CHECK_FALSE(fixture.sent.back().heartbeat_reply().drained()); // it is not leaving now
    fixture.sendHeartbeat(1, 400, true);
    fixture.advance(1);
    CHECK(fixture.sent.back().heartbeat_reply().drained());
    fixture.sent.clear();
    fixture.dispatch();
    fixture.advance(1);
    CHECK(fixture.sent.empty()); // it gets no more work
}

TEST_CASE("if one task of a gang does not start, the others are stopped and all start again")
{
    single_controller fixture;
    fixture.makeReady();
    const auto first = fixture.startJob("gangs", 3);
    REQUIRE(first.size() == 3);
    fixture.sent.clear();
    fixture.end(first[0], messages::NOT_RUN); // its target refused the start after the commit
    std::set<std::uint64_t> stopped;
    for (const auto &envelope : fixture.sent) {
        if (envelope.has_stop()) {
            stopped.insert(envelope.stop().placement_id());
        }
    }
    CHECK(stopped == std::set<std::uint64_t> {first[1], first[2]});
    fixture.advance(2'000);
    CHECK(fixture.started().empty()); // none starts alone
    fixture.end(first[1], messages::UNKNOWN);
    fixture.end(first[2], messages::SUCCEEDED); // ended before the stop order arrived
    fixture.sendHeartbeat(1, 3'000);
    fixture.advance(2'000);
    CHECK(fixture.started().size() == 2);
}

TEST_CASE("batch work that overcommits a target is throttled first, then stopped if necessary")
{
    single_controller fixture;
    fixture.makeReady();
    const auto placements = fixture.startJob("batches", 2);
    REQUIRE(placements.size() == 2);
    fixture.sendHeartbeatWithTasks(200, placements, {3'000, 100, 0, 1}); // 6 cores in use of 4
    CHECK(fixture.sent.back().heartbeat_reply().throttle_size() == 1);
    CHECK(fixture.sent.back().heartbeat_reply().stop_size() == 0);
    fixture.sendHeartbeatWithTasks(300, placements, {1'500, 100, 0, 1});
    CHECK(fixture.sent.back().heartbeat_reply().throttle_size() == 0);
    fixture.sendHeartbeatWithTasks(400, placements, {3'000, 100, 0, 1});
    CHECK(fixture.sent.back().heartbeat_reply().throttle_size() == 1);
    fixture.advance(3'500);
    fixture.sendHeartbeatWithTasks(3'900, placements, {3'000, 100, 0, 1});
    CHECK(fixture.sent.back().heartbeat_reply().stop_size() == 1);
}

TEST_CASE("a target whose removal is proposed gets no new lease when a late heartbeat comes")
{
    single_controller fixture;
    fixture.makeReady();
    fixture.now = fixture.now + milliseconds {6'000};
    fixture.instance->tick(fixture.now); // the lease has expired: the target's removal is proposed
    fixture.sent.clear();
    fixture.sendHeartbeat(1, 200);
    fixture.instance->flush(fixture.now, 1);
    REQUIRE(fixture.sent.size() == 1);
    CHECK(fixture.sent[0].heartbeat_reply().announce_again());
    CHECK(fixture.sent[0].heartbeat_reply().lease_until() == 0);
}

// Guards against a batch that ends each controller that applies it, now and at each restart.
TEST_CASE("a command that cannot be read back is refused alone, the others go through")
{
    single_controller fixture;
    fixture.makeReady();
    fixture.sent.clear();
    messages::envelope odd;
    auto *target = odd.mutable_announce();
    target->set_name("t-\xff\xfe");
    target->set_address("127.0.0.1:10");
    target->set_epoch(1);
    *target->mutable_capacity() = messageOf({4'000, 4'000, 0, 4});
    target->add_services("quote");
    fixture.receive(odd);
    const auto oddExchange = fixture.lastExchange;
    fixture.announce(2);
    fixture.advance(1);
    bool isRefused = false;
    bool isAnnounced = false;
    for (const auto &envelope : fixture.sent) {
        isRefused = isRefused
            || (envelope.exchange() == oddExchange
                && static_cast<error_kind>(envelope.refused().kind()) == error_kind::Malformed);
        isAnnounced =
            isAnnounced || (envelope.exchange() == fixture.lastExchange && envelope.done());
    }
    CHECK(isRefused);
    CHECK(isAnnounced);
    CHECK(fixture.instance->view().cell.targets.size() == 1);
    CHECK(fixture.instance->view().unreadable.commands == 1);
}

// Guards against a committed entry that ends every controller at each start.
TEST_CASE("a committed entry that cannot be parsed is skipped by a controller that starts")
{
    single_controller fixture;
    const auto makeEntry = [](std::uint64_t index, const std::string &payload) {
        messages::log_entry entry;
        entry.set_index(index);
        entry.set_term(1);
        entry.set_kind(messages::COMMANDS);
        entry.set_payload(payload);
        return entry;
    };
    const auto payloadOf = [](const std::string &name) {
        messages::command_batch batch;
        batch.add_commands()->mutable_target()->set_name(name);
        return batch.SerializeAsString();
    };
    messages::member self;
    self.set_identity("c1-x");
    fake_file_system files;
    log_store store {files};
    REQUIRE(!store.initialise("c1-x"));
    stored_state stored;
    storage_damage damage;
    REQUIRE(!store.open(&stored, &damage));
    stored.term = 1;
    stored.entries = {makeBootstrapEntry(self), makeEntry(2, payloadOf("t1")),
                      makeEntry(3, payloadOf("\xff\xfe")), makeEntry(4, "\xff\xff"),
                      makeEntry(5, payloadOf("t2"))};
    REQUIRE(!store.append(1, "", stored.entries));
    controller restarted {
        controller_settings {}, replication_settings {}, stored, 1, store, fixture, fixture.now};
    for (int i = 0; i < 200; ++i) {
        fixture.now = fixture.now + milliseconds {10};
        restarted.tick(fixture.now);
        REQUIRE(!restarted.flush(fixture.now, fixture.now.ms));
    }
    CHECK(restarted.isReadyToStop() == false);
    CHECK(restarted.view().isLeading);
    CHECK(restarted.view().cell.targets.size() == 2);
    CHECK(restarted.view().unreadable.entries == 2);
    cell_state copy;
    CHECK_FALSE(restoreCell(serializeCell(restarted.view().cell), &copy));
}

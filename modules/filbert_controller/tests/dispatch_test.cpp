#include "filbert_controller/filbert_controller.h"
#include "filbert_storage/tests/fake_file_system.h"

#include <catch2/catch.hpp>
#include <set>
#include <vector>

using namespace filbert;

namespace {

/** The only controller of a cell, with the messages that it sends to gateways. */
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
        auto first = makeBootstrapEntry(self);
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
        running->tick(now);
        running->flush(now, now.ms);
    }

    void take(messages::envelope envelope)
    {
        envelope.set_exchange(++lastExchange);
        running->handleMessage("g1", envelope, now);
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

    /** Sends a heartbeat of t1 with running tasks. @param used by each of them */
    void beatRunning(std::int64_t clockMs, const std::vector<std::uint64_t> &running,
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
        take(envelope);
        pass(1);
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
        take(envelope);
        pass(1); // accepts the job; then it is scheduled and started
        pass(600);
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
        take(envelope);
        pass(1);
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
        take(envelope);
        pass(1);
    }

    /** Configures the cell and makes t1 available. */
    void makeReady()
    {
        configure();
        announce(1);
        pass(1);
        beat(1, 100);
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

TEST_CASE("a request whose target restarts before its placement is committed keeps waiting")
{
    lone_controller cell;
    cell.makeReady();
    cell.sent.clear();
    cell.announce(2); // in the same batch, so that the scheduler decides for epoch 1
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

TEST_CASE("work is refused while the disk is full, and accepted again once it has space")
{
    lone_controller cell;
    cell.makeReady();
    cell.files.capacity = cell.files.bytes();
    cell.sent.clear();
    cell.dispatch();
    cell.pass(1);
    CHECK(cell.sent.empty()); // scheduled, but not durable, so no answer may be sent
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

TEST_CASE("a leaving target is drained once all tasks placed on it have ended")
{
    lone_controller cell;
    cell.makeReady();
    cell.dispatch();
    cell.pass(1);
    const auto placement = cell.sent.back().dispatched().placement_id();
    REQUIRE(placement != 0);
    cell.beat(1, 200, true);
    cell.pass(1);
    CHECK_FALSE(cell.sent.back().heartbeat_reply().drained());

    cell.end(placement, messages::SUCCEEDED);
    cell.beat(1, 300);
    cell.pass(1);
    CHECK_FALSE(cell.sent.back().heartbeat_reply().drained()); // it is not leaving now
    cell.beat(1, 400, true);
    cell.pass(1);
    CHECK(cell.sent.back().heartbeat_reply().drained());
    cell.sent.clear();
    cell.dispatch();
    cell.pass(1);
    CHECK(cell.sent.empty()); // it gets no more work
}

TEST_CASE("if one task of a gang does not start, the others are stopped and all start again")
{
    lone_controller cell;
    cell.makeReady();
    const auto first = cell.startJob("gangs", 3);
    REQUIRE(first.size() == 3);
    cell.sent.clear();
    cell.end(first[0], messages::NOT_RUN); // its target refused the start after the commit
    std::set<std::uint64_t> stopped;
    for (const auto &envelope : cell.sent) {
        if (envelope.has_stop()) {
            stopped.insert(envelope.stop().placement_id());
        }
    }
    CHECK(stopped == std::set<std::uint64_t> {first[1], first[2]});
    cell.pass(2'000);
    CHECK(cell.started().empty()); // none starts alone
    cell.end(first[1], messages::UNKNOWN);
    cell.end(first[2], messages::SUCCEEDED); // ended before the stop order arrived
    cell.beat(1, 3'000);
    cell.pass(2'000);
    CHECK(cell.started().size() == 2);
}

TEST_CASE("batch work that overcommits a target is throttled first, then stopped if necessary")
{
    lone_controller cell;
    cell.makeReady();
    const auto placements = cell.startJob("batches", 2);
    REQUIRE(placements.size() == 2);
    cell.beatRunning(200, placements, {3'000, 100, 0, 1}); // 6 cores in use of 4
    CHECK(cell.sent.back().heartbeat_reply().throttle_size() == 1);
    CHECK(cell.sent.back().heartbeat_reply().stop_size() == 0);
    cell.beatRunning(300, placements, {1'500, 100, 0, 1});
    CHECK(cell.sent.back().heartbeat_reply().throttle_size() == 0);
    cell.beatRunning(400, placements, {3'000, 100, 0, 1});
    CHECK(cell.sent.back().heartbeat_reply().throttle_size() == 1);
    cell.pass(3'500);
    cell.beatRunning(3'900, placements, {3'000, 100, 0, 1});
    CHECK(cell.sent.back().heartbeat_reply().stop_size() == 1);
}

TEST_CASE("a target whose removal is proposed gets no new lease when a late heartbeat comes")
{
    lone_controller cell;
    cell.makeReady();
    cell.now = cell.now + milliseconds {6'000};
    cell.running->tick(cell.now); // the lease has expired: the target's removal is proposed
    cell.sent.clear();
    cell.beat(1, 200);
    cell.running->flush(cell.now, 1);
    REQUIRE(cell.sent.size() == 1);
    CHECK(cell.sent[0].heartbeat_reply().announce_again());
    CHECK(cell.sent[0].heartbeat_reply().lease_until() == 0);
}

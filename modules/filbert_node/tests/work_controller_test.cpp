#include "../../filbert_storage/tests/fake_file_system.h"
#include "../../filbert_work/tests/work_fixture.h"
#include "filbert_node/filbert_node.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

constexpr const char *jobPath = "/quotes/5c0e7a21d94b36f8";

messages::work_queue queueAt(const std::string &name, const std::string &pathPrefix,
                             bool isOpen = false)
{
    messages::work_queue queue;
    queue.set_name(name);
    queue.set_host("cell.example");
    queue.set_path_prefix(pathPrefix);
    queue.set_service("orders");
    queue.set_is_open(isOpen);
    return queue;
}

/** The only controller of a cell, in virtual time. */
struct controller_fixture
{
    time_point now = monotonicNow(); // starts at the real clock, which orders are sent by
    fake_file_system files;
    std::unique_ptr<log_store> store = std::make_unique<log_store>(files);
    work_metrics metrics;
    std::vector<target_order> orders;
    std::map<std::uint64_t, messages::work_answer> answers; // by exchange
    std::map<std::uint64_t, std::string> answeredPeers; // by exchange
    std::vector<messages::carried_order> relayedOrders;
    std::size_t maxDirectTargets = 100;
    std::vector<std::pair<std::string, messages::admission_request>> admissions; // by process
    std::vector<std::string> notifiedPeers; // processes that got a welcome which names a leader
    std::unique_ptr<work_controller> controller;
    std::uint64_t lastExchange = 0;

    explicit controller_fixture(int faultTolerance = 0, bool isGreetedBeforeLeading = false,
                                const std::vector<std::string> &storedPayloads = {},
                                std::size_t maxDirectTargets = 100)
        : maxDirectTargets {maxDirectTargets}
    {
        REQUIRE(!store->initialise("a"));
        stored_state stored;
        storage_damage damage;
        REQUIRE(!store->open(&stored, &damage));
        messages::member self;
        self.set_identity("a");
        self.set_address("tcp://host-a");
        stored.term = 1;
        stored.entries = {makeBootstrapEntry(self)};
        for (const auto &payload : storedPayloads) {
            auto &entry = stored.entries.emplace_back();
            entry.set_index(stored.entries.size());
            entry.set_term(1);
            entry.set_kind(messages::COMMANDS);
            entry.set_payload(payload);
        }
        REQUIRE(!store->append(1, "", stored.entries));
        start(stored, faultTolerance, isGreetedBeforeLeading);
    }

    /** Starts the controller anew with what its disk holds. */
    void restart()
    {
        controller.reset();
        store = std::make_unique<log_store>(files);
        stored_state stored;
        storage_damage damage;
        REQUIRE(!store->open(&stored, &damage));
        start(stored, 0, false);
    }

    void start(const stored_state &stored, int faultTolerance, bool isGreetedBeforeLeading)
    {
        work_controller_settings settings;
        settings.name = "controller-a";
        settings.address = "tcp://host-a";
        settings.membership.faultTolerance = faultTolerance;
        settings.router.maxDirectTargets = maxDirectTargets;
        work_controller_hooks hooks;
        hooks.sendToMember = [](const messages::member &, const messages::work_envelope &) {};
        hooks.sendToPeer = [this](const std::string &peer,
                                  const messages::work_envelope &envelope) {
            if (envelope.has_welcome() && !envelope.welcome().leader().empty()) {
                notifiedPeers.push_back(peer);
            }
            if (envelope.has_admission()) {
                admissions.emplace_back(peer, envelope.admission());
                return;
            }
            if (envelope.has_carried()) {
                const auto &orders = envelope.carried().orders();
                relayedOrders.insert(relayedOrders.end(), orders.begin(), orders.end());
                return;
            }
            answers[envelope.exchange()] = envelope.answer();
            answeredPeers[envelope.exchange()] = peer;
        };
        hooks.callTarget = [this](const target_order &order) { orders.push_back(order); };
        hooks.controllerAddresses = [] { return std::vector<std::string> {}; };
        replication_settings replication;
        controller = std::make_unique<work_controller>(settings, replication, stored, 3, *store,
                                                       metrics, hooks, now - milliseconds {3'000});
        if (isGreetedBeforeLeading) {
            messages::work_envelope envelope;
            envelope.mutable_hello()->set_asks_admission(true);
            controller->handleEnvelope("gateway-1", envelope, now, 1'000);
        }
        runTurn();
        runTurn();
    }

    void runTurn()
    {
        controller->tick(now);
        REQUIRE(!controller->flush(now, 1'000));
    }

    messages::work_answer sendRequest(const messages::work_request &request)
    {
        messages::work_envelope envelope;
        envelope.set_exchange(++lastExchange);
        *envelope.mutable_request() = request;
        controller->handleEnvelope("gateway-1", envelope, now, 1'000);
        runTurn();
        return answers[lastExchange];
    }

    messages::work_answer configure(std::uint64_t version)
    {
        work_fixture content;
        messages::work_request request;
        *request.mutable_configure() = content.state.configuration;
        request.mutable_configure()->set_version(version);
        request.mutable_configure()->set_document("document " + std::to_string(version));
        return sendRequest(request);
    }

    void configureQueues(std::uint64_t version, const std::vector<messages::work_queue> &queues)
    {
        work_fixture content;
        messages::work_request request;
        *request.mutable_configure() = content.state.configuration;
        request.mutable_configure()->set_version(version);
        request.mutable_configure()->mutable_queues()->Assign(queues.begin(), queues.end());
        REQUIRE(sendRequest(request).kind() == messages::ANSWER_OK);
    }

    /** @param teams  name and key of each */
    void configureTeams(std::uint64_t version,
                        const std::vector<std::pair<std::string, std::string>> &teams)
    {
        work_fixture content;
        messages::work_request request;
        *request.mutable_configure() = content.state.configuration;
        request.mutable_configure()->set_version(version);
        request.mutable_configure()->clear_teams();
        for (const auto &[name, key] : teams) {
            auto *team = request.mutable_configure()->add_teams();
            team->set_name(name);
            team->add_keys(key);
        }
        REQUIRE(sendRequest(request).kind() == messages::ANSWER_OK);
    }

    /** Configures a second team, with the key "key-of-others". */
    void configureTwoTeams(std::uint64_t version)
    {
        work_fixture content;
        messages::work_request request;
        *request.mutable_configure() = content.state.configuration;
        request.mutable_configure()->set_version(version);
        auto *team = request.mutable_configure()->add_teams();
        team->set_name("others");
        team->add_keys("key-of-others");
        REQUIRE(sendRequest(request).kind() == messages::ANSWER_OK);
    }

    messages::work_answer callJob(messages::job_call_kind kind, const std::string &path = jobPath,
                                  const std::string &key = "key-of-desk", int tasks = 1)
    {
        return sendRequest(jobRequest(kind, path, key, tasks));
    }

    static messages::work_request jobRequest(messages::job_call_kind kind,
                                             const std::string &path = jobPath,
                                             const std::string &key = "key-of-desk", int tasks = 1)
    {
        messages::work_request request;
        auto *call = request.mutable_job();
        call->set_kind(kind);
        call->set_host("cell.example");
        call->set_path(path);
        call->set_key(key);
        if (kind == messages::JOB_SUBMIT && tasks > 0) {
            *call->mutable_job()->add_steps() = work_fixture::step(tasks);
        }
        return request;
    }
};

} // namespace

TEST_CASE("requests are rejected before the first configuration", "[controller]")
{
    controller_fixture fixture;
    REQUIRE(fixture.controller->isLeading());
    CHECK(fixture.callJob(messages::JOB_SUBMIT).kind() == messages::ANSWER_NOT_NOW);
    messages::work_request read;
    read.set_read_configuration(true);
    CHECK(fixture.sendRequest(read).kind() == messages::ANSWER_NOT_NOW);
}

TEST_CASE("the first configuration is rejected until enough controllers have joined",
          "[controller]")
{
    controller_fixture fixture {1};
    CHECK(fixture.configure(3).kind() == messages::ANSWER_NOT_NOW);
}

TEST_CASE("the newest configuration wins, older ones are acknowledged and invalid ones rejected",
          "[controller]")
{
    controller_fixture fixture;
    CHECK(fixture.configure(5).kind() == messages::ANSWER_OK);
    CHECK(fixture.configure(5).kind() == messages::ANSWER_OK);
    CHECK(fixture.configure(4).kind() == messages::ANSWER_OK);
    messages::work_request read;
    read.set_read_configuration(true);
    CHECK(fixture.sendRequest(read).document() == "document 5");
    messages::work_request invalid;
    invalid.mutable_configure()->set_version(9);
    invalid.mutable_configure()->add_queues()->set_service("nobody");
    CHECK(fixture.sendRequest(invalid).kind() == messages::ANSWER_MALFORMED);
    CHECK(fixture.sendRequest(read).document() == "document 5");
}

TEST_CASE("a job is submitted, queried and cancelled", "[controller]")
{
    controller_fixture fixture;
    fixture.configure(1);
    CHECK(fixture.callJob(messages::JOB_STATE).kind() == messages::ANSWER_NO_JOB);
    CHECK(fixture.callJob(messages::JOB_SUBMIT).kind() == messages::ANSWER_OK);
    // A repeated submission.
    CHECK(fixture.callJob(messages::JOB_SUBMIT).kind() == messages::ANSWER_OK);
    CHECK(fixture.controller->work().jobs.size() == 1);
    CHECK(fixture.callJob(messages::JOB_STATE).name() == "queued");
    CHECK(fixture.callJob(messages::JOB_STATE, "/quotes/").number() == 1);
    CHECK(fixture.callJob(messages::JOB_CANCEL).kind() == messages::ANSWER_OK);
    CHECK(fixture.callJob(messages::JOB_STATE).name() == "cancelled");
    CHECK(fixture.callJob(messages::JOB_STATE, "/quotes/").number() == 0);
    CHECK(fixture.callJob(messages::JOB_CANCEL, "/quotes/ffffffffffffffff").kind()
          == messages::ANSWER_NO_JOB);
}

// Guards against a team that ends the work of another: while anything was on its way to the log, a
// job was cancelled for whoever knew its id.
TEST_CASE("a job is cancelled only for its own team, also while its submission is being committed",
          "[controller]")
{
    controller_fixture fixture;
    fixture.configureTwoTeams(1);
    const auto send = [&](const messages::work_request &request) {
        messages::work_envelope envelope;
        envelope.set_exchange(++fixture.lastExchange);
        *envelope.mutable_request() = request;
        fixture.controller->handleEnvelope("gateway-1", envelope, fixture.now, 1'000);
        return fixture.lastExchange;
    };
    const auto submission = send(fixture.jobRequest(messages::JOB_SUBMIT));
    const auto foreign = send(fixture.jobRequest(messages::JOB_CANCEL, jobPath, "key-of-others"));
    fixture.runTurn();
    CHECK(fixture.answers[submission].kind() == messages::ANSWER_OK);
    CHECK(fixture.answers[foreign].kind() == messages::ANSWER_NO_JOB);
    CHECK(fixture.callJob(messages::JOB_STATE).name() == "queued");
    const auto another = "/quotes/5c0e7a21d94b36f9";
    send(fixture.jobRequest(messages::JOB_SUBMIT, another));
    const auto own = send(fixture.jobRequest(messages::JOB_CANCEL, another));
    fixture.runTurn();
    CHECK(fixture.answers[own].kind() == messages::ANSWER_OK);
    CHECK(fixture.callJob(messages::JOB_STATE, another).name() == "cancelled");
}

// Guards against work that its caller has cancelled: a submission that an entry host held back was
// accepted after the cancel had been answered with "no such job".
TEST_CASE("a submission that arrives after the job was cancelled is refused and never runs",
          "[controller]")
{
    controller_fixture fixture;
    fixture.configureTwoTeams(1);
    REQUIRE(fixture.callJob(messages::JOB_CANCEL).kind() == messages::ANSWER_NO_JOB);
    CHECK(fixture.callJob(messages::JOB_SUBMIT).kind() == messages::ANSWER_CONFLICT);
    CHECK(fixture.callJob(messages::JOB_STATE).kind() == messages::ANSWER_NO_JOB);
    CHECK(fixture.callJob(messages::JOB_STATE, "/quotes/").number() == 0);
    CHECK(fixture.callJob(messages::JOB_CANCEL).kind() == messages::ANSWER_NO_JOB);
    fixture.restart();
    CHECK(fixture.callJob(messages::JOB_SUBMIT).kind() == messages::ANSWER_CONFLICT);
    CHECK(fixture.controller->work().jobs.empty());
}

TEST_CASE("a cancel and a submission that are both on their way to the log are applied in order",
          "[controller]")
{
    controller_fixture fixture;
    fixture.configure(1);
    const auto send = [&](messages::job_call_kind kind) {
        messages::work_envelope envelope;
        envelope.set_exchange(++fixture.lastExchange);
        *envelope.mutable_request() = fixture.jobRequest(kind);
        fixture.controller->handleEnvelope("gateway-1", envelope, fixture.now, 1'000);
        return fixture.lastExchange;
    };
    const auto cancel = send(messages::JOB_CANCEL);
    const auto submission = send(messages::JOB_SUBMIT);
    const auto copy = send(messages::JOB_SUBMIT);
    fixture.runTurn();
    CHECK(fixture.answers[cancel].kind() == messages::ANSWER_NO_JOB);
    CHECK(fixture.answers[submission].kind() == messages::ANSWER_CONFLICT);
    CHECK(fixture.answers[copy].kind() == messages::ANSWER_CONFLICT);
    CHECK(fixture.controller->work().jobs.empty());
}

// Guards against strangers who keep a team's jobs out by cancelling their ids beforehand.
TEST_CASE("a cancel by another team or without a key keeps no job out", "[controller]")
{
    controller_fixture fixture;
    fixture.configureTwoTeams(1);
    CHECK(fixture.callJob(messages::JOB_CANCEL, jobPath, "key-of-others").kind()
          == messages::ANSWER_NO_JOB);
    CHECK(fixture.callJob(messages::JOB_CANCEL, jobPath, "").kind()
          == messages::ANSWER_UNAUTHORIZED);
    CHECK(fixture.callJob(messages::JOB_SUBMIT).kind() == messages::ANSWER_OK);
    // Neither is an id remembered that no job can have.
    CHECK(fixture.callJob(messages::JOB_CANCEL, "/quotes/no-id").kind() == messages::ANSWER_NO_JOB);
    CHECK(fixture.controller->work().earlyCancels.size() == 1);
}

TEST_CASE("an early cancel is forgotten after as long as a cancelled job, also by a new leader",
          "[controller]")
{
    controller_fixture fixture;
    fixture.configure(1);
    fixture.callJob(messages::JOB_CANCEL);
    const auto retention = dispatch_settings {}.jobRetention;
    const auto advance = [&](milliseconds time) {
        for (const auto end = fixture.now + time; fixture.now < end;) {
            fixture.now = fixture.now + milliseconds {1'000};
            fixture.runTurn();
        }
    };
    advance(retention - milliseconds {2'000});
    fixture.restart(); // it does not know for how long the cancel has been remembered
    advance(retention - milliseconds {2'000});
    CHECK(fixture.controller->work().earlyCancels.size() == 1);
    advance({15'000});
    CHECK(fixture.controller->work().earlyCancels.empty());
    CHECK(fixture.callJob(messages::JOB_SUBMIT).kind() == messages::ANSWER_OK);
}

// Guards against accepted work that nobody can find or stop any more: the queue of a job was known
// by its name alone.
TEST_CASE("jobs stay known, counted and cancellable when their queue gets another name",
          "[controller]")
{
    controller_fixture fixture;
    fixture.configure(1);
    REQUIRE(fixture.callJob(messages::JOB_SUBMIT).kind() == messages::ANSWER_OK);
    fixture.configureQueues(2, {queueAt("renamed", "/quotes/")});
    CHECK(fixture.callJob(messages::JOB_STATE).name() == "queued");
    CHECK(fixture.callJob(messages::JOB_STATE, "/quotes/").number() == 1);
    CHECK(fixture.callJob(messages::JOB_SUBMIT).kind() == messages::ANSWER_OK);
    CHECK(fixture.controller->work().jobs.size() == 1);
    CHECK(fixture.callJob(messages::JOB_CANCEL).kind() == messages::ANSWER_OK);
    CHECK(fixture.callJob(messages::JOB_STATE).name() == "cancelled");
    CHECK(fixture.callJob(messages::JOB_STATE, "/quotes/").number() == 0);
}

// Guards against strangers who see and cancel a team's jobs because an open queue has the name that
// the team's queue had.
TEST_CASE("a queue that gets the name of another one opens the jobs of that one to nobody",
          "[controller]")
{
    controller_fixture fixture;
    fixture.configure(1);
    REQUIRE(fixture.callJob(messages::JOB_SUBMIT).kind() == messages::ANSWER_OK);
    const std::string elsewhere = "/elsewhere/5c0e7a21d94b36f8";
    SECTION("while the other has a new name")
    {
        fixture.configureQueues(
            2, {queueAt("renamed", "/quotes/"), queueAt("quotes", "/elsewhere/", true)});
        CHECK(fixture.callJob(messages::JOB_STATE).name() == "queued");
    }
    SECTION("while the other is gone")
    {
        fixture.configureQueues(2, {queueAt("quotes", "/elsewhere/", true)});
        CHECK(fixture.callJob(messages::JOB_STATE, elsewhere).name() == "queued"); // its own team
    }
    CHECK(fixture.callJob(messages::JOB_STATE, elsewhere, "").kind() == messages::ANSWER_NO_JOB);
    CHECK(fixture.callJob(messages::JOB_CANCEL, elsewhere, "").kind() == messages::ANSWER_NO_JOB);
    CHECK(fixture.callJob(messages::JOB_SUBMIT, elsewhere, "").kind() == messages::ANSWER_CONFLICT);
    CHECK(fixture.controller->work().jobs.begin()->second.status == job_status::Queued);
}

TEST_CASE("two queues that exchange their names keep their jobs", "[controller]")
{
    controller_fixture fixture;
    const std::string other = "/batch/5c0e7a21d94b36f9";
    fixture.configureQueues(1, {queueAt("quotes", "/quotes/"), queueAt("batch", "/batch/")});
    REQUIRE(fixture.callJob(messages::JOB_SUBMIT).kind() == messages::ANSWER_OK);
    REQUIRE(fixture.callJob(messages::JOB_SUBMIT, other).kind() == messages::ANSWER_OK);
    fixture.configureQueues(2, {queueAt("batch", "/quotes/"), queueAt("quotes", "/batch/")});
    CHECK(fixture.callJob(messages::JOB_STATE).name() == "queued");
    CHECK(fixture.callJob(messages::JOB_STATE, other).name() == "queued");
    CHECK(fixture.callJob(messages::JOB_STATE, "/batch/5c0e7a21d94b36f8").kind()
          == messages::ANSWER_NO_JOB);
    CHECK(fixture.callJob(messages::JOB_CANCEL, other).kind() == messages::ANSWER_OK);
    CHECK(fixture.callJob(messages::JOB_STATE).name() == "queued");
}

TEST_CASE("a queue that leaves and comes back under another name has its jobs again",
          "[controller]")
{
    controller_fixture fixture;
    fixture.configure(1);
    REQUIRE(fixture.callJob(messages::JOB_SUBMIT).kind() == messages::ANSWER_OK);
    fixture.configureQueues(2, {queueAt("batch", "/batch/")});
    CHECK(fixture.callJob(messages::JOB_STATE).kind() == messages::ANSWER_NO_QUEUE);
    fixture.configureQueues(3, {queueAt("batch", "/batch/"), queueAt("again", "/quotes/")});
    CHECK(fixture.callJob(messages::JOB_STATE).name() == "queued");
}

// Guards against callers who lose their jobs when their queue begins to require a key.
TEST_CASE("jobs of an open queue stay known when it requires a key, and the other way round",
          "[controller]")
{
    controller_fixture fixture;
    const bool isOpenAtFirst = GENERATE(true, false);
    fixture.configureQueues(1, {queueAt("quotes", "/quotes/", isOpenAtFirst)});
    const std::string firstKey = isOpenAtFirst ? "" : "key-of-desk";
    const std::string laterKey = isOpenAtFirst ? "key-of-desk" : "";
    REQUIRE(fixture.callJob(messages::JOB_SUBMIT, jobPath, firstKey).kind() == messages::ANSWER_OK);
    fixture.configureQueues(2, {queueAt("quotes", "/quotes/", !isOpenAtFirst)});
    CHECK(fixture.callJob(messages::JOB_STATE, jobPath, laterKey).name() == "queued");
    CHECK(fixture.callJob(messages::JOB_CANCEL, jobPath, laterKey).kind() == messages::ANSWER_OK);
}

// Guards against a submission that is answered as accepted although its job will never run.
TEST_CASE("a submission under the id of another team's job is refused", "[controller]")
{
    controller_fixture fixture;
    fixture.configureTwoTeams(1);
    const auto foreign = fixture.jobRequest(messages::JOB_SUBMIT, jobPath, "key-of-others");
    messages::work_envelope envelope;
    envelope.set_exchange(++fixture.lastExchange);
    *envelope.mutable_request() = fixture.jobRequest(messages::JOB_SUBMIT);
    fixture.controller->handleEnvelope("gateway-1", envelope, fixture.now, 1'000);
    // Once while the first one is on its way to the log, once when it is accepted.
    CHECK(fixture.sendRequest(foreign).kind() == messages::ANSWER_CONFLICT);
    CHECK(fixture.sendRequest(foreign).kind() == messages::ANSWER_CONFLICT);
    CHECK(fixture.callJob(messages::JOB_SUBMIT).kind() == messages::ANSWER_OK);
    CHECK(fixture.callJob(messages::JOB_STATE).name() == "queued");
}

// Guards against callers who lose their jobs because the operator has renamed their team.
TEST_CASE("the jobs of a team stay with its keys when it gets another name", "[controller]")
{
    controller_fixture fixture;
    fixture.configureTwoTeams(1);
    REQUIRE(fixture.callJob(messages::JOB_SUBMIT).kind() == messages::ANSWER_OK);
    fixture.configureTeams(2, {{"renamed", "key-of-desk"}, {"desk", "key-of-others"}});
    CHECK(fixture.callJob(messages::JOB_STATE).name() == "queued");
    CHECK(fixture.callJob(messages::JOB_STATE, jobPath, "key-of-others").kind()
          == messages::ANSWER_NO_JOB);
    CHECK(fixture.callJob(messages::JOB_CANCEL, jobPath, "key-of-others").kind()
          == messages::ANSWER_NO_JOB);
    CHECK(fixture.callJob(messages::JOB_CANCEL).kind() == messages::ANSWER_OK);
}

// Guards against jobs that nobody can see or stop any more after their team was merged or divided.
TEST_CASE("the jobs of a team stay with its keys through mergers, divisions and moves of keys",
          "[controller]")
{
    controller_fixture fixture;
    const auto configure = [&](std::uint64_t version,
                               const std::map<std::string, std::vector<std::string>> &teams) {
        work_fixture content;
        messages::work_request request;
        *request.mutable_configure() = content.state.configuration;
        request.mutable_configure()->set_version(version);
        request.mutable_configure()->clear_teams();
        for (const auto &[name, keys] : teams) {
            auto *team = request.mutable_configure()->add_teams();
            team->set_name(name);
            team->mutable_keys()->Assign(keys.begin(), keys.end());
        }
        REQUIRE(fixture.sendRequest(request).kind() == messages::ANSWER_OK);
    };
    const auto isKnownTo = [&](const std::string &key) {
        return fixture.callJob(messages::JOB_STATE, jobPath, key).kind() == messages::ANSWER_STATE;
    };
    const auto owner = [&] {
        return fixture.controller->work().jobs.at("5c0e7a21d94b36f8").job.team();
    };
    configure(1, {{"a", {"a1", "a2"}}, {"b", {"b1"}}});
    REQUIRE(fixture.callJob(messages::JOB_SUBMIT, jobPath, "a1").kind() == messages::ANSWER_OK);
    SECTION("merged with another, under its name or a new one, and the merger undone")
    {
        configure(2, {{"b", {"a1", "a2", "b1"}}});
        CHECK((isKnownTo("a1") && isKnownTo("a2") && isKnownTo("b1")));
        configure(3, {{"c", {"a1", "a2", "b1"}}});
        CHECK((isKnownTo("a1") && isKnownTo("b1")));
        configure(4, {{"a", {"a1", "a2"}}, {"b", {"b1"}}});
        CHECK((isKnownTo("a1") && isKnownTo("a2") && !isKnownTo("b1")));
        CHECK(owner() == "a");
    }
    SECTION("divided among two new ones")
    {
        configure(2, {{"x", {"a1"}}, {"y", {"a2"}}, {"b", {"b1"}}});
        CHECK((isKnownTo("a1") && isKnownTo("a2") && !isKnownTo("b1")));
        CHECK(owner() == "x");
    }
    SECTION("one key moves to another team, and is withdrawn there")
    {
        configure(2, {{"a", {"a2"}}, {"b", {"a1", "b1"}}});
        CHECK((isKnownTo("a1") && isKnownTo("a2")));
        CHECK(owner() == "b");
        configure(3, {{"a", {"a2"}}, {"b", {"b1"}}});
        CHECK_FALSE(isKnownTo("a1"));
        CHECK(isKnownTo("a2"));
    }
    SECTION("left, and its name given to a new team")
    {
        configure(2, {{"b", {"b1"}}});
        configure(3, {{"b", {"b1"}}, {"a", {"a9"}}});
        CHECK_FALSE((isKnownTo("a9") || isKnownTo("b1")));
        configure(4, {{"c", {"a2"}}, {"a", {"a9"}}});
        CHECK((isKnownTo("a2") && !isKnownTo("a9")));
    }
    SECTION("all keys exchanged under its name")
    {
        configure(2, {{"a", {"a9"}}, {"b", {"b1"}}});
        CHECK((isKnownTo("a9") && !isKnownTo("b1")));
    }
    CHECK(fixture.controller->work().jobs.size() == 1);
}

// Guards against jobs that are accepted under a team that has another name by the time at which
// they are applied.
TEST_CASE("a submission in the same turn as a configuration gets the team that its key has then",
          "[controller]")
{
    controller_fixture fixture;
    fixture.configureTwoTeams(1);
    const auto send = [&](const messages::work_request &request) {
        messages::work_envelope envelope;
        envelope.set_exchange(++fixture.lastExchange);
        *envelope.mutable_request() = request;
        fixture.controller->handleEnvelope("gateway-1", envelope, fixture.now, 1'000);
        return fixture.lastExchange;
    };
    work_fixture content;
    messages::work_request renaming;
    *renaming.mutable_configure() = content.state.configuration;
    renaming.mutable_configure()->set_version(2);
    renaming.mutable_configure()->mutable_teams(0)->set_name("renamed");
    send(renaming);
    const auto accepted = send(fixture.jobRequest(messages::JOB_SUBMIT));
    const auto withdrawn =
        send(fixture.jobRequest(messages::JOB_SUBMIT, "/quotes/5c0e7a21d94b36f9", "key-of-others"));
    fixture.runTurn();
    CHECK(fixture.answers[accepted].kind() == messages::ANSWER_OK);
    CHECK(fixture.callJob(messages::JOB_STATE).name() == "queued");
    CHECK(fixture.answers[withdrawn].kind() == messages::ANSWER_UNAUTHORIZED);
    CHECK(fixture.controller->work().jobs.size() == 1);
}

TEST_CASE("a team that gets the name of one that left earlier does not get its jobs",
          "[controller]")
{
    controller_fixture fixture;
    fixture.configureTwoTeams(1);
    REQUIRE(fixture.callJob(messages::JOB_SUBMIT).kind() == messages::ANSWER_OK);
    fixture.configureTeams(2, {{"others", "key-of-others"}});
    fixture.configureTeams(3, {{"desk", "key-of-others"}});
    CHECK(fixture.callJob(messages::JOB_STATE, jobPath, "key-of-others").kind()
          == messages::ANSWER_NO_JOB);
    CHECK(fixture.callJob(messages::JOB_CANCEL, jobPath, "key-of-others").kind()
          == messages::ANSWER_NO_JOB);
}

TEST_CASE("invalid requests are rejected with the matching kind of answer", "[controller]")
{
    controller_fixture fixture;
    fixture.configure(1);
    CHECK(fixture.callJob(messages::JOB_SUBMIT, jobPath, "stolen").kind()
          == messages::ANSWER_UNAUTHORIZED);
    CHECK(fixture.callJob(messages::JOB_SUBMIT, "/nowhere/5c0e7a21d94b36f8").kind()
          == messages::ANSWER_NO_QUEUE);
    CHECK(fixture.callJob(messages::JOB_SUBMIT, "/quotes/short").kind()
          == messages::ANSWER_MALFORMED);
    CHECK(fixture.callJob(messages::JOB_SUBMIT, jobPath, "key-of-desk", 0).kind()
          == messages::ANSWER_MALFORMED);
    CHECK(fixture.controller->work().jobs.empty());
}

// Guards against an entry that is registered, or ends another target, on its own word alone.
TEST_CASE("a report that must not be used is answered as malformed and changes nothing",
          "[controller]")
{
    controller_fixture fixture;
    fixture.configure(1);
    messages::work_request report;
    *report.mutable_report() = work_fixture::targetRegistration("t1", 1);
    REQUIRE(fixture.sendRequest(report).kind() == messages::ANSWER_OK);
    auto odd = report;
    odd.mutable_report()->set_born(maxWallMs);
    CHECK(fixture.sendRequest(odd).kind() == messages::ANSWER_MALFORMED);
    odd = report;
    odd.mutable_report()->set_id("t2"); // at the address of the first
    odd.mutable_report()->set_born(2);
    odd.mutable_report()->set_service("nobody");
    CHECK(fixture.sendRequest(odd).kind() == messages::ANSWER_MALFORMED);
    const auto &targets = fixture.controller->work().targets;
    REQUIRE(targets.size() == 1);
    CHECK_FALSE(targets.at("t1").hasEnded);
    CHECK(targets.at("t1").registration.born() == 1);
    CHECK(fixture.metrics.text().find("filbert_work_refused_reports_total 2") != std::string::npos);
}

TEST_CASE("a job is placed on a reporting target, and ordered to start after the commit",
          "[controller]")
{
    controller_fixture fixture;
    fixture.configure(1);
    messages::work_request report;
    *report.mutable_report() = work_fixture::targetRegistration("t1", 1);
    report.mutable_report()->set_sequence(1);
    report.mutable_report()->set_clock_ms(500);
    CHECK(fixture.sendRequest(report).kind() == messages::ANSWER_OK);
    report.mutable_report()->set_sequence(2);
    CHECK(fixture.sendRequest(report).kind() == messages::ANSWER_OK);
    fixture.callJob(messages::JOB_SUBMIT);
    fixture.runTurn();
    const auto start =
        std::find_if(fixture.orders.begin(), fixture.orders.end(),
                     [](const auto &order) { return order.kind == order_kind::Start; });
    REQUIRE(start != fixture.orders.end());
    CHECK(start->target == "t1");
    CHECK(start->spec.empty()); // the job was submitted without one
    // The target may reject the start: only its answer shows that the job has begun.
    CHECK(fixture.callJob(messages::JOB_STATE).name() == "queued");
    CHECK(fixture.callJob(messages::JOB_STATE, "/quotes/").number() == 1);
    const auto order = *start;
    order_answer answer;
    answer.result = order_result::Done;
    answer.clockMs = 500;
    fixture.controller->handleOrderAnswer(order, answer, fixture.now);
    CHECK(fixture.callJob(messages::JOB_STATE).name() == "active");
    fixture.now = fixture.now + dispatch_settings {}.pendingCountPeriod;
    CHECK(fixture.callJob(messages::JOB_STATE, "/quotes/").number() == 0);
}

TEST_CASE("a new leader sends admission requests to processes that it heard from as a follower",
          "[controller]")
{
    controller_fixture fixture {0, true};
    messages::work_request request;
    work_fixture content;
    *request.mutable_configure() = content.state.configuration;
    auto *queue = request.mutable_configure()->mutable_queues(0);
    queue->mutable_admission()->set_decide_ms(20);
    queue->mutable_admission()->set_ticket_ms(1'500);
    request.mutable_configure()->set_version(3);
    REQUIRE(fixture.sendRequest(request).kind() == messages::ANSWER_OK);
    messages::work_request report;
    *report.mutable_report() = work_fixture::targetRegistration("t1", 1);
    report.mutable_report()->set_clock_ms(1);
    report.mutable_report()->set_sequence(1);
    REQUIRE(fixture.sendRequest(report).kind() == messages::ANSWER_OK);
    report.mutable_report()->set_sequence(2);
    report.mutable_report()->set_clock_ms(2);
    fixture.sendRequest(report);
    REQUIRE(fixture.callJob(messages::JOB_SUBMIT).kind() == messages::ANSWER_OK);
    fixture.runTurn();
    fixture.runTurn();
    REQUIRE(fixture.admissions.size() == 1);
    CHECK(fixture.admissions[0].first == "gateway-1");
}

TEST_CASE("a new leader announces itself at once to processes that sent it a hello before",
          "[controller]")
{
    CHECK(controller_fixture {}.notifiedPeers.empty());
    const controller_fixture fixture {0, true};
    REQUIRE(fixture.notifiedPeers.size() == 1);
    CHECK(fixture.notifiedPeers[0] == "gateway-1");
}

// Guards against processes that are counted twice and answers that get lost: what is left on a
// connection that was replaced comes under a name that the sender does not have.
TEST_CASE("a message on a replaced connection is its sender's, and its hello is outdated",
          "[controller]")
{
    controller_fixture fixture;
    REQUIRE(fixture.configure(1).kind() == messages::ANSWER_OK);
    fixture.notifiedPeers.clear();
    const std::string replaced {"\0abcd", 5};
    messages::work_envelope hello;
    hello.set_from("gateway-1");
    hello.mutable_hello()->set_name("gateway-1");
    hello.mutable_hello()->set_asks_admission(true);
    fixture.controller->handleEnvelope(replaced, hello, fixture.now, 1'000);
    CHECK(fixture.controller->leadersState()->callers.empty());
    CHECK(fixture.notifiedPeers.empty());
    fixture.controller->handleEnvelope("gateway-1", hello, fixture.now, 1'000);
    CHECK(fixture.controller->leadersState()->callers.size() == 1);
    CHECK(fixture.notifiedPeers == std::vector<std::string> {"gateway-1"});
    messages::work_envelope request;
    request.set_from("gateway-1");
    request.set_exchange(99);
    *request.mutable_request() = controller_fixture::jobRequest(messages::JOB_SUBMIT);
    fixture.controller->handleEnvelope(replaced, request, fixture.now, 1'000);
    fixture.runTurn();
    CHECK(fixture.answers.at(99).kind() == messages::ANSWER_OK);
    CHECK(fixture.answeredPeers.at(99) == "gateway-1");
}

// Guards against orders that count as lost with all others of their relay, although it has answered
// them: the answer came on a connection that was replaced.
TEST_CASE("an answer on a replaced connection ends the order of its relay", "[controller]")
{
    controller_fixture fixture {0, false, {}, 0};
    REQUIRE(fixture.configure(1).kind() == messages::ANSWER_OK);
    messages::work_envelope hello;
    hello.set_from("gateway-1");
    hello.mutable_hello()->set_name("gateway-1");
    hello.mutable_hello()->set_carries_orders(true);
    fixture.controller->handleEnvelope("gateway-1", hello, fixture.now, 1'000);
    messages::work_request report;
    *report.mutable_report() = work_fixture::targetRegistration("t1", 1);
    report.mutable_report()->set_clock_ms(1);
    report.mutable_report()->set_sequence(1);
    REQUIRE(fixture.sendRequest(report).kind() == messages::ANSWER_OK);
    fixture.runTurn();
    fixture.runTurn();
    REQUIRE(fixture.relayedOrders.size() == 1); // the first poll
    messages::work_envelope answers;
    answers.set_from("gateway-1");
    order_answer polled;
    polled.result = order_result::Done;
    polled.clockMs = 2;
    auto *answer = answers.mutable_carried_answers()->add_answers();
    *answer = toAnswerMessage(polled);
    answer->set_id(fixture.relayedOrders[0].id());
    REQUIRE(fixture.controller->leadersState()->targets.at("t1").isInventoryStale);
    fixture.controller->handleEnvelope({"\0abcd", 5}, answers, fixture.now, 1'000);
    CHECK_FALSE(fixture.controller->leadersState()->targets.at("t1").isInventoryStale);
}

TEST_CASE("a stopping controller rejects requests", "[controller]")
{
    controller_fixture fixture;
    fixture.configure(1);
    fixture.controller->prepareToStop(fixture.now);
    CHECK(fixture.callJob(messages::JOB_SUBMIT).kind() == messages::ANSWER_NO_LEADER);
}

TEST_CASE("metrics count applied commands and record commit times", "[controller]")
{
    controller_fixture fixture;
    fixture.configure(1);
    fixture.callJob(messages::JOB_SUBMIT);
    const auto text = fixture.metrics.text();
    CHECK(text.find("filbert_work_commands_total{kind=\"accept\"} 1") != std::string::npos);
    CHECK(text.find("filbert_work_commit_seconds_count") != std::string::npos);
}

namespace {

messages::work_request reportOf(const std::string &target)
{
    messages::work_request request;
    *request.mutable_report() = work_fixture::targetRegistration(target, 1);
    request.mutable_report()->set_sequence(1);
    request.mutable_report()->set_clock_ms(500);
    return request;
}

/** @return a log entry's payload with one report, as the leader writes it */
std::string payloadOf(const std::string &target)
{
    messages::work_batch batch;
    *batch.add_commands()->mutable_target() = reportOf(target).report();
    return batch.SerializeAsString();
}

} // namespace

// Guards against a batch that ends each controller that applies it, now and at each restart.
TEST_CASE("a command that cannot be read back is refused alone, the others of its turn go through",
          "[controller]")
{
    controller_fixture fixture;
    fixture.configure(1);
    messages::work_envelope odd;
    odd.set_exchange(++fixture.lastExchange);
    *odd.mutable_request() = reportOf("i-\xff\xfe");
    fixture.controller->handleEnvelope("gateway-1", odd, fixture.now, 1'000);
    CHECK(fixture.sendRequest(reportOf("t1")).kind() == messages::ANSWER_OK);
    CHECK(fixture.answers[odd.exchange()].kind() == messages::ANSWER_MALFORMED);
    CHECK(fixture.controller->work().targets.size() == 1);
    CHECK(fixture.controller->work().targets.contains("t1"));
    CHECK(fixture.metrics.text().find("filbert_work_unreadable_total{what=\"command\"} 1")
          != std::string::npos);
    CHECK(fixture.sendRequest(reportOf("i-\xc3(")).kind() == messages::ANSWER_MALFORMED);
    CHECK(fixture.configure(2).kind() == messages::ANSWER_OK);
    fixture.restart();
    CHECK(fixture.controller->isLeading());
    CHECK(fixture.controller->work().configuration.version() == 2);
}

// Guards against a committed entry that ends every controller at each start.
TEST_CASE("a committed entry that cannot be parsed is skipped, also after a restart and a snapshot",
          "[controller]")
{
    controller_fixture fixture {
        0, false, {payloadOf("t1"), payloadOf("i-\xff\xfe"), "\xff\xff\xff", payloadOf("t2")}};
    for (int i = 0; i < 2; ++i) {
        CHECK(fixture.controller->isLeading());
        CHECK(fixture.controller->work().targets.size() == 2);
        fixture.restart();
    }
    CHECK(fixture.metrics.text().find("filbert_work_unreadable_total{what=\"entry\"} 6")
          != std::string::npos);
    CHECK(fixture.configure(7).kind() == messages::ANSWER_OK);
    work_state restored;
    REQUIRE_FALSE(readWorkState(writeWorkState(fixture.controller->work()), &restored));
    CHECK(restored.targets.size() == 2);
    CHECK(restored.configuration.version() == 7);
}

// Guards against two controllers that disagree on what an odd entry did.
TEST_CASE("a controller that skips an entry has the same state as one that reads a snapshot after "
          "it",
          "[controller]")
{
    const controller_fixture replayed {
        0, false, {payloadOf("t1"), payloadOf("i-\xff"), payloadOf("t2")}};
    const controller_fixture plain {0, false, {payloadOf("t1"), payloadOf("t2")}};
    CHECK(writeWorkState(replayed.controller->work()) == writeWorkState(plain.controller->work()));
}

// Guards against a job that runs although its caller was told that it was not accepted.
TEST_CASE("an overloaded leader refuses new jobs, but none that it may have accepted",
          "[controller]")
{
    controller_fixture fixture;
    REQUIRE(fixture.configure(1).kind() == messages::ANSWER_OK);
    REQUIRE(fixture.callJob(messages::JOB_SUBMIT).kind() == messages::ANSWER_OK);
    for (int turn = 0; turn < 200; ++turn) {
        fixture.now = fixture.now + milliseconds {100};
        fixture.runTurn();
    }
    int refused = 0;
    for (int i = 100; i < 140; ++i) {
        CHECK(fixture.callJob(messages::JOB_SUBMIT).kind() == messages::ANSWER_OK);
        const auto path = "/quotes/5c0e7a21d94b3" + std::to_string(i);
        messages::work_envelope first;
        first.set_exchange(++fixture.lastExchange);
        *first.mutable_request() = fixture.jobRequest(messages::JOB_SUBMIT, path);
        fixture.controller->handleEnvelope("gateway-1", first, fixture.now, 1'000);
        const bool isRefused = fixture.answers[first.exchange()].kind() == messages::ANSWER_NOT_NOW;
        if (isRefused) {
            ++refused;
            CHECK(fixture.answers[first.exchange()].number() == 1'000);
            fixture.runTurn();
            CHECK(fixture.callJob(messages::JOB_STATE, path).kind() == messages::ANSWER_NO_JOB);
        }
        // Else the first copy is still on its way to the log.
        CHECK(fixture.callJob(messages::JOB_SUBMIT, path).kind() == messages::ANSWER_OK);
        CHECK((isRefused || fixture.answers[first.exchange()].kind() == messages::ANSWER_OK));
    }
    CHECK(refused >= 20);
}

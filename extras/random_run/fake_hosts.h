#pragma once

#include "fake_network.h"

#include "filbert_controller/filbert_controller.h"
#include "filbert_gateway/filbert_gateway.h"
#include "filbert_storage/tests/fake_file_system.h"

#include <deque>
#include <memory>
#include <string>

namespace filbert {

/** A host that runs one controller and can lose power, be paused, or lose its disk. */
class controller_host : public controller_outbox
{
public:
    using send_function = std::function<void(const std::string &to, const std::string &bytes)>;

    controller_host(virtual_time &time, std::string name, send_function sendToPeer)
        : time {time}
        , name {std::move(name)}
        , sendToPeer {std::move(sendToPeer)}
    {
    }

    /** Prepares an empty disk under a new identity. @param isFirst whether the member bootstraps a
        new cell */
    void initialise(bool isFirst)
    {
        log_store fresh {files};
        identity = name + "-" + std::to_string(++incarnation);
        fresh.initialise(identity);
        if (isFirst) {
            stored_state state;
            storage_damage damage;
            fresh.open(&state, &damage);
            messages::member self;
            self.set_identity(identity);
            self.set_name(name);
            self.set_address("tcp://" + name);
            fresh.append(1, "", {makeBootstrapEntry(self)});
        }
    }

    void start()
    {
        files.failSyncAt = 0;
        store = std::make_unique<log_store>(files);
        stored_state state;
        storage_damage damage;
        const auto error = store->open(&state, &damage);
        FILBERT_INVARIANT(!error, "a controller starts again after a power failure");
        controller_settings settings;
        settings.snapshotEntries = 200;
        settings.snapshotChunkRecords = 3;
        replication_settings replication;
        replication.snapshotChunkBytes = 2'000;
        running = std::make_unique<controller>(settings, replication, state, time.random(), *store,
                                               *this, now());
    }

    /** Loses power at the next sync, when the data has been written but is not durable yet. */
    void powerOffAtNextSync() { files.failSyncAt = files.syncs + 1; }

    /** Stops the process. @param keepsDisk whether the durable data survives; otherwise the disk is
        lost */
    void powerOff(bool keepsDisk)
    {
        running.reset();
        store.reset();
        heldMessages.clear();
        isPaused = false;
        if (keepsDisk) {
            files.crash(time.random);
        } else {
            files.wipe();
        }
    }

    void receive(const std::string &from, const std::string &bytes)
    {
        if (isPaused) {
            heldMessages.emplace_back(from, bytes);
            return;
        }
        messages::envelope envelope;
        if (running && envelope.ParseFromString(bytes)) {
            running->handleMessage(from, envelope, now());
            flush();
        }
    }

    void tick()
    {
        if (running && !isPaused) {
            running->tick(now());
            flush();
        }
    }

    /** Ends a pause and handles the messages that arrived meanwhile. */
    void resume()
    {
        isPaused = false;
        for (const auto &[from, bytes] : std::exchange(heldMessages, {})) {
            receive(from, bytes);
        }
    }

    void flush()
    {
        if (running->flush(now(), time.now.ms)) {
            // A failed sync, which is also how power is lost between a write and its sync, ends the
            // process.
            files.failSyncAt = 0;
            powerOff(true);
            time.schedule(static_cast<std::int64_t>(50 + time.randomBelow(3'000)),
                          [this] { start(); });
        }
    }

    void sendToMember(const messages::member &member,
                      const messages::replication_message &message) override
    {
        messages::envelope envelope;
        *envelope.mutable_replication() = message;
        const auto &identityOfPeer = member.identity();
        sendToPeer(identityOfPeer.substr(0, identityOfPeer.find('-')),
                   envelope.SerializeAsString());
    }

    void sendToGateway(const std::string &gateway, const messages::envelope &envelope) override
    {
        sendToPeer(gateway, envelope.SerializeAsString());
    }

    time_point now() const { return clock.read(time.now); }
    bool hasValidLease() const { return running && hasLease(running->view().log, now()); }

    virtual_time &time;
    std::string name;
    std::string identity;
    send_function sendToPeer;
    fake_file_system files;
    std::unique_ptr<log_store> store;
    std::unique_ptr<controller> running;
    std::deque<std::pair<std::string, std::string>> heldMessages; // received while paused
    skewed_clock clock;
    int incarnation = 0;
    bool isPaused = false;
};

/** An entry host that runs one gateway. */
class gateway_host : public controller_transport, public caller_port, public target_port
{
public:
    using send_function = std::function<void(const std::string &to, const std::string &bytes)>;
    using call_function = std::function<void(target_call &&, handler)>;
    using answer_handler = std::function<void(http_response &&)>;

    gateway_host(virtual_time &time, std::string name, send_function sendToController,
                 call_function sendToTarget)
        : time {time}
        , name {std::move(name)}
        , sendToController {std::move(sendToController)}
        , sendToTarget {std::move(sendToTarget)}
    {
    }

    void start(const messages::access_key &bootstrap)
    {
        gateway_settings settings;
        settings.name = name;
        settings.bootstrapOperator = bootstrap;
        metrics = std::make_unique<gateway_metrics>();
        links = std::make_unique<controller_links>(
            name, std::vector<std::string> {"tcp://c0", "tcp://c1", "tcp://c2"}, *this);
        running = std::make_unique<gateway>(settings, *links, *this, *this, *metrics);
        ++incarnation;
    }

    void powerOff()
    {
        running.reset();
        links.reset();
        pendingRequests.clear();
    }

    void receive(const std::string &from, const std::string &bytes)
    {
        messages::envelope envelope;
        if (!running || !envelope.ParseFromString(bytes)) {
            return;
        }
        running->tick(now());
        if (!links->handleAnswer("tcp://" + from, envelope, now())) {
            running->handleControllerMessage(envelope, now());
        }
    }

    /** Passes a caller's request to the gateway. The caller gets no answer if the gateway stops. */
    void request(http_request &&request, answer_handler onAnswer)
    {
        if (!running) {
            return;
        }
        request.id = ++lastRequest;
        pendingRequests[request.id] = std::move(onAnswer);
        running->handleRequest(std::move(request), now());
    }

    void respond(std::uint64_t id, http_response &&answer) override
    {
        auto found = pendingRequests.extract(id);
        FILBERT_INVARIANT(!found.empty(), "a request is not answered twice");
        found.mapped()(std::move(answer));
    }

    bool send(const std::string &address, const messages::envelope &envelope) override
    {
        sendToController(address.substr(address.rfind('/') + 1), envelope.SerializeAsString());
        return true;
    }

    void connect(const std::string & /*address*/) override { }
    void reconnect(const std::string & /*address*/) override { }

    void call(target_call &&out, handler onAnswer) override
    {
        const auto id = out.id;
        auto isEnded = std::make_shared<bool>(false);
        handler once = [this, callIncarnation = incarnation, onAnswer,
                        isEnded](std::error_code error, http_response &&answer) {
            if (running && incarnation == callIncarnation && !std::exchange(*isEnded, true)) {
                running->tick(now());
                onAnswer(error, std::move(answer));
            }
        };
        if (id != 0) {
            cancellableCalls[id] = once;
        }
        sendToTarget(std::move(out), once);
    }

    void cancel(std::uint64_t id) override
    {
        const auto call = cancellableCalls.extract(id);
        if (!call.empty()) {
            call.mapped()(error_kind::TargetLost, {});
        }
    }

    void setGatewayCount(int /*gateways*/) override { }

    time_point now() const { return clock.read(time.now); }

    virtual_time &time;
    std::string name;
    send_function sendToController;
    call_function sendToTarget;
    std::unique_ptr<gateway_metrics> metrics;
    std::unique_ptr<controller_links> links;
    std::unique_ptr<gateway> running;
    std::map<std::uint64_t, answer_handler> pendingRequests;
    std::map<std::uint64_t, handler> cancellableCalls; // calls to targets, including ended ones
    skewed_clock clock;
    std::uint64_t lastRequest = 0;
    int incarnation = 0;
};

} // namespace filbert

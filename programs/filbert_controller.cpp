/** @file filbert-controller: one member of the replicated log, whose leader decides placements. */

#include "filbert_controller/filbert_controller.h"
#include "filbert_controller/controller_metrics.h"
#include "filbert_transport/filbert_transport.h"

#include <algorithm>
#include <gflags/gflags.h>
#include <iostream>
#include <memory>

DEFINE_string(name, "", "name of this controller, used in logs");
DEFINE_string(data_folder, "", "folder for this controller's files");
DEFINE_string(listen, "127.0.0.1:7100", "IP:port that gateways and other controllers connect to");
DEFINE_string(
    advertise, "",
    "IP:port at which others reach --listen, stored by --initialise=first; empty = --listen");
DEFINE_string(http, "127.0.0.1:7101", "IP:port for /healthz, /readyz and /metrics");
DEFINE_string(curve_site, "", "file with CURVE keys; empty = no encryption, loopback only");
DEFINE_string(initialise, "",
              "create the data folder and exit: 'first' for the first controller of a new cell, "
              "'member' for a controller that is added later");
DEFINE_int32(election_timeout_ms, 500, "minimum time without a leader before an election, in ms");
DEFINE_int32(heartbeat_ms, 100, "interval between a leader's heartbeats, in ms");
DEFINE_int32(snapshot_entries, 50'000, "number of log entries between snapshots");
DEFINE_int32(target_lease_ms, 4'000, "time for which a target may run work without contact, in ms");
DEFINE_int32(stop_ms, 5'000, "maximum duration of a graceful stop, in ms");

namespace filbert {

namespace {

constexpr std::size_t identityBytes = 8;
constexpr milliseconds tickPeriod {10};
constexpr milliseconds silenceTimeout {400}; // four heartbeats at the default --heartbeat_ms
constexpr int exitInvalidSettings = 2;
constexpr int exitStorage = 3;

/** Sends a controller's messages over ZeroMQ. */
class socket_outbox : public controller_outbox
{
public:
    socket_outbox(event_loop &loop, zmq::context_t &context, const std::string &identity,
                  const std::string &endpoint, const curve_site &site,
                  const member_sockets::message_handler &onMessage)
        : identity {identity}
        , sockets {loop, context, identity, endpoint, site, silenceTimeout, onMessage}
    {
    }

    void sendToMember(const messages::member &member,
                      const messages::replication_message &message) override
    {
        messages::envelope envelope;
        *envelope.mutable_replication() = message;
        envelope.set_from(identity);
        sockets.sendToMember(member, envelope.SerializeAsString());
    }

    void sendToGateway(const std::string &gateway, const messages::envelope &envelope) override
    {
        sockets.sendToPeer(gateway, envelope.SerializeAsString());
    }

    void maintainConnection(const messages::member &member)
    {
        sockets.maintainConnection(member, monotonicNow());
    }

private:
    std::string identity;
    member_sockets sockets;
};

int initialise(log_store &store)
{
    const auto identity = FLAGS_name + "-" + randomHex(identityBytes);
    if (const auto error = store.initialise(identity)) {
        log_line {"initialise_failed", log_line::severity::Error}.with("error", error.message());
        return exitStorage;
    }
    stored_state stored;
    storage_damage damage;
    if (store.open(&stored, &damage)) {
        return exitStorage;
    }
    if (FLAGS_initialise == "first") {
        messages::member self;
        self.set_identity(identity);
        self.set_name(FLAGS_name);
        self.set_address("tcp://" + (FLAGS_advertise.empty() ? FLAGS_listen : FLAGS_advertise));
        if (store.append(1, "", {makeBootstrapEntry(self)})) {
            return exitStorage;
        }
    }
    std::cout << identity << "\n";
    return 0;
}

bool areSettingsValid(std::vector<std::string> problems)
{
    settings_check check {std::move(problems)};
    check.require(!FLAGS_name.empty() && isPlainText(FLAGS_name),
                  "--name: expected a name in UTF-8 without control characters");
    check.require(!FLAGS_data_folder.empty(), "--data_folder: expected a path");
    check.requireEndpoint("listen", FLAGS_listen);
    check.requireEndpoint("http", FLAGS_http);
    check.require(FLAGS_advertise.empty() || isEndpoint(FLAGS_advertise),
                  "--advertise: expected IP:port");
    curve_site site;
    check.require(
        !readCurveSite(FLAGS_curve_site, &site),
        "--curve_site: expected a readable file with 'self', 'controller' and 'allow' lines");
    check.require(site.isEncrypted() || FLAGS_listen.starts_with("127."),
                  "--curve_site: required because --listen is not a loopback address");
    check.require(FLAGS_initialise.empty() || FLAGS_initialise == "first"
                      || FLAGS_initialise == "member",
                  "--initialise: expected 'first' or 'member'");
    check.require(FLAGS_heartbeat_ms >= 10 && FLAGS_election_timeout_ms >= 4 * FLAGS_heartbeat_ms,
                  "--election_timeout_ms: expected at least 4 times --heartbeat_ms (10 or more)");
    check.require(FLAGS_snapshot_entries > 0, "--snapshot_entries: expected a number above 0");
    check.require(FLAGS_target_lease_ms >= 1'000, "--target_lease_ms: expected at least 1000");
    requireProcessLimits(check);
    return check.isValid();
}

void handleHealthRequest(http_server &server, const http_request &request,
                         const controller &controllerInstance, const std::string &identity,
                         const request_limiter &limiter)
{
    http_response response;
    response.contentType = "text/plain";
    const auto &log = controllerInstance.view().log;
    if (request.path == "/metrics") {
        response.body =
            controllerMetricsText(controllerInstance.view()) + limiterMetricsText(limiter);
    } else if (request.path == "/healthz" || request.path == "/readyz") {
        const bool hasLeader = !log.leader.empty();
        response.status = request.path == "/healthz" || hasLeader ? 200 : 503;
        response.body = "identity " + identity + "\nrole " + std::string {roleName(log.role)}
            + "\nleader " + log.leader + "\nterm " + std::to_string(log.term) + "\ncommit "
            + std::to_string(log.commitIndex) + "\nmembers "
            + std::to_string(log.membership.members_size()) + "\n";
    } else {
        response = problemResponse(error_kind::NotFound, request.path);
    }
    server.respond(request.id, std::move(response));
}

int run(log_store &store, const stored_state &stored, const curve_site &site)
{
    event_loop loop;
    request_limiter limiter {loop, processLimits()};
    zmq::context_t context {1};
    controller_settings settings;
    settings.snapshotEntries = static_cast<std::uint64_t>(FLAGS_snapshot_entries);
    settings.targetLease = {FLAGS_target_lease_ms};
    replication_settings replication;
    replication.electionTimeout = {FLAGS_election_timeout_ms};
    replication.heartbeatPeriod = {FLAGS_heartbeat_ms};
    std::unique_ptr<controller> controllerInstance;
    std::unique_ptr<curve_authenticator> authenticator;
    if (site.isEncrypted()) {
        authenticator = std::make_unique<curve_authenticator>(loop, context, site.allowed);
    }
    socket_outbox outbox {loop,
                          context,
                          stored.identity,
                          "tcp://" + FLAGS_listen,
                          site,
                          [&](const std::string &peer, std::string &&serialized) {
                              messages::envelope envelope;
                              if (!controllerInstance) {
                                  return;
                              }
                              const auto now = monotonicNow();
                              if (envelope.ParseFromString(serialized)) {
                                  controllerInstance->handleMessage(peer, envelope, now);
                              } else {
                                  controllerInstance->reportUnreadableMessage(
                                      peer, serialized.size(), now);
                              }
                          }};
    const auto seed = std::hash<std::string> {}(stored.identity);
    controllerInstance = std::make_unique<controller>(settings, replication, stored, seed, store,
                                                      outbox, monotonicNow());
    const auto [address, port] = splitEndpoint(FLAGS_http);
    http_limits limits;
    limits.limiter = &limiter;
    std::unique_ptr<http_server> server;
    server = std::make_unique<http_server>(
        loop, address, port, limits, tls_files {}, [&](http_request &&request) {
            handleHealthRequest(*server, request, *controllerInstance, stored.identity, limiter);
        });
    if (!server->isListening()) {
        log_line {"listen_failed", log_line::severity::Error}.with("address", FLAGS_http);
        return exitInvalidSettings;
    }
    int exitCode = 0;
    time_point stopDeadline;
    loop.callEvery(tickPeriod, [&] {
        controllerInstance->tick(monotonicNow());
        for (const auto &member : controllerInstance->view().log.membership.members()) {
            if (member.identity() != stored.identity) {
                outbox.maintainConnection(member);
            }
        }
        const bool canStop = controllerInstance->isReadyToStop() || monotonicNow() >= stopDeadline;
        if (stopDeadline.ms != 0 && canStop) {
            loop.stop();
        }
    });
    loop.onWake([&] {
        if (const auto error = controllerInstance->flush(monotonicNow(), wallClockMs())) {
            log_line {"storage_failed", log_line::severity::Error}.with("error", error.message());
            exitCode = exitStorage;
            loop.stop();
        }
        return false;
    });
    loop.onStopSignal([&](int count) {
        log_line {"stop_signal"}.with("count", count);
        if (count > 1) {
            loop.stop();
            return;
        }
        stopDeadline = monotonicNow() + milliseconds {FLAGS_stop_ms};
        controllerInstance->prepareToStop();
    });
    log_line {"started"}.with("name", FLAGS_name).with("identity", stored.identity);
    loop.run();
    log_line {"stopped"}.with("name", FLAGS_name).with("exit_code", exitCode);
    server.reset();
    return exitCode;
}

} // namespace

} // namespace filbert

int main(int argc, char **argv)
{
    using namespace filbert;
    auto problems = readSettings(&argc, &argv, "Runs one controller of a filbertramp cell.");
    startLog(argv[0]);
    if (!areSettingsValid(std::move(problems))) {
        return exitInvalidSettings;
    }
    logSettings({"name", "data_folder", "listen", "http", "election_timeout_ms", "heartbeat_ms",
                 "snapshot_entries", "target_lease_ms", "stop_ms", "memory_mb", "max_descriptors"});
    std::error_code error;
    const auto files = openDataFolder(FLAGS_data_folder, &error);
    if (!files) {
        log_line {"data_folder_failed", log_line::severity::Error}
            .with("folder", FLAGS_data_folder)
            .with("error", error.message());
        return exitStorage;
    }
    log_store store {*files};
    if (!FLAGS_initialise.empty()) {
        return initialise(store);
    }
    stored_state stored;
    storage_damage damage;
    const auto started = monotonicNow();
    error = store.open(&stored, &damage);
    if (error) {
        log_line {"open_failed", log_line::severity::Error}
            .with("error",
                  error == error_kind::NotFound
                      ? "the data folder is not initialised; see --initialise"
                      : error.message())
            .with("file", damage.file)
            .with("offset", damage.offset)
            .with("what", damage.description);
        return exitStorage;
    }
    log_line {"opened"}
        .with("identity", stored.identity)
        .with("snapshot_index", stored.snapshot.index())
        .with("entries", stored.entries.size())
        .with("truncated_bytes", stored.truncatedBytes)
        .with("took_ms", (monotonicNow() - started).count);
    curve_site site;
    readCurveSite(FLAGS_curve_site, &site);
    return run(store, stored, site);
}

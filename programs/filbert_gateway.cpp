/** @file filbert-gateway: the process of an entry host, which connects callers, targets and
    controllers. */

#include "filbert_gateway/filbert_gateway.h"
#include "filbert_gateway/socket_transport.h"
#include "filbert_transport/filbert_transport.h"

#include <gflags/gflags.h>
#include <map>
#include <memory>
#include <unistd.h>

DEFINE_string(name, "", "name of this gateway, unique in the cell");
DEFINE_string(http, "127.0.0.1:7000",
              "IP:port for callers, targets, operators and the load balancer");
DEFINE_string(controllers, "127.0.0.1:7100",
              "comma-separated list of some controllers, each IP:port");
DEFINE_string(bootstrap_operator_key, "",
              "ID:SALT:HASH of a key that may apply the first configuration; ignored once an "
              "operator is configured");
DEFINE_string(curve_site, "", "file with CURVE keys; empty = no encryption, loopback only");
DEFINE_string(tls_certificate, "",
              "file with the certificate chain; empty = plain HTTP, loopback only");
DEFINE_string(tls_private_key, "", "file with the private key");
DEFINE_string(target_trusted, "",
              "file with the CA certificates that targets' certificates must chain to; empty = "
              "plain HTTP, loopback only");
DEFINE_int32(target_connections, 64,
             "maximum number of connections to a target from all gateways together");
DEFINE_int32(drain_ms, 2'000,
             "time for the load balancer to stop sending requests before the gateway stops, in ms");
DEFINE_int32(stop_ms, 30'000, "maximum time for requests in flight at a graceful stop, in ms");
DEFINE_int32(max_body_bytes, 1 << 20, "maximum size of a request body");

namespace filbert {

namespace {

constexpr milliseconds tickPeriod {10};
constexpr milliseconds certificatePeriod {10'000};
constexpr int exitInvalidSettings = 2;
constexpr std::size_t bootstrapKeyFields = 3;

/** Calls targets over HTTP. */
class http_target_port : public target_port
{
public:
    explicit http_target_port(event_loop &loop)
        : loop {loop}
        , client {loop, FLAGS_target_connections, !FLAGS_target_trusted.empty(),
                  FLAGS_target_trusted}
    {
    }

    void call(target_call &&call, handler onResponse) override
    {
        if (FLAGS_target_trusted.empty() && !call.address.starts_with("127.")) {
            log_line {"target_without_tls", log_line::severity::Error}.with("address",
                                                                            call.address);
            loop.post([onResponse = std::move(onResponse)] {
                onResponse(error_kind::ConnectionFailed, {});
            });
            return;
        }
        http_call request;
        request.id = call.id;
        request.endpoint = std::move(call.address);
        request.path = std::move(call.path);
        request.headers = std::move(call.headers);
        request.body = std::move(call.body);
        request.timeout = call.timeout;
        request.needsNewConnection = call.needsNewConnection;
        client.send(std::move(request), std::move(onResponse));
    }

    void cancel(std::uint64_t id) override { client.cancel(id); }

    void setGatewayCount(int gateways) override
    {
        client.setMaxConnections(FLAGS_target_connections / gateways);
    }

    std::size_t pendingCalls() const { return client.pendingCalls(); }

private:
    event_loop &loop;
    http_client client;
};

/** Responds to callers through the HTTP server. */
class http_caller_port : public caller_port
{
public:
    void respond(std::uint64_t request, http_response &&response) override
    {
        server->respond(request, std::move(response));
    }

    http_server *server = nullptr;
};

messages::access_key readBootstrapKey()
{
    messages::access_key key;
    std::string text = FLAGS_bootstrap_operator_key;
    for (auto &c : text) {
        c = c == ':' ? ',' : c;
    }
    const auto fields = splitList(text);
    if (fields.size() == bootstrapKeyFields) {
        key.set_id(fields[0]);
        key.set_salt(fields[1]);
        key.set_hash(fields[2]);
    }
    return key;
}

bool areSettingsValid(std::vector<std::string> problems)
{
    settings_check check {std::move(problems)};
    check.require(!FLAGS_name.empty() && isPlainText(FLAGS_name),
                  "--name: expected a name in UTF-8 without control characters");
    check.requireEndpoint("http", FLAGS_http);
    const auto controllers = splitList(FLAGS_controllers);
    check.require(!controllers.empty(), "--controllers: expected at least one IP:port");
    for (const auto &address : controllers) {
        check.requireEndpoint("controllers", address);
    }
    curve_site site;
    check.require(
        !readCurveSite(FLAGS_curve_site, &site),
        "--curve_site: expected a readable file with 'self', 'controller' and 'allow' lines");
    for (const auto &address : controllers) {
        check.require(site.isEncrypted() || address.starts_with("127."),
                      "--curve_site: required because a controller is not on loopback: " + address);
    }
    check.require(FLAGS_bootstrap_operator_key.empty() || !readBootstrapKey().id().empty(),
                  "--bootstrap_operator_key: expected ID:SALT:HASH");
    check.require(FLAGS_tls_certificate.empty() == FLAGS_tls_private_key.empty(),
                  "--tls_certificate and --tls_private_key: expected both or neither");
    check.require(!FLAGS_tls_certificate.empty() || FLAGS_http.starts_with("127."),
                  "--tls_certificate: required because --http is not a loopback address");
    for (const auto &file : {FLAGS_tls_certificate, FLAGS_tls_private_key, FLAGS_target_trusted}) {
        check.require(file.empty() || access(file.c_str(), R_OK) == 0,
                      "cannot read TLS file: " + file);
    }
    check.require(FLAGS_target_connections > 0, "--target_connections: expected a number above 0");
    check.require(FLAGS_max_body_bytes > 0, "--max_body_bytes: expected a number above 0");
    requireProcessLimits(check);
    return check.isValid();
}

int run()
{
    event_loop loop;
    request_limiter limiter {loop, processLimits()};
    zmq::context_t context {1};
    curve_site site;
    readCurveSite(FLAGS_curve_site, &site);
    std::unique_ptr<gateway> gatewayInstance;
    std::unique_ptr<controller_links> links;
    gateway_metrics metrics;
    metrics.setFurtherText([&] { return limiterMetricsText(limiter); });
    socket_transport transport {
        loop,
        context,
        FLAGS_name,
        site,
        [&](const std::string &address, const messages::envelope &envelope) {
            gatewayInstance->tick(monotonicNow());
            if (!links->handleAnswer(address, envelope, monotonicNow())) {
                gatewayInstance->handleControllerMessage(envelope, monotonicNow());
            }
        },
        [&] { metrics.countUnreadableMessage(); }};
    std::vector<std::string> addresses;
    for (const auto &address : splitList(FLAGS_controllers)) {
        addresses.push_back("tcp://" + address);
    }
    links = std::make_unique<controller_links>(FLAGS_name, addresses, transport);
    http_target_port targets {loop};
    http_caller_port callers;
    gateway_settings settings;
    settings.name = FLAGS_name;
    settings.bootstrapOperator = readBootstrapKey();
    gatewayInstance = std::make_unique<gateway>(settings, *links, callers, targets, metrics);
    http_limits limits;
    limits.maxBodyBytes = static_cast<std::size_t>(FLAGS_max_body_bytes);
    limits.limiter = &limiter;
    const auto [address, port] = splitEndpoint(FLAGS_http);
    auto server = std::make_unique<http_server>(
        loop, address, port, limits, tls_files {FLAGS_tls_certificate, FLAGS_tls_private_key},
        [&](http_request &&request) {
            gatewayInstance->handleRequest(std::move(request), monotonicNow());
        });
    callers.server = server.get();
    if (!server->isListening()) {
        log_line {"listen_failed", log_line::severity::Error}.with("address", FLAGS_http);
        return exitInvalidSettings;
    }
    time_point drainEndsAt;
    time_point stopDeadline;
    loop.callEvery(tickPeriod, [&] {
        const auto now = monotonicNow();
        gatewayInstance->tick(now);
        if (stopDeadline.ms == 0 || now < drainEndsAt) {
            return;
        }
        server->closeAfterResponses();
        const bool isIdle = server->isIdle() && targets.pendingCalls() == 0 && links->isIdle();
        if (isIdle || now >= stopDeadline) {
            loop.stop();
        }
    });
    if (!FLAGS_tls_certificate.empty()) {
        loop.callEvery(certificatePeriod, [&] {
            if (!server->reloadCertificate()) {
                log_line {"certificate_reload_failed", log_line::severity::Error};
            }
        });
    }
    loop.onStopSignal([&](int count) {
        log_line {"stop_signal"}.with("count", count);
        if (count > 1) {
            loop.stop();
            return;
        }
        drainEndsAt = monotonicNow() + milliseconds {FLAGS_drain_ms};
        stopDeadline = drainEndsAt + milliseconds {FLAGS_stop_ms};
        gatewayInstance->startDraining(monotonicNow());
    });
    log_line {"started"}.with("name", FLAGS_name).with("http", FLAGS_http);
    loop.run();
    log_line {"stopped"}.with("name", FLAGS_name);
    server.reset();
    return 0;
}

} // namespace

} // namespace filbert

int main(int argc, char **argv)
{
    using namespace filbert;
    auto problems = readSettings(&argc, &argv, "Runs one gateway of a filbertramp cell.");
    startLog(argv[0]);
    if (!areSettingsValid(std::move(problems))) {
        return exitInvalidSettings;
    }
    logSettings({"name", "http", "controllers", "tls_certificate", "target_trusted",
                 "target_connections", "drain_ms", "stop_ms", "max_body_bytes", "memory_mb",
                 "max_descriptors"});
    return run();
}

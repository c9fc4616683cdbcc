/** @file filbert-load: open-loop load generator over HTTP.

    Requests are sent at their scheduled times whether or not earlier ones have been answered, and
    latency is measured from the scheduled time, so that it includes the time a request waited to be
    sent. Every answer is checked against its request.
*/

#include "filbert_messages/filbert_messages.h"
#include "filbert_transport/filbert_transport.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <random>

DEFINE_string(gateways, "127.0.0.1:7000", "IP:port of gateways, comma-separated, used in rotation");
DEFINE_string(key, "", "token of a team's access key");
DEFINE_string(services, "quote",
              "services, comma-separated, chosen at random; SERVICE! sends an Idempotency-Key");
DEFINE_double(rate, 100, "requests per second");
DEFINE_double(seconds, 5, "duration in seconds");
DEFINE_int32(connections, 64, "maximum number of connections to each gateway");
DEFINE_int32(deadline_ms, 5'000, "deadline of each request, in milliseconds");
DEFINE_uint64(seed, 1, "seed of the sending times and the choice of services");
DEFINE_string(body, "lid", "prefix of each request's body; a number is appended");
DEFINE_string(direct, "",
              "IP:port of stand-in targets to call directly, without gateways, as a baseline");
DEFINE_string(record, "",
              "file to write a line to for each request: body, service, status, outcome");
DEFINE_bool(expect_all, false, "exit with 1 unless all requests were answered successfully");

namespace filbert {

namespace {

using steady = std::chrono::steady_clock;

constexpr milliseconds sendPeriod {1};
constexpr milliseconds probePeriod {100};
constexpr milliseconds probeTimeout {500};
constexpr double millisecondsPerSecond = 1'000;
constexpr int exitUnanswered = 1;
constexpr int exitMismatched = 2;

struct planned_request
{
    steady::time_point at;
    std::string service;
    std::string body;
    bool hasKey = false;
};

double millisecondsSince(steady::time_point start)
{
    return std::chrono::duration<double, std::milli>(steady::now() - start).count();
}

class load_run
{
public:
    explicit load_run(event_loop &loop)
        : loop {loop}
        , client {loop, FLAGS_connections}
        , probes {loop, 1}
        , gateways {splitList(FLAGS_direct.empty() ? FLAGS_gateways : FLAGS_direct)}
    {
        if (!FLAGS_record.empty()) {
            record.open(FLAGS_record);
        }
        ready.assign(gateways.size(), true);
        planRequests();
        loop.callEvery(sendPeriod, [this] { sendDue(); });
        if (FLAGS_direct.empty()) {
            loop.callEvery(probePeriod, [this] { probeReadiness(); });
        }
    }

    int report()
    {
        std::sort(latencies.begin(), latencies.end());
        std::cout << "sent=" << next << " answered=" << latencies.size()
                  << " crossed=" << mismatched;
        for (const auto &[kind, count] : refused) {
            std::cout << " " << kind << "=" << count;
        }
        std::cout << "\nlatency_ms p50=" << percentile(0.5) << " p90=" << percentile(0.9)
                  << " p99=" << percentile(0.99) << " p99.9=" << percentile(0.999)
                  << " max=" << percentile(1) << "\n";
        if (mismatched > 0) {
            return exitMismatched;
        }
        return FLAGS_expect_all && latencies.size() != requests.size() ? exitUnanswered : 0;
    }

private:
    void planRequests()
    {
        std::mt19937_64 random {FLAGS_seed};
        std::exponential_distribution<double> gap {FLAGS_rate};
        const auto services = splitList(FLAGS_services);
        const auto start = steady::now();
        for (double at = gap(random); at < FLAGS_seconds; at += gap(random)) {
            planned_request request;
            request.at = start
                + std::chrono::duration_cast<steady::duration>(std::chrono::duration<double> {at});
            request.service = services[random() % services.size()];
            request.hasKey = request.service.ends_with('!');
            if (request.hasKey) {
                request.service.pop_back();
            }
            request.body = FLAGS_body + "-" + std::to_string(requests.size());
            requests.push_back(std::move(request));
        }
    }

    void sendDue()
    {
        while (next < requests.size() && requests[next].at <= steady::now()) {
            send(requests[next++]);
        }
        if (next == requests.size() && client.pendingCalls() == 0) {
            loop.stop();
        }
    }

    /** Probes all gateways, as a load balancer does: one that isn't ready gets no new requests. */
    void probeReadiness()
    {
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            http_call call;
            call.endpoint = gateways[i];
            call.method = "GET";
            call.path = "/readyz";
            call.timeout = probeTimeout;
            probes.send(std::move(call), [this, i](std::error_code error, http_response &&answer) {
                ready[i] = !error && answer.status == 200;
            });
        }
    }

    const std::string &nextGateway()
    {
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            gatewayIndex = (gatewayIndex + 1) % gateways.size();
            if (ready[gatewayIndex]) {
                break;
            }
        }
        return gateways[gatewayIndex];
    }

    void send(const planned_request &request)
    {
        http_call call;
        call.endpoint = nextGateway();
        call.path = FLAGS_direct.empty() ? "/v1/services/" + request.service : "/v1/direct";
        call.headers = {{"authorization", "Bearer " + FLAGS_key},
                        {"filbert-deadline-ms", std::to_string(FLAGS_deadline_ms)}};
        if (request.hasKey) {
            call.headers.push_back({"idempotency-key", request.body});
        }
        call.body = request.body;
        call.timeout = {FLAGS_deadline_ms + 1'000};
        client.send(std::move(call),
                    [this, &request](std::error_code error, http_response &&answer) {
                        handleAnswer(request, error, answer);
                    });
    }

    void handleAnswer(const planned_request &request, std::error_code error,
                      const http_response &answer)
    {
        std::string outcome = "ran";
        if (error) {
            outcome = std::string {outcomeName(errorInfo(errorKindOf(error)).outcome)};
            ++refused["client_" + std::string {errorInfo(errorKindOf(error)).name}];
        } else if (answer.status != 200) {
            messages::problem problem;
            std::string detail;
            readJson(answer.body, &problem, &detail);
            outcome = problem.outcome();
            ++refused[problem.kind().empty() ? std::to_string(answer.status) : problem.kind()];
        } else if (!answer.body.ends_with("did " + request.body)) {
            ++mismatched;
        } else {
            latencies.push_back(millisecondsSince(request.at));
        }
        if (record.is_open()) {
            record << request.body << ' ' << request.service << ' ' << (error ? 0 : answer.status)
                   << ' ' << outcome << '\n';
        }
    }

    double percentile(double fraction) const
    {
        if (latencies.empty()) {
            return 0;
        }
        const auto rank = std::ceil(fraction * static_cast<double>(latencies.size()));
        return latencies[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
    }

    event_loop &loop;
    http_client client;
    http_client probes;
    std::vector<std::string> gateways;
    std::vector<bool> ready;
    std::size_t gatewayIndex = 0;
    std::vector<planned_request> requests;
    std::size_t next = 0;
    std::vector<double> latencies;
    std::map<std::string, int> refused;
    std::ofstream record;
    int mismatched = 0; // answers that don't belong to their request
};

} // namespace

} // namespace filbert

int main(int argc, char **argv)
{
    using namespace filbert;
    settings_check check {readSettings(&argc, &argv, "Open-loop load generator over HTTP.")};
    startLog(argv[0]);
    check.require(FLAGS_rate > 0 && FLAGS_seconds > 0,
                  "--rate and --seconds: expected numbers above 0");
    if (!check.isValid()) {
        return 2;
    }
    event_loop loop;
    load_run run {loop};
    loop.run();
    return run.report();
}

/** @file filbert-stand-in-target: simulated targets for benchmarks and tests, which implement the
    interface in docs/API.md.
*/

#include "filbert_messages/filbert_messages.h"
#include "filbert_transport/filbert_transport.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <fstream>
#include <gflags/gflags.h>
#include <map>
#include <memory>
#include <set>

DEFINE_string(name, "target", "name of the target; a number is appended if --count is above 1");
DEFINE_string(listen, "127.0.0.1:7200", "IP:port to listen on for orders");
DEFINE_string(announce, "", "IP:port at which gateways reach the target; empty = --listen");
DEFINE_string(gateways, "127.0.0.1:7000", "IP:port of gateways, comma-separated");
DEFINE_string(tls_certificate, "", "certificate chain file; empty = plain HTTP");
DEFINE_string(tls_private_key, "", "private key file");
DEFINE_string(gateway_trusted, "", "file of trusted certificates; empty = plain HTTP to gateways");
DEFINE_string(key, "", "token of a target's access key");
DEFINE_string(failure_domain, "d1", "failure domain");
DEFINE_string(services, "quote", "services offered, comma-separated");
DEFINE_int32(milli_cores, 32'000, "capacity");
DEFINE_int32(memory_mb, 65'536, "capacity");
DEFINE_int32(accelerators, 0, "capacity");
DEFINE_int32(slots, 8, "capacity");
DEFINE_int32(count, 1, "number of targets in this process");
DEFINE_int32(work_ms, 0, "run time of a synchronous request, in milliseconds");
DEFINE_int32(heartbeat_ms, 500, "interval between heartbeats, in milliseconds");
DEFINE_bool(fail_all, false, "let all tasks fail");
DEFINE_string(record, "",
              "file to append a line to for each start: placement, target, service, body");

namespace filbert {

namespace {

constexpr int statusRefused = 412;
constexpr int statusAccepted = 202;
constexpr milliseconds callTimeout {1'000}; // a quarter of a lease, so there's time for retries
constexpr milliseconds stopCheckPeriod {100};
constexpr milliseconds drainTimeout {10'000}; // afterwards it stops even if no gateway has answered
constexpr int exitInvalidSettings = 2;
constexpr std::size_t maxStartedPlacements = 100'000;

/** A running task or synchronous request. */
struct running_entry
{
    messages::resources used;
    time_point endsAt; // end of a job's task; 0 = a synchronous request
    bool willFail = false;
    bool isThrottled = false;
};

/** One simulated target: its lease and the tasks that it runs. */
struct stand_in_target
{
    std::string name;
    std::int64_t epoch = 0;
    time_point leaseExpiresAt;
    std::map<std::uint64_t, running_entry> running;
    std::map<std::uint64_t, messages::finished_task> finished; // not yet acknowledged
    std::set<std::uint64_t> started; // placements, to reject a repeated start
    std::deque<std::uint64_t> startedInOrder; // oldest first; the oldest is forgotten at the limit
    bool isAnnounced = false;
    bool isCalling = false; // a call to a gateway is pending
    bool mayHaveLostConnection = false; // the last call failed: the next one needs a new connection
    bool isDrained = false; // the cell has reported that it sends no more work
    std::size_t gateway = 0; // index of the gateway to call, modulo the number of gateways
};

/** @return the number that follows "NAME=" in a text, or the fallback if there is none */
std::int64_t numberIn(const std::string &text, const std::string &name, std::int64_t fallback)
{
    const auto at = text.find(name + "=");
    std::int64_t number = fallback;
    if (at != std::string::npos) {
        std::from_chars(text.data() + at + name.size() + 1, text.data() + text.size(), number);
    }
    return number;
}

/** Runs all targets of this process on one event loop. */
class stand_in_targets
{
public:
    explicit stand_in_targets(event_loop &loop)
        : loop {loop}
        , client {loop, 64, !FLAGS_gateway_trusted.empty(), FLAGS_gateway_trusted}
        , gateways {splitList(FLAGS_gateways)}
    {
        for (int i = 0; i < FLAGS_count; ++i) {
            const auto name = FLAGS_count == 1 ? FLAGS_name : FLAGS_name + std::to_string(i);
            auto &target = targets[name];
            target.name = name;
            target.epoch = wallClockMs();
            target.gateway = static_cast<std::size_t>(i);
        }
        if (!FLAGS_record.empty()) {
            record.open(FLAGS_record, std::ios::app);
        }
        loop.callEvery({FLAGS_heartbeat_ms}, [this] { sendHeartbeats(); });
        loop.callEvery({20}, [this] { endTasks(); });
        loop.post([this] { sendHeartbeats(); });
    }

    void handleRequest(http_server &server, http_request &&request)
    {
        if (request.path == "/v1/direct") {
            http_response answer; // baseline that bypasses the scheduler
            answer.contentType = "text/plain";
            answer.body = FLAGS_name + " did " + request.body;
            server.respond(request.id, std::move(answer));
        } else if (request.path == "/v1/run") {
            runRequest(server, std::move(request));
        } else if (request.path == "/v1/tasks") {
            startTask(server, request);
        } else if (request.path == "/v1/tasks/stop") {
            stopTask(server, request);
        } else {
            server.respond(request.id, problemResponse(error_kind::NotFound, request.path));
        }
    }

    /** Reports to the cell that the targets are about to stop and take no more work. */
    void startDraining()
    {
        isDraining = true;
        drainingSince = monotonicNow();
        sendHeartbeats();
    }

    /** @return whether the process may stop: no task runs, and each target has been drained or the
        drain timeout has passed */
    bool mayStop() const
    {
        const bool hasTimedOut = monotonicNow() - drainingSince >= drainTimeout;
        for (const auto &[name, target] : targets) {
            if (!target.running.empty() || (!target.isDrained && !hasTimedOut)) {
                return false;
            }
        }
        return true;
    }

    /** Sends a heartbeat for each target, or announces those that the cell doesn't know. */
    void sendHeartbeats()
    {
        for (auto &[name, target] : targets) {
            if (target.isAnnounced) {
                sendHeartbeat(target);
            } else {
                announce(target);
            }
        }
    }

private:
    /** @return why a placement must not be started, or empty */
    std::string refusalReason(const stand_in_target &target, std::uint64_t placement,
                              std::int64_t epoch, std::int64_t startBy) const
    {
        if (epoch != target.epoch) {
            return "order is for a different epoch of this target";
        }
        if (target.started.contains(placement)) {
            return {}; // a repeated order isn't refused; the caller reports that it has started
        }
        if (monotonicNow().ms > startBy || monotonicNow() > target.leaseExpiresAt) {
            return "start deadline or lease has expired";
        }
        if (static_cast<int>(target.running.size()) >= FLAGS_slots) {
            return "no free slot";
        }
        return {};
    }

    void recordStart(stand_in_target &target, std::uint64_t placement, const std::string &service,
                     const std::string &body)
    {
        target.started.insert(placement);
        target.startedInOrder.push_back(placement);
        if (target.startedInOrder.size() > maxStartedPlacements) {
            target.started.erase(target.startedInOrder.front());
            target.startedInOrder.pop_front();
        }
        if (record.is_open()) {
            record << placement << ' ' << target.name << ' ' << service << ' ' << body << std::endl;
        }
    }

    void runRequest(http_server &server, http_request &&request)
    {
        const auto &headers = request.headers;
        const auto found = targets.find(headerValue(headers, "filbert-target"));
        const auto placement =
            static_cast<std::uint64_t>(headerNumber(headers, "filbert-placement"));
        auto reason = found == targets.end()
            ? "no such target"
            : refusalReason(found->second, placement, headerNumber(headers, "filbert-epoch"),
                            headerNumber(headers, "filbert-start-by"));
        if (!reason.empty()) {
            auto answer = problemResponse(error_kind::TargetRefused, reason);
            answer.status = statusRefused;
            answer.headers.push_back({"filbert-placement", std::to_string(placement)});
            server.respond(request.id, std::move(answer));
            return;
        }
        auto &target = found->second;
        if (target.started.contains(placement)) {
            server.respond(request.id,
                           problemResponse(error_kind::OutcomeUnknown, "started before"));
            return;
        }
        recordStart(target, placement, headerValue(headers, "filbert-service"), request.body);
        target.running[placement] = {};
        const auto workMs = numberIn(request.body, "ms", FLAGS_work_ms);
        auto sendAnswer = [this, &server, &target, placement, id = request.id,
                           body = std::move(request.body)]() mutable {
            if (target.running.erase(placement) == 0) {
                return;
            }
            finish(target, placement, !FLAGS_fail_all, false);
            http_response answer;
            answer.status = FLAGS_fail_all ? 500 : 200;
            answer.contentType = "text/plain";
            answer.headers.push_back({"filbert-placement", std::to_string(placement)});
            answer.body = target.name + " did " + std::move(body);
            server.respond(id, std::move(answer));
        };
        if (workMs <= 0) {
            sendAnswer();
        } else {
            loop.callAfter({workMs}, std::move(sendAnswer));
        }
    }

    void startTask(http_server &server, const http_request &request)
    {
        messages::start_order order;
        std::string detail;
        if (readJson(request.body, &order, &detail)) {
            server.respond(request.id, problemResponse(error_kind::Malformed, detail));
            return;
        }
        const auto found = targets.find(order.target());
        const auto reason = found == targets.end()
            ? "no such target"
            : refusalReason(found->second, order.placement_id(), order.target_epoch(),
                            order.start_by());
        http_response answer;
        answer.status = reason.empty() ? statusAccepted : statusRefused;
        answer.body = "{}";
        if (reason.empty() && !found->second.started.contains(order.placement_id())) {
            auto &target = found->second;
            recordStart(target, order.placement_id(), order.service(), order.payload());
            running_entry entry;
            entry.used = order.task();
            entry.endsAt = monotonicNow() + milliseconds {numberIn(order.payload(), "ms", 100)};
            entry.willFail = FLAGS_fail_all || numberIn(order.payload(), "fail", 0) != 0;
            target.running[order.placement_id()] = entry;
        }
        server.respond(request.id, std::move(answer));
    }

    void stopTask(http_server &server, const http_request &request)
    {
        messages::stop_order order;
        std::string detail;
        if (readJson(request.body, &order, &detail)) {
            server.respond(request.id, problemResponse(error_kind::Malformed, detail));
            return;
        }
        const auto found = targets.find(order.target());
        if (found != targets.end()) {
            stopPlacement(found->second, order.placement_id());
        }
        http_response answer;
        answer.body = "{}";
        server.respond(request.id, std::move(answer));
    }

    static void finish(stand_in_target &target, std::uint64_t placement, bool succeeded,
                       bool stopped)
    {
        auto &report = target.finished[placement];
        report.set_placement_id(placement);
        report.set_succeeded(succeeded);
        report.set_stopped(stopped);
    }

    static void stopPlacement(stand_in_target &target, std::uint64_t placement)
    {
        const auto running = target.running.find(placement);
        if (running != target.running.end() && running->second.endsAt.ms != 0) {
            target.running.erase(running);
            finish(target, placement, false, true);
        }
    }

    /** Ends the tasks whose run time is over, and all tasks of a target whose lease has expired. */
    void endTasks()
    {
        const auto now = monotonicNow();
        for (auto &[name, target] : targets) {
            bool hasFinishedTasks = false;
            for (auto at = target.running.begin(); at != target.running.end();) {
                const bool isLeaseExpired = now > target.leaseExpiresAt;
                const bool isDone = at->second.endsAt.ms != 0 && now >= at->second.endsAt;
                if (isDone || isLeaseExpired) {
                    finish(target, at->first, !at->second.willFail, isLeaseExpired);
                    hasFinishedTasks = true;
                }
                at = isDone || isLeaseExpired ? target.running.erase(at) : std::next(at);
            }
            if (hasFinishedTasks) {
                sendHeartbeat(target);
            }
        }
    }

    void post(stand_in_target &target, const std::string &action,
              const google::protobuf::Message &body,
              std::function<void(const http_response &)> onAnswer)
    {
        target.isCalling = true;
        http_call call;
        call.endpoint = gateways[target.gateway % gateways.size()];
        call.path = "/v1/targets/" + target.name + "/" + action;
        call.headers = {{"authorization", "Bearer " + FLAGS_key},
                        {"content-type", "application/json"}};
        call.body = writeJson(body);
        call.timeout = callTimeout;
        call.needsNewConnection = target.mayHaveLostConnection;
        client.send(std::move(call),
                    [&target, onAnswer = std::move(onAnswer)](std::error_code error,
                                                              http_response &&answer) {
                        target.isCalling = false;
                        target.mayHaveLostConnection = static_cast<bool>(error);
                        if (error || answer.status != 200) {
                            ++target.gateway; // retry with the next gateway
                            return;
                        }
                        onAnswer(answer);
                    });
    }

    void announce(stand_in_target &target)
    {
        if (target.isCalling) {
            return;
        }
        messages::target_registration body;
        body.set_address(FLAGS_announce.empty() ? FLAGS_listen : FLAGS_announce);
        body.set_failure_domain(FLAGS_failure_domain);
        body.set_epoch(target.epoch);
        body.mutable_capacity()->set_milli_cores(FLAGS_milli_cores);
        body.mutable_capacity()->set_memory_mb(FLAGS_memory_mb);
        body.mutable_capacity()->set_accelerators(FLAGS_accelerators);
        body.mutable_capacity()->set_slots(FLAGS_slots);
        for (const auto &service : splitList(FLAGS_services)) {
            body.add_services(service);
        }
        post(target, "announce", body, [this, &target](const http_response &) {
            target.isAnnounced = true;
            loop.post([this, &target] { sendHeartbeat(target); });
        });
    }

    void sendHeartbeat(stand_in_target &target)
    {
        if (target.isCalling) {
            return;
        }
        messages::target_heartbeat body;
        body.set_epoch(target.epoch);
        body.set_clock_ms(monotonicNow().ms);
        body.set_leaving(isDraining);
        for (const auto &[placement, entry] : target.running) {
            auto *task = body.add_running();
            task->set_placement_id(placement);
            *task->mutable_used() = entry.used;
            if (entry.isThrottled) {
                task->mutable_used()->set_milli_cores(entry.used.milli_cores() / 2);
            }
        }
        for (const auto &[placement, report] : target.finished) {
            *body.add_finished() = report;
        }
        post(target, "heartbeat", body, [this, &target](const http_response &answer) {
            messages::heartbeat_reply reply;
            std::string detail;
            if (!readJson(answer.body, &reply, &detail)) {
                handleHeartbeatReply(target, reply);
            }
        });
    }

    void handleHeartbeatReply(stand_in_target &target, const messages::heartbeat_reply &reply)
    {
        if (reply.announce_again()) {
            target.isAnnounced = false;
            return;
        }
        target.leaseExpiresAt = std::max(target.leaseExpiresAt, time_point {reply.lease_until()});
        target.isDrained = reply.drained();
        for (const auto placement : reply.acknowledged()) {
            target.finished.erase(placement);
        }
        for (auto &[placement, entry] : target.running) {
            const auto &throttled = reply.throttle();
            entry.isThrottled =
                std::find(throttled.begin(), throttled.end(), placement) != throttled.end();
        }
        for (const auto placement : reply.stop()) {
            stopPlacement(target, placement);
        }
    }

    event_loop &loop;
    http_client client;
    std::vector<std::string> gateways;
    std::map<std::string, stand_in_target> targets;
    std::ofstream record;
    bool isDraining = false;
    time_point drainingSince;
};

} // namespace

} // namespace filbert

int main(int argc, char **argv)
{
    using namespace filbert;
    settings_check check {
        readSettings(&argc, &argv, "Simulated targets for benchmarks and tests.")};
    startLog(argv[0]);
    check.requireEndpoint("listen", FLAGS_listen);
    if (!check.isValid()) {
        return exitInvalidSettings;
    }
    event_loop loop;
    stand_in_targets targets {loop};
    const auto [address, port] = splitEndpoint(FLAGS_listen);
    std::unique_ptr<http_server> server;
    server = std::make_unique<http_server>(
        loop, address, port, http_limits {},
        tls_files {FLAGS_tls_certificate, FLAGS_tls_private_key},
        [&](http_request &&request) { targets.handleRequest(*server, std::move(request)); },
        std::vector<std::string> {"filbert-target", "filbert-service", "filbert-placement",
                                  "filbert-epoch", "filbert-start-by"});
    loop.onStopSignal([&](int count) {
        if (count > 1) {
            loop.stop();
            return;
        }
        targets.startDraining();
        loop.callEvery(stopCheckPeriod, [&] {
            if (targets.mayStop()) {
                loop.stop();
            } else {
                targets.sendHeartbeats();
            }
        });
    });
    loop.run();
    server.reset();
    return 0;
}

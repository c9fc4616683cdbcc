/** @file filbert-stand-in-target: targets for trials and tests, by the interface in docs/API.md. */

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

DEFINE_string(name, "target", "name; with --count above 1, a number is added");
DEFINE_string(listen, "127.0.0.1:7200", "IP:port for orders");
DEFINE_string(announce, "", "IP:port that gateways reach it at; empty = --listen");
DEFINE_string(gateways, "127.0.0.1:7000", "IP:port of gateways, comma-separated");
DEFINE_string(tls_certificate, "", "certificate chain file; empty = plain HTTP");
DEFINE_string(tls_private_key, "", "private key file");
DEFINE_string(gateway_trusted, "", "certificates to trust; empty = plain HTTP to gateways");
DEFINE_string(key, "", "token of a target's key");
DEFINE_string(failure_domain, "d1", "failure domain");
DEFINE_string(services, "quote", "services offered, comma-separated");
DEFINE_int32(milli_cores, 32'000, "capacity");
DEFINE_int32(memory_mb, 65'536, "capacity");
DEFINE_int32(accelerators, 0, "capacity");
DEFINE_int32(slots, 8, "capacity");
DEFINE_int32(count, 1, "targets in this process");
DEFINE_int32(work_ms, 0, "how long a synchronous request takes");
DEFINE_int32(heartbeat_ms, 500, "time between heartbeats");
DEFINE_bool(fail_all, false, "fail every task");
DEFINE_string(record, "", "file that gets a line for each start: placement, service, body");

namespace filbert {

namespace {

constexpr int statusRefused = 412;
constexpr int statusAccepted = 202;
constexpr milliseconds callTimeout {1'000}; // a quarter of a lease, so that others can be tried
constexpr milliseconds stopCheckPeriod {100};
constexpr milliseconds drainPatience {10'000}; // then it stops although no gateway answered
constexpr int exitInvalidSettings = 2;
constexpr std::size_t keptStarted = 100'000;

struct running_entry
{
    messages::resources used;
    time_point endsAt; // of a job's task; 0 = a synchronous request
    bool willFail = false;
    bool isThrottled = false;
};

/** One target: what it runs, under the lease that the gateways last gave it. */
struct stand_in
{
    std::string name;
    std::int64_t epoch = 0;
    time_point leaseExpiresAt;
    std::map<std::uint64_t, running_entry> running;
    std::map<std::uint64_t, messages::finished_task> finished; // until acknowledged
    std::set<std::uint64_t> started;
    std::deque<std::uint64_t> startedByAge;
    bool isAnnounced = false;
    bool isCalling = false;
    bool mayBeSilent = false; // the last call got no answer, so the next has a new connection
    bool isDrained = false; // it leaves, and the cell has said that no more work will come
    std::size_t gateway = 0;
};

std::int64_t numberIn(const std::string &text, const std::string &name, std::int64_t otherwise)
{
    const auto at = text.find(name + "=");
    std::int64_t number = otherwise;
    if (at != std::string::npos) {
        std::from_chars(text.data() + at + name.size() + 1, text.data() + text.size(), number);
    }
    return number;
}

/** All targets of this process. */
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
        loop.callEvery({FLAGS_heartbeat_ms}, [this] { beat(); });
        loop.callEvery({20}, [this] { endTasks(); });
        loop.post([this] { beat(); });
    }

    void handleRequest(http_server &server, http_request &&request)
    {
        if (request.path == "/v1/direct") {
            http_response answer; // a baseline without the product between
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

    /** From now on it asks for no more work. */
    void leave()
    {
        isLeaving = true;
        leavingSince = monotonicNow();
        beat();
    }

    /** @return whether it may stop: nothing runs, and no request is on its way to it */
    bool mayStop() const
    {
        const bool isPatienceOver = monotonicNow() - leavingSince >= drainPatience;
        for (const auto &[name, target] : targets) {
            if (!target.running.empty() || (!target.isDrained && !isPatienceOver)) {
                return false;
            }
        }
        return true;
    }

    /** Sends heartbeats, or announces what is not known to the cell. */
    void beat()
    {
        for (auto &[name, target] : targets) {
            if (target.isAnnounced) {
                sendBeat(target);
            } else {
                announce(target);
            }
        }
    }

private:
    /** @return why it must not start, or empty */
    std::string whyNot(const stand_in &target, std::uint64_t placement, std::int64_t epoch,
                       std::int64_t startBy) const
    {
        if (epoch != target.epoch) {
            return "another start of this target";
        }
        if (target.started.contains(placement)) {
            return {}; // not refused: it did start, and whoever asks again is told so
        }
        if (monotonicNow().ms > startBy || monotonicNow() > target.leaseExpiresAt) {
            return "too late";
        }
        if (static_cast<int>(target.running.size()) >= FLAGS_slots) {
            return "no slot";
        }
        return {};
    }

    void note(stand_in &target, std::uint64_t placement, const std::string &service,
              const std::string &body)
    {
        target.started.insert(placement);
        target.startedByAge.push_back(placement);
        if (target.startedByAge.size() > keptStarted) {
            target.started.erase(target.startedByAge.front());
            target.startedByAge.pop_front();
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
        auto why = found == targets.end()
            ? "no such target"
            : whyNot(found->second, placement, headerNumber(headers, "filbert-epoch"),
                     headerNumber(headers, "filbert-start-by"));
        if (!why.empty()) {
            auto answer = problemResponse(error_kind::TargetRefused, why);
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
        note(target, placement, headerValue(headers, "filbert-service"), request.body);
        target.running[placement] = {};
        const auto workMs = numberIn(request.body, "ms", FLAGS_work_ms);
        auto answerIt = [this, &server, &target, placement, id = request.id,
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
            answerIt();
        } else {
            loop.callAfter({workMs}, std::move(answerIt));
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
        const auto why = found == targets.end()
            ? "no such target"
            : whyNot(found->second, order.placement_id(), order.target_epoch(), order.start_by());
        http_response answer;
        answer.status = why.empty() ? statusAccepted : statusRefused;
        answer.body = "{}";
        if (why.empty() && !found->second.started.contains(order.placement_id())) {
            auto &target = found->second;
            note(target, order.placement_id(), order.service(), order.payload());
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

    static void finish(stand_in &target, std::uint64_t placement, bool succeeded, bool stopped)
    {
        auto &report = target.finished[placement];
        report.set_placement_id(placement);
        report.set_succeeded(succeeded);
        report.set_stopped(stopped);
    }

    static void stopPlacement(stand_in &target, std::uint64_t placement)
    {
        const auto running = target.running.find(placement);
        if (running != target.running.end() && running->second.endsAt.ms != 0) {
            target.running.erase(running);
            finish(target, placement, false, true);
        }
    }

    void endTasks()
    {
        const auto now = monotonicNow();
        for (auto &[name, target] : targets) {
            bool hasNews = false;
            for (auto at = target.running.begin(); at != target.running.end();) {
                const bool isLate = now > target.leaseExpiresAt;
                const bool isDone = at->second.endsAt.ms != 0 && now >= at->second.endsAt;
                if (isDone || isLate) {
                    finish(target, at->first, !at->second.willFail, isLate);
                    hasNews = true;
                }
                at = isDone || isLate ? target.running.erase(at) : std::next(at);
            }
            if (hasNews) {
                sendBeat(target);
            }
        }
    }

    void post(stand_in &target, const std::string &action, const google::protobuf::Message &body,
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
        call.needsNewConnection = target.mayBeSilent;
        client.send(std::move(call),
                    [&target, onAnswer = std::move(onAnswer)](std::error_code error,
                                                              http_response &&answer) {
                        target.isCalling = false;
                        target.mayBeSilent = static_cast<bool>(error);
                        if (error || answer.status != 200) {
                            ++target.gateway; // another one may do better
                            return;
                        }
                        onAnswer(answer);
                    });
    }

    void announce(stand_in &target)
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
            loop.post([this, &target] { sendBeat(target); });
        });
    }

    void sendBeat(stand_in &target)
    {
        if (target.isCalling) {
            return;
        }
        messages::target_heartbeat body;
        body.set_epoch(target.epoch);
        body.set_clock_ms(monotonicNow().ms);
        body.set_leaving(isLeaving);
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
                takeReply(target, reply);
            }
        });
    }

    void takeReply(stand_in &target, const messages::heartbeat_reply &reply)
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
            const auto &named = reply.throttle();
            entry.isThrottled = std::find(named.begin(), named.end(), placement) != named.end();
        }
        for (const auto placement : reply.stop()) {
            stopPlacement(target, placement);
        }
    }

    event_loop &loop;
    http_client client;
    std::vector<std::string> gateways;
    std::map<std::string, stand_in> targets;
    std::ofstream record;
    bool isLeaving = false;
    time_point leavingSince;
};

} // namespace

} // namespace filbert

int main(int argc, char **argv)
{
    using namespace filbert;
    settings_check check {readSettings(&argc, &argv, "Targets for trials and tests.")};
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
        targets.leave();
        loop.callEvery(stopCheckPeriod, [&] {
            if (targets.mayStop()) {
                loop.stop();
            } else {
                targets.beat();
            }
        });
    });
    loop.run();
    server.reset();
    return 0;
}

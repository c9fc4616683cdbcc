#include "random_cell.h"

#include "run_requests.h"

#include <algorithm>

namespace filbert {

namespace {

constexpr std::int64_t heartbeatIntervalMs = 500;

} // namespace

std::string random_cell::targetNameOf(const std::string &address) const
{
    return "t" + address.substr(address.rfind(':') + 1);
}

void random_cell::callTarget(const std::string &from, target_call &&call,
                             const target_port::handler &onAnswer)
{
    const auto name = targetNameOf(call.address);
    auto &target = *targets[static_cast<std::size_t>(name[1] - '1')];
    if (network.isBlocked(from, target.name)) {
        time.schedule(5, [onAnswer] { onAnswer(error_kind::ConnectionFailed, {}); });
        return;
    }
    auto isDone = std::make_shared<bool>(false);
    const auto finish = [isDone, onAnswer](std::error_code error, http_response &&answer) {
        if (!std::exchange(*isDone, true)) {
            onAnswer(error, std::move(answer));
        }
    };
    time.schedule(call.timeout.count, [finish] { finish(error_kind::Timeout, {}); });
    const auto back = [this, from, &target, finish](http_response &&answer) {
        network.sendOnce(target.name, from,
                         [finish, answer] { finish({}, http_response {answer}); });
    };
    network.sendOnce(from, target.name, [this, &target, call, back] {
        for (const auto &each : targets) {
            each->stopAfterLeaseExpiry();
        }
        auto answer = respondAsTarget(target, call, back);
        if (answer.status != 0) {
            back(std::move(answer));
        }
    });
}

http_response random_cell::respondAsTarget(fake_target &target, const target_call &call,
                                           const std::function<void(http_response &&)> &later)
{
    http_response answer;
    if (call.path == "/v1/run") {
        const auto placement =
            static_cast<std::uint64_t>(headerNumber(call.headers, "filbert-placement"));
        const auto service = headerValue(call.headers, "filbert-service");
        answer.headers = {{"filbert-placement", std::to_string(placement)}};
        answer.body = "did " + call.body;
        started_task task;
        task.team = call.body.substr(0, call.body.find(':'));
        task.body = call.body;
        task.need = {1'000, 256, 0, 1};
        task.isIdempotent = service == "quote";
        const auto why = target.start(placement, headerNumber(call.headers, "filbert-epoch"),
                                      headerNumber(call.headers, "filbert-start-by"), task,
                                      static_cast<std::int64_t>(1 + time.randomBelow(300)),
                                      [later, answer] { later(http_response {answer}); });
        answer.status = why.empty() ? 0 : (why == "refused" ? 412 : 409);
        return answer;
    }
    answer.body = "{}";
    std::string detail;
    if (call.path == "/v1/tasks/stop") {
        messages::stop_order order;
        readJson(call.body, &order, &detail);
        target.stop(order.placement_id());
        return answer;
    }
    messages::start_order order;
    readJson(call.body, &order, &detail);
    started_task task;
    const auto job = acceptedJobs.find(order.job_id());
    task.team = job == acceptedJobs.end() ? "free" : job->second.team();
    task.jobId = order.job_id();
    task.taskIndex = order.task_index();
    task.body = "job";
    task.need = taskNeedOf(order.task());
    task.isIdempotent = order.payload() == "again";
    const auto why =
        target.start(order.placement_id(), order.target_epoch(), order.start_by(), task,
                     static_cast<std::int64_t>(50 + time.randomBelow(5'000)), [] {});
    answer.status = why == "refused" ? 412 : 202;
    return answer;
}

void random_cell::announce(fake_target &target)
{
    messages::target_registration body;
    body.set_address("127.0.0.1:" + std::to_string(target.name[1] - '0' + 1));
    body.set_failure_domain("d" + std::to_string((target.name[1] - '0') % 3));
    body.set_epoch(target.epoch);
    *body.mutable_capacity() = messageOf(target.capacity);
    body.add_services("quote");
    body.add_services("die");
    auto &gateway = randomGateway();
    if (network.isBlocked(target.name, gateway.name)) {
        return;
    }
    gateway.request(makeRequest("POST", "/v1/targets/" + target.name + "/announce", targetKey.token,
                                writeJson(body)),
                    [&target, epoch = target.epoch](http_response &&answer) {
                        target.isAnnounced |= answer.status == 200 && target.epoch == epoch;
                    });
}

void random_cell::sendHeartbeat(fake_target &target)
{
    time.schedule(heartbeatIntervalMs, [this, &target] { sendHeartbeat(target); });
    target.stopAfterLeaseExpiry();
    if (!target.isAnnounced) {
        announce(target);
        return;
    }
    messages::target_heartbeat body;
    body.set_epoch(target.epoch);
    body.set_clock_ms(target.clockMs());
    body.set_leaving(target.isLeaving);
    for (const auto &[placement, task] : target.running) {
        auto *row = body.add_running();
        row->set_placement_id(placement);
        *row->mutable_used() = messageOf(task.need);
    }
    for (const auto &[placement, stopped] : target.finished) {
        auto *row = body.add_finished();
        row->set_placement_id(placement);
        row->set_succeeded(!stopped);
        row->set_stopped(stopped);
    }
    auto &gateway = randomGateway();
    if (network.isBlocked(target.name, gateway.name)) {
        return;
    }
    const auto path = "/v1/targets/" + target.name + "/heartbeat";
    network.send(target.name, gateway.name,
                 [this, &gateway, &target, path, epoch = target.epoch, text = writeJson(body)] {
                     gateway.request(makeRequest("POST", path, targetKey.token, text),
                                     [this, &target, epoch](http_response &&answer) {
                                         handleHeartbeatReply(target, epoch, answer);
                                     });
                 });
}

void random_cell::handleHeartbeatReply(fake_target &target, std::int64_t epoch,
                                       const http_response &answer)
{
    messages::heartbeat_reply reply;
    std::string detail;
    if (answer.status != 200 || target.epoch != epoch || readJson(answer.body, &reply, &detail)) {
        return;
    }
    if (reply.announce_again()) {
        target.isAnnounced = false;
        return;
    }
    target.stopAfterLeaseExpiry();
    target.leaseExpiresAt = std::max(target.leaseExpiresAt, reply.lease_until());
    for (const auto placement : reply.acknowledged()) {
        target.finished.erase(placement);
    }
    for (const auto placement : reply.stop()) {
        target.stop(placement);
    }
    if (target.isLeaving && reply.drained() && !target.isDrained) {
        FILBERT_INVARIANT(target.running.empty(), "a drained target has no running tasks");
        target.isDrained = true;
        ++summary.plannedStops;
        // The target stays up for a while, so that work sent to it after draining is detected.
        time.schedule(static_cast<std::int64_t>(time.randomBelow(2'000)), [&target, epoch] {
            if (target.epoch == epoch) {
                target.restart();
            }
        });
    }
}

} // namespace filbert

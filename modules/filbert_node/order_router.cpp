#include "order_router.h"

#include <algorithm>
#include <utility>

namespace filbert {

namespace {

/** @return how long an order has been under way, without the time for which a target may hold it */
milliseconds delayOf(const target_order &order, time_point sentAt, time_point until)
{
    return until - sentAt - order.pollWait;
}

task_name taskFrom(const std::string &text)
{
    return parseTaskName(text).value_or(task_name {});
}

void logShare(const share_change &change, const std::string &reason)
{
    log_line {"relay_share_changed", log_line::severity::Info}
        .with("relay", change.relay)
        .with("share", change.share)
        .with("delay_ms", change.typicalDelayMs)
        .with("others_delay_ms", change.othersDelayMs)
        .with("reason", reason);
}

} // namespace

order_router::order_router(const order_router_settings &settings, hooks callbacks)
    : settings {settings}
    , callbacks {std::move(callbacks)}
    , lastId {settings.idBase}
{
}

void order_router::registerRelay(const std::string &name, const relay_info &info, time_point now)
{
    const auto known = relays.find(name);
    const bool isNew = known == relays.end();
    const bool isReplaced = known != relays.end() && known->second.info.process != info.process;
    if (isReplaced) {
        markRelayLost(name, "its process was replaced by a new one", now);
        shares.paces.erase(name);
    }
    if (isNew || isReplaced) {
        forgetChoices();
    }
    relays[name] = {info, now};
}

void order_router::unregisterRelay(const std::string &name)
{
    shares.paces.erase(name);
    if (relays.erase(name) > 0) {
        forgetChoices();
    }
}

const std::string &order_router::relayFor(const std::string &target,
                                          const std::string &failureDomain, time_point now)
{
    const auto found = relayByTarget.find(target);
    if (found != relayByTarget.end()) {
        return found->second;
    }
    return relayByTarget[target] = chooseRelay(usableRelays(now), target, failureDomain);
}

const std::vector<weighted_relay> &order_router::usableRelays(time_point now)
{
    if (!usable.empty() && usableAt == now) {
        return usable;
    }
    std::vector<active_relay> active;
    for (const auto &[name, relay] : relays) {
        if (now - relay.lastContactAt < settings.relayTimeout) {
            active.push_back({name, relay.info, shareOf(shares, name)});
        }
    }
    usableAt = now;
    return usable = weighRelays(active);
}

void order_router::forgetChoices()
{
    relayByTarget.clear();
    usable.clear();
}

void order_router::send(const target_order &order, std::size_t targetCount,
                        const std::string &failureDomain, time_point now)
{
    if (targetCount <= settings.maxDirectTargets) {
        callbacks.callTarget(order);
        return;
    }
    const auto &relay = relayFor(order.target, failureDomain, now);
    if (!relay.empty()) {
        enqueue(order, relay, now);
    } else if (now < relayWaitDeadline) {
        waitingOrders.push_back({order, failureDomain});
    } else {
        callbacks.callTarget(order);
    }
}

void order_router::enqueue(const target_order &order, const std::string &relay, time_point now)
{
    const auto id = ++lastId;
    pendingOrders[id] = {order, relay, now, now + order.timeout + settings.answerGracePeriod};
    auto *added = outgoing[relay].mutable_carried()->add_orders();
    *added = toOrderMessage(order);
    added->set_id(id);
}

void order_router::enqueueWaiting(time_point now)
{
    if (waitingOrders.empty() || (usableRelays(now).empty() && now < relayWaitDeadline)) {
        return;
    }
    for (const auto &[order, failureDomain] : std::exchange(waitingOrders, {})) {
        if (!callbacks.mayStillSend(order, now)) {
            continue;
        }
        const auto &relay = relayFor(order.target, failureDomain, now);
        if (relay.empty()) {
            callbacks.callTarget(order);
        } else {
            enqueue(order, relay, now);
        }
    }
}

void order_router::flush(time_point now)
{
    enqueueWaiting(now);
    for (const auto &[relay, envelope] : std::exchange(outgoing, {})) {
        callbacks.send(relay, envelope);
    }
}

void order_router::handleAnswers(const std::string &relay, const messages::carried_answers &answers,
                                 time_point now)
{
    for (const auto &message : answers.answers()) {
        const auto found = pendingOrders.find(message.id());
        if (found == pendingOrders.end() || found->second.relay != relay) {
            continue; // the order has ended already
        }
        const auto order = std::move(found->second.order);
        recordAnswerDelay(shares, relay, delayOf(order, found->second.sentAt, now), now);
        pendingOrders.erase(found);
        callbacks.onAnswer(order, toOrderAnswer(message));
    }
}

void order_router::tick(time_point now)
{
    // Messages that have arrived since the last call may not have been read yet.
    const auto readUntil = std::exchange(lastTickAt, now);
    std::map<std::string, std::string> lost; // reason by relay
    for (const auto &[id, pending] : pendingOrders) {
        if (readUntil >= pending.deadline) {
            lost.emplace(pending.relay, "an order timed out without an answer");
        }
    }
    for (const auto &[name, reason] : lost) {
        if (recordUnansweredOrder(shares, name, now)) {
            logShare({name, shareOf(shares, name)}, "an order timed out without an answer");
        }
    }
    for (const auto &[name, relay] : relays) {
        if (readUntil - relay.lastContactAt >= settings.relayTimeout) {
            lost.emplace(name, "no hello within the timeout");
        }
    }
    for (const auto &[name, reason] : lost) {
        markRelayLost(name, reason, now);
    }
    if (isReviewDue(shares, now)) {
        reviewRelayShares(readUntil, now);
    }
}

std::vector<relay_backlog> order_router::backlogsAt(time_point readUntil) const
{
    std::map<std::string, relay_backlog> backlogs;
    for (const auto &[name, relay] : relays) {
        backlogs[name] = {name, relay.info.failureDomain, {}};
    }
    for (const auto &[id, pending] : pendingOrders) {
        const auto found = backlogs.find(pending.relay);
        const auto age = delayOf(pending.order, pending.sentAt, readUntil);
        if (found != backlogs.end() && age.count >= 0) {
            found->second.agesMs.push_back(age.count);
        }
    }
    std::vector<relay_backlog> result;
    result.reserve(backlogs.size());
    for (auto &[name, backlog] : backlogs) {
        result.push_back(std::move(backlog));
    }
    return result;
}

void order_router::reviewRelayShares(time_point readUntil, time_point now)
{
    const auto changes = reviewShares(shares, backlogsAt(readUntil), now);
    for (const auto &change : changes) {
        logShare(change, "compared with the other relays of its failure domain");
    }
    if (!changes.empty()) {
        forgetChoices();
    }
}

std::map<std::string, double> order_router::sharesByRelay() const
{
    std::map<std::string, double> result;
    for (const auto &[name, relay] : relays) {
        result.emplace(name, shareOf(shares, name));
    }
    return result;
}

void order_router::markRelayLost(const std::string &name, const std::string &reason, time_point now)
{
    std::vector<target_order> orders;
    for (auto entry = pendingOrders.begin(); entry != pendingOrders.end();) {
        if (entry->second.relay != name) {
            ++entry;
            continue;
        }
        orders.push_back(std::move(entry->second.order));
        entry = pendingOrders.erase(entry);
    }
    const auto found = relays.find(name);
    log_line {"carrier_lost", log_line::severity::Warning}
        .with("carrier", name)
        .with("reason", reason)
        .with("orders", orders.size())
        .with("heard_ms_ago",
              found == relays.end() ? -1 : (now - found->second.lastContactAt).count);
    relays.erase(name); // it registers itself again with its next hello
    forgetChoices();
    order_answer lostAnswer;
    lostAnswer.result = order_result::RelayLost;
    for (const auto &order : orders) {
        callbacks.onAnswer(order, lostAnswer);
    }
}

void order_router::startTerm(time_point now)
{
    pendingOrders.clear();
    outgoing.clear();
    waitingOrders.clear();
    shares = {};
    forgetChoices();
    relayWaitDeadline = now + settings.relayDiscoveryTimeout;
}

messages::carried_order toOrderMessage(const target_order &order)
{
    messages::carried_order message;
    message.set_kind(static_cast<int>(order.kind));
    message.set_target(order.target);
    message.set_born(order.incarnation);
    message.set_address(order.address);
    message.set_task(order.task.job.empty() ? std::string {} : toString(order.task));
    message.set_run(order.run);
    message.set_spec(order.spec);
    message.set_checkpoint(order.checkpoint);
    message.set_ticket(order.ticket);
    message.set_lease_until(order.leaseExpiresAt);
    message.set_fencing_token(order.fencingToken);
    message.set_last_seen(order.lastAppliedEnd);
    message.set_wait_ms(order.pollWait.count);
    message.set_pace(order.workRate);
    message.set_timeout_ms(order.timeout.count);
    return message;
}

bool hasKnownKind(const messages::carried_order &message)
{
    return message.kind() >= 0 && message.kind() <= static_cast<int>(order_kind::SetWorkRate);
}

target_order toTargetOrder(const messages::carried_order &message)
{
    target_order order;
    order.kind = static_cast<order_kind>(message.kind());
    order.target = message.target();
    order.incarnation = message.born();
    order.address = message.address();
    order.task = taskFrom(message.task());
    order.run = message.run();
    order.spec = message.spec();
    order.checkpoint = message.checkpoint();
    order.ticket = message.ticket();
    order.leaseExpiresAt = message.lease_until();
    order.fencingToken = message.fencing_token();
    order.lastAppliedEnd = message.last_seen();
    order.pollWait = {message.wait_ms()};
    order.workRate = message.pace();
    order.timeout = {message.timeout_ms()};
    return order;
}

messages::carried_answer toAnswerMessage(const order_answer &answer)
{
    messages::carried_answer message;
    message.set_result(static_cast<int>(answer.result));
    if (answer.clockMs) {
        message.set_clock_ms(*answer.clockMs);
    }
    if (answer.incarnation) {
        message.set_born(*answer.incarnation);
    }
    for (const auto &run : answer.runs) {
        auto *out = message.add_runs();
        out->set_task(toString(run.task));
        out->set_run(run.run);
        out->set_checkpoint(run.checkpoint);
        out->set_percent(run.percentDone);
        out->set_gauge(run.gauge);
    }
    for (const auto &end : answer.ends) {
        auto *out = message.add_ends();
        out->set_number(end.number);
        out->set_task(toString(end.task));
        out->set_run(end.run);
        out->set_kind(end.kind);
        out->set_checkpoint(end.checkpoint);
    }
    message.set_rows_unreadable(answer.hasUnreadableRows);
    return message;
}

order_answer toOrderAnswer(const messages::carried_answer &message)
{
    order_answer answer;
    const bool isKnown =
        message.result() >= 0 && message.result() <= static_cast<int>(order_result::RelayLost);
    answer.result =
        isKnown ? static_cast<order_result>(message.result()) : order_result::Unanswered;
    if (message.has_clock_ms()) {
        answer.clockMs = message.clock_ms();
    }
    if (message.has_born()) {
        answer.incarnation = message.born();
    }
    for (const auto &run : message.runs()) {
        answer.runs.push_back(
            {taskFrom(run.task()), run.run(), run.checkpoint(), run.percent(), run.gauge()});
    }
    for (const auto &end : message.ends()) {
        answer.ends.push_back(
            {end.number(), taskFrom(end.task()), end.run(), end.kind(), end.checkpoint()});
    }
    answer.hasUnreadableRows = message.rows_unreadable();
    return answer;
}

} // namespace filbert

#include "order_relay.h"

#include <algorithm>
#include <utility>

namespace filbert {

namespace {

// A relay is not used if another one's link is more than this many times as wide: start orders
// carry whole task specifications and would saturate the narrow link while the wide one is idle.
constexpr std::uint64_t narrowFactor = 10;

/** @return the rendezvous-hashing weight of a relay for a target, the same in every process */
std::size_t hashOf(const std::string &target, const std::string &carrier)
{
    std::string both = target;
    both += '/';
    both += carrier;
    return std::hash<std::string> {}(both);
}

task_name taskFrom(const std::string &text)
{
    return parseTaskName(text).value_or(task_name {});
}

} // namespace

order_router::order_router(const order_router_settings &settings, hooks given)
    : settings {settings}
    , given {std::move(given)}
    , lastId {settings.idBase}
{
}

void order_router::registerRelay(const std::string &name, const relay_info &about, time_point now)
{
    const auto known = carriers.find(name);
    const bool isNew = known == carriers.end() || known->second.lastContactAt.ms == 0;
    const bool isReplaced = known != carriers.end() && known->second.about.process != about.process;
    if (isReplaced) {
        loseCarrier(name, "its process was replaced by a new one", now);
    }
    if (isNew || isReplaced) {
        chosen.clear();
    }
    carriers[name] = {about, now};
}

void order_router::unregisterRelay(const std::string &name)
{
    if (carriers.erase(name) > 0) {
        chosen.clear();
    }
}

const std::string &order_router::carrierFor(const std::string &target,
                                            const std::string &failureDomain, time_point now)
{
    const auto found = chosen.find(target);
    if (found != chosen.end()) {
        return found->second;
    }
    return chosen[target] = chooseCarrier(target, failureDomain, now);
}

std::string order_router::chooseCarrier(const std::string &target, const std::string &failureDomain,
                                        time_point now) const
{
    const auto isHeard = [&](const carrier_state &carrier) {
        return now - carrier.lastContactAt < settings.relayTimeout;
    };
    std::uint64_t widest = 0;
    for (const auto &[name, carrier] : carriers) {
        widest =
            isHeard(carrier) ? std::max<std::uint64_t>(widest, carrier.about.linkMbps) : widest;
    }
    // Rendezvous hashing: a relay that appears or is lost moves only its own share of the targets,
    // and a target's connections stay with one relay.
    std::string best;
    std::pair<bool, std::size_t> bestWeight;
    for (const auto &[name, carrier] : carriers) {
        if (!isHeard(carrier) || carrier.about.linkMbps * narrowFactor < widest) {
            continue;
        }
        const std::pair<bool, std::size_t> weight {carrier.about.failureDomain == failureDomain,
                                                   hashOf(target, name)};
        if (best.empty() || weight > bestWeight) {
            best = name;
            bestWeight = weight;
        }
    }
    return best;
}

void order_router::send(const target_order &order, std::size_t targets,
                        const std::string &failureDomain, time_point now)
{
    if (targets <= settings.maxDirectTargets) {
        given.callTarget(order);
        return;
    }
    const auto &carrier = carrierFor(order.target, failureDomain, now);
    if (!carrier.empty()) {
        pass(order, carrier, now);
    } else if (now < carriersAwaitedUntil) {
        held.push_back({order, failureDomain});
    } else {
        given.callTarget(order);
    }
}

void order_router::pass(const target_order &order, const std::string &carrier, time_point now)
{
    const auto id = ++lastId;
    open[id] = {order, carrier, now + order.timeout + settings.answerGracePeriod};
    auto *added = gathered[carrier].mutable_carried()->add_orders();
    *added = orderMessageOf(order);
    added->set_id(id);
}

void order_router::passHeld(time_point now)
{
    const bool isCarrierKnown = !chooseCarrier({}, {}, now).empty();
    if (held.empty() || (!isCarrierKnown && now < carriersAwaitedUntil)) {
        return;
    }
    for (const auto &[order, failureDomain] : std::exchange(held, {})) {
        const auto &carrier = carrierFor(order.target, failureDomain, now);
        if (carrier.empty()) {
            given.callTarget(order);
        } else {
            pass(order, carrier, now);
        }
    }
}

void order_router::flush(time_point now)
{
    passHeld(now);
    for (const auto &[carrier, envelope] : std::exchange(gathered, {})) {
        given.send(carrier, envelope);
    }
}

void order_router::handleAnswers(const std::string &carrier,
                                 const messages::carried_answers &answers)
{
    for (const auto &message : answers.answers()) {
        const auto found = open.find(message.id());
        if (found == open.end() || found->second.carrier != carrier) {
            continue; // the order has ended already
        }
        const auto order = std::move(found->second.order);
        open.erase(found);
        given.onAnswer(order, answerFrom(message));
    }
}

void order_router::tick(time_point now)
{
    std::map<std::string, std::string> lost; // reason by relay
    for (const auto &[id, each] : open) {
        if (now >= each.deadline) {
            lost.emplace(each.carrier, "an order timed out without an answer");
        }
    }
    for (const auto &[name, carrier] : carriers) {
        if (carrier.lastContactAt.ms != 0 && now - carrier.lastContactAt >= settings.relayTimeout) {
            lost.emplace(name, "no hello within the timeout");
        }
    }
    for (const auto &[name, reason] : lost) {
        loseCarrier(name, reason, now);
    }
}

void order_router::loseCarrier(const std::string &name, const std::string &reason, time_point now)
{
    std::vector<target_order> orders;
    for (auto entry = open.begin(); entry != open.end();) {
        if (entry->second.carrier != name) {
            ++entry;
            continue;
        }
        orders.push_back(std::move(entry->second.order));
        entry = open.erase(entry);
    }
    const auto found = carriers.find(name);
    auto *carrier = found == carriers.end() ? nullptr : &found->second;
    log_line {"carrier_lost", log_line::severity::Warning}
        .with("carrier", name)
        .with("reason", reason)
        .with("orders", orders.size())
        .with("heard_ms_ago", carrier == nullptr ? -1 : (now - carrier->lastContactAt).count);
    if (carrier != nullptr) {
        carrier->lastContactAt = {};
    }
    chosen.clear();
    order_answer none;
    none.result = order_result::RelayLost;
    for (const auto &order : orders) {
        given.onAnswer(order, none);
    }
}

void order_router::startTerm(time_point now)
{
    open.clear();
    gathered.clear();
    held.clear();
    carriersAwaitedUntil = now + settings.relayDiscoveryTimeout;
}

messages::carried_order orderMessageOf(const target_order &order)
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

target_order orderFrom(const messages::carried_order &message)
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

messages::carried_answer answerMessageOf(const order_answer &answer)
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
    return message;
}

order_answer answerFrom(const messages::carried_answer &message)
{
    order_answer answer;
    answer.result = static_cast<order_result>(message.result());
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
    return answer;
}

} // namespace filbert

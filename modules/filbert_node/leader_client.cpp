#include "leader_client.h"

#include <algorithm>
#include <utility>

namespace filbert {

namespace {

// Stated to a caller whose request is refused here: requests at the leader end within seconds.
constexpr milliseconds refusalDelay {2'000};

} // namespace

leader_client::leader_client(const leader_client_settings &settings, leader_client_hooks hooks)
    : settings {settings}
    , hooks {std::move(hooks)}
    , lastExchange {settings.idBase}
{
}

void leader_client::setSeeds(const std::vector<std::string> &addresses)
{
    seeds = addresses;
    nextHelloAt = {};
}

std::set<std::string> leader_client::controllerAddresses() const
{
    auto all = members;
    all.insert(seeds.begin(), seeds.end());
    return all;
}

void leader_client::stopAcceptingWork()
{
    settings.canRequestAdmission = false;
    settings.canRelayOrders = false;
    nextHelloAt = {};
}

bool leader_client::hasLeader(time_point now) const
{
    return !leader.empty() && now - lastLeaderContactAt < settings.silenceTimeout;
}

void leader_client::call(const messages::work_request &request, time_point now, time_point deadline,
                         call_handler onCompletion)
{
    if (!canBeReadBack(request)) {
        messages::work_answer refusal;
        refusal.set_kind(messages::ANSWER_MALFORMED);
        refusal.set_detail("a text of the request is not valid UTF-8");
        onCompletion({true, false, false, refusal});
        return;
    }
    if (settings.maxPendingCalls > 0 && calls.size() >= settings.maxPendingCalls) {
        messages::work_answer refusal;
        refusal.set_kind(messages::ANSWER_NOT_NOW);
        refusal.set_detail("this host has too many requests at the leader");
        refusal.set_number(refusalDelay.count);
        onCompletion({true, false, false, refusal});
        return;
    }
    const auto id = ++lastExchange;
    auto &call = calls[id];
    call.envelope.set_exchange(id);
    call.envelope.set_from(settings.name);
    *call.envelope.mutable_request() = request;
    call.deadline = deadline;
    call.unsentDeadline = now + settings.unsentTimeout;
    call.onCompletion = std::move(onCompletion);
    sendCall(call, now);
}

void leader_client::sendCall(pending_call &call, time_point now)
{
    call.nextSendAt = now + settings.retryDelay;
    if (leader.empty() || now >= call.deadline) { // the next tick completes an expired one
        return;
    }
    if (hooks.send(leader, call.envelope)) {
        ++call.copiesSent;
        call.sentTo = leader;
        const auto doublings = std::min(call.copiesSent - 1, settings.maxResendDoublings);
        call.nextSendAt = now + settings.resendTimeout * (std::int64_t {1} << doublings);
    }
}

void leader_client::handleEnvelope(const std::string &address,
                                   const messages::work_envelope &envelope, time_point now)
{
    lastContactAt[address] = now;
    using body = messages::work_envelope::BodyCase;
    if (envelope.body_case() == body::kWelcome) {
        handleWelcome(address, envelope.welcome(), now);
        return;
    }
    if (envelope.body_case() == body::kAdmission) {
        hooks.requestAdmission(envelope.admission(), address);
        return;
    }
    if (envelope.body_case() == body::kCarried) {
        hooks.relayOrders(envelope.carried(), address);
        return;
    }
    const auto found = calls.find(envelope.exchange());
    if (envelope.body_case() != body::kAnswer || found == calls.end()) {
        return;
    }
    if (envelope.answer().kind() == messages::ANSWER_NO_LEADER) {
        found->second.nextSendAt = now + settings.retryDelay;
        if (leader == address) {
            leader.clear();
            nonLeader = address;
            deniedAt = now;
            nextHelloAt = std::min(nextHelloAt, now + settings.retryDelay);
        }
        return;
    }
    const auto call = std::move(found->second);
    calls.erase(found);
    call.onCompletion({true, true, call.copiesSent > 1, envelope.answer()});
}

void leader_client::handleWelcome(const std::string &address, const messages::peer_welcome &welcome,
                                  time_point now)
{
    for (const auto &member : welcome.members()) {
        if (members.insert(member.address()).second) {
            // A new member may become the leader, so it gets a hello soon.
            nextHelloAt = std::min(nextHelloAt, now + settings.retryDelay);
        }
    }
    const bool isFromLeader = welcome.leader_address() == address;
    if (welcome.leader_address().empty() || (!isFromLeader && hasLeader(now))) {
        return; // only the leader's own welcome replaces a leader that is still in contact
    }
    const bool isDenied =
        welcome.leader_address() == nonLeader && now - deniedAt < settings.helloPeriod;
    if (isDenied && !isFromLeader) {
        return; // others do not know yet that it denied leading
    }
    if (welcome.leader_address() == leader) {
        lastLeaderContactAt = isFromLeader ? now : lastLeaderContactAt;
        return;
    }
    log_line {"leader_known"}
        .with("leader", welcome.leader_address())
        .with("before", leader)
        .with("told_by", address);
    leader = welcome.leader_address();
    lastLeaderContactAt = now;
    members = {};
    for (const auto &member : welcome.members()) {
        members.insert(member.address());
    }
    for (auto &[id, call] : calls) {
        if (call.sentTo != leader) {
            sendCall(call, now);
        }
    }
}

void leader_client::sendHello(time_point now)
{
    nextHelloAt = now + (hasLeader(now) ? settings.helloPeriod : settings.leaderSearchPeriod);
    messages::work_envelope envelope;
    envelope.set_from(settings.name);
    envelope.mutable_hello()->set_name(settings.name);
    envelope.mutable_hello()->set_asks_admission(settings.canRequestAdmission);
    envelope.mutable_hello()->set_carries_orders(settings.canRelayOrders);
    envelope.mutable_hello()->set_failure_domain(settings.failureDomain);
    envelope.mutable_hello()->set_process(settings.idBase);
    envelope.mutable_hello()->set_link_mbps(settings.linkMbps);
    envelope.mutable_hello()->set_milli_cores(settings.milliCores);
    for (const auto &address : controllerAddresses()) {
        const auto lastActivityAt = std::max(lastContactAt[address], reconnectedAt[address]);
        if (now - lastActivityAt > settings.silenceTimeout) {
            hooks.reconnect(address);
            reconnectedAt[address] = now;
        }
        hooks.send(address, envelope);
    }
}

void leader_client::tick(time_point now)
{
    if (now >= nextHelloAt) {
        sendHello(now);
    }
    if (!leader.empty() && now - lastLeaderContactAt > settings.silenceTimeout) {
        log_line {"leader_silent", log_line::severity::Warning}
            .with("leader", leader)
            .with("heard_ms_ago", (now - lastLeaderContactAt).count);
        leader.clear();
    }
    std::vector<std::uint64_t> expired;
    for (auto &[id, call] : calls) {
        if (now >= call.deadline || (call.copiesSent == 0 && now >= call.unsentDeadline)) {
            expired.push_back(id);
        } else if (now >= call.nextSendAt) {
            sendCall(call, now);
        }
    }
    for (const auto id : expired) {
        const auto call = std::move(calls.at(id));
        calls.erase(id);
        call.onCompletion({false, call.copiesSent > 0, call.copiesSent > 1, {}});
    }
}

} // namespace filbert

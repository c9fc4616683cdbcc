#include "controller_links.h"

#include <algorithm>
#include <utility>

namespace filbert {

namespace {

constexpr milliseconds retryDelay {50};
constexpr milliseconds silentLeaderPause {500};
constexpr milliseconds silenceTimeout {1'000};
constexpr milliseconds switchPause {200};
constexpr int messageFormat = 1;

} // namespace

controller_links::controller_links(const std::string &name,
                                   const std::vector<std::string> &addresses,
                                   controller_transport &transport)
    : name {name}
    , addresses {addresses}
    , transport {transport}
{
    FILBERT_INVARIANT(!addresses.empty(), "at least one controller is named");
    for (const auto &address : addresses) {
        transport.connect(address);
    }
}

void controller_links::request(messages::envelope &&envelope, milliseconds timeout,
                               resend_rule rule, time_point now, handler onAnswer)
{
    const auto id = ++lastExchange;
    envelope.set_exchange(id);
    envelope.set_format(messageFormat);
    envelope.set_from(name);
    auto &added = open[id];
    added.envelope = std::move(envelope);
    added.onAnswer = std::move(onAnswer);
    added.deadline = now + timeout;
    added.rule = rule;
    trySend(added, now);
}

void controller_links::trySend(exchange &which, time_point now)
{
    which.sentAt = now;
    which.mayHaveBeenTaken = transport.send(leader(), which.envelope);
    which.unansweredSends += which.mayHaveBeenTaken ? 1 : 0;
    which.retryAt = now + retryDelay;
    if (!which.mayHaveBeenTaken && now - lastSwitch >= switchPause) {
        lastSwitch = now;
        tryNext(now);
    }
}

bool controller_links::isUnresponsive(const std::string &address, time_point now) const
{
    return address == unresponsiveAddress && now < unresponsiveUntil;
}

void controller_links::tryNext(time_point now)
{
    current = (current + 1) % addresses.size();
    if (isUnresponsive(leader(), now)) {
        current = (current + 1) % addresses.size();
    }
}

void controller_links::leaveUnresponsiveLeader(time_point now)
{
    // Others go on naming it as the leader until they elect a new one.
    unresponsiveAddress = leader();
    unresponsiveUntil = now + silenceTimeout;
    lastSwitch = now;
    for (const auto &address : addresses) {
        transport.reconnect(
            address); // whatever lost track of one connection may have lost them all
    }
    tryNext(now);
    for (auto &[id, which] : open) {
        if (which.mayHaveBeenTaken && which.rule == resend_rule::WhenUnanswered) {
            which.mayHaveBeenTaken = false;
            which.retryAt = now;
        }
    }
}

void controller_links::point(const std::string &address)
{
    const auto found = std::find(addresses.begin(), addresses.end(), address);
    if (found == addresses.end()) {
        addresses.push_back(address);
        current = addresses.size() - 1;
        return;
    }
    current = static_cast<std::size_t>(found - addresses.begin());
}

bool controller_links::handleAnswer(const std::string &address, const messages::envelope &envelope,
                                    time_point now)
{
    const auto found = open.find(envelope.exchange());
    if (found == open.end()) {
        return false;
    }
    if (envelope.body_case() == messages::envelope::kNotLeader) {
        auto &which = found->second;
        which.mayHaveBeenTaken = false;
        --which.unansweredSends;
        which.retryAt = now + retryDelay;
        const auto &hint = envelope.not_leader().address();
        if (!hint.empty() && hint != address && !isUnresponsive(hint, now)) {
            point(hint);
            which.retryAt = now;
        } else if (address == leader() && now - lastSwitch >= switchPause) {
            lastSwitch = now;
            tryNext(now);
        }
        return true;
    }
    lastAnswer = now;
    unresponsiveUntil = address == unresponsiveAddress ? time_point {} : unresponsiveUntil;
    const auto answered = std::move(found->second);
    open.erase(found);
    answered.onAnswer({}, envelope);
    return true;
}

void controller_links::tick(time_point now)
{
    std::vector<std::uint64_t> late;
    bool isLeaderSilent = false;
    for (auto &[id, which] : open) {
        if (now >= which.deadline) {
            late.push_back(id);
        } else if (!which.mayHaveBeenTaken && now >= which.retryAt) {
            trySend(which, now);
        } else if (which.mayHaveBeenTaken && now - which.sentAt >= which.patience) {
            // If nothing at all has come since, the leader may be cut off, or lead no more.
            isLeaderSilent = isLeaderSilent || lastAnswer < which.sentAt;
            if (which.rule == resend_rule::WhenUnanswered) {
                which.mayHaveBeenTaken = false;
                which.retryAt = now;
                which.patience = which.patience * 2;
            }
        }
    }
    if (isLeaderSilent && now - lastSwitch >= silentLeaderPause) {
        leaveUnresponsiveLeader(now);
    }
    for (const auto id : late) {
        const auto which = std::move(open.at(id));
        open.erase(id);
        which.onAnswer(which.unansweredSends > 0 ? error_kind::Timeout : error_kind::NoLeader, {});
    }
}

bool controller_links::isIdle() const
{
    return std::all_of(open.begin(), open.end(),
                       [](const auto &each) { return each.second.envelope.has_hello(); });
}

void controller_links::setMembers(const messages::membership &members)
{
    for (const auto &member : members.members()) {
        if (std::find(addresses.begin(), addresses.end(), member.address()) == addresses.end()) {
            addresses.push_back(member.address());
            transport.connect(member.address());
        }
    }
    if (members.members_size() == 0) {
        return;
    }
    const auto kept = leader();
    std::erase_if(addresses, [&](const auto &address) {
        return address != kept
            && std::none_of(members.members().begin(), members.members().end(),
                            [&](const auto &member) { return member.address() == address; });
    });
    point(kept);
}

} // namespace filbert

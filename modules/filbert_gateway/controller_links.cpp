#include "controller_links.h"

#include <algorithm>
#include <utility>

namespace filbert {

namespace {

/** Delay after a failed send or a redirect that names no usable address. */
constexpr milliseconds retryDelay {50};

/** Minimum time since the last switch before an unresponsive leader is left. */
constexpr milliseconds unresponsiveSwitchInterval {500};

/** Time for which redirects to an unresponsive leader are ignored. */
constexpr milliseconds unresponsivePeriod {1'000};

/** Minimum time between two switches after failed sends or redirects that name no usable address.
 */
constexpr milliseconds minSwitchInterval {200};

constexpr int messageFormat = 1;

} // namespace

controller_links::controller_links(const std::string &name,
                                   const std::vector<std::string> &addresses,
                                   controller_transport &transport)
    : name {name}
    , addresses {addresses}
    , transport {transport}
{
    FILBERT_INVARIANT(!addresses.empty(), "at least one controller address is given");
    for (const auto &address : addresses) {
        transport.connect(address);
    }
}

void controller_links::request(messages::envelope &&envelope, milliseconds timeout,
                               resend_rule rule, time_point now, handler onAnswer)
{
    const auto id = ++lastExchangeId;
    envelope.set_exchange(id);
    envelope.set_format(messageFormat);
    envelope.set_from(name);
    auto &added = pending[id];
    added.envelope = std::move(envelope);
    added.onAnswer = std::move(onAnswer);
    added.deadline = now + timeout;
    added.rule = rule;
    trySend(added, now);
}

void controller_links::trySend(pending_exchange &exchange, time_point now)
{
    exchange.sentAt = now;
    exchange.isAwaitingAnswer = transport.send(leader(), exchange.envelope);
    exchange.unansweredSends += exchange.isAwaitingAnswer ? 1 : 0;
    exchange.retryAt = now + retryDelay;
    if (!exchange.isAwaitingAnswer && now - lastSwitchAt >= minSwitchInterval) {
        lastSwitchAt = now;
        switchToNext(now);
    }
}

bool controller_links::isUnresponsive(const std::string &address, time_point now) const
{
    return address == unresponsiveAddress && now < unresponsiveUntil;
}

void controller_links::switchToNext(time_point now)
{
    leaderIndex = (leaderIndex + 1) % addresses.size();
    if (isUnresponsive(leader(), now)) {
        leaderIndex = (leaderIndex + 1) % addresses.size();
    }
}

void controller_links::leaveUnresponsiveLeader(time_point now)
{
    // The other controllers still redirect to it until they have elected a new leader.
    unresponsiveAddress = leader();
    unresponsiveUntil = now + unresponsivePeriod;
    lastSwitchAt = now;
    for (const auto &address : addresses) {
        // A fault in the network that broke one connection may have broken all of them.
        transport.reconnect(address);
    }
    switchToNext(now);
    for (auto &[id, exchange] : pending) {
        if (exchange.isAwaitingAnswer && exchange.rule == resend_rule::WhenUnanswered) {
            exchange.isAwaitingAnswer = false;
            exchange.retryAt = now;
        }
    }
}

void controller_links::switchTo(const std::string &address)
{
    const auto found = std::find(addresses.begin(), addresses.end(), address);
    if (found == addresses.end()) {
        addresses.push_back(address);
        leaderIndex = addresses.size() - 1;
        return;
    }
    leaderIndex = static_cast<std::size_t>(found - addresses.begin());
}

bool controller_links::handleAnswer(const std::string &address, const messages::envelope &envelope,
                                    time_point now)
{
    const auto found = pending.find(envelope.exchange());
    if (found == pending.end()) {
        return false;
    }
    if (envelope.body_case() == messages::envelope::kNotLeader) {
        auto &exchange = found->second;
        exchange.isAwaitingAnswer = false;
        --exchange.unansweredSends;
        exchange.retryAt = now + retryDelay;
        const auto &hint = envelope.not_leader().address();
        if (!hint.empty() && hint != address && !isUnresponsive(hint, now)) {
            switchTo(hint);
            exchange.retryAt = now;
        } else if (address == leader() && now - lastSwitchAt >= minSwitchInterval) {
            lastSwitchAt = now;
            switchToNext(now);
        }
        return true;
    }
    lastAnswerAt = now;
    unresponsiveUntil = address == unresponsiveAddress ? time_point {} : unresponsiveUntil;
    const auto answered = std::move(found->second);
    pending.erase(found);
    answered.onAnswer({}, envelope);
    return true;
}

void controller_links::tick(time_point now)
{
    std::vector<std::uint64_t> expired;
    bool isLeaderUnresponsive = false;
    for (auto &[id, exchange] : pending) {
        if (now >= exchange.deadline) {
            expired.push_back(id);
        } else if (!exchange.isAwaitingAnswer && now >= exchange.retryAt) {
            trySend(exchange, now);
        } else if (exchange.isAwaitingAnswer && now - exchange.sentAt >= exchange.answerTimeout) {
            // If no answer at all has arrived since then, the leader may be unreachable, or may no
            // longer be the leader.
            isLeaderUnresponsive = isLeaderUnresponsive || lastAnswerAt < exchange.sentAt;
            if (exchange.rule == resend_rule::WhenUnanswered) {
                exchange.isAwaitingAnswer = false;
                exchange.retryAt = now;
                exchange.answerTimeout = exchange.answerTimeout * 2;
            }
        }
    }
    if (isLeaderUnresponsive && now - lastSwitchAt >= unresponsiveSwitchInterval) {
        leaveUnresponsiveLeader(now);
    }
    for (const auto id : expired) {
        const auto exchange = std::move(pending.at(id));
        pending.erase(id);
        exchange.onAnswer(exchange.unansweredSends > 0 ? error_kind::Timeout : error_kind::NoLeader,
                          {});
    }
}

bool controller_links::isIdle() const
{
    return std::all_of(pending.begin(), pending.end(),
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
    const auto leaderAddress = leader();
    std::erase_if(addresses, [&](const auto &address) {
        return address != leaderAddress
            && std::none_of(members.members().begin(), members.members().end(),
                            [&](const auto &member) { return member.address() == address; });
    });
    switchTo(leaderAddress);
}

} // namespace filbert

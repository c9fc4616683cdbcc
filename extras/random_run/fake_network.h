#pragma once

#include "virtual_time.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace filbert {

/** Network that loses, duplicates, delays and reorders messages, and can block the links between
    hosts in one or both directions.
*/
class fake_network
{
public:
    explicit fake_network(virtual_time &time)
        : time {time}
    {
    }

    /** Sends a datagram, which may be delivered late, twice or never. */
    void send(const std::string &from, const std::string &to, const std::function<void()> &deliver)
    {
        if (isBlocked(from, to) || time.chance(lossPerMille)) {
            return;
        }
        const int copies = time.chance(lossPerMille) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const auto delay =
                1 + time.randomBelow(3) + (time.chance(lossPerMille) ? time.randomBelow(2'500) : 0);
            time.schedule(static_cast<std::int64_t>(delay), [this, from, to, deliver] {
                if (!isBlocked(from, to)) {
                    deliver();
                }
            });
        }
    }

    /** Sends over a connection, which may lose or delay a message but never duplicates it. */
    void sendOnce(const std::string &from, const std::string &to,
                  const std::function<void()> &deliver)
    {
        auto isDone = std::make_shared<bool>(false);
        send(from, to, [isDone, deliver] {
            if (!std::exchange(*isDone, true)) {
                deliver();
            }
        });
    }

    /** @return whether messages from one host to the other are discarded */
    bool isBlocked(const std::string &from, const std::string &to) const
    {
        return blockedLinks.contains({from, to}) || blockedLinks.contains({from, "*"})
            || blockedLinks.contains({"*", to});
    }

    std::set<std::pair<std::string, std::string>> blockedLinks; // sender and receiver; "*" = any
    std::uint64_t lossPerMille = 5;

private:
    virtual_time &time;
};

} // namespace filbert

#pragma once

#include "virtual_time.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace filbert {

/** Loses, doubles, delays and reorders messages, and cuts names off in one or both directions. */
class fake_network
{
public:
    explicit fake_network(virtual_time &time)
        : time {time}
    {
    }

    /** Delivers a message some time later, or never. */
    void send(const std::string &from, const std::string &to, const std::function<void()> &deliver)
    {
        if (isCut(from, to) || time.chance(lossPerMille)) {
            return;
        }
        const int copies = time.chance(lossPerMille) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const auto delay =
                1 + time.below(3) + (time.chance(lossPerMille) ? time.below(2'500) : 0);
            time.after(static_cast<std::int64_t>(delay), [this, from, to, deliver] {
                if (!isCut(from, to)) {
                    deliver();
                }
            });
        }
    }

    /** The same for a connection, which loses and delays but never doubles. */
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

    bool isCut(const std::string &from, const std::string &to) const
    {
        return cut.contains({from, to}) || cut.contains({from, "*"}) || cut.contains({"*", to});
    }

    std::set<std::pair<std::string, std::string>> cut;
    std::uint64_t lossPerMille = 5;

private:
    virtual_time &time;
};

} // namespace filbert

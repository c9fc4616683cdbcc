#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace filbert {

constexpr std::int64_t neverReturned = std::numeric_limits<std::int64_t>::max();

/** One operation of a concurrent history. */
template <typename Call>
struct history_operation
{
    std::int64_t invokedAt = 0; // any clock that all operations share
    std::int64_t returnedAt = neverReturned; // then it may have taken effect, or may not
    Call call;
};

/** Whether some order of a history's operations explains all their results: each takes effect at
   one moment between its call and its return.

    The search of Wing and Gong (1993) with the memory of Lowe (2017): configurations that were seen
    before are not tried again.

    @param history  operations in any order
    @param state    what it starts from; copyable
    @param step     `bool (State &, const Call &, bool hasReturned)`: takes the call into the state
   and says whether its result is right; of one that has not returned any result is
    @param name     `std::string (const State &)`: the same for equal states only
*/
template <typename State, typename Call, typename Step, typename Name>
class linearizability_search
{
public:
    linearizability_search(std::vector<history_operation<Call>> history, Step step, Name name)
        : history {std::move(history)}
        , step {std::move(step)}
        , name {std::move(name)}
    {
        std::sort(this->history.begin(), this->history.end(),
                  [](const auto &a, const auto &b) { return a.invokedAt < b.invokedAt; });
        isTaken.assign(this->history.size(), '0');
    }

    /** @return whether there is such an order */
    bool run(const State &state)
    {
        if (!seen.insert(isTaken + name(state)).second) {
            return false;
        }
        auto firstReturn = neverReturned;
        for (std::size_t i = 0; i < history.size(); ++i) {
            if (isTaken[i] == '0') {
                firstReturn = std::min(firstReturn, history[i].returnedAt);
            }
        }
        if (firstReturn == neverReturned) {
            return true; // what is left may never have taken effect
        }
        for (std::size_t i = 0; i < history.size() && history[i].invokedAt <= firstReturn; ++i) {
            if (isTaken[i] != '0') {
                continue;
            }
            auto next = state;
            if (!step(next, history[i].call, history[i].returnedAt != neverReturned)) {
                continue;
            }
            isTaken[i] = '1';
            if (run(next)) {
                return true;
            }
            isTaken[i] = '0';
        }
        return false;
    }

private:
    std::vector<history_operation<Call>> history;
    Step step;
    Name name;
    std::string isTaken; // a character for each operation
    std::set<std::string> seen;
};

} // namespace filbert

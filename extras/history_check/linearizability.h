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
    std::int64_t invokedAt = 0; // on a clock that all operations share
    std::int64_t returnedAt = neverReturned; // without a return, whether it took effect is unknown
    Call call;
};

/** Checks whether a concurrent history is linearizable: whether some order of its operations, each
    taking effect at one moment between its invocation and its return, explains all results.

    Implements the search of Wing and Gong (1993) with the memoisation of Lowe (2017): a combination
    of linearized operations and state that was visited before is not explored again.

    @param history  operations in any order
    @param apply    `bool (State &, const Call &, bool hasReturned)`: applies a call to the state
                    and returns whether its result is allowed; a call that has not returned may have
                    any result
    @param encode   `std::string (const State &)`: returns equal texts for equal states only
*/
template <typename State, typename Call, typename Apply, typename Encode>
class linearizability_search
{
public:
    linearizability_search(std::vector<history_operation<Call>> history, Apply apply, Encode encode)
        : history {std::move(history)}
        , apply {std::move(apply)}
        , encode {std::move(encode)}
    {
        std::sort(this->history.begin(), this->history.end(),
                  [](const auto &a, const auto &b) { return a.invokedAt < b.invokedAt; });
        isLinearized.assign(this->history.size(), '0');
    }

    /** @param state  the initial state; copyable @return whether the history is linearizable */
    bool run(const State &state)
    {
        if (!visited.insert(isLinearized + encode(state)).second) {
            return false;
        }
        auto firstReturn = neverReturned;
        for (std::size_t i = 0; i < history.size(); ++i) {
            if (isLinearized[i] == '0') {
                firstReturn = std::min(firstReturn, history[i].returnedAt);
            }
        }
        if (firstReturn == neverReturned) {
            return true; // the remaining calls never returned and may have had no effect
        }
        for (std::size_t i = 0; i < history.size() && history[i].invokedAt <= firstReturn; ++i) {
            if (isLinearized[i] != '0') {
                continue;
            }
            auto next = state;
            if (!apply(next, history[i].call, history[i].returnedAt != neverReturned)) {
                continue;
            }
            isLinearized[i] = '1';
            if (run(next)) {
                return true;
            }
            isLinearized[i] = '0';
        }
        return false;
    }

private:
    std::vector<history_operation<Call>> history;
    Apply apply;
    Encode encode;
    std::string isLinearized; // '1' or '0' for each operation
    std::set<std::string> visited;
};

} // namespace filbert

#include "request_budget.h"

#include <algorithm>
#include <limits>

namespace filbert {

namespace {

constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

// Parts of a process's memory. The rest is for its state, its code, what it makes of a request
// while it handles one, and what the allocator cannot reuse.
constexpr std::size_t bytesDivisor = 8;
constexpr std::size_t waitingDivisor = 10;
constexpr std::size_t connectionsDivisor = 4;

// What the HTTP library holds for a connection: 8 KiB for the head, its parser, and the connection.
constexpr std::size_t connectionBytes = 12 * 1024;
// A third of the descriptors is for calls to targets, connections between processes, and files.
constexpr std::size_t reservedDescriptorsDivisor = 3;

// A job of a hundred steps takes about 20 kB, and twice as much once it is decoded; a report of a
// target less than 1 kB.
constexpr std::size_t maxSmallRequestBytes = 64 * 1024;

// Connections that are ended at once when there is no room, so that the search is not repeated for
// each new one.
constexpr std::size_t connectionsPerSearch = 16;

// The HTTP library closes idle connections after 20 s; the platform announces 15 s, and 3 s for a
// head. This ends those that trickle.
constexpr milliseconds headTimeout {25'000};
constexpr milliseconds bodyTimeout {20'000}; // beside the time that its bytes may take
constexpr std::size_t minBytesPerSecond = 1024; // 64 times slower than 0.5 Mbit/s
constexpr std::size_t millisecondsPerSecond = 1'000;

bool isLarge(std::size_t bytes)
{
    return bytes > maxSmallRequestBytes;
}

void count(request_budget &budget, const held_request &request)
{
    budget.heldBytes += request.bytes;
    budget.largeBytes += isLarge(request.bytes) ? request.bytes : 0;
    if (request.stage == request_stage::Waiting) {
        ++budget.waitingRequests;
        budget.waitingBytes += request.bytes;
        budget.largeWaitingBytes += isLarge(request.bytes) ? request.bytes : 0;
    }
}

void uncount(request_budget &budget, const held_request &request)
{
    budget.heldBytes -= request.bytes;
    budget.largeBytes -= isLarge(request.bytes) ? request.bytes : 0;
    if (request.stage == request_stage::Waiting) {
        --budget.waitingRequests;
        budget.waitingBytes -= request.bytes;
        budget.largeWaitingBytes -= isLarge(request.bytes) ? request.bytes : 0;
    }
}

/** A request that may be ended, with what it has cost. */
struct candidate
{
    std::uint64_t id = 0;
    std::uint64_t connection = 0;
    std::size_t bytes = 0;
    double cost = 0; // bytes times milliseconds
};

std::vector<candidate> candidatesByCost(const request_budget &budget, time_point now)
{
    std::vector<candidate> all;
    for (const auto &[id, request] : budget.requests) {
        if (request.stage != request_stage::Waiting) {
            const auto age = std::max<std::int64_t>((now - request.since).count, 0) + 1;
            all.push_back({id, request.connection, request.bytes,
                           static_cast<double>(request.bytes) * static_cast<double>(age)});
        }
    }
    std::sort(all.begin(), all.end(), [](const auto &left, const auto &right) {
        return isLarge(left.bytes) != isLarge(right.bytes) ? isLarge(left.bytes)
                                                           : left.cost > right.cost;
    });
    return all;
}

bool isSlow(const held_request &request, time_point now)
{
    const auto transferMs = request.bytes * millisecondsPerSecond / minBytesPerSecond;
    return now - request.since > bodyTimeout + milliseconds {static_cast<std::int64_t>(transferMs)};
}

} // namespace

request_budget_settings budgetSettings(const process_limits &limits)
{
    request_budget_settings settings {unlimited, unlimited, unlimited,
                                      unlimited, unlimited, unlimited};
    if (limits.memoryBytes > 0) {
        settings.maxBytes = limits.memoryBytes / bytesDivisor;
        settings.maxLargeBytes = settings.maxBytes / 4 * 3;
        settings.maxWaitingBytes = limits.memoryBytes / waitingDivisor;
        settings.maxLargeWaitingBytes = settings.maxWaitingBytes / 2;
        settings.maxConnections = limits.memoryBytes / connectionsDivisor / connectionBytes;
    }
    if (limits.descriptors > 0) {
        const auto open = limits.descriptors - limits.descriptors / reservedDescriptorsDivisor;
        settings.maxConnections = std::min(settings.maxConnections, open);
    }
    if (settings.maxConnections != unlimited) {
        // The others can always be ended in favour of new ones.
        settings.maxWaitingRequests = settings.maxConnections / 4 * 3;
    }
    return settings;
}

const char *limitReasonName(limit_reason reason)
{
    constexpr const char *names[limitReasonCount] = {"memory", "waiting", "connections",
                                                     "deadline"};
    return names[static_cast<std::size_t>(reason)];
}

void addConnection(request_budget &budget, std::uint64_t id, time_point now)
{
    budget.connections[id] = {0, now};
}

void removeConnection(request_budget &budget, std::uint64_t id)
{
    const auto found = budget.connections.find(id);
    if (found == budget.connections.end()) {
        return;
    }
    if (found->second.requests > 0) {
        std::erase_if(budget.requests, [&](const auto &entry) {
            if (entry.second.connection == id) {
                uncount(budget, entry.second);
            }
            return entry.second.connection == id;
        });
    }
    budget.connections.erase(found);
}

void addRequest(request_budget &budget, std::uint64_t id, std::uint64_t connection, time_point now)
{
    budget.requests[id] = {connection, request_stage::Body, 0, now};
    const auto found = budget.connections.find(connection);
    if (found != budget.connections.end()) {
        ++found->second.requests;
    }
}

void setHeldBytes(request_budget &budget, std::uint64_t id, std::size_t bytes)
{
    const auto found = budget.requests.find(id);
    if (found != budget.requests.end()) {
        uncount(budget, found->second);
        found->second.bytes = bytes;
        count(budget, found->second);
    }
}

void setStage(request_budget &budget, std::uint64_t id, request_stage stage, std::size_t bytes,
              time_point now)
{
    const auto found = budget.requests.find(id);
    if (found != budget.requests.end()) {
        uncount(budget, found->second);
        found->second.stage = stage;
        found->second.bytes = bytes;
        found->second.since = now;
        count(budget, found->second);
    }
}

void removeRequest(request_budget &budget, std::uint64_t id, time_point now)
{
    const auto found = budget.requests.find(id);
    if (found == budget.requests.end()) {
        return;
    }
    uncount(budget, found->second);
    const auto connection = budget.connections.find(found->second.connection);
    if (connection != budget.connections.end() && connection->second.requests > 0) {
        --connection->second.requests;
        connection->second.since = now;
    }
    budget.requests.erase(found);
}

bool mayWait(const request_budget &budget, std::uint64_t id, std::size_t bytes)
{
    const auto found = budget.requests.find(id);
    if (found == budget.requests.end()) {
        return true;
    }
    const auto &self = found->second;
    const bool isCounted = self.stage == request_stage::Waiting;
    const auto others = budget.waitingRequests - (isCounted ? 1 : 0);
    if (others == 0) {
        return true;
    }
    const auto otherBytes = budget.waitingBytes - (isCounted ? self.bytes : 0);
    const auto otherLargeBytes =
        budget.largeWaitingBytes - (isCounted && isLarge(self.bytes) ? self.bytes : 0);
    const auto &settings = budget.settings;
    if (others >= settings.maxWaitingRequests) {
        return false;
    }
    if (isLarge(bytes)) {
        return otherLargeBytes == 0 || otherLargeBytes + bytes <= settings.maxLargeWaitingBytes;
    }
    // A large request that waits alone may exceed the part of the large ones, not that of the
    // small.
    const auto usedByLarge = std::min(otherLargeBytes, settings.maxLargeWaitingBytes);
    return otherBytes - otherLargeBytes + usedByLarge + bytes <= settings.maxWaitingBytes;
}

std::vector<std::uint64_t> requestsBeyondMemory(const request_budget &budget, time_point now)
{
    const auto &settings = budget.settings;
    auto large = budget.largeBytes;
    auto small = budget.heldBytes - budget.largeBytes;
    const auto isLargeExcess = [&] {
        return large > settings.maxLargeBytes || large + small > settings.maxBytes;
    };
    const auto isSmallExcess = [&] {
        return small + std::min(large, settings.maxLargeBytes) > settings.maxBytes;
    };
    std::vector<std::uint64_t> chosen;
    if (!isLargeExcess()) { // then there is no excess of small ones either
        return chosen;
    }
    for (const auto &entry : candidatesByCost(budget, now)) {
        if (isLarge(entry.bytes) && isLargeExcess()) {
            chosen.push_back(entry.id);
            large -= entry.bytes;
        } else if (!isLarge(entry.bytes) && isSmallExcess()) {
            chosen.push_back(entry.id);
            small -= entry.bytes;
        }
    }
    return chosen;
}

bool hasRoomForConnection(const request_budget &budget)
{
    return budget.connections.size() < budget.settings.maxConnections;
}

budget_excess connectionsBeyondLimit(const request_budget &budget, time_point now)
{
    budget_excess excess;
    if (hasRoomForConnection(budget)) {
        return excess;
    }
    std::vector<std::pair<time_point, std::uint64_t>> idle;
    for (const auto &[id, connection] : budget.connections) {
        if (connection.requests == 0) {
            idle.emplace_back(connection.since, id);
        }
    }
    const auto wanted = std::min(idle.size(), connectionsPerSearch);
    std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(wanted), idle.end());
    for (std::size_t i = 0; i < wanted; ++i) {
        excess.connections.push_back(idle[i].second);
    }
    if (excess.connections.empty()) {
        const auto candidates = candidatesByCost(budget, now);
        for (std::size_t i = 0; i < std::min(candidates.size(), connectionsPerSearch); ++i) {
            excess.connections.push_back(candidates[i].connection);
        }
    }
    return excess;
}

budget_excess expiredParts(const request_budget &budget, time_point now)
{
    budget_excess expired;
    for (const auto &[id, connection] : budget.connections) {
        if (connection.requests == 0 && now - connection.since > headTimeout) {
            expired.connections.push_back(id);
        }
    }
    for (const auto &[id, request] : budget.requests) {
        if (request.stage != request_stage::Waiting && isSlow(request, now)) {
            expired.requests.push_back(id);
        }
    }
    return expired;
}

} // namespace filbert

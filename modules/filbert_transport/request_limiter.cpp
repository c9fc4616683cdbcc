#include "request_limiter.h"

#include <malloc.h>
#include <sys/socket.h>

namespace filbert {

namespace {

constexpr milliseconds sweepPeriod {1'000}; // deadlines are tens of seconds

// Bounds what the kernel holds for a connection while the process is busy or the client does not
// read. On a path of 10 ms it allows about 6 MB/s.
constexpr int socketBufferBytes = 32 * 1024;

// Larger blocks return to the system as soon as they are freed. The C library otherwise raises this
// threshold with the largest block freed so far, and keeps them.
constexpr int mappedBlockBytes = 64 * 1024;

/** Returns the id of the connection that a request arrives on; connections are known by their
    addresses in the library. */
std::uint64_t connectionId(lws *wsi)
{
    return reinterpret_cast<std::uintptr_t>(lws_get_network_wsi(wsi));
}

void setBufferSizes(int descriptor)
{
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &socketBufferBytes, sizeof socketBufferBytes);
    setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &socketBufferBytes, sizeof socketBufferBytes);
}

} // namespace

request_limiter::request_limiter(event_loop &loop, const process_limits &limits)
    : isMemoryLimited {limits.memoryBytes > 0}
    , budget {budgetSettings(limits)}
{
    if (isMemoryLimited) {
        mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    }
    if (isMemoryLimited || limits.descriptors > 0) {
        loop.callEvery(sweepPeriod, [this] { endExpired(); });
    }
}

bool request_limiter::admitConnection(int listener, int descriptor)
{
    if (isMemoryLimited) {
        setBufferSizes(listener);
        setBufferSizes(descriptor); // this one was opened before
    }
    if (hasRoomForConnection(budget)) {
        return true;
    }
    // The library is in a callback of the listening socket, so others may be closed at once.
    for (const auto id : connectionsBeyondLimit(budget, monotonicNow()).connections) {
        endConnection(id, limit_reason::Connections, LWS_TO_KILL_SYNC);
    }
    if (hasRoomForConnection(budget)) {
        return true;
    }
    record(limit_reason::Connections, 0);
    return false;
}

void request_limiter::addConnection(limited_server &server, lws *wsi)
{
    const auto id = connectionId(wsi);
    lws_set_opaque_user_data(wsi, this);
    connections[id] = {&server, wsi};
    filbert::addConnection(budget, id, monotonicNow());
}

void request_limiter::removeConnection(lws *wsi)
{
    const auto id = reinterpret_cast<std::uintptr_t>(wsi);
    connections.erase(id);
    filbert::removeConnection(budget, id);
}

void request_limiter::removeServer(limited_server &server)
{
    std::erase_if(requests, [&](const auto &entry) {
        const bool isOwned = entry.second == &server;
        if (isOwned) {
            filbert::removeRequest(budget, entry.first, monotonicNow());
        }
        return isOwned;
    });
    std::erase_if(connections, [&](const auto &entry) {
        const bool isOwned = entry.second.server == &server;
        if (isOwned) {
            lws_set_opaque_user_data(entry.second.wsi, nullptr);
            filbert::removeConnection(budget, entry.first);
        }
        return isOwned;
    });
}

void request_limiter::addRequest(limited_server &server, std::uint64_t id, lws *wsi)
{
    requests[id] = &server;
    filbert::addRequest(budget, id, connectionId(wsi), monotonicNow());
}

void request_limiter::setBodyBytes(std::uint64_t id, std::size_t bytes)
{
    setHeldBytes(budget, id, bytes);
    enforceMemory();
}

bool request_limiter::startWaiting(std::uint64_t id)
{
    const auto found = budget.requests.find(id);
    return setWaitingBytes(id, found != budget.requests.end() ? found->second.bytes : 0);
}

bool request_limiter::setWaitingBytes(std::uint64_t id, std::size_t bytes)
{
    if (!mayWait(budget, id, bytes)) {
        record(limit_reason::Waiting, bytes);
        return false;
    }
    setStage(budget, id, request_stage::Waiting, bytes, monotonicNow());
    return true;
}

void request_limiter::startAnswer(std::uint64_t id, std::size_t bytes)
{
    setStage(budget, id, request_stage::Answer, bytes, monotonicNow());
}

void request_limiter::enforceMemory()
{
    for (const auto id : requestsBeyondMemory(budget, monotonicNow())) {
        endRequest(id, limit_reason::Memory);
    }
}

void request_limiter::removeRequest(std::uint64_t id)
{
    requests.erase(id);
    filbert::removeRequest(budget, id, monotonicNow());
}

void request_limiter::endConnection(std::uint64_t id, limit_reason reason, int whenToClose)
{
    const auto found = connections.find(id);
    if (found == connections.end()) {
        return;
    }
    record(reason, 0);
    lws_set_timeout(found->second.wsi, PENDING_TIMEOUT_USER_REASON_BASE, whenToClose);
}

void request_limiter::endRequest(std::uint64_t id, limit_reason reason)
{
    const auto owner = requests.find(id);
    const auto held = budget.requests.find(id);
    if (owner != requests.end() && held != budget.requests.end()) {
        record(reason, held->second.bytes);
        owner->second->refuseRequest(id, reason);
    }
}

void request_limiter::endExpired()
{
    const auto expired = expiredParts(budget, monotonicNow());
    for (const auto id : expired.connections) {
        endConnection(id, limit_reason::Deadline, LWS_TO_KILL_ASYNC);
    }
    for (const auto id : expired.requests) {
        endRequest(id, limit_reason::Deadline);
    }
}

void request_limiter::record(limit_reason reason, std::size_t bytes)
{
    ++totals[static_cast<std::size_t>(reason)];
    if (const auto leftOut = logLimit.admit(monotonicNow())) {
        log_line {"client_limited", log_line::severity::Warning}
            .with("reason", limitReasonName(reason))
            .with("bytes", bytes)
            .with("held_bytes", budget.heldBytes)
            .with("waiting_requests", budget.waitingRequests)
            .with("connections", budget.connections.size())
            .with("left_out", *leftOut);
    }
}

} // namespace filbert

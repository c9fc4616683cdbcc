#pragma once

#include "event_loop.h"
#include "request_budget.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace filbert {

/** A server whose requests a request_limiter may refuse. */
class limited_server
{
public:
    virtual ~limited_server() = default;

    /** Refuses a request that is not complete, or closes the connection of one whose answer is not
        read.
        @param reason  for the client */
    virtual void refuseRequest(std::uint64_t id, limit_reason reason) = 0;
};

/** How often each reason has ended or refused something. */
using limit_counts = std::array<std::uint64_t, limitReasonCount>;

/** Keeps what the clients of all servers of a process make it hold within one budget.

    Without limits it only counts. It must outlive the servers.
*/
class request_limiter
{
public:
    request_limiter(event_loop &loop, const process_limits &limits);

    /** Makes room for a connection that a client opens, and limits its buffers in the kernel.
        @param listener    listening socket, whose buffer sizes later connections inherit
        @param descriptor  of the new connection
        @return whether to accept it */
    bool admitConnection(int listener, int descriptor);

    /** Adds a connection. It must be removed before the library frees it. */
    void addConnection(limited_server &server, lws *wsi);

    /** Removes a connection, if it was added. */
    void removeConnection(lws *wsi);

    /** Removes all connections and requests of a server. */
    void removeServer(limited_server &server);

    void addRequest(limited_server &server, std::uint64_t id, lws *wsi);

    /** Sets the size of an unfinished body. May refuse requests, this one among them. */
    void setBodyBytes(std::uint64_t id, std::size_t bytes);

    /** Begins the time in which a complete request waits for its answer.
        @return whether it may; it is then counted with its size */
    bool startWaiting(std::uint64_t id);

    /** Sets what the process holds for a request that waits, if there is room for that.
        @return whether there is; otherwise the request is to be refused */
    bool setWaitingBytes(std::uint64_t id, std::size_t bytes);

    /** Begins the time in which an answer is written. @see enforceMemory */
    void startAnswer(std::uint64_t id, std::size_t bytes);

    /** Refuses or ends requests until the budget suffices. */
    void enforceMemory();

    void removeRequest(std::uint64_t id);

    const request_budget &state() const { return budget; }
    const limit_counts &counts() const { return totals; }

private:
    struct owned_connection
    {
        limited_server *server = nullptr;
        lws *wsi = nullptr;
    };

    void endConnection(std::uint64_t id, limit_reason reason, int whenToClose);
    void endRequest(std::uint64_t id, limit_reason reason);
    void endExpired();
    void record(limit_reason reason, std::size_t bytes);

    bool isMemoryLimited;
    request_budget budget;
    limit_counts totals {};
    event_limit logLimit;
    std::unordered_map<std::uint64_t, owned_connection> connections;
    std::unordered_map<std::uint64_t, limited_server *> requests;
};

} // namespace filbert

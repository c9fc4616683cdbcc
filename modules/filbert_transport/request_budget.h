#pragma once

#include "filbert_core/filbert_core.h"
#include "process_limits.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace filbert {

/** What all clients of a process together may make it hold. */
struct request_budget_settings
{
    std::size_t maxBytes = 0; // bodies, waiting requests and answers that were not read
    std::size_t maxLargeBytes = 0; // the part of maxBytes that is open to large requests
    std::size_t maxWaitingBytes = 0; // of requests that wait for their answer
    std::size_t maxLargeWaitingBytes = 0;
    std::size_t maxWaitingRequests = 0;
    std::size_t maxConnections = 0;
};

/** @param limits  of the process; an unlimited part gives an unlimited part of the budget
    @return how much clients may make the process hold */
request_budget_settings budgetSettings(const process_limits &limits);

/** How far a request has come. */
enum class request_stage { Body, Waiting, Answer };

/** A request as far as the process holds it. */
struct held_request
{
    std::uint64_t connection = 0;
    request_stage stage = request_stage::Body;
    std::size_t bytes = 0; // that are held for it
    time_point since; // start of the stage
};

/** A connection of a client. */
struct held_connection
{
    std::size_t requests = 0; // that have begun and are not answered
    time_point since; // of its begin, or of the end of its last request
};

/** Why a connection or a request is refused or ended. */
enum class limit_reason { Memory, Waiting, Connections, Deadline };
constexpr std::size_t limitReasonCount = 4;

/** @return the name of a reason in logs and metrics */
const char *limitReasonName(limit_reason reason);

/** All connections and requests of the clients of a process.

    Only the functions below change it.
*/
struct request_budget
{
    request_budget_settings settings;
    std::unordered_map<std::uint64_t, held_connection> connections;
    std::unordered_map<std::uint64_t, held_request> requests;
    std::size_t heldBytes = 0; // of all requests
    std::size_t largeBytes = 0; // of large requests
    std::size_t waitingBytes = 0;
    std::size_t largeWaitingBytes = 0;
    std::size_t waitingRequests = 0;
};

/** Connections and requests that are to be ended, by their ids. */
struct budget_excess
{
    std::vector<std::uint64_t> connections;
    std::vector<std::uint64_t> requests;
};

/** Adds a connection. @param id  unique among connections */
void addConnection(request_budget &budget, std::uint64_t id, time_point now);

/** Removes a connection and its requests. Does nothing if the id is unknown. */
void removeConnection(request_budget &budget, std::uint64_t id);

/** Adds a request that has begun.
    @param id          unique among requests
    @param connection  on which it arrives */
void addRequest(request_budget &budget, std::uint64_t id, std::uint64_t connection, time_point now);

/** Sets the bytes that are held for a request. */
void setHeldBytes(request_budget &budget, std::uint64_t id, std::size_t bytes);

/** Moves a request to a further stage.
    @param bytes  that are held for it from now on */
void setStage(request_budget &budget, std::uint64_t id, request_stage stage, std::size_t bytes,
              time_point now);

/** Removes a request. Does nothing if the id is unknown. */
void removeRequest(request_budget &budget, std::uint64_t id, time_point now);

/** @param bytes  that the process would hold for the request while it waits
    @return whether a complete request may wait for its answer. One alone always may, so that a
    request of the largest legal size is served in calm. */
bool mayWait(const request_budget &budget, std::uint64_t id, std::size_t bytes);

/** Chooses what is to be ended so that the rest fits into the budget: of the requests that are not
    complete or whose answers are not read, those that have held the most for the longest time.

    Small requests are chosen only if no large ones remain.

    @return requests in the order of their choice; empty if everything fits */
std::vector<std::uint64_t> requestsBeyondMemory(const request_budget &budget, time_point now);

/** Chooses what is to be ended so that another connection can be accepted: those without a request
    for the longest time, then those whose requests have held the most for the longest time.
    @return empty if there is room, or if all connections wait for their answers */
budget_excess connectionsBeyondLimit(const request_budget &budget, time_point now);

/** @return whether another connection can be accepted */
bool hasRoomForConnection(const request_budget &budget);

/** @return connections without a request, bodies and unread answers that have taken too long */
budget_excess expiredParts(const request_budget &budget, time_point now);

} // namespace filbert

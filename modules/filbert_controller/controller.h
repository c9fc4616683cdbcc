#pragma once

#include "controller_state.h"

#include <optional>

namespace filbert {

/** Sends a controller's messages. Messages may be lost, but not altered. */
class controller_outbox
{
public:
    virtual ~controller_outbox() = default;
    virtual void sendToMember(const messages::member &member,
                              const messages::replication_message &message) = 0;
    virtual void sendToGateway(const std::string &gateway, const messages::envelope &envelope) = 0;
};

/** A snapshot of the state that is being written, one chunk in each turn of the event loop. */
struct snapshot_in_progress
{
    std::uint64_t index = 0;
    std::string data;
};

/** One controller with its log store. It handles messages, and writes, sends and applies what
    follows in the only safe order. It reads no clock: times are passed in.

    In each turn of the event loop, call handleMessage() for each message and tick(), then flush()
    once: it syncs once for everything that came in.
*/
class controller
{
public:
    /** @param settings  timing and limits
        @param stored    contents of the store at start
        @param seed      for randomised election timeouts
        @param store     open; outlives the controller
        @param outbox    outlives the controller
        @param now       monotonic clock
    */
    controller(const controller_settings &settings, const replication_settings &replication,
               const stored_state &stored, std::uint64_t seed, log_store &store,
               controller_outbox &outbox, time_point now);

    /** Handles a message.
        @param peer  name of the gateway or identity of the member that sent it
    */
    void handleMessage(const std::string &peer, const messages::envelope &envelope, time_point now);

    /** Counts and logs a message that cannot be parsed and is dropped.
        @param peer   name of the process that sent it
        @param bytes  its size
    */
    void reportUnreadableMessage(const std::string &peer, std::size_t bytes, time_point now);

    /** Does what is due by time alone; call it every 10 to 20 ms. */
    void tick(time_point now);

    /** Schedules, syncs, sends and applies.

        @param now     monotonic clock
        @param wallMs  wall clock, for the audit trail
        @return StorageFailed if the process must stop, else no error
    */
    std::error_code flush(time_point now, std::int64_t wallMs);

    /** Rejects new work. Leadership is handed over once all pending requests are answered. */
    void prepareToStop() { state.isStopping = true; }

    /** @return whether the process can stop without interrupting service: it does not lead */
    bool isReadyToStop() const { return state.log.role != replica_role::Leader; }

    const controller_state &view() const { return state; }

private:
    void handleRequest(const reply_address &from, const messages::envelope &envelope,
                       time_point now);
    void proposePending(time_point now, std::int64_t wallMs);
    /** Removes the commands that could not be parsed from the log, and answers their callers. */
    void removeUnreadableCommands(messages::command_batch *batch,
                                  std::vector<reply_address> *replies, time_point now);
    void updateLeadership(time_point now);
    void sendAll(std::vector<messages::replication_message> *messages);
    void installSnapshot();
    void applyCommitted(time_point now);
    std::error_code compact(time_point now);
    std::error_code startSnapshot();
    std::error_code continueSnapshot();

    bool isIdle() const;

    controller_state state;
    log_store &store;
    controller_outbox &outbox;
    std::optional<snapshot_in_progress> snapshot;
    time_point earliestSnapshotAt;
};

} // namespace filbert

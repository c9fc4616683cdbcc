#pragma once

#include "controller_state.h"

#include <optional>

namespace filbert {

/** Where a controller's messages go; a message may be lost, never changed. */
class controller_outbox
{
public:
    virtual ~controller_outbox() = default;
    virtual void sendToMember(const messages::member &member,
                              const messages::replication_message &message) = 0;
    virtual void sendToGateway(const std::string &gateway, const messages::envelope &envelope) = 0;
};

/** A snapshot of the state that is being written, a part in each turn of the loop. */
struct open_snapshot
{
    std::uint64_t index = 0;
    std::string data;
};

/** One controller with its disk: takes messages and time, and carries out what follows in the one
    order that is safe. It reads no clock; the program around it does.

    Call takeMessage() and takeTime() as things happen, then flush() once for the batch: it syncs
    once for everything that came in.
*/
class controller
{
public:
    /** @param settings  times and bounds
        @param stored    what the store held at start
        @param seed      for elections
        @param store     open; outlives the controller
        @param outbox    outlives the controller
        @param now       monotonic
    */
    controller(const controller_settings &settings, const replication_settings &replication,
               const stored_state &stored, std::uint64_t seed, log_store &store,
               controller_outbox &outbox, time_point now);

    /** @param peer  name of the gateway or identity of the member that sent it */
    void takeMessage(const std::string &peer, const messages::envelope &envelope, time_point now);

    /** Lets time pass; call it every 10 to 20 ms. */
    void takeTime(time_point now);

    /** Decides, syncs, sends and applies.

        @param now     monotonic
        @param wallMs  wall clock, for the audit trail
        @return StorageFailed if the process must stop, else no error
    */
    std::error_code flush(time_point now, std::int64_t wallMs);

    /** Stops to take work; once all that is under way is answered, leadership is handed over. */
    void prepareToStop() { state.isStopping = true; }

    /** @return whether it may stop without anybody noticing */
    bool isReadyToStop() const { return state.log.role != replica_role::Leader; }

    const controller_state &view() const { return state; }

private:
    void takeRequest(const reply_address &from, const messages::envelope &envelope, time_point now);
    void proposePending(time_point now, std::int64_t wallMs);
    void takeLeadership(time_point now);
    void sendAll(std::vector<messages::replication_message> *messages);
    void install();
    void applyCommitted(time_point now);
    std::error_code compact(time_point now);
    std::error_code startSnapshot();
    std::error_code continueSnapshot();

    bool isQuiet() const;

    controller_state state;
    log_store &store;
    controller_outbox &outbox;
    std::optional<open_snapshot> snapshot;
    time_point snapshotNotBefore;
};

} // namespace filbert

#pragma once

#include "filbert_cell/filbert_cell.h"
#include "filbert_policy/filbert_policy.h"
#include "filbert_replication/filbert_replication.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace filbert {

/** Times and bounds of a controller. */
struct controller_settings
{
    policy_settings policy;
    milliseconds targetLease {4'000};
    milliseconds requestStartSpan {1'500}; // a synchronous request starts by then or not at all
    milliseconds throttleSpan {3'000}; // a throttled task is stopped if that long did not help
    milliseconds configurationLease {3'000};
    std::uint64_t snapshotEntries = 50'000;
    std::uint64_t snapshotBytes = 64 << 20;
    std::size_t snapshotPartRecords = 1'000; // read and synced in one turn of the loop
    milliseconds snapshotPause {10'000}; // after one that the disk had no room for
    std::size_t pendingCommands = 50'000;
};

/** Whom an answer goes to; exchange 0 = nobody waits. */
struct reply_address
{
    std::string gateway;
    std::uint64_t exchange = 0;
};

/** A synchronous request that waits for room or for its commit. */
struct open_dispatch
{
    reply_address replyTo;
    messages::dispatch_request request;
    time_point giveUpAt;
};

/** What the leader knows of a target beyond the replicated state. */
struct target_liveness
{
    std::string gateway; // that its last heartbeat came through
    std::int64_t clockMs = 0; // the target's own, in its last heartbeat
    time_point heardAt; // when that came
    std::int64_t epoch = 0;
    time_point leaseEnds; // by then it has surely stopped everything
    bool isHeard = false; // in this leader's time
    bool isLeaving = false;
    bool isRemovalProposed = false;
};

/** What the leader knows of a gateway. */
struct gateway_view
{
    std::int64_t version = 0;
    time_point leaseEnds;
};

/** One message to a gateway. */
struct gateway_message
{
    std::string gateway;
    messages::envelope envelope;
};

/** A command that waits for the next batch, with whom to answer. */
struct pending_command
{
    messages::command command;
    reply_address replyTo;
};

/** One controller: the replicated log, the state that it carries, and what only a leader keeps. */
struct controller_state
{
    controller_settings settings;
    replicated_log_state log;
    replication_effects effects; // not carried out yet
    cell_state cell;

    // Of a leader only; dropped when leadership ends.
    bool isLeading = false;
    time_point leadingSince;
    scheduler_state scheduler;
    std::vector<pending_command> pending;
    std::map<std::uint64_t, std::vector<reply_address>> inFlight; // by log index
    std::unordered_map<std::uint64_t, open_dispatch> dispatches; // by ticket
    std::unordered_map<std::uint64_t, std::uint64_t> dispatchOfPlacement;
    std::map<std::string, target_liveness> liveness;
    std::map<std::string, gateway_view> gateways;
    std::unordered_set<std::uint64_t> ending; // placements whose end is proposed
    std::unordered_map<std::uint64_t, time_point> throttled; // placements, since when
    std::unordered_set<std::uint64_t> stopping; // ordered to stop; said again by heartbeats
    std::uint64_t nextTicket = 0;
    bool isDiskFull = false;
    bool isStopping = false;

    std::vector<gateway_message> outbox;
};

/** Queues an answer. */
void reply(controller_state &state, const reply_address &to, messages::envelope &&envelope);

/** Queues a refusal. @param kind why @param detail for a person */
void refuse(controller_state &state, const reply_address &to, error_kind kind,
            const std::string &detail, milliseconds retryAfter = {});

/** Sends a request that was not taken to the leader, as far as one is known. */
void turnAway(controller_state &state, const reply_address &to);

/** Puts a command into the next batch. */
void proposeCommand(controller_state &state, messages::command &&command,
                    const reply_address &replyTo = {});

/** Proposes the end of a placement once. */
void proposeEnd(controller_state &state, messages::placement_end &&end,
                const reply_address &replyTo = {});

} // namespace filbert

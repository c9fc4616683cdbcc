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

/** Timing and limits of a controller. */
struct controller_settings
{
    policy_settings policy;
    milliseconds targetLease {4'000};
    // A target rejects the start of a synchronous request that arrives later than this
    // after its placement.
    milliseconds requestStartTimeout {1'500};
    // A task is stopped if throttling it for this long did not help.
    milliseconds throttleTimeout {3'000};
    milliseconds configurationLease {3'000};
    // A snapshot is due after this many applied entries, or when the log takes this many bytes.
    std::uint64_t snapshotEntries = 50'000;
    std::uint64_t snapshotBytes = 64 << 20;
    // Records of each kind in a chunk of a snapshot, which is read and synced in one turn of the
    // event loop.
    std::size_t snapshotChunkRecords = 1'000;
    milliseconds snapshotRetryDelay {10'000}; // after a snapshot failed because the disk was full
    std::size_t maxPendingCommands = 50'000; // with this many, no more tasks are placed
};

/** Where an answer goes. */
struct reply_address
{
    std::string gateway;
    std::uint64_t exchange = 0; // id of the request; 0 = no answer is expected
};

/** A synchronous request that waits for free capacity or for the commit of its placement. */
struct pending_dispatch
{
    reply_address replyTo;
    messages::dispatch_request request;
    time_point deadline;
};

/** What the leader knows of a target in addition to the replicated state. */
struct target_liveness
{
    std::string gateway; // through which the last heartbeat came
    std::int64_t clockMs = 0; // the target's clock in its last heartbeat
    time_point lastContactAt; // time of the last heartbeat
    std::int64_t epoch = 0;
    time_point leaseExpiresAt; // by then the target has certainly stopped all tasks
    bool hasHeartbeat = false; // whether a heartbeat came in this leader's term
    bool isLeaving = false;
    bool isRemovalProposed = false;
};

/** What the leader knows of a gateway. */
struct gateway_view
{
    std::int64_t version = 0; // of its configuration
    time_point leaseExpiresAt; // of its configuration lease
};

/** A message to a gateway. */
struct gateway_message
{
    std::string gateway;
    messages::envelope envelope;
};

/** A command for the next batch, and where the answer to its request goes. */
struct pending_command
{
    messages::command command;
    reply_address replyTo;
};

/** How much could not be parsed, since the process started. */
struct unreadable_counts
{
    std::uint64_t messages = 0; // from other processes; dropped
    std::uint64_t commands = 0; // not proposed, since no controller could parse them
    std::uint64_t entries = 0; // of the log; skipped by all controllers
    event_limit messageLimit; // of log lines
    event_limit commandLimit;
    event_limit entryLimit;
};

/** The state of a controller: the log, the replicated state, and the leader's own state. */
struct controller_state
{
    controller_settings settings;
    replicated_log_state log;
    replication_effects effects; // to be carried out by the next flush
    cell_state cell;
    unreadable_counts unreadable;

    // Used by a leader only; discarded when its leadership ends.
    bool isLeading = false;
    time_point leadingSince;
    scheduler_state scheduler;
    std::vector<pending_command> pending;
    // Where to send the answers to commands that are proposed but not applied yet; by log index.
    std::map<std::uint64_t, std::vector<reply_address>> inFlight;
    std::unordered_map<std::uint64_t, pending_dispatch> dispatches; // by work id
    std::unordered_map<std::uint64_t, std::uint64_t> dispatchByPlacement; // work id by placement
    std::map<std::string, target_liveness> liveness;
    std::map<std::string, gateway_view> gateways;
    std::unordered_set<std::uint64_t> proposedEnds; // placements whose end has been proposed
    std::unordered_map<std::uint64_t, time_point> throttledSince; // since when, by placement
    // Placements that were ordered to stop; answers to heartbeats repeat the order.
    std::unordered_set<std::uint64_t> stoppingPlacements;
    std::uint64_t lastWorkId = 0;
    bool isDiskFull = false;
    bool isStopping = false;

    std::vector<gateway_message> outbox;
};

/** Queues an answer to a request. */
void reply(controller_state &state, const reply_address &to, messages::envelope &&envelope);

/** Queues an error as the answer to a request.
    @param kind        of the error
    @param detail      message for a person; empty = the general one of the kind
    @param retryAfter  when the request may be sent again; 0 = not stated
*/
void refuse(controller_state &state, const reply_address &to, error_kind kind,
            const std::string &detail, milliseconds retryAfter = {});

/** Answers that the request was not handled, and names the leader if it is known. */
void redirectToLeader(controller_state &state, const reply_address &to);

/** Adds a command to the next batch. */
void proposeCommand(controller_state &state, messages::command &&command,
                    const reply_address &replyTo = {});

/** Proposes the end of a placement, unless its end has been proposed already. */
void proposeEnd(controller_state &state, messages::placement_end &&end,
                const reply_address &replyTo = {});

} // namespace filbert

#pragma once

#include "filbert_dispatch/filbert_dispatch.h"
#include "filbert_replication/filbert_replication.h"
#include "order_relay.h"
#include "work_metrics.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbert {

/** Who and where a controller is. */
struct work_controller_settings
{
    std::string name;
    std::string address; // tcp://IP:port, for messages
    dispatch_settings dispatch;
    formation_settings formation;
    order_relay_settings relay;
    milliseconds joinPeriod {200}; // between requests to join; five fit into the span they are good
};

/** What a work_controller needs from the program around it. */
struct work_controller_hooks
{
    std::function<void(const messages::member &, const messages::work_envelope &)> sendToMember;
    std::function<void(const std::string &peer, const messages::work_envelope &)> sendToPeer;
    std::function<void(const target_order &)> callTarget;
    /** @return addresses of controllers, for requests to join */
    std::function<std::vector<std::string>()> knownAddresses;
};

/** One controller: replicates the state of staged jobs, and decides while it leads.

    Feed it with messages, answers of targets and time, then call flush() once for what came in: it
    decides, syncs once, sends and applies.
*/
class work_controller
{
public:
    work_controller(const work_controller_settings &settings,
                    const replication_settings &replication, const stored_state &stored,
                    std::uint64_t seed, log_store &store, work_metrics &metrics,
                    work_controller_hooks hooks, time_point now);

    /** @param peer name of the process that sent it */
    void takeEnvelope(const std::string &peer, const messages::work_envelope &envelope,
                      time_point now, std::int64_t wallMs);

    void takeOrderAnswer(const target_order &order, const order_answer &answer, time_point now);

    /** Lets time pass; call it every 10 to 20 ms. */
    void takeTime(time_point now);

    /** @return StorageFailed if the process must stop */
    std::error_code flush(time_point now, std::int64_t wallMs);

    /** Hands leadership over; no new requests are taken. */
    void prepareToStop(time_point now);

    bool isLeading() const { return dispatch.has_value(); }
    bool isReadyToStop() const { return log.view().role != replica_role::Leader; }

    /** Bounds that the settings may change while it runs. */
    void setDispatch(const dispatch_settings &changed);

    const work_state &work() const { return state; }
    const log_member &member() const { return log; }

private:
    struct reply_to
    {
        std::string peer;
        std::uint64_t exchange = 0; // 0 = nobody waits
    };

    void takeRequest(const reply_to &from, const messages::work_request &request, time_point now,
                     std::int64_t wallMs);
    void takeJobCall(const reply_to &from, const messages::job_call &call, std::int64_t wallMs);
    void takeSubmission(const reply_to &from, const messages::job_call &call,
                        const messages::work_queue &queue, const std::string &team,
                        const std::string &id, std::int64_t wallMs);
    void takeConfiguration(const reply_to &from, const messages::work_configuration &document);
    void welcome(const std::string &peer, const messages::peer_hello &hello, time_point now);
    void sendWelcome(const std::string &peer, time_point now);
    void announceLeadership(time_point now);
    void answer(const reply_to &to, messages::work_answer &&what);
    void answerKind(const reply_to &to, messages::work_answer_kind kind,
                    const std::string &detail = {}, std::int64_t number = 0);
    void propose(messages::work_command &&command, const reply_to &to);
    void proposePending(time_point now, std::int64_t wallMs);
    void applyEntry(const messages::log_entry &entry);
    void afterApplied(const messages::work_command &command, const command_outcome &outcome,
                      const reply_to &to);
    void reviewLeadership(time_point now, std::int64_t wallMs);
    void reviewMembership(time_point now);
    void sendEffects(time_point now);
    void turnAwayAll();
    int countVoters() const;

    struct pending_command
    {
        messages::work_command command;
        reply_to replyTo;
    };

    /** A process that can call the policy service, for the term that may begin here. */
    struct policy_caller
    {
        std::uint64_t process = 0;
        time_point heardAt;
    };

    struct open_batch
    {
        std::vector<reply_to> replies;
        time_point proposedAt;
    };

    work_controller_settings settings;
    work_metrics &metrics;
    work_controller_hooks hooks;
    work_state state;
    log_member log;
    std::optional<dispatch_state> dispatch; // while leading
    std::vector<pending_command> pending;
    std::map<std::uint64_t, open_batch> inFlight; // by index of the log
    std::map<std::string, join_candidate> candidates; // by identity
    std::map<std::string, policy_caller> policyCallers; // by name
    std::map<std::string, time_point> peersHeardAt; // of processes that say hello
    time_point leadingSince;
    time_point joinAt;
    time_point flushNow; // of the flush under way, for hooks that it calls
    order_relay relay;
    bool isStopping = false;
};

} // namespace filbert

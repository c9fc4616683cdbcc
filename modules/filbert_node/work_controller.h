#pragma once

#include "filbert_dispatch/filbert_dispatch.h"
#include "filbert_replication/filbert_replication.h"
#include "order_router.h"
#include "work_metrics.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbert {

/** Identity, address and settings of a controller. */
struct work_controller_settings
{
    std::string name;
    std::string address; // tcp://IP:port, for messages of other processes
    std::set<std::string> failureDomains; // known to the operator; empty = any may be evacuated
    dispatch_settings dispatch;
    membership_settings membership;
    order_router_settings router;
    // Period of requests to join. A leader keeps a request for five times as long.
    milliseconds joinPeriod {200};
};

/** The functions that a work_controller calls in its program. */
struct work_controller_hooks
{
    /** Sends a message to another controller. */
    std::function<void(const messages::member &, const messages::work_envelope &)> sendToMember;
    /** Sends a message to a process that has contacted this controller. */
    std::function<void(const std::string &peer, const messages::work_envelope &)> sendToPeer;
    /** Calls a target from this process; the answer goes to handleOrderAnswer(). */
    std::function<void(const target_order &)> callTarget;
    /** @return addresses of controllers to which requests to join are sent */
    std::function<std::vector<std::string>()> controllerAddresses;
};

/** One controller: replicates the state of staged jobs, and schedules them while it leads.

    In each turn of the event loop, pass it the messages, the answers of targets and the time, then
    call flush() once: it schedules, syncs the log once, sends messages, applies committed commands
    and sends orders.
*/
class work_controller
{
public:
    work_controller(const work_controller_settings &settings,
                    const replication_settings &replication, const stored_state &stored,
                    std::uint64_t seed, log_store &store, work_metrics &metrics,
                    work_controller_hooks hooks, time_point now);

    /** Handles a message.
        @param peer    name of the process that sent it
        @param wallMs  wall clock
    */
    void handleEnvelope(const std::string &peer, const messages::work_envelope &envelope,
                        time_point now, std::int64_t wallMs);

    /** Handles a target's answer to an order, or its failure. */
    void handleOrderAnswer(const target_order &order, const order_answer &answer, time_point now);

    /** Does what is due by time alone; call it every 10 to 20 ms. */
    void tick(time_point now);

    /** Schedules, syncs the log once, sends messages, applies committed commands and sends orders,
        for all that was passed in since the last call.
        @return StorageFailed if the process must stop, else no error
    */
    std::error_code flush(time_point now, std::int64_t wallMs);

    /** Begins to hand leadership over to another controller; new requests are rejected. */
    void prepareToStop(time_point now);

    bool isLeading() const { return dispatch.has_value(); }

    /** @return what this term's dispatch knows, or nullptr while another controller leads */
    const dispatch_state *leadersState() const { return dispatch ? &*dispatch : nullptr; }

    /** @return whether the process can stop: it does not lead any more */
    bool isReadyToStop() const { return log.state().role != replica_role::Leader; }

    /** Changes the scheduling settings of a running controller. */
    void setDispatchSettings(const dispatch_settings &changed);

    /** Changes which failure domains may be evacuated. @param domains  see the settings */
    void setFailureDomains(std::set<std::string> domains)
    {
        settings.failureDomains = std::move(domains);
    }

    /** @return by relay of the leader's orders: the fraction of its usual orders that it gets */
    std::map<std::string, double> relayShares() const { return router.sharesByRelay(); }

    const work_state &work() const { return state; }
    const log_member &member() const { return log; }

private:
    struct answer_address
    {
        std::string peer;
        std::uint64_t exchange = 0; // id of the request; 0 = no answer is expected
    };

    /** A submission on its way to the log. */
    struct pending_submission
    {
        std::string id;
        job_access access;
    };

    void handleRequest(const answer_address &from, const messages::work_request &request,
                       time_point now, std::int64_t wallMs);
    void handleJobCall(const answer_address &from, const messages::job_call &call, time_point now,
                       std::int64_t wallMs);
    void handleSubmission(const answer_address &from, const messages::job_call &call,
                          const messages::work_queue &queue, const job_caller &caller,
                          const std::string &id, time_point now, std::int64_t wallMs);
    void refuseJob(const answer_address &from, const submission_decision &decision,
                   const std::string &id, const messages::work_queue &queue,
                   const std::string &team, const std::string &why);
    void refuseEarlyCancel(const answer_address &from);
    void refuseCancelledJob(const answer_address &from, const std::string &id);
    void handleEarlyCancel(const answer_address &from, const early_cancel &cancel);
    void reportWaits(time_point now);
    void handleConfiguration(const answer_address &from,
                             const messages::work_configuration &document);
    void handleEvacuation(const answer_address &from, const evacuation_order &order);
    void logEvacuation(const evacuation_order &order);
    known_domains knownDomains() const;
    std::string domainOfController(const std::string &name) const;
    void handleHello(const std::string &peer, const messages::peer_hello &hello, time_point now);
    void sendWelcome(const std::string &peer, time_point now);
    void forgetSilentPeers(time_point now);
    void announceLeadership(time_point now);
    void answer(const answer_address &to, messages::work_answer &&content);
    void answerKind(const answer_address &to, messages::work_answer_kind kind,
                    const std::string &detail = {}, std::int64_t number = 0);
    void propose(messages::work_command &&command, const answer_address &to);
    std::optional<job_access> findJobAccess(const std::string &id) const;
    void proposePending(time_point now, std::int64_t wallMs);
    void removeUnreadableCommands(messages::work_batch *batch, std::vector<answer_address> *replies,
                                  time_point now);
    void refuseCommand(const messages::work_command &command, const answer_address &to,
                       time_point now);
    void applyEntry(const messages::log_entry &entry);
    void logCrash(const messages::target_crashed_command &crash);
    void logSuccessors(const messages::work_configuration &configuration);
    void handleAppliedCommand(const messages::work_command &command, const command_outcome &outcome,
                              const answer_address &to);
    void handleAppliedEarlyCancel(const early_cancel &cancel, const command_outcome &outcome,
                                  const answer_address &to);
    void updateLeadership(time_point now, std::int64_t wallMs);
    void updateMembership(time_point now);
    void sendEffects(time_point now);
    void rejectPendingRequests();
    int countVoters() const;

    struct pending_command
    {
        messages::work_command command;
        answer_address replyTo;
    };

    /** A process that has sent a hello recently. Followers keep these for their next term. */
    struct known_peer
    {
        std::uint64_t process = 0; // distinguishes successive processes of one name
        bool canCallPolicy = false;
        time_point lastHelloAt;
    };

    struct proposed_batch
    {
        std::vector<answer_address> replies;
        time_point proposedAt;
        std::vector<pending_submission> submissions;
    };

    void skipEntry(const messages::log_entry &entry, const proposed_batch *proposed);

    work_controller_settings settings;
    work_metrics &metrics;
    work_controller_hooks hooks;
    work_state state;
    log_member log;
    std::optional<dispatch_state> dispatch; // while leading
    load_shedding shedding; // of this term
    std::vector<pending_command> pending;
    std::map<std::uint64_t, proposed_batch> inFlight; // proposed, not applied yet; by log index
    std::map<std::string, pending_join> pendingJoins; // for membership; by identity
    std::map<std::string, known_peer> peers; // by name of the process
    std::map<std::string, std::string> controllerDomains; // failure domains by name of the process
    time_point nextPeerReviewAt;
    time_point leadingSince;
    time_point nextJoinAt;
    event_limit refusalLimit; // of log lines
    event_limit skipLimit;
    event_limit reportLimit;
    event_limit waitLimit;
    time_point flushTime; // time of the current flush(), for the hooks of `log`
    order_router router;
    bool isStopping = false;
    bool areOrdersHeld = false; // orders wait for the lease to be renewed
};

} // namespace filbert

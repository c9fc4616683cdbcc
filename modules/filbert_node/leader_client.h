#pragma once

#include "filbert_core/filbert_core.h"
#include "filbert_messages/filbert_messages.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace filbert {

/** Identity, abilities and timing of a leader_client. */
struct leader_client_settings
{
    std::string name; // of this process, unique in the cell
    // Request ids start above this value. It must exceed every id that an earlier process of the
    // same name has used, so that late answers to that process match no request of this one.
    // Controllers also use it to tell two processes of the same name apart.
    std::uint64_t idBase = 0;
    bool canRequestAdmission = false; // whether this process can call the policy service
    bool canRelayOrders = false; // whether this process can pass a leader's orders on to targets
    std::string failureDomain; // of this process's host
    std::uint32_t linkMbps = 0; // bandwidth of this process's host; 0 = unknown
    std::uint32_t milliCores = 0; // processor share of this process's host; 0 = unknown
    // Three hellos fit into the time after which controllers consider a silent process lost.
    milliseconds helloPeriod {300};
    // Period of hellos while no leader is known. It is shorter, since requests wait meanwhile.
    milliseconds leaderSearchPeriod {100};
    // A request without an answer is sent again after this time, which is safe for every request.
    // It is several times as long as the longest commit, and doubled with each further copy: a
    // leader that is short of time would otherwise get each request several times.
    milliseconds resendTimeout {600};
    int maxResendDoublings = 3;
    milliseconds retryDelay {60}; // after an answer that the controller does not lead
    // A request that could not be sent fails after this time, which covers an election.
    milliseconds unsentTimeout {1'500};
    // A further request is refused at once, as one that has not run. 0 = unlimited.
    std::size_t maxPendingCalls = 0;
    // After this time without a message, a connection is re-established and a leader is considered
    // lost. Three hellos have then got no answer.
    milliseconds silenceTimeout {1'000};
};

/** The outcome of a request. */
struct call_result
{
    bool isAnswered = false;
    bool wasSent = false; // without an answer, the request may still have taken effect
    bool wasResent = false; // an earlier copy may have taken effect, whatever the answer says
    messages::work_answer answer;
};

/** The functions that a leader_client calls in its program. */
struct leader_client_hooks
{
    /** @return whether the message was handed to a connection */
    std::function<bool(const std::string &address, const messages::work_envelope &)> send;
    /** Replaces the connection to an address by a new one. */
    std::function<void(const std::string &address)> reconnect;
    /** Calls the policy service for the leader at an address, which gets the answer. */
    std::function<void(const messages::admission_request &, const std::string &address)>
        requestAdmission;
    /** Sends a leader's orders to their targets; the answers go to the leader's address. */
    std::function<void(const messages::carried_orders &, const std::string &address)> relayOrders;
};

/** Sends requests to whichever controller leads, and announces this process to all controllers.

    Requests are idempotent: one without an answer is sent again, to a new leader if there is one.
    Each call completes exactly once: with an answer, or without one at its deadline or when no
    leader was found in time.
*/
class leader_client
{
public:
    using call_handler = std::function<void(call_result &&)>;

    leader_client(const leader_client_settings &settings, leader_client_hooks hooks);

    /** Sets the controllers to contact first; further ones are learned from their welcomes.
        @param addresses  of controllers, as configured
    */
    void setSeeds(const std::vector<std::string> &addresses);

    /** Sends a request to the leader. One that no controller could parse is answered as malformed,
        one beyond the limit of pending requests as one that has not run.
        @param deadline      when the call completes without an answer
        @param onCompletion  called exactly once, possibly before this returns
    */
    void call(const messages::work_request &request, time_point now, time_point deadline,
              call_handler onCompletion);

    /** Announces that this process accepts no more work from the leader, before it stops. Requests
        can still be sent.
    */
    void stopAcceptingWork();

    /** Handles a message of a controller: an answer, a welcome, an admission request or orders to
        relay.
        @param address  of the controller that sent it
    */
    void handleEnvelope(const std::string &address, const messages::work_envelope &envelope,
                        time_point now);

    /** Sends what is due and completes expired calls; call it every 10 to 20 ms. */
    void tick(time_point now);

    /** @return whether a leader is known and has been in contact recently */
    bool hasLeader(time_point now) const;

    /** @return the addresses of all known controllers */
    std::set<std::string> controllerAddresses() const;

    std::size_t pendingCalls() const { return calls.size(); }

private:
    struct pending_call
    {
        messages::work_envelope envelope;
        time_point deadline;
        time_point unsentDeadline;
        time_point nextSendAt;
        std::string sentTo;
        int copiesSent = 0;
        call_handler onCompletion;
    };

    void sendCall(pending_call &call, time_point now);
    void handleWelcome(const std::string &address, const messages::peer_welcome &welcome,
                       time_point now);
    void sendHello(time_point now);

    leader_client_settings settings;
    leader_client_hooks hooks;
    std::vector<std::string> seeds;
    std::set<std::string> members;
    std::map<std::string, time_point> lastContactAt;
    std::map<std::string, time_point> reconnectedAt;
    std::string leader; // address of the leader; empty = unknown
    time_point lastLeaderContactAt;
    std::string nonLeader; // address of the last controller that denied leading
    time_point deniedAt;
    std::map<std::uint64_t, pending_call> calls;
    std::uint64_t lastExchange = 0;
    time_point nextHelloAt;
};

} // namespace filbert

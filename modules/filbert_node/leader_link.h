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

/** Times of a leader_link. */
struct leader_link_settings
{
    std::string name; // of this process, unique among all
    // Above every id that an earlier process of this name has used: its answers fit no request.
    std::uint64_t idsAbove = 0;
    bool asksAdmission = false; // whether it can call the policy service
    bool carriesOrders = false; // whether it can call targets
    std::string failureDomain; // of this process' host
    std::uint32_t linkMbps = 0; // of this process' host; 0 = not known
    milliseconds helloPeriod {300}; // three fit into the span after which a caller counts as gone
    milliseconds searchPeriod {100}; // between hellos while no leader is known: work waits
    milliseconds resendAfter {600}; // several times the longest commit; requests can be repeated
    milliseconds retryPause {60}; // after an answer that there is no leader
    milliseconds unsentSpan {1'500}; // a request waits for an election, but not longer
    milliseconds silentSpan {1'000}; // three hellos without an answer: the connection is renewed
};

/** What became of a request. */
struct link_result
{
    bool isAnswered = false;
    bool wasSent = false; // it may have been carried out though no answer came
    messages::work_answer answer;
};

/** What a leader_link needs from the program around it. */
struct leader_link_hooks
{
    std::function<bool(const std::string &address, const messages::work_envelope &)> send;
    std::function<void(const std::string &address)> reconnect;
    std::function<void(const messages::admission_request &, const std::string &address)> admit;
    std::function<void(const messages::carried_orders &, const std::string &address)> carry;
};

/** Carries requests to whichever controller leads, and says hello to all of them.

    Every request may be repeated, so that one without an answer is sent again, to the next leader
    if there is one. It ends once: with an answer, or at its deadline without.
*/
class leader_link
{
public:
    using handler = std::function<void(link_result &&)>;

    leader_link(const leader_link_settings &settings, leader_link_hooks hooks);

    /** @param addresses of controllers that the settings name; others are learned */
    void setSeeds(const std::vector<std::string> &addresses);

    /** @param deadline when the caller stops to wait @param onEnd called once, maybe at once */
    void call(const messages::work_request &request, time_point now, time_point deadline,
              handler onEnd);

    /** Says from now on that this process takes no more work for the leader, before it stops. */
    void stopServing();

    /** Takes an answer, a welcome or a request for admission. @param address it came from */
    void takeEnvelope(const std::string &address, const messages::work_envelope &envelope,
                      time_point now);

    /** Lets time pass; call it every 10 to 20 ms. */
    void takeTime(time_point now);

    /** Whether a leader was heard of lately. */
    bool hasLeader(time_point now) const;

    /** @return addresses of all controllers that are known */
    std::set<std::string> addresses() const;

    std::size_t openCalls() const { return calls.size(); }

private:
    struct open_call
    {
        messages::work_envelope envelope;
        time_point deadline;
        time_point giveUpUnsentAt;
        time_point sendAt;
        std::string sentTo;
        bool wasSent = false;
        handler onEnd;
    };

    void sendCall(open_call &call, time_point now);
    void takeWelcome(const std::string &address, const messages::peer_welcome &welcome,
                     time_point now);
    void sayHello(time_point now);

    leader_link_settings settings;
    leader_link_hooks hooks;
    std::vector<std::string> seeds;
    std::set<std::string> members;
    std::map<std::string, time_point> heardAt;
    std::map<std::string, time_point> renewedAt;
    std::string leader; // address
    time_point leaderHeardAt;
    std::string denier; // address of the last that said it leads no more, or not yet
    time_point deniedAt;
    std::map<std::uint64_t, open_call> calls;
    std::uint64_t lastExchange = 0;
    time_point helloAt;
};

} // namespace filbert

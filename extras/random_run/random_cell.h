#pragma once

#include "configuration_history.h"
#include "fake_hosts.h"
#include "fake_target.h"
#include "promise_checks.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace filbert {

constexpr int controllerCount = 3;
constexpr int gatewayCount = 2;
constexpr int targetCount = 4;
constexpr std::int64_t limitedTeamSlots = 5; // upper limit of the team "limited", in slots

/** Digest and event counts of a run. */
struct run_summary
{
    std::uint64_t digest = 0;
    std::uint64_t steps = 0; // simulated events
    std::uint64_t starts = 0; // of tasks, on all targets
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t jobs = 0;
    std::uint64_t configurations = 0; // accepted, including repeated answers to resends
    std::uint64_t faults = 0;
    std::uint64_t replacedDisks = 0; // members replaced after the loss of their disk
    std::uint64_t plannedStops = 0; // targets that were drained before they restarted
};

/** The kinds of faults that a run injects. */
struct fault_settings
{
    bool crashes = true;
    bool pauses = true;
    bool partitions = true;
    bool lostDisks = true;
    bool skipsSync = false; // planted fault: disks ignore sync requests
};

/** Deterministic simulation of a cell.

    Runs the production code of the controllers and gateways in virtual time. Disks, network,
    targets, callers and operators are fakes, and faults are injected at random.
*/
class random_cell
{
public:
    random_cell(std::uint64_t seed, const fault_settings &settings);

    /** Runs a number of events, then ends all faults and checks that all work is completed.
        A violated invariant throws std::logic_error. */
    run_summary run(std::uint64_t steps);

private:
    struct non_idempotent_request
    {
        std::string body;
        std::string key;
        int sendCount = 0;
        int notRunCount = 0;
    };

    // Hosts and messages.
    void route(const std::string &from, const std::string &to, const std::string &bytes);
    void callTarget(const std::string &from, target_call &&call,
                    const target_port::handler &onAnswer);
    http_response respondAsTarget(fake_target &target, const target_call &call,
                                  const std::function<void(http_response &&)> &later);
    void tickHosts();
    void setUp();
    void checkLeases();

    // Targets.
    void sendHeartbeat(fake_target &target);
    void announce(fake_target &target);
    void handleHeartbeatReply(fake_target &target, std::int64_t epoch, const http_response &answer);

    // Callers and operators.
    void simulateCaller();
    void sendService(const std::string &service, const std::string &body, const std::string &key,
                     const std::string &token);
    /** @param revocationNumber  identifies the revocation of the key that was in force when the
        request was sent; 0 = the key was valid */
    void handleServiceAnswer(const std::string &body, const std::string &key,
                             std::uint64_t revocationNumber, http_response &&answer);
    void submitJob();
    void cancelJob();
    void simulateOperator();
    void applyConfiguration(std::int64_t base, bool hasSpareKey, const std::string &requestId);
    void recordChangeAnswer(std::size_t number, const http_response &answer);
    void queryVersion();
    /** Polls until a version that revokes the spare key is in force; from then on the key must be
        rejected. Ends when another change has been sent, which may restore the key. */
    void pollUntilInForce(std::int64_t version, std::uint64_t change);
    messages::configuration makeConfiguration(bool hasSpareKey, int variant) const;

    // Faults.
    /** Injects a random fault and schedules the next one. */
    void injectNextFault();
    void crashController();
    /** Wipes the disk of a follower, only while all controllers run as voters and no link is
        blocked. */
    void replaceDisk();
    /** Retries until the old identity has been removed and the host is a voting member. */
    void finishReplacement(controller_host &host, const std::string &oldIdentity);
    void pauseController();
    void partitionHost();
    void heal();

    gateway_host &randomGateway();
    /** @return the leader with a valid lease, or nullptr */
    controller_host *leader();
    std::string targetNameOf(const std::string &address) const;
    void addToDigest(std::uint64_t value);

    virtual_time time;
    fault_settings faults;
    fake_network network;
    promise_checks checks;
    std::vector<std::unique_ptr<controller_host>> controllers;
    std::vector<std::unique_ptr<gateway_host>> gateways;
    std::vector<std::unique_ptr<fake_target>> targets;
    std::map<std::string, non_idempotent_request> nonIdempotentRequests;
    std::map<std::uint64_t, messages::job_submission> acceptedJobs;
    std::map<std::int64_t, std::string> digestOfVersion;
    std::map<std::string, std::int64_t> versionOfRequest;
    std::vector<history_operation<configuration_call>> configurationHistory;
    generated_key operatorKey;
    generated_key teamKey;
    generated_key spareKey;
    generated_key targetKey;
    std::int64_t knownVersion = 0;
    std::uint64_t configurationChangeCount = 0; // sent, whether accepted or not
    bool isSpareKeyRevoked = false;
    bool isReplacingMember = false;
    bool isHealed = false;
    int lastRequestNumber = 0;
    run_summary summary;
};

} // namespace filbert

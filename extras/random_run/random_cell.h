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
constexpr std::int64_t limitedTeamSlots = 5; // upper limit of the team "limited"

/** What a run came to. */
struct run_summary
{
    std::uint64_t digest = 0;
    std::uint64_t steps = 0;
    std::uint64_t starts = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t jobs = 0;
    std::uint64_t configurations = 0;
    std::uint64_t faults = 0;
    std::uint64_t replacedDisks = 0;
    std::uint64_t plannedStops = 0; // of targets
};

/** Which faults a run brings about. */
struct fault_mix
{
    bool crashes = true;
    bool pauses = true;
    bool cuts = true;
    bool lostDisks = true;
    bool skipsSync = false; // a planted fault: disks lie about what is durable
};

/** The product's own controllers and gateways in virtual time, with fakes at their interfaces:
    disks, network, targets, callers and operators, and faults among them.
*/
class random_cell
{
public:
    random_cell(std::uint64_t seed, const fault_mix &mix);

    /** Lets so many things happen, then heals everything and checks that all work ends.
        @return what happened; a broken promise throws std::logic_error */
    run_summary run(std::uint64_t steps);

private:
    struct sent_request
    {
        std::string body;
        std::string key;
        int sendings = 0;
        int notRun = 0;
    };

    // Hosts and messages.
    void route(const std::string &from, const std::string &to, const std::string &bytes);
    void callTarget(const std::string &from, target_call &&call,
                    const target_port::handler &onAnswer);
    http_response answerOfTarget(fake_target &target, const target_call &call,
                                 const std::function<void(http_response &&)> &later);
    void tickHosts();
    void setUp();
    void checkLeases();

    // Targets.
    void beat(fake_target &target);
    void announce(fake_target &target);
    void takeBeatReply(fake_target &target, std::int64_t epoch, const http_response &answer);

    // Callers and operators.
    void actAsCaller();
    void sendService(const std::string &service, const std::string &body, const std::string &key,
                     const std::string &token);
    void takeServiceAnswer(const std::string &body, const std::string &key,
                           std::uint64_t withdrawalsSeen, http_response &&answer);
    void submitJob();
    void cancelJob();
    void actAsOperator();
    void apply(std::int64_t base, bool hasSpareKey, const std::string &requestId);
    void noteChangeAnswer(std::size_t number, const http_response &answer);
    void learnVersion();
    void watchInForce(std::int64_t version, std::uint64_t change);
    messages::configuration makeConfiguration(bool hasSpareKey, int variant) const;

    // Faults.
    void actAsFate();
    void crashController();
    void replaceDisk();
    void finishReplacement(controller_host &host, const std::string &oldIdentity);
    void pauseController();
    void cutSomebody();
    void heal();

    gateway_host &anyGateway();
    controller_host *leader();
    std::string targetOf(const std::string &address) const;
    void note(std::uint64_t value);

    virtual_time time;
    fault_mix mix;
    fake_network network;
    promise_checks checks;
    std::vector<std::unique_ptr<controller_host>> controllers;
    std::vector<std::unique_ptr<gateway_host>> gateways;
    std::vector<std::unique_ptr<fake_target>> targets;
    std::map<std::string, sent_request> dieOrders;
    std::map<std::uint64_t, messages::job_submission> acceptedJobs;
    std::map<std::int64_t, std::string> digestOfVersion;
    std::map<std::string, std::int64_t> versionOfRequest;
    std::vector<history_operation<configuration_call>> changes; // checked at the end
    generated_key operatorKey;
    generated_key teamKey;
    generated_key spareKey;
    generated_key targetKey;
    std::int64_t knownVersion = 0;
    std::uint64_t configurationChanges = 0; // that may have been accepted
    bool isSpareWithdrawn = false;
    bool isReplacing = false;
    bool isQuiet = false;
    int lastBody = 0;
    run_summary summary;
};

} // namespace filbert

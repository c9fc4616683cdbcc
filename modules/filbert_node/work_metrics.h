#pragma once

#include "filbert_dispatch/filbert_dispatch.h"

#include <array>
#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace filbert {

/** @return the name of a command's kind in logs and metrics */
std::string commandName(const messages::work_command &command);

/** Prometheus metrics of a controller of staged jobs. */
class work_metrics
{
public:
    work_metrics();

    /** Counts an applied command. */
    void countCommand(const messages::work_command &command);
    void countAnswer(const std::string &kind) { answers.Add({{"kind", kind}}).Increment(); }
    /** Counts a crash of a target against a task. @param isGivenUp  whether its job fails for it */
    void countSuspicion(bool isGivenUp)
    {
        suspicions.Add({{"outcome", isGivenUp ? "given_up" : "suspected"}}).Increment();
    }
    /** Counts a report of a target that was refused, as invalid or as contrary to what is known. */
    void countRefusedReport() { refusedReports.Increment(); }
    void countRefusedJob(refusal_reason reason)
    {
        refusedJobs.Add({{"reason", std::string {reasonName(reason)}}}).Increment();
    }
    /** Records the wait of a job until its first start, if it was predicted. */
    void observeWaitError(milliseconds expected, milliseconds actual);
    void countTermLed() { termsLed.Increment(); }
    /** Counts something that cannot be parsed, or could not be by others.
        @param what  "message", "command" or "entry" */
    void countUnreadable(const std::string &what) { unreadable.Add({{"what", what}}).Increment(); }

    /** Records that a batch of commands was applied. @param duration  time since it was proposed */
    void observeCommit(milliseconds duration);

    /** Records the end of an order, with or without a target's answer.
        @param duration  time since the order was sent
    */
    void observeOrder(order_kind kind, order_result result, milliseconds duration);

    /** Sets the gauges. @param applied last log index that was applied */
    void setState(bool isLeading, std::uint64_t applied, int members, std::size_t jobs);

    /** Sets the gauges of evacuations.
        @param domains  evacuated failure domains
        @param runs     runs that go on there */
    void setEvacuation(std::size_t domains, std::size_t runs);

    /** Counts bytes exchanged with processes of another failure domain.
        @param direction  "sent" or "received" */
    void countDomainBytes(const std::string &cause, const std::string &direction,
                          const std::string &domain, std::size_t bytes);

    /** Sets the gauges of what is known of the speeds of targets. */
    void setSpeeds(const target_speeds &speeds);

    /** Sets the gauges of the relays' shares. @param shares  by name, of all present relays */
    void setRelayShares(const std::map<std::string, double> &shares);

    /** Sets the gauge of the targets that are still slow after a start; 0 on followers. */
    void setColdTargets(std::size_t count);

    /** Sets the gauges of policy calls and of gangs.
        @param leader  its dispatch; nullptr = another process leads, and all gauges are 0 */
    void setDispatch(const dispatch_state *leader);

    /** @return the times that the controller's loop spends on each activity; they are among the
        metrics */
    activity_times &activities() { return activityTimes; }

    /** @return all metrics in Prometheus' text format */
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> registry;
    activity_times activityTimes;
    prometheus::Family<prometheus::Counter> &commands;
    prometheus::Family<prometheus::Counter> &answers;
    prometheus::Family<prometheus::Counter> &orders;
    prometheus::Family<prometheus::Counter> &suspicions;
    prometheus::Family<prometheus::Counter> &unreadable;
    prometheus::Family<prometheus::Counter> &refusedJobs;
    prometheus::Family<prometheus::Histogram> &waitErrorSeconds;
    prometheus::Family<prometheus::Histogram> &orderSeconds;
    prometheus::Counter &refusedReports;
    prometheus::Counter &termsLed;
    prometheus::Histogram &commitSeconds;
    prometheus::Family<prometheus::Gauge> &state;
    prometheus::Family<prometheus::Counter> &domainBytes;
    prometheus::Family<prometheus::Gauge> &targetSpeeds;
    prometheus::Family<prometheus::Gauge> &relayShares;

    prometheus::Family<prometheus::Gauge> &policyCalls;
    prometheus::Family<prometheus::Gauge> &policyCallers;
    prometheus::Family<prometheus::Gauge> &gangs;
    prometheus::Family<prometheus::Gauge> &activitySeconds;
    prometheus::Family<prometheus::Gauge> &activityCounts;
    // The metrics that are updated most often, since it takes long to find one by its labels.
    std::map<int, prometheus::Counter *> commandCounters; // by number of the field of the command
    std::map<std::pair<order_kind, order_result>, prometheus::Counter *> orderCounters;
    std::map<order_kind, prometheus::Histogram *> orderHistograms;
    std::map<std::array<std::string, 3>, prometheus::Counter *> domainByteCounters;
    std::map<std::string, prometheus::Gauge *> relayShareGauges; // of present relays, by name
};

/** Prometheus metrics of an entry host of staged jobs. */
class entry_metrics
{
public:
    entry_metrics();

    /** Records an answer to a client.
        @param status    HTTP status
        @param duration  time from the complete request to its answer
    */
    void observeResponse(int status, milliseconds duration);

    /** Counts a message from a controller that cannot be parsed. */
    void countUnreadableMessage() { unreadableMessages.Increment(); }

    void setPendingRequests(std::size_t count) { pendingRequests.Set(static_cast<double>(count)); }

    /** @return all metrics in Prometheus' text format */
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Family<prometheus::Histogram> &answers;
    prometheus::Counter &unreadableMessages;
    prometheus::Gauge &pendingRequests;
};

} // namespace filbert

#include "work_metrics.h"

#include <prometheus/text_serializer.h>

namespace filbert {

namespace {

const prometheus::Histogram::BucketBoundaries secondsBuckets {
    0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10};
constexpr double secondsPerMillisecond = 0.001;
constexpr double secondsPerMicrosecond = 1e-6;

double secondsOf(milliseconds duration)
{
    return static_cast<double>(duration.count) * secondsPerMillisecond;
}

prometheus::Family<prometheus::Counter> &
counterFamily(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram> &
histogramFamily(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

std::string orderName(order_kind kind)
{
    constexpr const char *names[] = {"start", "stop", "look", "pace"};
    return names[static_cast<std::size_t>(kind)];
}

} // namespace

std::string commandName(const messages::work_command &command)
{
    const auto *field = messages::work_command::descriptor()->FindFieldByNumber(
        static_cast<int>(command.body_case()));
    return field != nullptr ? field->name() : "none";
}

work_metrics::work_metrics()
    : registry {std::make_shared<prometheus::Registry>()}
    , commands {counterFamily(*registry, "filbert_work_commands_total",
                              "Commands applied, by kind")}
    , answers {counterFamily(*registry, "filbert_work_answers_total",
                             "Answers to requests, by kind")}
    , orders {counterFamily(*registry, "filbert_work_orders_total",
                            "Orders to targets, by kind and result")}
    , suspicions {counterFamily(*registry, "filbert_work_suspicions_total",
                                "Crashes of targets counted against tasks, by outcome")}
    , unreadable {counterFamily(*registry, "filbert_work_unreadable_total",
                                "Messages dropped, commands refused and log entries skipped since "
                                "they cannot be parsed, by kind")}
    , refusedJobs {counterFamily(*registry, "filbert_work_refused_jobs_total",
                                 "Submissions that were refused, by reason")}
    , waitErrorSeconds {histogramFamily(*registry, "filbert_work_wait_error_seconds",
                                        "Difference between the predicted and the actual wait of a "
                                        "job until its first start, by sign")}
    , orderSeconds {histogramFamily(*registry, "filbert_work_order_seconds",
                                    "Time from an order to its answer, by kind")}
    , refusedReports {counterFamily(*registry, "filbert_work_refused_reports_total",
                                    "Reports of targets that were refused")
                          .Add({})}
    , termsLed {counterFamily(*registry, "filbert_work_terms_led_total", "Terms that it has led")
                    .Add({})}
    , commitSeconds {histogramFamily(*registry, "filbert_work_commit_seconds",
                                     "Time from a proposal to its commands being applied")
                         .Add({}, secondsBuckets)}
    , state {prometheus::BuildGauge()
                 .Name("filbert_work_state")
                 .Help("Leading (0 or 1), last index applied, members, jobs that are known, "
                       "evacuated failure domains and the runs that go on there, cold "
                       "targets")
                 .Register(*registry)}
    , domainBytes {counterFamily(*registry, "filbert_work_domain_bytes_total",
                                 "Bytes exchanged with processes of other failure domains, by "
                                 "cause, direction and domain")}
    , targetSpeeds {prometheus::BuildGauge()
                        .Name("filbert_work_target_speeds")
                        .Help("Whether speeds of targets are in use (0 or 1), known targets, and "
                              "the spread and noise of ln of their times")
                        .Register(*registry)}
    , relayShares {prometheus::BuildGauge()
                       .Name("filbert_work_relay_share")
                       .Help("Fraction of its usual orders that a relay gets, by relay")
                       .Register(*registry)}
    , policyCalls {prometheus::BuildGauge()
                       .Name("filbert_work_policy_calls")
                       .Help("In the term so far: calls of the policy service by purpose, requests "
                             "withdrawn before a call, tickets issued, tickets renewed unused")
                       .Register(*registry)}
    , policyCallers {prometheus::BuildGauge()
                         .Name("filbert_work_policy_callers")
                         .Help("Processes that can call the policy service, those without a call, "
                               "requests that wait for one")
                         .Register(*registry)}
    , gangs {prometheus::BuildGauge()
                 .Name("filbert_work_gang_reservations")
                 .Help("Gangs with reserved targets now, reservations in the term so far, "
                       "core-seconds that ended ones have left idle")
                 .Register(*registry)}
    , activitySeconds {prometheus::BuildGauge()
                           .Name("filbert_work_activity_seconds")
                           .Help("Time that the loop has spent, by activity")
                           .Register(*registry)}
    , activityCounts {prometheus::BuildGauge()
                          .Name("filbert_work_activity_count")
                          .Help("How often the loop has begun an activity")
                          .Register(*registry)}
{
}

void work_metrics::observeCommit(milliseconds duration)
{
    commitSeconds.Observe(secondsOf(duration));
}

void work_metrics::countCommand(const messages::work_command &command)
{
    auto &counter = commandCounters[static_cast<int>(command.body_case())];
    if (counter == nullptr) {
        counter = &commands.Add({{"kind", commandName(command)}});
    }
    counter->Increment();
}

void work_metrics::observeOrder(order_kind kind, order_result result, milliseconds duration)
{
    auto &counter = orderCounters[{kind, result}];
    if (counter == nullptr) {
        counter =
            &orders.Add({{"kind", orderName(kind)}, {"result", std::string {resultName(result)}}});
    }
    counter->Increment();
    auto &histogram = orderHistograms[kind];
    if (histogram == nullptr) {
        histogram = &orderSeconds.Add({{"kind", orderName(kind)}}, secondsBuckets);
    }
    histogram->Observe(secondsOf(duration));
}

void work_metrics::observeWaitError(milliseconds expected, milliseconds actual)
{
    const bool isLonger = actual > expected;
    waitErrorSeconds.Add({{"actual", isLonger ? "longer" : "shorter"}}, secondsBuckets)
        .Observe(secondsOf(isLonger ? actual - expected : expected - actual));
}

void work_metrics::setState(bool isLeading, std::uint64_t applied, int members, std::size_t jobs)
{
    state.Add({{"of", "leading"}}).Set(isLeading ? 1 : 0);
    state.Add({{"of", "applied"}}).Set(static_cast<double>(applied));
    state.Add({{"of", "members"}}).Set(members);
    state.Add({{"of", "jobs"}}).Set(static_cast<double>(jobs));
}

void work_metrics::setEvacuation(std::size_t domains, std::size_t runs)
{
    state.Add({{"of", "evacuated_domains"}}).Set(static_cast<double>(domains));
    state.Add({{"of", "runs_in_evacuated_domains"}}).Set(static_cast<double>(runs));
}

void work_metrics::countDomainBytes(const std::string &cause, const std::string &direction,
                                    const std::string &domain, std::size_t bytes)
{
    auto &counter = domainByteCounters[{cause, direction, domain}];
    if (counter == nullptr) {
        counter =
            &domainBytes.Add({{"cause", cause}, {"direction", direction}, {"domain", domain}});
    }
    counter->Increment(static_cast<double>(bytes));
}

void work_metrics::setSpeeds(const target_speeds &speeds)
{
    const auto &review = speeds.lastReview;
    targetSpeeds.Add({{"of", "in_use"}}).Set(speeds.areInUse ? 1 : 0);
    targetSpeeds.Add({{"of", "known"}}).Set(static_cast<double>(review.knownTargets));
    targetSpeeds.Add({{"of", "spread"}}).Set(review.spread);
    targetSpeeds.Add({{"of", "noise"}}).Set(review.noise);
}

void work_metrics::setRelayShares(const std::map<std::string, double> &shares)
{
    std::erase_if(relayShareGauges, [&](const auto &each) {
        const bool isGone = !shares.contains(each.first);
        if (isGone) {
            relayShares.Remove(each.second);
        }
        return isGone;
    });
    for (const auto &[relay, share] : shares) {
        auto &gauge = relayShareGauges[relay];
        gauge = gauge == nullptr ? &relayShares.Add({{"relay", relay}}) : gauge;
        gauge->Set(share);
    }
}

void work_metrics::setColdTargets(std::size_t count)
{
    state.Add({{"of", "cold_targets"}}).Set(static_cast<double>(count));
}

void work_metrics::setDispatch(const dispatch_state *leader)
{
    const auto totals = leader != nullptr ? leader->totals : dispatch_totals {};
    const auto set = [](auto &family, const char *what, auto value) {
        family.Add({{"of", what}}).Set(static_cast<double>(value));
    };
    set(policyCalls, "first", totals.firstRequests);
    set(policyCalls, "further", totals.furtherRequests);
    set(policyCalls, "renewal", totals.renewals);
    set(policyCalls, "withdrawn", totals.withdrawnRequests);
    set(policyCalls, "issued_tickets", totals.issuedTickets);
    set(policyCalls, "unused_tickets", totals.unusedTickets);
    set(policyCallers, "known", leader != nullptr ? leader->callers.size() : 0);
    set(policyCallers, "idle", leader != nullptr ? leader->idleCallers : 0);
    set(policyCallers, "waiting_requests",
        leader != nullptr ? leader->pendingAdmissions.size() - callsUnderWay(*leader) : 0);
    set(gangs, "now", leader != nullptr ? leader->gangReservations.size() : 0);
    set(gangs, "made", totals.gangReservations);
    set(gangs, "idle_core_seconds",
        static_cast<double>(totals.gangIdleCoreMs) * secondsPerMillisecond);
}

std::string work_metrics::text() const
{
    const auto totals = activityTimes.totals();
    for (std::size_t i = 0; i < activityCount; ++i) {
        const prometheus::Labels labels {
            {"activity", std::string {activityName(static_cast<activity>(i))}}};
        activitySeconds.Add(labels).Set(static_cast<double>(totals[i].microseconds)
                                        * secondsPerMicrosecond);
        activityCounts.Add(labels).Set(static_cast<double>(totals[i].count));
    }
    return prometheus::TextSerializer {}.Serialize(registry->Collect());
}

entry_metrics::entry_metrics()
    : registry {std::make_shared<prometheus::Registry>()}
    , answers {histogramFamily(*registry, "filbert_entry_answer_seconds",
                               "Time from a whole request to its answer, by status")}
    , unreadableMessages {counterFamily(*registry, "filbert_entry_unreadable_total",
                                        "Messages dropped since they cannot be parsed")
                              .Add({})}
    , pendingRequests {prometheus::BuildGauge()
                           .Name("filbert_entry_open_requests")
                           .Help("Requests that wait for the leader's answer")
                           .Register(*registry)
                           .Add({})}
{
}

void entry_metrics::observeResponse(int status, milliseconds duration)
{
    answers.Add({{"status", std::to_string(status)}}, secondsBuckets).Observe(secondsOf(duration));
}

std::string entry_metrics::text() const
{
    return prometheus::TextSerializer {}.Serialize(registry->Collect());
}

} // namespace filbert

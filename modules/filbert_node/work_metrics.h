#pragma once

#include "filbert_core/filbert_core.h"

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace filbert {

/** What a controller of staged jobs counts. */
class work_metrics
{
public:
    work_metrics();

    void countCommand(const std::string &kind) { commands.Add({{"kind", kind}}).Increment(); }
    void countAnswer(const std::string &kind) { answers.Add({{"kind", kind}}).Increment(); }
    void countElection() { elections.Increment(); }

    /** A batch of commands was applied. @param took since it was proposed */
    void observeCommit(milliseconds took);

    /** A target's answer came, or none. @param took since the order left */
    void observeOrder(const std::string &kind, const std::string &result, milliseconds took);

    void setState(bool isLeading, std::uint64_t applied, int members, std::size_t jobs);

    /** @return everything in Prometheus' text format */
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Family<prometheus::Counter> &commands;
    prometheus::Family<prometheus::Counter> &answers;
    prometheus::Family<prometheus::Counter> &orders;
    prometheus::Family<prometheus::Histogram> &orderSeconds;
    prometheus::Counter &elections;
    prometheus::Histogram &commitSeconds;
    prometheus::Family<prometheus::Gauge> &state;
};

/** What an entry host of staged jobs counts. */
class entry_metrics
{
public:
    entry_metrics();

    /** @param status of HTTP @param took from the whole request to its answer */
    void observeAnswer(int status, milliseconds took);

    void setOpenRequests(std::size_t count) { openRequests.Set(static_cast<double>(count)); }

    /** @return everything in Prometheus' text format */
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Family<prometheus::Histogram> &answers;
    prometheus::Gauge &openRequests;
};

} // namespace filbert

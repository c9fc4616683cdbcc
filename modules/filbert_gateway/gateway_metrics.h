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

/** What a gateway counts. */
class gateway_metrics
{
public:
    gateway_metrics();

    /** Counts an answered request. @param kind how it ended @param took in milliseconds */
    void countRequest(const std::string &service, error_kind kind, milliseconds took);

    /** Counts a retry of an idempotent request. */
    void countRetry() { retries.Increment(); }

    /** Counts a connection to a target that brought no answer though the target had ended the work.
     */
    void countUnresponsiveConnection() { unresponsiveConnections.Increment(); }

    void setConfigurationVersion(std::int64_t version)
    {
        configurationVersion.Set(static_cast<double>(version));
    }

    /** @return everything in Prometheus' text format */
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Family<prometheus::Counter> &requests;
    prometheus::Family<prometheus::Histogram> &latencies;
    prometheus::Counter &retries;
    prometheus::Counter &unresponsiveConnections;
    prometheus::Gauge &configurationVersion;
};

} // namespace filbert

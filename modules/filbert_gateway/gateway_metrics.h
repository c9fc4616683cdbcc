#pragma once

#include "filbert_core/filbert_core.h"

#include <functional>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <utility>

namespace filbert {

/** The Prometheus metrics of a gateway. */
class gateway_metrics
{
public:
    gateway_metrics();

    /** Counts a request that has been answered.

        @param service   name of the service
        @param kind      the outcome; None if the caller got the service's answer
        @param duration  from the complete request to its answer
    */
    void countRequest(const std::string &service, error_kind kind, milliseconds duration);

    /** Counts a request that is sent to another target after a failed attempt. */
    void countRetry() { retries.Increment(); }

    /** Counts a connection to a target that delivered no answer although the target's heartbeats
        showed that the work had ended. */
    void countUnresponsiveConnection() { unresponsiveConnections.Increment(); }

    /** Counts a message from a controller that cannot be parsed. */
    void countUnreadableMessage() { unreadableMessages.Increment(); }

    void setConfigurationVersion(std::int64_t version)
    {
        configurationVersion.Set(static_cast<double>(version));
    }

    /** Sets a function that returns further metrics, which text() appends. */
    void setFurtherText(std::function<std::string()> further) { furtherText = std::move(further); }

    /** @return all metrics in the Prometheus text format */
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> registry;
    prometheus::Family<prometheus::Counter> &requests;
    prometheus::Family<prometheus::Histogram> &latencies;
    prometheus::Counter &retries;
    prometheus::Counter &unresponsiveConnections;
    prometheus::Counter &unreadableMessages;
    prometheus::Gauge &configurationVersion;
    std::function<std::string()> furtherText;
};

} // namespace filbert

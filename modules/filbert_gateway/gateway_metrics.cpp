#include "gateway_metrics.h"

#include <prometheus/text_serializer.h>

namespace filbert {

namespace {

const prometheus::Histogram::BucketBoundaries secondsBuckets {
    0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10};
constexpr double secondsPerMillisecond = 0.001;

} // namespace

gateway_metrics::gateway_metrics()
    : registry {std::make_shared<prometheus::Registry>()}
    , requests {prometheus::BuildCounter()
                    .Name("filbert_gateway_requests_total")
                    .Help("Requests by service and how they ended")
                    .Register(*registry)}
    , latencies {prometheus::BuildHistogram()
                     .Name("filbert_gateway_request_seconds")
                     .Help("Time from a whole request to its answer")
                     .Register(*registry)}
    , retries {prometheus::BuildCounter()
                   .Name("filbert_gateway_retries_total")
                   .Help("Requests that were sent to another target")
                   .Register(*registry)
                   .Add({})}
    , unresponsiveConnections {prometheus::BuildCounter()
                                   .Name("filbert_gateway_silent_connections_total")
                                   .Help("Connections to targets that brought no answer to ended "
                                         "work")
                                   .Register(*registry)
                                   .Add({})}
    , unreadableMessages {prometheus::BuildCounter()
                              .Name("filbert_gateway_unreadable_total")
                              .Help("Messages dropped since they cannot be parsed")
                              .Register(*registry)
                              .Add({})}
    , configurationVersion {prometheus::BuildGauge()
                                .Name("filbert_gateway_configuration_version")
                                .Help("Version of the configuration in force")
                                .Register(*registry)
                                .Add({})}
{
}

void gateway_metrics::countRequest(const std::string &service, error_kind kind,
                                   milliseconds duration)
{
    requests.Add({{"service", service}, {"result", std::string {errorInfo(kind).name}}})
        .Increment();
    latencies.Add({{"service", service}}, secondsBuckets)
        .Observe(static_cast<double>(duration.count) * secondsPerMillisecond);
}

std::string gateway_metrics::text() const
{
    return prometheus::TextSerializer {}.Serialize(registry->Collect())
        + (furtherText ? furtherText() : std::string {});
}

} // namespace filbert

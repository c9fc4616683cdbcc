#include "limiter_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace filbert {

std::string limiterMetricsText(const request_limiter &limiter)
{
    prometheus::Registry registry;
    const auto &budget = limiter.state();
    const auto addGauge = [&](const std::string &name, const std::string &help, std::size_t value) {
        prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({}).Set(
            static_cast<double>(value));
    };
    addGauge("filbert_client_held_bytes", "bodies and answers held for clients", budget.heldBytes);
    addGauge("filbert_client_waiting_requests", "requests of clients that wait for an answer",
             budget.waitingRequests);
    addGauge("filbert_client_connections", "open connections of clients",
             budget.connections.size());
    auto &counters = prometheus::BuildCounter()
                         .Name("filbert_client_limited_total")
                         .Help("requests and connections of clients that a limit has ended")
                         .Register(registry);
    for (std::size_t i = 0; i < limitReasonCount; ++i) {
        counters.Add({{"reason", limitReasonName(static_cast<limit_reason>(i))}})
            .Increment(static_cast<double>(limiter.counts()[i]));
    }
    return prometheus::TextSerializer {}.Serialize(registry.Collect());
}

} // namespace filbert

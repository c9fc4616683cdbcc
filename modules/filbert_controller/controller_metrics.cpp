#include "controller_metrics.h"

#include <memory>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace filbert {

std::string controllerMetricsText(const controller_state &state)
{
    prometheus::Registry registry;
    const auto add = [&](const char *name, const char *help, double value) {
        prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({}).Set(value);
    };
    const auto &cell = state.cell;
    add("filbert_controller_is_leader", "1 on the member that leads", state.isLeading ? 1 : 0);
    add("filbert_controller_term", "Current term", static_cast<double>(state.log.term));
    add("filbert_controller_commit_index", "Last committed entry",
        static_cast<double>(state.log.commitIndex));
    add("filbert_controller_configuration_version", "Version of the configuration",
        static_cast<double>(cell.configuration.version()));
    add("filbert_controller_targets", "Known targets", static_cast<double>(cell.targets.size()));
    add("filbert_controller_placements", "Running tasks",
        static_cast<double>(cell.placements.size()));
    add("filbert_controller_jobs", "Jobs kept", static_cast<double>(cell.jobs.size()));
    add("filbert_controller_idempotency_records", "Idempotency records kept",
        static_cast<double>(cell.idempotencyRecords.size()));
    add("filbert_controller_commands_applied", "Commands applied since the first",
        static_cast<double>(cell.commandsApplied));
    add("filbert_controller_urgent_waiting", "Urgent requests that wait, on the leader",
        static_cast<double>(countWaiting(state.scheduler, work_class::Urgent)));
    add("filbert_controller_jobs_waiting", "Jobs that wait, on the leader",
        static_cast<double>(countWaiting(state.scheduler, work_class::Batch)
                            + countWaiting(state.scheduler, work_class::Gang)));
    add("filbert_controller_unreadable_messages", "Messages dropped since they cannot be parsed",
        static_cast<double>(state.unreadable.messages));
    add("filbert_controller_unreadable_commands",
        "Commands refused since no controller could parse them",
        static_cast<double>(state.unreadable.commands));
    add("filbert_controller_unreadable_entries", "Log entries skipped since they cannot be parsed",
        static_cast<double>(state.unreadable.entries));
    add("filbert_controller_disk_full", "1 while the data folder has no room",
        state.isDiskFull ? 1 : 0);
    return prometheus::TextSerializer {}.Serialize(registry.Collect());
}

} // namespace filbert

/** @file filbert-random-run: deterministic simulation of a cell with randomly injected faults.

    Runs the production code of the controllers and gateways in virtual time. A run is reproducible:
    the same seed and number of steps give the same digest.
*/

#include "random_cell.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint64(seed, 1, "first seed");
DEFINE_int32(runs, 1, "number of runs, each with the next seed");
DEFINE_uint64(steps, 100'000, "number of simulated events in each run");
DEFINE_bool(crashes, true, "inject power failures of controllers, gateways and targets");
DEFINE_bool(pauses, true, "inject pauses of controllers");
DEFINE_bool(cuts, true,
            "inject network partitions that silently discard messages in one or both directions");
DEFINE_bool(lost_disks, true, "inject disk losses, after which the member is replaced");
DEFINE_bool(stop_at_first, false, "stop at the first seed that violates an invariant");
DEFINE_bool(verbose, false, "log every event");
DEFINE_bool(plant_skipped_sync, false,
            "plant a fault: disks ignore sync requests; the checks must detect it");

int main(int argc, char **argv)
{
    using namespace filbert;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    startLog(argv[0]);
    if (!FLAGS_verbose) {
        silenceLog();
    }
    throwOnViolatedInvariant();
    const fault_settings faults {FLAGS_crashes, FLAGS_pauses, FLAGS_cuts, FLAGS_lost_disks,
                                 FLAGS_plant_skipped_sync};
    int failed = 0;
    for (std::uint64_t seed = FLAGS_seed;
         seed < FLAGS_seed + static_cast<std::uint64_t>(FLAGS_runs); ++seed) {
        try {
            const auto summary = random_cell {seed, faults}.run(FLAGS_steps);
            std::cout << "seed=" << seed << " steps=" << summary.steps << " digest=" << std::hex
                      << summary.digest << std::dec << " starts=" << summary.starts
                      << " answered=" << summary.answered << " refused=" << summary.refused
                      << " unanswered=" << summary.unanswered << " jobs=" << summary.jobs
                      << " configurations=" << summary.configurations
                      << " faults=" << summary.faults << " replaced_disks=" << summary.replacedDisks
                      << " planned_stops=" << summary.plannedStops << std::endl;
        } catch (const std::exception &error) {
            ++failed;
            std::cout << "seed=" << seed << " steps=" << FLAGS_steps
                      << " violated: " << error.what() << std::endl;
            if (FLAGS_stop_at_first) {
                break;
            }
        }
    }
    return failed == 0 ? 0 : 1;
}

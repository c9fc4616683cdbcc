/** @file filbert-random-run: a long randomised run of the product's own code in virtual time.

    The same seed and number of steps give the same digest.
*/

#include "random_cell.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint64(seed, 1, "first seed");
DEFINE_int32(runs, 1, "how many seeds, one after the other");
DEFINE_uint64(steps, 100'000, "events of each run");
DEFINE_bool(crashes, true, "controllers, gateways and targets lose power");
DEFINE_bool(pauses, true, "controllers pause");
DEFINE_bool(cuts, true, "hosts are cut off, silently, in one or both directions");
DEFINE_bool(lost_disks, true, "disks are lost and hosts replaced");
DEFINE_bool(stop_at_first, false, "end at the first seed that breaks a promise");
DEFINE_bool(verbose, false, "log every event");
DEFINE_bool(plant_skipped_sync, false, "disks lie about what is durable; must be caught");

int main(int argc, char **argv)
{
    using namespace filbert;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    startLog(argv[0]);
    if (!FLAGS_verbose) {
        silenceLog();
    }
    throwOnViolatedInvariant();
    const fault_mix mix {FLAGS_crashes, FLAGS_pauses, FLAGS_cuts, FLAGS_lost_disks,
                         FLAGS_plant_skipped_sync};
    int failed = 0;
    for (std::uint64_t seed = FLAGS_seed;
         seed < FLAGS_seed + static_cast<std::uint64_t>(FLAGS_runs); ++seed) {
        try {
            const auto summary = random_cell {seed, mix}.run(FLAGS_steps);
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

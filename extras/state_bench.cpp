/** @file filbert-state-bench: measures what the replicated state costs as it grows: its memory, the
    longest stall of the event loop while a snapshot is taken, and the time to restore the state
   from a snapshot or from a log.
*/

#include "filbert_cell/filbert_cell.h"
#include "filbert_storage/filbert_storage.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(folder, "", "empty folder for the log; it is removed at the end");
DEFINE_uint64(records, 0, "number of idempotency records");
DEFINE_uint64(placements, 0, "number of running tasks");
DEFINE_uint64(part_records, 1'000, "number of records in each chunk of the snapshot");
DEFINE_uint64(
    entries, 0,
    "number of log entries, each with the start or end of one task; above 0 = measure a restart");

namespace filbert {

namespace {

using steady = std::chrono::steady_clock;

constexpr std::uint64_t tasksPerTarget = 18;
constexpr std::uint64_t entriesPerFrame = 100;
constexpr std::size_t reservedRecordBytes = 256;
constexpr std::int64_t bytesPerKilobyte = 1'024;

double millisecondsSince(steady::time_point start)
{
    return std::chrono::duration<double, std::milli>(steady::now() - start).count();
}

std::int64_t residentKb()
{
    std::ifstream file {"/proc/self/statm"};
    std::int64_t pages = 0;
    std::int64_t resident = 0;
    file >> pages >> resident;
    constexpr std::int64_t pageBytes = 4'096;
    return resident * pageBytes / bytesPerKilobyte;
}

messages::command configure()
{
    messages::configuration configuration;
    configuration.set_cell("bench");
    auto *team = configuration.add_teams();
    team->set_name("orders");
    team->set_share(1);
    configuration.add_queues()->set_name("quotes");
    auto *service = configuration.add_services();
    service->set_name("quote");
    service->set_queue("quotes");
    messages::command command;
    auto *change = command.mutable_configuration();
    const auto items = itemsOf(configuration);
    const auto changes = changesBetween({}, items);
    change->mutable_items()->Assign(changes.begin(), changes.end());
    change->set_digest(digestOfItems(items));
    return command;
}

std::string targetName(std::uint64_t placement)
{
    return "target-" + std::to_string(placement / tasksPerTarget);
}

messages::command addTarget(std::uint64_t placement)
{
    messages::command command;
    auto *target = command.mutable_target();
    target->set_name(targetName(placement));
    target->set_address("127.0.0.1:7200");
    target->set_failure_domain("d1");
    target->set_epoch(1);
    *target->mutable_capacity() = messageOf({64'000, 128'000, 8, 64});
    target->add_services("quote");
    return command;
}

messages::command placeTask(std::uint64_t number, const std::string &key)
{
    messages::command command;
    auto *place = command.mutable_place();
    place->set_id(number + 1);
    place->set_target(targetName(number));
    place->set_target_epoch(1);
    place->set_team("orders");
    place->set_service("quote");
    *place->mutable_task() = messageOf({100, 100, 0, 1});
    place->set_idempotency_key(key);
    return command;
}

messages::command endTask(std::uint64_t number)
{
    messages::command command;
    auto *end = command.mutable_end();
    end->set_placement_id(number + 1);
    end->set_result(messages::SUCCEEDED);
    end->set_status(200);
    end->set_content_type("text/plain");
    end->set_body("order " + std::to_string(number) + " was taken");
    return command;
}

void apply(cell_state &cell, const messages::command &command)
{
    const auto outcome = applyCommand(cell, command, 1);
    FILBERT_INVARIANT(outcome.error == error_kind::None,
                      "all commands of the benchmark are accepted");
}

cell_state makeCell()
{
    cell_state cell;
    apply(cell, configure());
    std::uint64_t number = 0;
    for (; number < FLAGS_records; ++number) {
        if (number % tasksPerTarget == 0) {
            apply(cell, addTarget(0));
        }
        auto place = placeTask(number, "key-" + std::to_string(number));
        place.mutable_place()->set_target(targetName(0));
        apply(cell, place);
        apply(cell, endTask(number));
    }
    for (; number < FLAGS_records + FLAGS_placements; ++number) {
        apply(cell, addTarget(number));
        apply(cell, placeTask(number, ""));
    }
    return cell;
}

/** Measures the memory of the state and the time to take and to restore a snapshot of it. */
void benchState()
{
    const auto before = residentKb();
    auto cell = makeCell();
    const auto stateKb = residentKb() - before;
    auto start = steady::now();
    std::string data;
    data.reserve((FLAGS_records + FLAGS_placements) * reservedRecordBytes);
    data += startSnapshot(cell);
    double longestStall = millisecondsSince(start);
    int chunks = 1;
    for (bool isComplete = false; !isComplete; ++chunks) {
        start = steady::now();
        isComplete = readSnapshotChunk(cell, FLAGS_part_records, &data);
        longestStall = std::max(longestStall, millisecondsSince(start));
    }
    cell_state restored;
    start = steady::now();
    const auto error = restoreCell(data, &restored);
    FILBERT_INVARIANT(!error, "the snapshot can be restored");
    std::cout << "records=" << FLAGS_records << " placements=" << FLAGS_placements
              << " state_kb=" << stateKb << " snapshot_kb=" << data.size() / bytesPerKilobyte
              << " parts=" << chunks << " longest_stall_ms=" << longestStall
              << " restore_ms=" << millisecondsSince(start) << std::endl;
}

/** Measures a restart: writes a log as a controller does, then opens it and applies its entries. */
void benchRestart()
{
    std::error_code error;
    {
        const auto files = openDataFolder(FLAGS_folder, &error);
        log_store store {*files};
        store.initialise("bench-1");
        stored_state empty;
        storage_damage damage;
        store.open(&empty, &damage);
        std::vector<messages::log_entry> frame;
        for (std::uint64_t index = 1; index <= FLAGS_entries; ++index) {
            messages::command_batch batch;
            *batch.add_commands() = index == 1 ? configure()
                : index == 2                   ? addTarget(0)
                : index % 2 == 1               ? placeTask(index / 2 * tasksPerTarget, "")
                                               : endTask((index / 2 - 1) * tasksPerTarget);
            if (index > 2 && index % 2 == 1) {
                batch.mutable_commands(0)->mutable_place()->set_target(targetName(0));
            }
            messages::log_entry entry;
            entry.set_index(index);
            entry.set_term(1);
            entry.set_kind(messages::COMMANDS);
            entry.set_payload(batch.SerializeAsString());
            frame.push_back(std::move(entry));
            if (frame.size() == entriesPerFrame || index == FLAGS_entries) {
                FILBERT_INVARIANT(!store.append(1, "", frame), "the log entries are written");
                frame.clear();
            }
        }
    }
    const auto before = residentKb();
    const auto start = steady::now();
    const auto files = openDataFolder(FLAGS_folder, &error);
    log_store store {*files};
    stored_state stored;
    storage_damage damage;
    FILBERT_INVARIANT(!store.open(&stored, &damage), "the log can be opened again");
    const auto openMs = millisecondsSince(start);
    cell_state cell;
    for (const auto &entry : stored.entries) {
        messages::command_batch batch;
        batch.ParseFromString(entry.payload());
        apply(cell, batch.commands(0));
    }
    const auto totalMs = millisecondsSince(start);
    std::cout << "entries=" << FLAGS_entries << " log_kb=" << store.logBytes() / bytesPerKilobyte
              << " open_ms=" << openMs << " open_and_apply_ms=" << totalMs
              << " memory_kb=" << residentKb() - before << std::endl;
}

} // namespace

} // namespace filbert

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    filbert::silenceLog();
    if (FLAGS_entries > 0) {
        filbert::benchRestart();
        std::filesystem::remove_all(FLAGS_folder);
    } else {
        filbert::benchState();
    }
    return 0;
}

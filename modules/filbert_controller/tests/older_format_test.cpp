#include "filbert_cell/filbert_cell.h"
#include "filbert_storage/filbert_storage.h"

#include <catch2/catch.hpp>
#include <filesystem>

using namespace filbert;

TEST_CASE("a data folder in the first format can be read")
{
    // Written by a controller with --snapshot_entries=6: a snapshot at log index 12, then a log.
    const std::filesystem::path kept =
        FILBERT_SOURCE_FOLDER "/modules/filbert_controller/tests/data/format_1";
    const auto folder = std::filesystem::temp_directory_path()
        / ("filbert-format-" + std::to_string(monotonicNow().ms));
    std::filesystem::copy(kept, folder);
    std::error_code error;
    const auto files = openDataFolder(folder.string(), &error);
    REQUIRE(files);
    log_store store {*files};
    stored_state stored;
    storage_damage damage;
    REQUIRE_FALSE(store.open(&stored, &damage));
    CHECK(stored.identity == "c1-3e93e060990ce098");
    CHECK(stored.snapshot.index() == 12);
    cell_state cell;
    REQUIRE_FALSE(restoreCell(stored.snapshotData, &cell));
    for (const auto &entry : stored.entries) {
        messages::command_batch batch;
        REQUIRE(batch.ParseFromString(entry.payload()));
        for (const auto &command : batch.commands()) {
            applyCommand(cell, command, batch.wall_ms());
        }
    }
    checkCellInvariants(cell);
    CHECK(cell.configuration.version() == 1);
    CHECK(cell.jobs.size() == 1);
    const auto *record =
        findIdempotencyRecord(cell, idempotencyRecordKey("orders", "service/die", "die-3"));
    REQUIRE(record != nullptr);
    CHECK(record->body() == "t1 did die-3");
    CHECK(cell.idempotencyRecords.size() == 4);
    std::filesystem::remove_all(folder);
}

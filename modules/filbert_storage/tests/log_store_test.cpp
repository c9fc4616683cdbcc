#include "fake_file_system.h"

#include "property.h"
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

using namespace filbert;

namespace {

messages::log_entry entryOf(std::uint64_t index, std::uint64_t term, const std::string &payload)
{
    messages::log_entry entry;
    entry.set_index(index);
    entry.set_term(term);
    entry.set_payload(payload);
    return entry;
}

stored_state reopen(fake_file_system &files, std::error_code *error = nullptr,
                    storage_damage *damage = nullptr)
{
    log_store store {files};
    stored_state state;
    storage_damage ignoredDamage;
    const auto result = store.open(&state, damage == nullptr ? &ignoredDamage : damage);
    if (error != nullptr) {
        *error = result;
    } else {
        REQUIRE_FALSE(result);
    }
    return state;
}

void writeEntries(fake_file_system &files, std::uint64_t count)
{
    log_store store {files};
    REQUIRE_FALSE(store.initialise("c1-x"));
    stored_state state;
    storage_damage damage;
    REQUIRE_FALSE(store.open(&state, &damage));
    for (std::uint64_t i = 1; i <= count; ++i) {
        REQUIRE_FALSE(store.append(3, "me", {entryOf(i, 3, "payload-" + std::to_string(i))}));
    }
}

const std::string firstSegment = "log-00000000000000000001";

} // namespace

TEST_CASE("a folder without an identity is not opened, and a folder is initialised only once")
{
    fake_file_system files;
    std::error_code error;
    reopen(files, &error);
    CHECK(error == error_kind::NotFound);
    writeEntries(files, 0);
    CHECK(log_store {files}.initialise("other") == error_kind::Conflict);
}

TEST_CASE(
    "appended entries are read back, and a later entry replaces earlier ones from its index on")
{
    fake_file_system files;
    writeEntries(files, 5);
    log_store store {files};
    stored_state state;
    storage_damage damage;
    REQUIRE_FALSE(store.open(&state, &damage));
    REQUIRE_FALSE(store.append(4, "", {entryOf(4, 4, "new")}));
    state = reopen(files);
    REQUIRE(state.entries.size() == 4);
    CHECK(state.entries.back().payload() == "new");
    CHECK(state.term == 4);
    CHECK(state.votedFor.empty());
}

TEST_CASE("term and vote are read back, also from frames without entries")
{
    fake_file_system files;
    writeEntries(files, 1);
    CHECK(reopen(files).votedFor == "me");
    log_store store {files};
    stored_state state;
    storage_damage damage;
    REQUIRE_FALSE(store.open(&state, &damage));
    REQUIRE_FALSE(store.append(9, "another", {}));
    CHECK(reopen(files).term == 9);
    CHECK(reopen(files).votedFor == "another");
}

TEST_CASE("a torn last frame is cut off at any length")
{
    fake_file_system complete;
    writeEntries(complete, 3);
    const auto completeContent = complete.contentOf(firstSegment);
    fake_file_system shorter;
    writeEntries(shorter, 2);
    const auto keptBytes = shorter.contentOf(firstSegment).size();
    for (auto size = keptBytes + 1; size < completeContent.size(); ++size) {
        fake_file_system files;
        writeEntries(files, 3);
        files.contentOf(firstSegment).resize(size);
        const auto state = reopen(files);
        REQUIRE(state.entries.size() == 2);
        REQUIRE(state.truncatedBytes == size - keptBytes);
        REQUIRE(reopen(files).truncatedBytes == 0);
    }
}

TEST_CASE(
    "damage before valid frames is reported with file and offset, and the file is not changed")
{
    fake_file_system files;
    writeEntries(files, 3);
    auto &content = files.contentOf(firstSegment);
    content[40] ^= 1;
    const auto before = content;
    std::error_code error;
    storage_damage damage;
    reopen(files, &error, &damage);
    CHECK(error == error_kind::StorageDamaged);
    CHECK(damage.file == firstSegment);
    CHECK(damage.offset == 0);
    CHECK(files.contentOf(firstSegment) == before);
}

TEST_CASE("a full disk can be retried, a failed sync cannot")
{
    fake_file_system files;
    writeEntries(files, 2);
    log_store store {files};
    stored_state state;
    storage_damage damage;
    REQUIRE_FALSE(store.open(&state, &damage));
    files.capacity = files.bytes() + 10;
    CHECK(store.append(3, "", {entryOf(3, 3, std::string(100, 'x'))}) == error_kind::DiskFull);
    files.capacity = SIZE_MAX;
    CHECK_FALSE(store.append(3, "", {entryOf(3, 3, "fits")}));
    CHECK(reopen(files).entries.size() == 3);
    files.failSyncAt = files.syncs + 1;
    CHECK(store.append(3, "", {entryOf(4, 3, "lost")}) == error_kind::StorageFailed);
}

TEST_CASE("a snapshot in chunks is read only once it is finished, and a missing chunk is damage")
{
    fake_file_system files;
    writeEntries(files, 3);
    log_store store {files};
    stored_state state;
    storage_damage damage;
    REQUIRE_FALSE(store.open(&state, &damage));
    messages::snapshot_header header;
    header.set_index(2);
    REQUIRE_FALSE(store.startSnapshot(header));
    REQUIRE_FALSE(store.addSnapshotChunk("one "));
    REQUIRE_FALSE(store.append(3, "me", {entryOf(4, 3, "meanwhile")}));
    CHECK(reopen(files).snapshot.index() == 0);
    REQUIRE_FALSE(store.addSnapshotChunk("two"));
    const auto unfinished = files.contentOf("snapshot.tmp");
    REQUIRE_FALSE(store.finishSnapshot());
    const auto complete = reopen(files);
    CHECK(complete.snapshot.index() == 2);
    CHECK(complete.snapshotData == "one two");
    CHECK(complete.entries.size() == 2);

    const std::string name = "snapshot-00000000000000000002";
    std::error_code error;
    files.contentOf(name) = unfinished;
    reopen(files, &error, &damage);
    CHECK(error == error_kind::StorageDamaged);
    CHECK(damage.file == name);
    CHECK(damage.offset == unfinished.size());
}

TEST_CASE("invalidated entries are not read back")
{
    fake_file_system files;
    writeEntries(files, 5);
    log_store store {files};
    stored_state state;
    storage_damage damage;
    REQUIRE_FALSE(store.open(&state, &damage));
    REQUIRE_FALSE(store.truncateAfter(3));
    CHECK(reopen(files).entries.size() == 3);
    CHECK(reopen(files).term == 3);
    REQUIRE_FALSE(store.append(3, "me", {entryOf(4, 3, "again")}));
    CHECK(reopen(files).entries.back().payload() == "again");
}

TEST_CASE("a crash loses no synced data")
{
    checkProperty([] {
        std::mt19937_64 random {*rc::gen::arbitrary<std::uint64_t>()};
        fake_file_system files;
        writeEntries(files, 0);
        std::uint64_t synced = 0;
        std::uint64_t snapshotIndex = 0;
        for (int round = 0; round < 6; ++round) {
            log_store store {files};
            stored_state state;
            storage_damage damage;
            RC_ASSERT(!store.open(&state, &damage));
            RC_ASSERT(state.snapshot.index() >= snapshotIndex);
            RC_ASSERT(state.snapshot.index() + state.entries.size() >= synced);
            auto next = state.snapshot.index() + state.entries.size() + 1;
            for (auto i = random() % 20; i > 0; --i) {
                RC_ASSERT(!store.append(1, "", {entryOf(next, 1, std::string(next % 50, 'x'))}));
                synced = next++;
            }
            if (random() % 3 == 0 && synced > snapshotIndex) {
                messages::snapshot_header header;
                header.set_index(synced);
                RC_ASSERT(!store.saveSnapshot(header, "state"));
                snapshotIndex = synced;
            }
            // An append of no bytes, which is not synced before the crash.
            files.append(firstSegment, "");
            files.crash(random);
        }
    });
}

TEST_CASE("files with arbitrary damage are read as what was written, or rejected as damaged")
{
    checkProperty([] {
        constexpr std::uint64_t count = 6;
        fake_file_system files;
        writeEntries(files, count);
        const bool hasSnapshot = *rc::gen::arbitrary<bool>();
        if (hasSnapshot) {
            log_store store {files};
            stored_state state;
            storage_damage damage;
            RC_ASSERT(!store.open(&state, &damage));
            messages::snapshot_header header;
            header.set_index(2);
            RC_ASSERT(!store.saveSnapshot(header, "state at two"));
        }
        const auto name = hasSnapshot && *rc::gen::arbitrary<bool>()
            ? std::string {"snapshot-00000000000000000002"}
            : firstSegment;
        auto &content = files.contentOf(name);
        for (int changes = *rc::gen::inRange(1, 4); changes > 0; --changes) {
            const auto at = *rc::gen::inRange<std::size_t>(0, content.size());
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                content[at] = static_cast<char>(*rc::gen::inRange(0, 256));
                break;
            case 1:
                content.insert(at, *rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
                break;
            default:
                content.resize(at + 1);
            }
        }
        std::error_code error;
        const auto state = reopen(files, &error);
        RC_ASSERT(!error || error == error_kind::StorageDamaged);
        if (error) {
            return;
        }
        RC_ASSERT(!hasSnapshot || state.snapshotData == "state at two");
        auto index = state.snapshot.index();
        for (const auto &entry : state.entries) {
            RC_ASSERT(entry.index() == ++index);
            RC_ASSERT(entry.payload() == "payload-" + std::to_string(index));
        }
    });
}

TEST_CASE("a second process cannot open a data folder")
{
    const auto folder = std::filesystem::temp_directory_path()
        / ("filbert-lock-" + std::to_string(monotonicNow().ms));
    std::error_code error;
    auto first = openDataFolder(folder.string(), &error);
    REQUIRE(first);
    CHECK_FALSE(openDataFolder(folder.string(), &error));
    CHECK(error == error_kind::FolderInUse);
    first.reset();
    std::error_code again;
    CHECK(openDataFolder(folder.string(), &again));
    std::filesystem::remove_all(folder);
}

#include "filbert_cell/filbert_cell.h"

#include "property.h"
#include <catch2/catch.hpp>

using namespace filbert;

namespace {

/** A cell with low limits, one team and two targets. */
cell_state makeCell()
{
    cell_state state;
    state.limits.maxIdempotencyRecords = 8;
    state.limits.idempotencyRetentionMs = 1'000;
    state.limits.maxEndedJobs = 5;
    messages::configuration configuration;
    configuration.set_cell("c");
    auto *team = configuration.add_teams();
    team->set_name("orders");
    team->set_share(1);
    team->mutable_upper_limit()->set_slots(3);
    const auto items = changesBetween({}, itemsOf(configuration));
    messages::command command;
    auto *change = command.mutable_configuration();
    change->mutable_items()->Assign(items.begin(), items.end());
    change->set_digest(digestOfItems(itemsOf(configuration)));
    change->set_request_id("first");
    REQUIRE(applyCommand(state, command, 1).error == error_kind::None);
    for (const char *name : {"t1", "t2"}) {
        messages::command registerTarget;
        registerTarget.mutable_target()->set_name(name);
        registerTarget.mutable_target()->set_epoch(1);
        *registerTarget.mutable_target()->mutable_capacity() = messageOf({4'000, 4'000, 1, 4});
        REQUIRE(applyCommand(state, registerTarget, 1).error == error_kind::None);
    }
    return state;
}

messages::command placeCommand(std::uint64_t id, const std::string &key = "",
                               const std::string &target = "t1", int milliCores = 1'000)
{
    messages::command command;
    auto *place = command.mutable_place();
    place->set_id(id);
    place->set_target(target);
    place->set_target_epoch(1);
    place->set_team("orders");
    place->set_service("die");
    place->mutable_task()->set_milli_cores(milliCores);
    place->set_idempotency_key(key);
    place->set_request_digest("body");
    return command;
}

messages::command endCommand(std::uint64_t id, messages::task_result result)
{
    messages::command command;
    command.mutable_end()->set_placement_id(id);
    command.mutable_end()->set_result(result);
    command.mutable_end()->set_body("answer");
    return command;
}

/** Any command, valid or not. Ids come from small ranges, so that commands refer to each other. */
messages::command randomCommand(std::uint64_t number)
{
    const auto randomBelow = [](int limit) { return *rc::gen::inRange(0, limit); };
    messages::command command;
    switch (randomBelow(7)) {
    case 0:
    case 1:
        command =
            placeCommand(number, randomBelow(2) == 0 ? "key" + std::to_string(randomBelow(6)) : "",
                         randomBelow(2) == 0 ? "t1" : "t2", randomBelow(3'000));
        if (randomBelow(2) == 0) {
            command.mutable_place()->set_job_id(1 + static_cast<std::uint64_t>(randomBelow(6)));
            command.mutable_place()->set_task_index(randomBelow(3));
            command.mutable_place()->clear_idempotency_key();
            command.mutable_place()->set_idempotent(randomBelow(2) == 0);
        }
        break;
    case 2:
    case 3:
        command = endCommand(static_cast<std::uint64_t>(randomBelow(static_cast<int>(number) + 1)),
                             static_cast<messages::task_result>(randomBelow(4)));
        break;
    case 4:
        command.mutable_submit()->set_team("orders");
        command.mutable_submit()->set_tasks(1 + randomBelow(3));
        command.mutable_submit()->set_idempotency_key("job" + std::to_string(randomBelow(9)));
        break;
    case 5:
        command.mutable_change()->set_id(1 + static_cast<std::uint64_t>(randomBelow(6)));
        command.mutable_change()->set_action(static_cast<messages::job_action>(randomBelow(3)));
        break;
    default:
        if (randomBelow(3) == 0) {
            command.set_remove_target("t2");
        } else {
            command.mutable_target()->set_name("t2");
            command.mutable_target()->set_epoch(1 + randomBelow(3));
            *command.mutable_target()->mutable_capacity() =
                messageOf({1'000 * randomBelow(6), 4'000, 1, 1 + randomBelow(5)});
        }
    }
    return command;
}

} // namespace

TEST_CASE("random commands keep all totals consistent, and a snapshot restores the whole state")
{
    checkProperty([] {
        auto state = makeCell();
        auto restoredCell = state;
        const auto count = *rc::gen::inRange(1, 120);
        for (int i = 1; i <= count; ++i) {
            const auto command = randomCommand(static_cast<std::uint64_t>(i));
            const auto wallMs = 10 + i * 20;
            applyCommand(state, command, wallMs);
            checkCellInvariants(state);
            applyCommand(restoredCell, command, wallMs);
            if (i % 10 == 0) { // a restored member must continue exactly like the others
                const auto data = serializeCell(restoredCell);
                RC_ASSERT(!restoreCell(data, &restoredCell));
                RC_ASSERT(serializeCell(restoredCell) == serializeCell(state));
            }
            RC_ASSERT(restoredCell.digest == state.digest);
        }
    });
}

TEST_CASE("a snapshot read in chunks holds the state at its start, whatever changes meanwhile")
{
    checkProperty([] {
        auto state = makeCell();
        const auto applyRandomCommand = [&state](int number) {
            applyCommand(state, randomCommand(static_cast<std::uint64_t>(number)), 10 + number);
        };
        int number = 0;
        for (const int commandCount = *rc::gen::inRange(1, 60); number < commandCount;) {
            applyRandomCommand(++number);
        }
        const auto expected = serializeCell(state);
        auto data = startSnapshot(state);
        const auto maxRecords = static_cast<std::size_t>(*rc::gen::inRange(1, 4));
        while (!readSnapshotChunk(state, maxRecords, &data)) {
            for (int further = *rc::gen::inRange(0, 6); further > 0; --further) {
                applyRandomCommand(++number);
            }
        }
        cell_state restored;
        RC_ASSERT(!restoreCell(data, &restored));
        RC_ASSERT(serializeCell(restored) == expected);
        RC_ASSERT(readSnapshotChunk(state, maxRecords, &data)); // the snapshot has ended
    });
}

TEST_CASE("an idempotency key runs once, repeats its answer, and can be reused only after NOT_RUN")
{
    auto state = makeCell();
    CHECK(applyCommand(state, placeCommand(1, "k"), 10).error == error_kind::None);
    CHECK(applyCommand(state, placeCommand(2, "k"), 11).error == error_kind::OutcomeUnknown);
    auto other = placeCommand(3, "k");
    other.mutable_place()->set_request_digest("another body");
    CHECK(applyCommand(state, other, 12).error == error_kind::KeyReused);
    applyCommand(state, endCommand(1, messages::SUCCEEDED), 13);
    const auto retry = applyCommand(state, placeCommand(4, "k"), 14);
    CHECK(retry.isDuplicate);
    CHECK(retry.storedRecord.body() == "answer");

    applyCommand(state, placeCommand(5, "n"), 15);
    applyCommand(state, endCommand(5, messages::NOT_RUN), 16);
    CHECK(applyCommand(state, placeCommand(6, "n"), 17).error == error_kind::None);
    applyCommand(state, endCommand(6, messages::UNKNOWN), 18);
    CHECK(applyCommand(state, placeCommand(7, "n"), 19).error == error_kind::OutcomeUnknown);
}

TEST_CASE("a full table of idempotency records rejects work and discards no valid record")
{
    auto state = makeCell();
    for (std::uint64_t i = 1; i <= 8; ++i) {
        applyCommand(state, placeCommand(i, "k" + std::to_string(i)), 10);
        applyCommand(state, endCommand(i, messages::SUCCEEDED), 10);
    }
    CHECK(applyCommand(state, placeCommand(9, "k9"), 11).error == error_kind::Overloaded);
    CHECK(applyCommand(state, placeCommand(10, "k9"), 5'000).error == error_kind::None); // expired
}

TEST_CASE("a placement above a team's limit or a target's capacity is rejected when it is applied")
{
    auto state = makeCell();
    CHECK(applyCommand(state, placeCommand(1, "", "t1", 3'000), 1).error == error_kind::None);
    CHECK(applyCommand(state, placeCommand(2, "", "t1", 2'000), 1).error == error_kind::NoCapacity);
    CHECK(applyCommand(state, placeCommand(3, "", "t2"), 1).error == error_kind::None);
    CHECK(applyCommand(state, placeCommand(4, "", "t2"), 1).error == error_kind::None);
    CHECK(applyCommand(state, placeCommand(5, "", "t2"), 1).error == error_kind::LimitReached);
}

TEST_CASE("the placements of a gang are applied all or none")
{
    auto state = makeCell();
    messages::command submit;
    submit.mutable_submit()->set_team("orders");
    submit.mutable_submit()->set_tasks(3);
    const auto job = applyCommand(state, submit, 1).jobId;
    messages::command gang;
    for (int i = 0; i < 3; ++i) {
        auto *place = gang.mutable_place_gang()->add_placements();
        *place = placeCommand(static_cast<std::uint64_t>(i) + 1, "", "t1", 1'500).place();
        place->set_job_id(job);
        place->set_task_index(i);
    }
    CHECK(applyCommand(state, gang, 2).error == error_kind::NoCapacity);
    CHECK(state.placements.empty());
    checkCellInvariants(state);
    gang.mutable_place_gang()->mutable_placements(2)->set_target("t2");
    CHECK(applyCommand(state, gang, 3).error == error_kind::None);
    CHECK(state.placements.size() == 3);
}

TEST_CASE("of two changes of the same base version one is accepted; a retry gets the first answer")
{
    auto state = makeCell();
    messages::command change;
    change.mutable_configuration()->set_base_version(1);
    change.mutable_configuration()->set_digest(state.configuration.digest());
    change.mutable_configuration()->set_request_id("a");
    change.mutable_configuration()->set_author("anna");
    CHECK(applyCommand(state, change, 5).version == 2);
    auto competing = change;
    competing.mutable_configuration()->set_request_id("b");
    const auto refused = applyCommand(state, competing, 6);
    CHECK(refused.error == error_kind::Conflict);
    CHECK(refused.detail.find("anna") != std::string::npos);
    const auto resent = applyCommand(state, change, 7);
    CHECK(resent.error == error_kind::None);
    CHECK(resent.version == 2);
    CHECK(state.configuration.version() == 2);
}

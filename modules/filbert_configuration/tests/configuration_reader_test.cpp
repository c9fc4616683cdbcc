#include "filbert_configuration/filbert_configuration.h"

#include "property.h"
#include <catch2/catch.hpp>

using namespace filbert;

namespace {

constexpr const char *small = R"(cell: morava
teams:
  - {name: orders, share: 2, upper_limit: {slots: 4}}
queues:
  - {name: quotes, policy: urgent}
services:
  - {name: quote, queue: quotes, idempotent: true}
)";

std::vector<configuration_problem> problemsOf(const std::string &text)
{
    messages::configuration whole;
    std::vector<configuration_problem> problems;
    readConfigurationText("cell.yaml", text, &whole, &problems);
    return problems;
}

} // namespace

TEST_CASE("a valid configuration is read")
{
    messages::configuration whole;
    std::vector<configuration_problem> problems;
    REQUIRE_FALSE(readConfigurationText("cell.yaml", small, &whole, &problems));
    CHECK(whole.teams(0).upper_limit().slots() == 4);
    CHECK_FALSE(whole.teams(0).upper_limit().has_milli_cores());
    CHECK(whole.services(0).idempotent());
}

TEST_CASE("a problem states its file, line and field, and what was expected")
{
    const auto problems = problemsOf("cell: morava\nteams:\n  - name: a\n    share: many\n");
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].file == "cell.yaml");
    CHECK(problems[0].line == 4);
    CHECK(problems[0].field == "teams[0].share");
    CHECK(problems[0].expected == "a number");
}

TEST_CASE("unknown fields, duplicate fields and dangling references are problems")
{
    CHECK(problemsOf("cell: a\ncolour: red\n").size() == 1);
    CHECK(problemsOf("cell: a\ncell: b\n").size() == 1);
    const auto dangling = problemsOf("cell: a\nservices:\n  - {name: s, queue: nowhere}\n");
    REQUIRE(dangling.size() == 1);
    CHECK(dangling[0].field == "services[0].queue");
    CHECK(dangling[0].line == 3);
}

TEST_CASE("malformed text leads to reported problems and to no other failure")
{
    checkProperty("arbitrary bytes", [](const std::string &text) {
        messages::configuration whole;
        std::vector<configuration_problem> problems;
        const auto error = readConfigurationText("any", text, &whole, &problems);
        RC_ASSERT(static_cast<bool>(error) == !problems.empty());
    });
    checkProperty("valid text with one byte changed", [] {
        std::string text = small;
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        messages::configuration whole;
        std::vector<configuration_problem> problems;
        const auto error = readConfigurationText("any", text, &whole, &problems);
        RC_ASSERT(static_cast<bool>(error) == !problems.empty());
    });
}

TEST_CASE("applying the difference of two sets of items to the first gives the second")
{
    checkProperty([](const std::map<std::string, std::string> &from,
                     const std::map<std::string, std::string> &to) {
        auto parts = from;
        for (const auto &item : changesBetween(from, to)) {
            if (item.removed()) {
                parts.erase(item.key());
            } else {
                parts[item.key()] = item.value();
            }
        }
        RC_ASSERT(parts == to);
        RC_ASSERT((digestOfItems(from) == digestOfItems(to)) == (from == to));
    });
}

TEST_CASE("a key is accepted only with its own secret and until it is revoked")
{
    const auto made = generateKey("desk");
    messages::configuration whole;
    std::vector<configuration_problem> problems;
    readConfigurationText("cell.yaml", small, &whole, &problems);
    *whole.mutable_teams(0)->add_keys() = made.storedKey;
    cell_configuration configuration;
    google::protobuf::RepeatedPtrField<messages::configuration_item> items;
    const auto added = changesBetween({}, itemsOf(whole));
    items.Assign(added.begin(), added.end());
    configuration.applyChanges(items, 1);
    key_owner owner;
    CHECK_FALSE(configuration.authenticate(made.token, &owner));
    CHECK(owner.name == "orders");
    CHECK(configuration.authenticate("desk.0000", &owner));
    CHECK(configuration.authenticate("desk", &owner));
    CHECK(made.storedKey.hash().find(secretOf(made.token)) == std::string::npos);

    whole.mutable_teams(0)->clear_keys();
    const auto withdrawn = changesBetween(configuration.items(), itemsOf(whole));
    items.Assign(withdrawn.begin(), withdrawn.end());
    configuration.applyChanges(items, 2);
    CHECK(configuration.authenticate(made.token, &owner) == error_kind::Unauthorized);
}

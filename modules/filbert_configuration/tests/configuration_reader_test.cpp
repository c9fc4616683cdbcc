#include "filbert_configuration/filbert_configuration.h"

#include "property.h"
#include <catch2/catch.hpp>

using namespace filbert;

namespace {

constexpr const char *smallConfiguration = R"(cell: morava
teams:
  - {name: orders, share: 2, upper_limit: {slots: 4}}
queues:
  - {name: quotes, policy: urgent}
services:
  - {name: quote, queue: quotes, idempotent: true}
)";

std::vector<configuration_problem> problemsOf(const std::string &text)
{
    messages::configuration intended;
    std::vector<configuration_problem> problems;
    readConfigurationText("cell.yaml", text, &intended, &problems);
    return problems;
}

} // namespace

TEST_CASE("a valid configuration is read")
{
    messages::configuration intended;
    std::vector<configuration_problem> problems;
    REQUIRE_FALSE(readConfigurationText("cell.yaml", smallConfiguration, &intended, &problems));
    CHECK(intended.teams(0).upper_limit().slots() == 4);
    CHECK_FALSE(intended.teams(0).upper_limit().has_milli_cores());
    CHECK(intended.services(0).idempotent());
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
        messages::configuration intended;
        std::vector<configuration_problem> problems;
        const auto error = readConfigurationText("any", text, &intended, &problems);
        RC_ASSERT(static_cast<bool>(error) == !problems.empty());
    });
    checkProperty("valid text with one byte changed", [] {
        std::string text = smallConfiguration;
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        messages::configuration intended;
        std::vector<configuration_problem> problems;
        const auto error = readConfigurationText("any", text, &intended, &problems);
        RC_ASSERT(static_cast<bool>(error) == !problems.empty());
    });
}

TEST_CASE("applying the difference of two sets of items to the first gives the second")
{
    checkProperty([](const std::map<std::string, std::string> &from,
                     const std::map<std::string, std::string> &to) {
        auto items = from;
        for (const auto &item : changesBetween(from, to)) {
            if (item.removed()) {
                items.erase(item.key());
            } else {
                items[item.key()] = item.value();
            }
        }
        RC_ASSERT(items == to);
        RC_ASSERT((digestOfItems(from) == digestOfItems(to)) == (from == to));
    });
}

TEST_CASE("a key is accepted only with its own secret and until it is revoked")
{
    const auto key = generateKey("desk");
    messages::configuration intended;
    std::vector<configuration_problem> problems;
    readConfigurationText("cell.yaml", smallConfiguration, &intended, &problems);
    *intended.mutable_teams(0)->add_keys() = key.storedKey;
    cell_configuration configuration;
    google::protobuf::RepeatedPtrField<messages::configuration_item> items;
    const auto added = changesBetween({}, itemsOf(intended));
    items.Assign(added.begin(), added.end());
    configuration.applyChanges(items, 1);
    key_owner owner;
    CHECK_FALSE(configuration.authenticate(key.token, &owner));
    CHECK(owner.name == "orders");
    CHECK(configuration.authenticate("desk.0000", &owner));
    CHECK(configuration.authenticate("desk", &owner));
    CHECK(key.storedKey.hash().find(secretOf(key.token)) == std::string::npos);

    intended.mutable_teams(0)->clear_keys();
    const auto revoked = changesBetween(configuration.items(), itemsOf(intended));
    items.Assign(revoked.begin(), revoked.end());
    configuration.applyChanges(items, 2);
    CHECK(configuration.authenticate(key.token, &owner) == error_kind::Unauthorized);
}

#include "cell_configuration.h"

#include "access_keys.h"

#include <algorithm>
#include <set>

namespace filbert {

namespace {

constexpr std::string_view teamPrefix = "team/";
constexpr std::string_view queuePrefix = "queue/";
constexpr std::string_view servicePrefix = "service/";
constexpr std::string_view principalPrefix = "principal/";
constexpr std::string_view cellKey = "cell";
constexpr std::string_view operatorRole = "operator";
constexpr std::string_view targetRole = "target";
constexpr std::size_t maxNameBytes = 64;
constexpr std::size_t maxKeysInSummary = 8;

template <typename Message>
const Message *findIn(const std::unordered_map<std::string, Message> &map, const std::string &name)
{
    const auto found = map.find(name);
    return found == map.end() ? nullptr : &found->second;
}

bool isValidName(const std::string &text)
{
    return !text.empty() && text.size() <= maxNameBytes
        && std::all_of(text.begin(), text.end(), [](unsigned char c) {
               return std::isalnum(c) != 0 || c == '-' || c == '_';
           });
}

template <typename Resources>
bool hasNegativeAmount(const Resources &r)
{
    return r.milli_cores() < 0 || r.memory_mb() < 0 || r.accelerators() < 0 || r.slots() < 0;
}

/** Collects the problems that validation finds. */
class problem_list
{
public:
    void require(bool holds, const std::string &field, const std::string &expected)
    {
        if (!holds) {
            problems.push_back({{}, 0, field, expected});
        }
    }

    void requireUniqueName(const std::string &field, const std::string &name,
                           std::set<std::string> *seen)
    {
        require(isValidName(name), field + ".name", "1 to 64 letters, digits, '-' or '_'");
        require(seen->insert(name).second, field + ".name", "a unique name; already used: " + name);
    }

    void requireKeys(const std::string &field,
                     const google::protobuf::RepeatedPtrField<messages::access_key> &keys,
                     std::set<std::string> *seen)
    {
        for (int i = 0; i < keys.size(); ++i) {
            const auto path = field + ".keys[" + std::to_string(i) + "]";
            const auto &key = keys[i];
            require(isValidName(key.id()), path + ".id", "1 to 64 letters, digits, '-' or '_'");
            require(seen->insert(key.id()).second, path + ".id",
                    "a unique id; already used: " + key.id());
            require(!key.salt().empty() && !key.hash().empty(), path,
                    "salt and hash, as 'filbertctl keys make' prints them");
        }
    }

    std::vector<configuration_problem> problems;
};

std::string elementPath(const char *list, int index)
{
    return std::string {list} + "[" + std::to_string(index) + "]";
}

} // namespace

const messages::team *cell_configuration::team(const std::string &name) const
{
    return findIn(teamsByName, name);
}

const messages::queue *cell_configuration::queue(const std::string &name) const
{
    return findIn(queuesByName, name);
}

const messages::service *cell_configuration::service(const std::string &name) const
{
    return findIn(servicesByName, name);
}

std::error_code cell_configuration::authenticate(std::string_view token, key_owner *owner) const
{
    const auto found = keysById.find(std::string {keyIdOf(token)});
    if (found == keysById.end() || !isSecretValid(secretOf(token), found->second.key)) {
        return error_kind::Unauthorized;
    }
    *owner = found->second.owner;
    return {};
}

bool cell_configuration::hasTeamKey(const std::string &team, const std::string &keyId) const
{
    const auto found = keysById.find(keyId);
    return found != keysById.end() && found->second.owner.role == key_role::Team
        && found->second.owner.name == team;
}

void cell_configuration::applyChanges(
    const google::protobuf::RepeatedPtrField<messages::configuration_item> &items,
    std::int64_t version)
{
    for (const auto &item : items) {
        removeItem(item.key());
        if (!item.removed()) {
            setItem(item.key(), item.value());
        }
    }
    currentVersion = version;
    currentDigest = digestOfItems(itemsByKey);
}

void cell_configuration::clear()
{
    *this = {};
}

void cell_configuration::setItem(const std::string &key, const std::string &value)
{
    itemsByKey[key] = value;
    if (key.starts_with(teamPrefix)) {
        messages::team team;
        team.ParseFromString(value);
        addKeys(key_role::Team, team.name(), team.keys());
        teamsByName[team.name()] = std::move(team);
    } else if (key.starts_with(queuePrefix)) {
        messages::queue queue;
        queue.ParseFromString(value);
        queuesByName[queue.name()] = std::move(queue);
    } else if (key.starts_with(servicePrefix)) {
        messages::service service;
        service.ParseFromString(value);
        servicesByName[service.name()] = std::move(service);
    } else if (key.starts_with(principalPrefix)) {
        messages::principal principal;
        principal.ParseFromString(value);
        const bool isOperator = principal.role() == operatorRole;
        operatorCount += isOperator ? 1 : 0;
        addKeys(isOperator ? key_role::Operator : key_role::Target, principal.name(),
                principal.keys());
        principalsByName[principal.name()] = std::move(principal);
    } else if (key == cellKey) {
        cellName = value;
    }
}

void cell_configuration::removeItem(const std::string &key)
{
    const auto name = key.substr(key.find('/') + 1);
    if (key.starts_with(teamPrefix)) {
        removeKeys(key_role::Team, name);
        teamsByName.erase(name);
    } else if (key.starts_with(queuePrefix)) {
        queuesByName.erase(name);
    } else if (key.starts_with(servicePrefix)) {
        servicesByName.erase(name);
    } else if (const auto *principal = findIn(principalsByName, name);
               key.starts_with(principalPrefix) && principal != nullptr) {
        const bool isOperator = principal->role() == operatorRole;
        operatorCount -= isOperator ? 1 : 0;
        removeKeys(isOperator ? key_role::Operator : key_role::Target, name);
        principalsByName.erase(name);
    }
    itemsByKey.erase(key);
}

void cell_configuration::addKeys(
    key_role role, const std::string &name,
    const google::protobuf::RepeatedPtrField<messages::access_key> &keys)
{
    for (const auto &key : keys) {
        keysById[key.id()] = {{role, name, key.id()}, key};
    }
}

void cell_configuration::removeKeys(key_role role, const std::string &name)
{
    std::erase_if(keysById, [&](const auto &entry) {
        return entry.second.owner.role == role && entry.second.owner.name == name;
    });
}

messages::configuration cell_configuration::toMessage() const
{
    messages::configuration configuration;
    configuration.set_cell(cellName);
    for (const auto &[key, value] : itemsByKey) {
        if (key.starts_with(teamPrefix)) {
            configuration.add_teams()->ParseFromString(value);
        } else if (key.starts_with(queuePrefix)) {
            configuration.add_queues()->ParseFromString(value);
        } else if (key.starts_with(servicePrefix)) {
            configuration.add_services()->ParseFromString(value);
        } else if (key.starts_with(principalPrefix)) {
            configuration.add_principals()->ParseFromString(value);
        }
    }
    return configuration;
}

std::map<std::string, std::string> itemsOf(const messages::configuration &configuration)
{
    std::map<std::string, std::string> items;
    const auto addAll = [&](std::string_view prefix, const auto &list) {
        for (const auto &entry : list) {
            items[std::string {prefix} + entry.name()] = entry.SerializeAsString();
        }
    };
    items[std::string {cellKey}] = configuration.cell();
    addAll(teamPrefix, configuration.teams());
    addAll(queuePrefix, configuration.queues());
    addAll(servicePrefix, configuration.services());
    addAll(principalPrefix, configuration.principals());
    return items;
}

std::vector<messages::configuration_item>
changesBetween(const std::map<std::string, std::string> &from,
               const std::map<std::string, std::string> &to)
{
    std::vector<messages::configuration_item> items;
    for (const auto &[key, value] : to) {
        const auto previous = from.find(key);
        if (previous == from.end() || previous->second != value) {
            auto &item = items.emplace_back();
            item.set_key(key);
            item.set_value(value);
        }
    }
    for (const auto &[key, value] : from) {
        if (!to.contains(key)) {
            auto &item = items.emplace_back();
            item.set_key(key);
            item.set_removed(true);
        }
    }
    return items;
}

std::string digestOfItems(const std::map<std::string, std::string> &items)
{
    std::string digestInput;
    for (const auto &[key, value] : items) {
        // Each text is preceded by its length, so that different sets give different input.
        digestInput.append(std::to_string(key.size())).append(":").append(key);
        digestInput.append(std::to_string(value.size())).append(":").append(value);
    }
    return toHex(contentDigest(digestInput));
}

std::string summarizeChanges(const std::vector<messages::configuration_item> &items)
{
    const auto describe = [&](bool removed) {
        std::string names;
        std::size_t count = 0;
        for (const auto &item : items) {
            if (item.removed() != removed) {
                continue;
            }
            if (++count <= maxKeysInSummary) {
                names += (names.empty() ? "" : ", ") + item.key();
            }
        }
        if (count > maxKeysInSummary) {
            names += ", ...";
        }
        return std::to_string(count) + (names.empty() ? "" : " (" + names + ")");
    };
    return describe(false) + " set, " + describe(true) + " removed";
}

std::vector<configuration_problem>
validateConfiguration(const messages::configuration &configuration)
{
    problem_list list;
    list.require(isValidName(configuration.cell()), "cell", "the name of the cell");
    std::set<std::string> teams;
    std::set<std::string> queues;
    std::set<std::string> services;
    std::set<std::string> principals;
    std::set<std::string> keys;
    for (int i = 0; i < configuration.teams_size(); ++i) {
        const auto &team = configuration.teams(i);
        const auto path = elementPath("teams", i);
        list.requireUniqueName(path, team.name(), &teams);
        list.require(team.share() > 0, path + ".share", "a number above 0");
        list.require(!hasNegativeAmount(team.upper_limit()), path + ".upper_limit",
                     "no negative number");
        list.requireKeys(path, team.keys(), &keys);
    }
    for (int i = 0; i < configuration.queues_size(); ++i) {
        const auto &queue = configuration.queues(i);
        const auto path = elementPath("queues", i);
        list.requireUniqueName(path, queue.name(), &queues);
        list.require(!queue.open_to_all() || teams.contains(queue.team()), path + ".team",
                     "the name of the team to which the work of an open queue is charged");
        list.require(queue.max_waiting() >= 0, path + ".max_waiting", "0 or more");
    }
    for (int i = 0; i < configuration.services_size(); ++i) {
        const auto &service = configuration.services(i);
        const auto path = elementPath("services", i);
        list.requireUniqueName(path, service.name(), &services);
        list.require(queues.contains(service.queue()), path + ".queue", "the name of a queue");
        list.require(!hasNegativeAmount(service.task()), path + ".task", "no negative number");
        list.require(service.deadline_ms() >= 0, path + ".deadline_ms", "0 or more");
    }
    for (int i = 0; i < configuration.principals_size(); ++i) {
        const auto &principal = configuration.principals(i);
        const auto path = elementPath("principals", i);
        list.requireUniqueName(path, principal.name(), &principals);
        list.require(principal.role() == operatorRole || principal.role() == targetRole,
                     path + ".role", "operator or target");
        list.requireKeys(path, principal.keys(), &keys);
    }
    return list.problems;
}

} // namespace filbert

#pragma once

#include "filbert_core/filbert_core.h"
#include "filbert_messages/filbert_messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace filbert {

/** One error in a configuration. */
struct configuration_problem
{
    std::string file;
    int line = 0; // from 1; 0 if it is not known
    std::string field; // path of the field, e.g. "teams[0].share"
    std::string expected; // what the field should hold
};

/** The kind of a key's owner, which decides what the key permits. */
enum class key_role { Team, Operator, Target };

/** The owner of a key that has been authenticated. */
struct key_owner
{
    key_role role = key_role::Team;
    std::string name; // of the team or principal
    std::string keyId;
};

/** The configuration that a process applies, with look-ups by name and key for each request. */
class cell_configuration
{
public:
    std::int64_t version() const { return currentVersion; }
    const std::string &digest() const { return currentDigest; }
    const std::map<std::string, std::string> &items() const { return itemsByKey; }

    const messages::team *team(const std::string &name) const;
    const messages::queue *queue(const std::string &name) const;
    const messages::service *service(const std::string &name) const;
    const std::unordered_map<std::string, messages::team> &teams() const { return teamsByName; }
    const std::unordered_map<std::string, messages::queue> &queues() const { return queuesByName; }
    const std::unordered_map<std::string, messages::service> &services() const
    {
        return servicesByName;
    }

    /** @return whether the configuration names an operator; until it does, the bootstrap key from
        the settings is accepted */
    bool hasOperators() const { return operatorCount > 0; }

    /** Authenticates a token; its secret is compared in constant time.

        @param token  "ID.SECRET", as the client sent it
        @param owner  set on success
        @return Unauthorized if the key is unknown or revoked, or its secret is wrong
    */
    std::error_code authenticate(std::string_view token, key_owner *owner) const;

    /** @return whether a key still belongs to a team, that is, has not been revoked */
    bool hasTeamKey(const std::string &team, const std::string &keyId) const;

    /** Applies a change.

        @param items    items that are new, changed or removed
        @param version  version of the configuration after the change
    */
    void applyChanges(const google::protobuf::RepeatedPtrField<messages::configuration_item> &items,
                      std::int64_t version);

    /** Resets to an empty configuration. */
    void clear();

    /** @return the configuration in the form that operators read and write */
    messages::configuration toMessage() const;

private:
    struct key_entry
    {
        key_owner owner;
        messages::access_key key;
    };

    void setItem(const std::string &key, const std::string &value);
    void removeItem(const std::string &key);
    void addKeys(key_role role, const std::string &name,
                 const google::protobuf::RepeatedPtrField<messages::access_key> &keys);
    void removeKeys(key_role role, const std::string &name);

    std::map<std::string, std::string> itemsByKey;
    std::unordered_map<std::string, messages::team> teamsByName;
    std::unordered_map<std::string, messages::queue> queuesByName;
    std::unordered_map<std::string, messages::service> servicesByName;
    std::unordered_map<std::string, messages::principal> principalsByName;
    std::unordered_map<std::string, key_entry> keysById;
    std::string cellName;
    std::string currentDigest;
    std::int64_t currentVersion = 0;
    int operatorCount = 0;
};

/** Splits a configuration into its items, serialized messages by key. */
std::map<std::string, std::string> itemsOf(const messages::configuration &configuration);

/** @return the items to set and to remove to get from one set of items to another */
std::vector<messages::configuration_item>
changesBetween(const std::map<std::string, std::string> &from,
               const std::map<std::string, std::string> &to);

/** @return a digest of a set of items, in hexadecimal; equal sets have equal digests */
std::string digestOfItems(const std::map<std::string, std::string> &items);

/** Describes a change for the audit log, e.g. "2 set (team/orders, queue/quotes), 0 removed".

    At most 8 keys of either kind are named.
*/
std::string summarizeChanges(const std::vector<messages::configuration_item> &items);

/** Finds values that are out of range, missing or duplicate names, and references to names that do
    not exist.

    @return all problems, without file and line, which the reader adds
*/
std::vector<configuration_problem>
validateConfiguration(const messages::configuration &configuration);

} // namespace filbert

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

/** One thing that is wrong with a configuration. */
struct configuration_problem
{
    std::string file;
    int line = 0;
    std::string field;
    std::string expected;
};

/** Who a key belongs to, and what it allows. */
enum class key_role { Team, Operator, Target };

/** The owner of an accepted key. */
struct key_owner
{
    key_role role = key_role::Team;
    std::string name;
    std::string keyId;
};

/** A configuration in force: its parts by name, with look-ups for every request. */
class cell_configuration
{
public:
    std::int64_t version() const { return currentVersion; }
    const std::string &digest() const { return currentDigest; }
    const std::map<std::string, std::string> &items() const { return parts; }

    const messages::team *team(const std::string &name) const;
    const messages::queue *queue(const std::string &name) const;
    const messages::service *service(const std::string &name) const;
    const std::unordered_map<std::string, messages::team> &teams() const { return teamsByName; }
    const std::unordered_map<std::string, messages::queue> &queues() const { return queuesByName; }
    const std::unordered_map<std::string, messages::service> &services() const
    {
        return servicesByName;
    }

    /** Whether any operator is named; while none is, the bootstrap key of the settings counts. */
    bool hasOperator() const { return operatorCount > 0; }

    /** Checks a key in constant time.

        @param token  "ID.SECRET", as a caller sent it
        @param owner  filled in on success
        @return Unauthorized if the key is not known, withdrawn or wrong
    */
    std::error_code authenticate(std::string_view token, key_owner *owner) const;

    /** @return whether a key of that id is still a team's */
    bool hasTeamKey(const std::string &team, const std::string &keyId) const;

    /** Changes parts and takes over the version.

        @param items    parts that are new, changed or removed
        @param version  after the change
    */
    void applyItems(const google::protobuf::RepeatedPtrField<messages::configuration_item> &items,
                    std::int64_t version);

    /** Forgets everything. */
    void clear();

    /** @return the whole as operators see it */
    messages::configuration toMessage() const;

private:
    struct key_entry
    {
        key_owner owner;
        messages::access_key key;
    };

    void takePart(const std::string &key, const std::string &value);
    void dropPart(const std::string &key);
    void addKeys(key_role role, const std::string &name,
                 const google::protobuf::RepeatedPtrField<messages::access_key> &keys);
    void dropKeys(key_role role, const std::string &name);

    std::map<std::string, std::string> parts;
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

/** Splits a configuration into its named parts. */
std::map<std::string, std::string> partsOf(const messages::configuration &whole);

/** What changes from one set of parts to another. */
std::vector<messages::configuration_item>
differenceOf(const std::map<std::string, std::string> &from,
             const std::map<std::string, std::string> &to);

/** @return a digest of parts, hexadecimal; equal parts give equal digests */
std::string digestOf(const std::map<std::string, std::string> &parts);

/** @return a sentence for people, e.g. "2 changed (team/orders, queue/quotes), 1 removed (...)" */
std::string summaryOf(const std::vector<messages::configuration_item> &items);

/** Checks what a single field cannot show: names that are doubled, absent or refer to nothing.

    @return all problems; without file and line, which the reader fills in
*/
std::vector<configuration_problem> validateConfiguration(const messages::configuration &whole);

} // namespace filbert

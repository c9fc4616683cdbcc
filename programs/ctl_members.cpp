#include "ctl_answers.h"
#include "filbertctl_commands.h"

#include "filbert_core/filbert_core.h"

#include <algorithm>
#include <chrono>
#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DEFINE_string(identity, "", "identity of a controller, as printed by its --initialise");
DEFINE_string(member_name, "", "name of a controller");
DECLARE_int32(wait_ms);

namespace filbert {

namespace {

int listMembers()
{
    messages::status_reply status;
    if (const int code = fetch("/v1/members", &status)) {
        return code;
    }
    if (isJson()) {
        return printJson(status);
    }
    for (const auto &member : status.members().members()) {
        std::cout << member.identity() << " " << member.name() << " " << member.address()
                  << (member.learner() ? " learner" : " voter")
                  << (member.identity() == status.leader() ? " leader" : "") << "\n";
    }
    return exitSuccess;
}

gateway_response addMember(const std::string &address)
{
    messages::member_change change;
    change.set_action("add");
    change.mutable_member()->set_address("tcp://" + address);
    change.mutable_member()->set_identity(FLAGS_identity);
    change.mutable_member()->set_name(FLAGS_member_name);
    return sendRequest("POST", "/v1/members", writeJson(change), {});
}

gateway_response removeMember(const std::string &identity)
{
    messages::member_change change;
    change.set_action("remove");
    change.mutable_member()->set_identity(identity);
    return sendRequest("POST", "/v1/members", writeJson(change), {});
}

/** The next action of a replacement, determined by the current membership. */
enum class replacement_action { Add, AwaitVoter, Remove, Done };

replacement_action nextAction(const messages::membership &members, const std::string &oldIdentity)
{
    const auto findMember = [&](const std::string &identity) {
        return std::find_if(members.members().begin(), members.members().end(),
                            [&](const auto &each) { return each.identity() == identity; });
    };
    const auto newMember = findMember(FLAGS_identity);
    if (newMember == members.members().end()) {
        return replacement_action::Add;
    }
    if (newMember->learner()) {
        return replacement_action::AwaitVoter;
    }
    return findMember(oldIdentity) == members.members().end() ? replacement_action::Done
                                                              : replacement_action::Remove;
}

/** Adds the new member, waits until it votes, then removes the old one, so that there are never
    fewer copies of the log than before. Each iteration starts from the current membership, so a
    command that was interrupted at any point continues when it is run again.
*/
int replaceMember(const std::string &oldIdentity, const std::string &address)
{
    const auto deadline = monotonicNow() + milliseconds {FLAGS_wait_ms};
    auto lastAction = replacement_action::Done;
    while (monotonicNow() < deadline) {
        messages::status_reply status;
        if (fetch("/v1/members", &status) == exitSuccess) {
            const auto action = nextAction(status.members(), oldIdentity);
            if (action == replacement_action::Done) {
                std::cout << oldIdentity << " is replaced by " << FLAGS_identity << "\n";
                return exitSuccess;
            }
            if (action != lastAction && action == replacement_action::AwaitVoter) {
                std::cerr << FLAGS_identity << " is catching up with the log\n";
            }
            lastAction = action;
            if (action == replacement_action::Add) {
                reportFailure(addMember(address));
            } else if (action == replacement_action::Remove) {
                reportFailure(removeMember(oldIdentity));
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds {pollMs});
    }
    std::cerr << "timed out before the replacement was complete; run the same command again to "
                 "continue\n";
    return exitUnknown;
}

} // namespace

int runMembers(const argument_list &arguments)
{
    if (arguments.empty() || arguments[0] == "list") {
        return listMembers();
    }
    const auto &action = arguments[0];
    if (action == "remove" && arguments.size() == 2) {
        return reportFailure(removeMember(arguments[1]));
    }
    const bool hasIdentity = !FLAGS_identity.empty() && isEndpoint(arguments.back());
    if (action == "add" && arguments.size() == 2 && hasIdentity) {
        return reportFailure(addMember(arguments[1]));
    }
    if (action == "replace" && arguments.size() == 3 && hasIdentity) {
        return replaceMember(arguments[1], arguments[2]);
    }
    std::cerr << "expected: members list | add IP:PORT --identity=I | remove IDENTITY"
                 " | replace IDENTITY IP:PORT --identity=I\n";
    return exitUsage;
}

} // namespace filbert

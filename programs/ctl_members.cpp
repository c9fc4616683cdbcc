#include "ctl_answers.h"
#include "filbertctl_commands.h"

#include "filbert_core/filbert_core.h"

#include <algorithm>
#include <chrono>
#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DEFINE_string(identity, "", "identity of a controller, as its --initialise printed it");
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
    return exitDone;
}

gateway_answer askToAdd(const std::string &address)
{
    messages::member_change change;
    change.set_action("add");
    change.mutable_member()->set_address("tcp://" + address);
    change.mutable_member()->set_identity(FLAGS_identity);
    change.mutable_member()->set_name(FLAGS_member_name);
    return askGateway("POST", "/v1/members", writeJson(change), {});
}

gateway_answer askToRemove(const std::string &identity)
{
    messages::member_change change;
    change.set_action("remove");
    change.mutable_member()->set_identity(identity);
    return askGateway("POST", "/v1/members", writeJson(change), {});
}

/** What is still to be done of a replacement, as the members are now. */
enum class replacement_step { Add, AwaitVoter, Remove, Done };

replacement_step nextStep(const messages::membership &members, const std::string &old)
{
    const auto find = [&](const std::string &identity) {
        return std::find_if(members.members().begin(), members.members().end(),
                            [&](const auto &each) { return each.identity() == identity; });
    };
    const auto added = find(FLAGS_identity);
    if (added == members.members().end()) {
        return replacement_step::Add;
    }
    if (added->learner()) {
        return replacement_step::AwaitVoter;
    }
    return find(old) == members.members().end() ? replacement_step::Done : replacement_step::Remove;
}

/** Adds the new member, waits until it votes, then removes the old one: at no time are there fewer
    copies than before. Each look starts from the members as they are, so a command that was cut off
    anywhere goes on when it is given again.
*/
int replaceMember(const std::string &old, const std::string &address)
{
    const auto until = monotonicNow() + milliseconds {FLAGS_wait_ms};
    auto last = replacement_step::Done;
    while (monotonicNow() < until) {
        messages::status_reply status;
        if (fetch("/v1/members", &status) == exitDone) {
            const auto step = nextStep(status.members(), old);
            if (step == replacement_step::Done) {
                std::cout << old << " is replaced by " << FLAGS_identity << "\n";
                return exitDone;
            }
            if (step != last && step == replacement_step::AwaitVoter) {
                std::cerr << FLAGS_identity << " learns\n";
            }
            last = step;
            if (step == replacement_step::Add) {
                report(askToAdd(address));
            } else if (step == replacement_step::Remove) {
                report(askToRemove(old));
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds {pollMs});
    }
    std::cerr << "not finished; give the same command again to go on\n";
    return exitUnknown;
}

} // namespace

int runMembers(const words &arguments)
{
    if (arguments.empty() || arguments[0] == "list") {
        return listMembers();
    }
    const auto &action = arguments[0];
    if (action == "remove" && arguments.size() == 2) {
        return report(askToRemove(arguments[1]));
    }
    const bool hasIdentity = !FLAGS_identity.empty() && isEndpoint(arguments.back());
    if (action == "add" && arguments.size() == 2 && hasIdentity) {
        return report(askToAdd(arguments[1]));
    }
    if (action == "replace" && arguments.size() == 3 && hasIdentity) {
        return replaceMember(arguments[1], arguments[2]);
    }
    std::cerr << "expected: members list | add IP:PORT --identity=I | remove IDENTITY"
                 " | replace IDENTITY IP:PORT --identity=I\n";
    return exitUsage;
}

} // namespace filbert

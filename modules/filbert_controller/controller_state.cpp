#include "controller_state.h"

#include <utility>

namespace filbert {

void reply(controller_state &state, const reply_address &to, messages::envelope &&envelope)
{
    if (to.exchange == 0) {
        return;
    }
    envelope.set_exchange(to.exchange);
    state.outbox.push_back({to.gateway, std::move(envelope)});
}

void refuse(controller_state &state, const reply_address &to, error_kind kind,
            const std::string &detail, milliseconds retryAfter)
{
    messages::envelope envelope;
    auto *refusal = envelope.mutable_refused();
    refusal->set_kind(static_cast<int>(kind));
    refusal->set_detail(detail.empty() ? std::string {errorInfo(kind).description} : detail);
    refusal->set_retry_after_ms(retryAfter.count);
    reply(state, to, std::move(envelope));
}

void redirectToLeader(controller_state &state, const reply_address &to)
{
    messages::envelope envelope;
    auto *notLeader = envelope.mutable_not_leader();
    const auto *leader = findMember(state.log.membership, state.log.leader);
    if (leader != nullptr && leader->identity() != state.log.self) {
        notLeader->set_leader(leader->identity());
        notLeader->set_address(leader->address());
    }
    reply(state, to, std::move(envelope));
}

void proposeCommand(controller_state &state, messages::command &&command,
                    const reply_address &replyTo)
{
    state.pending.push_back({std::move(command), replyTo});
}

void proposeEnd(controller_state &state, messages::placement_end &&end,
                const reply_address &replyTo)
{
    if (!state.proposedEnds.insert(end.placement_id()).second) {
        messages::envelope done;
        done.set_done(true);
        reply(state, replyTo, std::move(done));
        return;
    }
    messages::command command;
    *command.mutable_end() = std::move(end);
    proposeCommand(state, std::move(command), replyTo);
}

} // namespace filbert

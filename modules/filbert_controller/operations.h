#pragma once

#include "controller_state.h"

namespace filbert {

/** Renews a gateway's configuration lease, and sends the changes that it has not received. */
void handleHello(controller_state &state, const reply_address &from,
                 const messages::gateway_hello &hello, time_point now);

/** Handles an operator's new configuration, which replaces the whole current one. */
void handleApply(controller_state &state, const reply_address &from,
                 const messages::apply_request &request);

/** Answers a query for the status, the audit trail, the configuration, the members, or whether a
    version is in force everywhere.
*/
void handleStatusRequest(controller_state &state, const reply_address &from,
                         const messages::status_request &request, time_point now);

/** Answers a query for a job or a list of jobs. */
void handleJobQuery(controller_state &state, const reply_address &from,
                    const messages::job_query &query, time_point now);

/** Adds or removes a member of the replicated log. */
void handleMemberChange(controller_state &state, const reply_address &from,
                        const messages::member_change &change, time_point now);

/** @return the status of a job, with the reason why it waits */
messages::job_status statusOf(const controller_state &state, const job_record &job, time_point now);

/** @return whether every gateway that may still serve has a version or a later one */
bool isInForce(const controller_state &state, std::int64_t version, time_point now);

} // namespace filbert

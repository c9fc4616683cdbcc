#pragma once

#include "controller_state.h"

namespace filbert {

/** Renews a gateway's configuration lease and sends what its configuration lacks. */
void takeHello(controller_state &state, const reply_address &from,
               const messages::gateway_hello &hello, time_point now);

/** An operator applies the whole intended state. */
void takeApply(controller_state &state, const reply_address &from,
               const messages::apply_request &request);

/** Status, audit, configuration, members, or whether a version is in force everywhere. */
void takeStatus(controller_state &state, const reply_address &from,
                const messages::status_request &request, time_point now);

/** A job or a list of jobs. */
void takeJobQuery(controller_state &state, const reply_address &from,
                  const messages::job_query &query, time_point now);

/** Adds or removes a member. */
void takeMemberChange(controller_state &state, const reply_address &from,
                      const messages::member_change &change, time_point now);

/** @return a job for its submitter, with why it waits */
messages::job_status statusOf(const controller_state &state, const job_record &job, time_point now);

/** Whether every gateway that may still serve has a version or a later one. */
bool isInForce(const controller_state &state, std::int64_t version, time_point now);

} // namespace filbert

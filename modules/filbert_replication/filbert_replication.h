#pragma once

/** @file
    A log that several controllers replicate with the Raft consensus algorithm (Ongaro and
    Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014).

    Every process that takes part is a member, with an identity that its data folder keeps. The
    voters among them elect a leader for a numbered term. The leader appends entries to its log and
    sends them to the others, its followers. An entry is committed once a majority of the voters
    (a quorum) has it on disk; every member applies the committed entries in the order of their
    index, so that all members reach the same state. A snapshot of that state replaces the entries
    before it. A learner receives the log but neither votes nor counts towards a quorum until it has
    caught up. A leader holds a lease as long as a quorum answers its heartbeats; no other
    leader can be elected while the lease holds.

    - replicated_log.h: the consensus algorithm as functions on plain state, without I/O or clock.
    - log_effects.h: stores what the algorithm wants on disk.
    - log_member.h: one member with its disk, as a class that carries out what the algorithm wants.
    - membership_policy.h: decides when a leader adds or removes members.

    Depends on: filbert_core, filbert_messages, filbert_storage (types only).
*/

#include "log_effects.h"
#include "log_member.h"
#include "membership_policy.h"
#include "replicated_log.h"

#!/usr/bin/env bash
# Mutation test: plants one fault at a time into a copy of the sources and prints which check of the
# randomised run or which unit test detects it. Exits with 1 if a fault isn't detected.
# Usage: extras/planted_faults.sh [SEEDS] [STEPS] [NAMES as a regular expression]
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
seeds=${1:-40}
steps=${2:-40000}
names=${3:-.}
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git -C "$root" ls-files -z | (cd "$root" && xargs -0 cp --parents -t "$copy")
cd "$copy"
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
ninja -C build filbert-random-run >/dev/null || exit 1
missed=0

plant() { # NAME FILE SED-EXPRESSION
    [[ $1 =~ $names ]] || return 0
    cp "$2" "$copy/kept"
    sed -i -E "$3" "$2"
    if cmp -s "$2" "$copy/kept"; then
        echo "$1: no line of $2 matches the sed expression"
        missed=$((missed + 1))
        return
    fi
    local outcome
    if ninja -C build filbert-random-run >"$copy/log" 2>&1; then
        outcome=$(build/bin/filbert-random-run --seed=1 --runs="$seeds" --steps="$steps" --stop_at_first 2>&1 \
            | grep violated | sed 's/ at .*//; s/steps=[0-9]* //' | head -n 1)
    else
        outcome="does not build: $(grep -m1 error "$copy/log")"
        missed=$((missed + 1))
    fi
    if [ -z "$outcome" ] && ninja -C build filbert-tests >"$copy/log" 2>&1; then
        outcome=$(build/bin/filbert-tests '~every promise*' 2>/dev/null | sed 's/\x1b[^m]*m//g' \
            | grep -B3 -A12 '^\.\.\.\.\.\.' | grep -m1 -E '^[a-z]' | sed 's/^/test: /')
    fi
    [ -n "$outcome" ] || { outcome="NOT CAUGHT"; missed=$((missed + 1)); }
    echo "$1: $outcome"
    cp "$copy/kept" "$2"
}

replication=modules/filbert_replication
plant "the log is not synced" modules/filbert_storage/log_store.cpp \
    's/if \(files\.syncFile\(current\.name\) \|\| \(isNew/if ((isNew/'
plant "answers leave before the sync" modules/filbert_controller/controller.cpp \
    's/^( *)sendAll\(&effects\.messagesBeforeSync\);/\1sendAll(\&effects.messagesBeforeSync); sendAll(\&effects.messagesAfterSync);/'
plant "a member votes twice in a term" $replication/elections.cpp \
    's/const bool isFree = .*/const bool isFree = true;/'
plant "the vote is not stored" modules/filbert_storage/log_store.cpp \
    's/message\.set_voted_for\(newVote\);//'
plant "any candidate gets the vote" $replication/elections.cpp \
    's/const bool isUpToDate = .*/const bool isUpToDate = true || request.last_term() > lastTerm(state)/'
plant "votes are granted during recent contact with a leader" $replication/elections.cpp \
    's/return now - state\.lastLeaderContactAt < state\.settings\.electionTimeout;/return state.randomState == 0 \&\& now.ms < 0;/'
plant "a leader serves after its lease" $replication/replicated_log.cpp \
    's/&& now < state\.leaseExpiresAt$/\&\& now.ms > 0/'
plant "learners count for commits" $replication/replicated_log.cpp \
    '0,/if \(member\.learner\(\)\) \{/s//if (member.learner() \&\& member.identity().empty()) {/'
plant "entries of earlier terms commit by counting" $replication/replicated_log.cpp \
    's/\|\| termAt\(state, agreed\) != state\.term\)/)/'
plant "half of the voters commit" $replication/replicated_log.cpp \
    's/values\[values\.size\(\) \/ 2\]/values[(values.size() - 1) \/ 2]/'
plant "a lost disk votes under its old identity" extras/random_run/fake_hosts.h \
    's/identity = name \+ "-" \+ std::to_string\(\+\+incarnation\);/identity = name + "-1";/'
plant "a lease is renewed during its target's removal" modules/filbert_controller/target_leases.cpp \
    's/if \(live\.isRemovalProposed\) \{/if (live.isRemovalProposed \&\& now.ms < 0) {/'
plant "a new leader considers old leases expired" modules/filbert_controller/leadership.cpp \
    's/live\.leaseExpiresAt = now \+ withClockRateMargin\(state\.settings\.targetLease\);/live.leaseExpiresAt = now;/'
plant "a target's lease has no margin" modules/filbert_controller/target_leases.cpp \
    's/live\.leaseExpiresAt = now \+ withClockRateMargin\(lease\);/live.leaseExpiresAt = now + milliseconds {lease.count - 400};/'
plant "a gateway serves without a lease" modules/filbert_gateway/configuration_lease.cpp \
    's/return lease\.configuration\.version\(\) > 0 && now < lease\.expiresAt;/return lease.configuration.version() > 0 \&\& now.ms > 0;/'
plant "a lost answer counts as not run" modules/filbert_gateway/service_calls.cpp \
    's/isKnownNotRun \|\| error == error_kind::ConnectionFailed/isKnownNotRun || error/'
plant "idempotency records are ignored" modules/filbert_cell/cell_state.cpp \
    's/const auto recordKey = place\.idempotency_key\(\)\.empty\(\)/const auto recordKey = !place.id() || true/'
plant "free capacity of a target is not checked" modules/filbert_cell/cell_state.cpp \
    's/if \(!fitsWithin\(target->second\.used \+ need, capacity\)\)/if (!fitsWithin(need, capacity))/'
plant "a resent change is applied again" modules/filbert_cell/cell_state.cpp \
    's/if \(const auto \*earlier = findRequest\(state, change\.request_id\(\)\)\)/if (const auto *earlier = findRequest(state, ""))/'
plant "the base version is not checked" modules/filbert_cell/cell_state.cpp \
    's/change\.base_version\(\) != configuration\.version\(\)/change.base_version() < 0/'
plant "a stale tail stays on the disk" modules/filbert_replication/log_access.cpp \
    's/effects->mustTruncateTail = true;.*//'
plant "every rejected append is retried immediately" $replication/replicated_log.cpp \
    's/^        return hasMoved;/        return true;/'
plant "a target is reported as drained too early" modules/filbert_controller/target_leases.cpp \
    's/live\.isLeaving && hasNoWork\(state, target\)/live.isLeaving/'
plant "a snapshot misses entries that changed before they were read" modules/filbert_cell/snapshot_map.h \
    's/savedEntries\.emplace_back\(key, value\);//'
echo "$missed not caught"
[ $missed -eq 0 ]

#!/usr/bin/env bash
# Tests silent failures of the network with real programs behind relays: established connections that
# stop passing data while new ones work, and links that pass nothing at all. Afterwards the history of
# the requests is checked. Needs FILBERT_BIN.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
source "$root/scripts/cell.sh"
begin
rate=${1:-100}
relayed=1
most_ms=5000 # limit for detecting a silent connection and answering over another one

start_cell 3 2 3 || { tail -n 3 "$work"/*.log; exit 1; }
make_key desk; desk_token=$token desk_stored=$stored
make_key workshop; target_token=$token
write_cell "$work/cell.yaml" "$desk_stored" "$stored"
check "the configuration is applied" ctl apply "$work/cell.yaml"
plain_gateways=$gateways_flag
relays=()
for i in 1 2; do # targets reach the gateways through relays
    start_relay "rg$i" "${gateway_port[$i]}"
    relays+=("127.0.0.1:$relay_port")
done
for i in 1 2 3; do
    start_relay "rt$i" "${target_port[$i]}"
    gateways_flag=$(IFS=,; echo "${relays[*]}")
    start_target $i quote,die --key="$target_token" --work_ms=5 --announce="127.0.0.1:$relay_port"
done
gateways_flag=$plain_gateways
check "three targets are ready" eventually 20 all_ready

signal() { # SIGNAL RELAY...
    local signal=$1 name
    shift
    for name in "$@"; do kill "-$signal" "${process_of[$name]}"; done
}
slowest_is_below() { # MS
    awk -v most="$1" 'match($0, /max=[0-9.]+/) {
        found = 1; exit substr($0, RSTART + 4, RLENGTH - 4) < most ? 0 : 1 } END { if (!found) exit 1 }' \
        "$work/load$load_number.out"
}

# Idempotent requests must all be answered. Of other requests, only the answer may be lost with its
# connection: an unanswered request must have run, and its caller must have been told that it may have run.
no_request_was_lost() {
    local calls="$work/load$load_number.calls" body service status outcome
    [ "$(awk '$2 == "quote" && $3 != 200' "$calls" | wc -l)" = 0 ] || return 1
    while read -r body service status outcome; do
        [ "$outcome" = may_have_run ] && grep -q " $service $body\$" "$work"/t*.starts || return 1
    done < <(awk '$3 != 200' "$calls")
}

echo "open connections to targets, from targets and between processes go silent; new connections work"
load_during 14
sleep 2; signal USR1 rt1 rt2 rt3
sleep 4; signal USR1 rg1 rg2
sleep 4; signal USR1 rc1 rc2 rc3
end_load
check "every request was answered, or ran and its answer was lost" no_request_was_lost
check "every request took less than $most_ms ms" slowest_is_below $most_ms
saw_silent_connections() {
    local text
    text=$(curl -s "http://127.0.0.1:${gateway_port[1]}/metrics" "http://127.0.0.1:${gateway_port[2]}/metrics")
    grep -q '^filbert_gateway_silent_connections_total [1-9]' <<<"$text"
}
check "gateways detected silent connections" saw_silent_connections

echo "all requests to one target are lost, but it continues to send heartbeats"
check "three targets are ready" eventually 20 all_ready
load_during 12
sleep 1; signal USR2 rt1
sleep 5
is_quarantined() { ctl status | grep -q '^t1 .*quarantined'; }
check "the target is quarantined" eventually 5 is_quarantined
signal USR2 rt1
end_load
check "every request was answered, or ran and its answer was lost" no_request_was_lost

echo "the leader receives nothing any more, but can still send"
load_during 10
victim=$(leader_name)
signal USR2 "r$victim"
other_leads() { local name; name=$(leader_name); [ -n "$name" ] && [ "$name" != "$victim" ]; }
check "another controller leads" eventually 5 other_leads
check "the old leader notices that it no longer leads" grep -q event=not_leading "$work/$victim.log"
sleep 2
signal USR2 "r$victim"
end_load

echo "no process can reach a controller"
check "the cell has a leader again" eventually 20 has_leader
load_during 9
sleep 1
signal USR2 rc1 rc2 rc3
sleep 4
is_unready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:${gateway_port[$1]}/readyz")" = 503 ]; }
check "gateway 1 is not ready" is_unready 1
check "gateway 2 is not ready" is_unready 2
refuses_truly() { [[ $(FILBERT_KEY=$desk_token ctl call quote --body=alone 2>&1) == *"(not_run)"* ]]; }
check "a request is refused as not run" refuses_truly
check "the request did not run" eval "! grep -q alone $work/t*.starts"
signal USR2 rc1 rc2 rc3
serves() { FILBERT_KEY=$desk_token ctl call quote --body=again; }
check "the cell recovers without intervention" eventually 15 serves
end_load

check_histories
for name in t1 t2 t3 g1 g2 c1 c2 c3; do
    check "$name stops gracefully" stop_gracefully $name
done
echo "$failures failed"
[ $failures -eq 0 ]

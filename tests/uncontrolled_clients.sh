#!/usr/bin/env bash
# Guards against clients that end a process through its memory or descriptors: crowds of large, unfinished, oversized or
# chunked bodies, endless heads, silent connections and unread answers at each HTTP port. Checks only that the process
# lives, that its peak memory and open descriptors stay within its settings, and that one ordinary request is answered
# afterwards. Needs FILBERT_BIN. Usage: uncontrolled_clients.sh [PORT [KIND]]; both as in the lists below.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
source "$root/scripts/cell.sh"
begin
failures=0
only_port=${1:-} only_kind=${2:-}

# The lowered limits of each process and the crowds. The bounds follow from the limits alone, never from a measurement:
# peak memory up to gateway_mb or controller_mb (MB of 1,000,000 bytes), descriptors up to max_descriptors.
gateway_mb=72
controller_mb=128
max_descriptors=384
legal_clients=160         # with bodies of legal size at the callers' port, and at ports without a purpose for bodies
legal_bytes=1048576       # the limit of these ports
control_clients=60        # with bodies of legal size at the controllers' port
control_bytes=4194304     # the limit of that port
oversize_clients=40       # with bodies beyond the limit
oversize_bytes=16777216   # that each of them sends, at most
head_clients=600          # with heads that never end
head_bytes=65536          # that each of them sends, at most
open_head_bytes=6000      # of heads that stop short of the limit of a head (8 KiB) and stay open
silent_clients=600
unread_clients=60         # that send requests for unread_bytes and read no answer
unread_bytes=262144
kinds="whole pieces short announced sent chunked head openhead silent unread"

net=127.$((1 + $$ / 250 % 250)).$(($$ % 250)) # addresses of this run alone

wrong() {
    echo "WRONG: $*"
    failures=$((failures + 1))
}

status() { # CURL-ARGUMENTS...: prints the status of the answer, 000 if there is none
    : >"$work/answer"
    curl -s -m 8 -o "$work/answer" -w '%{http_code}' "$@" | tee "$work/status" || true
}

last_answer() { echo "last answer: $(cat "$work/status") $(head -c 200 "$work/answer")"; }

is_running() { # NAME: whether the process that was started under this name has not ended
    local id=${process_of[$1]}
    [ -d "/proc/$id" ] && ! grep -q '^State:.Z' "/proc/$id/status"
}

peak_kb() { awk '/^VmHWM:/ {print $2}' "/proc/${process_of[$1]}/status" 2>/dev/null; }

count_descriptors() { ls "/proc/${process_of[$1]}/fd" 2>/dev/null | wc -l; }

crowd_size() { # PORT KIND: prints connections and bytes
    case $2 in
    whole | pieces | short) [ "$1" = control ] && echo "$control_clients $control_bytes" || echo "$legal_clients $legal_bytes" ;;
    announced | sent | chunked) echo "$oversize_clients $oversize_bytes" ;;
    head) echo "$head_clients $head_bytes" ;;
    openhead) echo "$head_clients $open_head_bytes" ;;
    silent) echo "$silent_clients 0" ;;
    unread) echo "$unread_clients $unread_bytes" ;;
    esac
}

# run_crowd NAME ENDPOINT PORT KIND METHOD PATH: sends the crowd, keeps its connections open, and sets most_descriptors to
# the largest number of descriptors that the process has had meanwhile.
run_crowd() {
    local name=$1 endpoint=$2 port=$3 kind=$4 method=$5 path=$6 connections bytes now
    read -r connections bytes < <(crowd_size "$port" "$kind")
    [ "$kind" = unread ] && method=GET
    rm -f "$work/crowd.in" && mkfifo "$work/crowd.in"
    "$bin/filbert-client-crowd" "$endpoint" "$kind" "$connections" "$bytes" "$method" "$path" \
        <"$work/crowd.in" >"$work/crowd.out" 2>&1 &
    process_of[crowd]=$!
    exec 9>"$work/crowd.in"
    most_descriptors=0
    until grep -q settled "$work/crowd.out" || ! is_running crowd; do
        now=$(count_descriptors "$name")
        [ "$now" -gt "$most_descriptors" ] && most_descriptors=$now
        sleep 0.05
    done
    now=$(count_descriptors "$name")
    [ "$now" -gt "$most_descriptors" ] && most_descriptors=$now
}

end_crowd() {
    exec 9>&-
    wait "${process_of[crowd]}"
    unset 'process_of[crowd]'
}

# port_cases NAME ENDPOINT PORT MB METHOD PATH ORDINARY...: all kinds of crowds at one port, each against a fresh process.
# ORDINARY is a function that succeeds if an ordinary request is answered; start_fresh starts the processes.
port_cases() {
    local name=$1 endpoint=$2 port=$3 mb=$4 method=$5 path=$6 ordinary=$7 kind peak
    [ -z "$only_port" ] || [ "$only_port" = "$port" ] || return 0
    for kind in $kinds; do
        [ -z "$only_kind" ] || [ "$only_kind" = "$kind" ] || continue
        local before=$failures what="$port port, $kind"
        start_fresh "$name" || { wrong "$what: the process does not start"; continue; }
        eventually 20 "$ordinary" || wrong "$what: no ordinary request is answered before the crowd, $(last_answer)"
        run_crowd "$name" "$endpoint" "$port" "$kind" "$method" "$path"
        is_running "$name" || wrong "$what: the process has ended"
        # The connections of the crowd are still open: they must not keep others from being served.
        eventually 20 "$ordinary" || wrong "$what: no ordinary request is answered during the crowd, $(last_answer)"
        end_crowd
        eventually 20 "$ordinary" || wrong "$what: no ordinary request is answered after the crowd, $(last_answer)"
        peak=$(peak_kb "$name")
        [ "${peak:-0}" -gt 0 ] && [ $((peak * 1024)) -le $((mb * 1000000)) ] || wrong "$what: peak memory ${peak:-none} kB, bound $mb MB"
        [ "$most_descriptors" -le "$max_descriptors" ] || wrong "$what: $most_descriptors descriptors, bound $max_descriptors"
        [ $failures -eq "$before" ] && echo "right: $what: peak $((peak * 1024 / 1000000)) MB of $mb, descriptors $most_descriptors of $max_descriptors"
        sed 's/^settled/    crowd:/' "$work/crowd.out"
    done
}

limits() { echo "--memory_mb=$1 --max_descriptors=$max_descriptors"; }

# The platform's programs: one controller and one entry host.
mapfile -t ports < <(free_ports 6)
control=$net.201:${ports[0]} message_port=${ports[1]} front=$net.204:${ports[2]} ready=$net.204:${ports[3]}
metrics_port=${ports[4]} gateway_metrics=$net.204:${ports[4]} controller_metrics=$net.201:${ports[4]}
runs=0

start_platform_controller() {
    start c1 "$bin/filbert-platform-controller" --name=c1 --ip="$net.201" --control="$control" --data_folder="$work/data-$runs" \
        --first_start=true --seeds="$control" --message_port="$message_port" --closed_network=true --failure_domain=a \
        --fault_tolerance=0 --metrics_port="$metrics_port" $(limits $controller_mb)
}

start_platform_gateway() {
    start g1 "$bin/filbert-platform-gateway" --name=g1 --ip="$net.204" --front="$front" --readiness="$ready" --seeds="$control" \
        --message_port="$message_port" --closed_network=true --failure_domain=a --metrics_port="$metrics_port" $(limits $gateway_mb)
}

write_configuration() {
    cat <<JSON
{"version":1,"routes":[{"name":"r1","host":"cell.example","pathPrefix":"/quotes/","kind":"non_idempotent",
"timeoutMs":3000,"targetLatencyMs":250,"priority":0,"service":"s","maxAttempts":2,"slackFactor":1.5,"anonymous":false}],
"services":[{"name":"s","healthPath":"/healthz","standby":false}],"limits":{},
"tenants":[{"name":"t","apiKeys":["key-1"],"weight":1}]}
JSON
}

write_report() {
    report_number=$((${report_number:-0} + 1))
    cat <<JSON
{"service":"s","address":"$net.210:80","zone":"a","version":"v1","slots":8,"state":"ready","coldLeftMs":0,
"capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1"],"clockMs":482113,"sequence":$report_number,"born":1700000000000}
JSON
}

configure() {
    write_configuration >"$work/configuration"
    [ "$(status -X PUT --data-binary @"$work/configuration" "http://$control/v1/config")" = 200 ]
}

beat() {
    write_report >"$work/report"
    [ "$(status -X PUT --data-binary @"$work/report" "http://$control/v1/instances/i-good")" = 200 ]
}

submit() {
    jobs_sent=$((${jobs_sent:-0} + 1))
    [ "$(status -H 'Host: cell.example' -H 'Authorization: Bearer key-1' --data "$(write_job)" \
        "http://$front/quotes/$(printf '%016x' $jobs_sent)")" = 200 ]
}

controllers_port_works() { configure && beat && [ "$(status "http://$control/v1/config")" = 200 ]; }
gateway_is_ready() { [ "$(status "http://$ready/")" = 200 ]; }
gateway_metrics_work() { [ "$(status "http://$gateway_metrics/metrics")" = 200 ]; }
controller_metrics_work() { [ "$(status "http://$controller_metrics/metrics")" = 200 ]; }

# start_fresh NAME: restarts the process that a crowd is sent to, so that its peak memory begins anew.
start_fresh() {
    runs=$((runs + 1))
    kill_hard "$1"
    case $1 in
    c1) start_platform_controller ;;
    g1)
        if [ -z "${process_of[c1]:-}" ]; then
            start_platform_controller && eventually 30 configure && eventually 30 beat || return 1
        fi
        start_platform_gateway
        ;;
    gateway) start gateway "$bin/filbert-gateway" --name=g1 --http="$net.205:${ports[5]}" --controllers="127.0.0.1:$member_message" \
        --bootstrap_operator_key="$bootstrap" $(limits $gateway_mb) ;;
    member) start member "$bin/filbert-controller" "${member_flags[@]}" $(limits $controller_mb) ;;
    esac
}

# padded FUNCTION BYTES: prints the JSON of a function, with spaces up to a size.
padded() { printf "%-$2s" "$($1 | tr '\n' ' ')"; }

write_job() { echo '{"spec":"x","phases":[{"count":1,"cpu":100,"memMb":10,"estimateMs":100}]}'; }

# A single request of the largest legal size is served in calm.
calm_cases() {
    [ -z "$only_port" ] || [ "$only_port" = calm ] || return 0
    local bytes got
    { start_fresh c1 && eventually 30 configure && eventually 30 beat && start_fresh g1 && eventually 30 submit; } || wrong "calm: no service"
    for bytes in 262144 $legal_bytes; do
        padded write_job $bytes >"$work/large"
        got=$(status -H 'Host: cell.example' -H 'Authorization: Bearer key-1' --data-binary @"$work/large" "http://$front/quotes/$(printf '%016x' $bytes)")
        [ "$got" = 200 ] && echo "right: calm, callers port, $bytes bytes" || wrong "calm, callers port, $bytes bytes: expected 200, got $got"
    done
    padded write_configuration $control_bytes >"$work/large"
    got=$(status -X PUT --data-binary @"$work/large" "http://$control/v1/config")
    [ "$got" = 200 ] && echo "right: calm, controllers' port, $control_bytes bytes" || wrong "calm, controllers' port, $control_bytes bytes: expected 200, got $got"
    kill_hard g1
}

calm_cases
port_cases c1 "$control" control $controller_mb PUT /v1/config controllers_port_works
port_cases c1 "$controller_metrics" controller-metrics $controller_mb POST /metrics controller_metrics_work
kill_hard c1
port_cases g1 "$front" callers $gateway_mb POST /quotes/00000000000000ff submit
port_cases g1 "$ready" readiness $gateway_mb POST / gateway_is_ready
port_cases g1 "$gateway_metrics" gateway-metrics $gateway_mb POST /metrics gateway_metrics_work
kill_hard g1
kill_hard c1

# The earlier programs, filbert-controller and filbert-gateway.
mapfile -t member_ports < <(free_ports 2)
member_message=${member_ports[0]} member_http=127.0.0.1:${member_ports[1]}
member_flags=(--name=m1 --data_folder="$work/member" --listen="127.0.0.1:$member_message" --http="$member_http")
make_key root
export FILBERT_KEY=$token
"$bin/filbert-controller" "${member_flags[@]}" --initialise=first >/dev/null 2>>"$work/member.log" || wrong "no data folder"
member_is_ready() { [ "$(status "http://$member_http/readyz")" = 200 ]; }
gateway_lists_members() { "$bin/filbertctl" --gateways="$net.205:${ports[5]}" members list | grep -q leader; }
port_cases member "$member_http" filbert-controller $controller_mb POST /metrics member_is_ready
[ -n "${process_of[member]:-}" ] || start_fresh member
port_cases gateway "$net.205:${ports[5]}" filbert-gateway $gateway_mb POST /v1/call/quote gateway_lists_members

echo "$failures failed"
[ $failures -eq 0 ]

#!/usr/bin/env bash
# Functions that start and stop a small cell on loopback, sourced by demo.sh, the fault tests and the
# measurements. They use the variables root (the source tree), bin (the folder with the programs) and
# work (the folder for files and logs); begin sets the last two.

declare -A process_of

# begin: sets bin and work. When the script exits, all started programs are killed and the work folder
# is deleted, unless KEEP is set.
begin() {
    bin=${FILBERT_BIN:-$root/build-release/bin}
    work=$(mktemp -d)
    trap 'stop_everything; [ -n "${KEEP:-}" ] || rm -rf "$work"' EXIT
}

# free_ports COUNT: prints free TCP ports of 127.0.0.1, one per line.
free_ports() {
    "$bin/filbert-free-ports" "$1"
}

# start NAME COMMAND...: runs a program in the background and stores its process id in process_of.
start() {
    local name=$1
    shift
    "$@" >>"$work/$name.out" 2>>"$work/$name.log" &
    process_of[$name]=$!
}

# stop_gracefully NAME: sends SIGTERM and waits for the program to exit; returns its exit code.
stop_gracefully() {
    local id=${process_of[$1]:-}
    [ -n "$id" ] || return 0
    unset "process_of[$1]"
    kill -TERM "$id" 2>/dev/null
    wait "$id"
}

# kill_hard NAME: kills a program without giving it a chance to clean up, as a power loss would.
kill_hard() {
    local id=${process_of[$1]:-}
    [ -n "$id" ] || return 0
    unset "process_of[$1]"
    kill -KILL "$id" 2>/dev/null
    wait "$id" 2>/dev/null || true
}

stop_everything() {
    local name
    for name in "${!process_of[@]}"; do
        kill -KILL "${process_of[$name]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
}

# eventually SECONDS COMMAND...: repeats a command until it succeeds; fails after the given time.
eventually() {
    local until=$(($(date +%s) + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$(date +%s)" -lt "$until" ] || return 1
        sleep 0.1
    done
}

# plan_ports CONTROLLERS GATEWAYS TARGETS: chooses free ports and sets message_port, health_port,
# gateway_port, target_port and member_port, which are indexed by the number of the process, and
# controllers_flag and gateways_flag.
plan_ports() {
    local controllers=$1 gateways=$2 targets=$3
    mapfile -t ports < <(free_ports $((controllers * 2 + gateways + targets)))
    message_port=() health_port=() gateway_port=() target_port=()
    local next=0 i
    for ((i = 1; i <= controllers; i++)); do
        message_port[i]=${ports[next++]}
        health_port[i]=${ports[next++]}
    done
    for ((i = 1; i <= gateways; i++)); do gateway_port[i]=${ports[next++]}; done
    for ((i = 1; i <= targets; i++)); do target_port[i]=${ports[next++]}; done
    member_port=("${message_port[@]}") # ports at which controllers are reached
    [ "$controllers" -eq 0 ] || member_port=([0]= "${message_port[@]}")
    unset 'member_port[0]'
    controllers_flag=$(printf '127.0.0.1:%s,' "${member_port[@]}")
    gateways_flag=$(printf '127.0.0.1:%s,' "${gateway_port[@]}")
}

# start_controller NUMBER: starts a controller; initialises its data folder first if it is new.
start_controller() {
    local folder="$work/c$1"
    local flags=(--name="c$1" --curve_site="$work/site/c$1.site" --data_folder="$folder" --listen="127.0.0.1:${message_port[$1]}"
        --http="127.0.0.1:${health_port[$1]}" --advertise="127.0.0.1:${member_port[$1]}")
    if [ ! -e "$folder/identity" ]; then
        local kind=member
        [ "$1" = 1 ] && kind=first
        "$bin/filbert-controller" "${flags[@]}" --initialise=$kind >"$work/c$1.identity" \
            2>>"$work/c$1.log" || return 1
    fi
    start "c$1" "$bin/filbert-controller" "${flags[@]}" ${controller_extra:-}
}

start_gateway() {
    start "g$1" "$bin/filbert-gateway" --name="g$1" --http="127.0.0.1:${gateway_port[$1]}" \
        --controllers="$controllers_flag" --curve_site="$work/site/g$1.site" --bootstrap_operator_key="$bootstrap_key" --drain_ms=500 ${gateway_extra:-}
}

# start_relay NAME PORT: starts a relay that forwards to a port; sets relay_port to its own port.
start_relay() {
    relay_port=$(free_ports 1)
    start "$1" "$bin/filbert-relay" "$relay_port" "$2"
}

# relay_controllers COUNT: starts a relay for each controller, so that the other processes reach the
# controllers only through the relays.
relay_controllers() {
    local n
    for ((n = 1; n <= $1; n++)); do
        start_relay "rc$n" "${message_port[$n]}"
        member_port[n]=$relay_port
    done
    controllers_flag=$(printf '127.0.0.1:%s,' "${member_port[@]}")
}

# start_target NUMBER SERVICES [FLAGS...]: starts a stand-in target that records each start of work.
start_target() {
    local number=$1 services=$2
    shift 2
    start "t$number" "$bin/filbert-stand-in-target" --name="t$number" \
        --listen="127.0.0.1:${target_port[$number]}" --gateways="$gateways_flag" \
        --services="$services" --failure_domain="d$((number % 3 + 1))" \
        --record="$work/t$number.starts" "$@"
}

# make_key ID: creates an access key; sets token, stored (its entry in the configuration) and
# bootstrap (its value for --bootstrap_operator_key).
make_key() {
    local made
    made=$("$bin/filbertctl" keys make "$1")
    token=$(sed -n 's/^token: //p' <<<"$made")
    stored=$(sed -n 's/^stored: //p' <<<"$made")
    bootstrap=$(sed -n 's/^bootstrap: //p' <<<"$made")
}

# check DESCRIPTION COMMAND...: runs a command, prints whether it succeeded and counts failures.
failures=0
check() {
    local what=$1
    shift
    if "$@" >"$work/check.out" 2>&1; then
        echo "right: $what"
    else
        echo "WRONG: $what"
        tail -n 5 "$work/check.out"
        failures=$((failures + 1))
    fi
}

# write_cell FILE ORDERS-KEYS TARGET-KEY: writes the configuration of the fault tests.
write_cell() {
    cat >"$1" <<YAML
cell: faults
teams:
  - {name: orders, share: 2, upper_limit: {slots: 22}, keys: [$2]}
queues:
  - {name: quotes, policy: urgent}
  - {name: proofs, policy: batch}
services:
  - {name: quote, queue: quotes, idempotent: true, task: {milli_cores: 100}, deadline_ms: 8000}
  - {name: die, queue: quotes, idempotent: false, task: {milli_cores: 100}, deadline_ms: 8000}
principals:
  - {name: ops, role: operator, keys: [$operator_stored]}
  - {name: shops, role: target, keys: [$3]}
YAML
}

load_number=0
# load_during SECONDS FLAGS...: starts a load in the background; only one may run at a time. Uses
# desk_token and rate.
load_during() {
    load_number=$((load_number + 1))
    local seconds=$1
    shift
    "$bin/filbert-load" --gateways="$gateways_flag" --key="$desk_token" --rate="$rate" \
        --seconds="$seconds" --services='quote,quote,die!,die' --body="load$load_number" \
        --deadline_ms=6000 --record="$work/load$load_number.calls" "$@" \
        >"$work/load$load_number.out" 2>>"$work/load.log" &
    load_id=$!
}
# end_load: waits for the load and sets load_code to its exit code.
end_load() { wait $load_id; load_code=$?; sed 's/^/  /' "$work/load$load_number.out"; }

# check_histories: compares the calls of each load with the starts that the targets recorded.
check_histories() {
    local i
    for i in $(seq 1 $load_number); do
        check "history of load $i" "$bin/filbert-history-check" "$work/load$i.calls" "$work"/t*.starts
        tail -n 1 "$work/check.out"
    done
}

all_ready() { [ "$(ctl status | grep -c ' ready ')" = "${#target_port[@]}" ]; }
leader_name() { ctl members list | awk '/leader$/ {print $2}'; }
has_leader() { [ -n "$(leader_name)" ]; }

ctl() {
    "$bin/filbertctl" --gateways="$gateways_flag" "$@"
}

# is_voter NUMBER: whether a controller is a voting member.
is_voter() {
    ctl members list 2>/dev/null | grep -q "$(cat "$work/c$1.identity") .* voter"
}

# start_cell CONTROLLERS GATEWAYS TARGETS: starts a cell of controllers and gateways. For targets only
# the ports are chosen; start_target starts them. If relayed is set, controllers are behind relays.
start_cell() {
    plan_ports "$@"
    [ -z "${relayed:-}" ] || relay_controllers "$1"
    local names=() n
    for ((n = 1; n <= $1; n++)); do names+=("c$n=127.0.0.1:${member_port[$n]}"); done
    for ((n = 1; n <= $2; n++)); do names+=("g$n"); done
    "$bin/filbertctl" keys site "$work/site" "${names[@]}" bench >/dev/null || return 1
    make_key root
    export FILBERT_KEY=$token
    operator_token=$token operator_stored=$stored bootstrap_key=$bootstrap
    start_controller 1 || return 1
    local i
    for ((i = 1; i <= $2; i++)); do start_gateway "$i"; done
    eventually 20 ctl members list || return 1
    for ((i = 2; i <= $1; i++)); do
        start_controller "$i" || return 1
        eventually 20 ctl members add "127.0.0.1:${member_port[$i]}" \
            --identity="$(cat "$work/c$i.identity")" --member_name="c$i" || return 1
        eventually 20 is_voter "$i" || return 1
    done
}

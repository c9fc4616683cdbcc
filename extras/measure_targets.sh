#!/usr/bin/env bash
# Measures processor time, memory and loopback traffic for several numbers of targets, with 3
# controllers and GATEWAYS gateways; targets send a heartbeat every HEARTBEAT_MS.
# Usage: extras/measure_targets.sh [COUNT...]
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
source "$root/scripts/cell.sh"
counts=("$@")
[ ${#counts[@]} -gt 0 ] || counts=(250 500 1000 2000)
heartbeat=${HEARTBEAT_MS:-1000}
gateways=${GATEWAYS:-2}
seconds=10
for count in "${counts[@]}"; do
    begin
    start_cell 3 "$gateways" 2 || exit 1
    make_key workshop
    cat >"$work/cell.yaml" <<YAML
cell: measured
teams: [{name: orders, share: 1}]
queues: [{name: quotes, policy: batch}]
services: [{name: quote, queue: quotes, idempotent: true}]
principals: [{name: ops, role: operator, keys: [$operator_stored]}, {name: t, role: target, keys: [$stored]}]
YAML
    ctl apply "$work/cell.yaml" >/dev/null || exit 1
    for i in 1 2; do
        start_target $i quote --key="$token" --count=$((count / 2)) --heartbeat_ms="$heartbeat" --record=
    done
    ready() { [ "$(ctl status | grep -c ' ready ')" = "$count" ]; }
    eventually 60 ready || { echo "targets=$count: not all targets were ready within 60 s; ready:"; ctl status | grep -c ' ready '; }
    cpu() { awk -v hz="$(getconf CLK_TCK)" '{print int(($14 + $15) * 1000 / hz)}' "/proc/${process_of[$1]}/stat"; }
    memory() { awk '/VmRSS/ {print $2}' "/proc/${process_of[$1]}/status"; }
    bytes() { awk '/lo:/ {print $2}' /proc/net/dev; }
    for name in c1 c2 g1 t1; do declare before_$name="$(cpu $name)"; done
    start_bytes=$(bytes)
    sleep $seconds
    end_bytes=$(bytes)
    line="targets=$count heartbeat_ms=$heartbeat loopback_bytes_per_target_second=$(((end_bytes - start_bytes) / seconds / count))"
    for name in c1 c2 g1 t1; do
        was=before_$name
        line+=" ${name}_cpu_ms_per_second=$((($(cpu $name) - ${!was}) / seconds)) ${name}_kb=$(memory $name)"
    done
    echo "$line"
    stop_everything
    rm -rf "$work"
done

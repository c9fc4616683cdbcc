#!/usr/bin/env bash
# Measures request latency, processor time and memory at several request rates, directly at the targets
# and through the cell; prints one block for each rate.
# Usage: extras/measure_latency.sh [SECONDS] [RATE...]
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
source "$root/scripts/cell.sh"
begin
seconds=${1:-5}
shift || true
rates=("$@")
[ ${#rates[@]} -gt 0 ] || rates=(500 2000 5200)
gateways=${GATEWAYS:-3}
start_cell 3 "$gateways" 4 || exit 1
make_key desk; desk_token=$token desk_stored=$stored
make_key workshop; target_token=$token
cat >"$work/cell.yaml" <<YAML
cell: measured
teams: [{name: orders, share: 1, keys: [$desk_stored]}]
queues: [{name: quotes, policy: urgent}]
services: [{name: quote, queue: quotes, idempotent: true, task: {milli_cores: 10}}, {name: die, queue: quotes, task: {milli_cores: 10}}]
principals: [{name: ops, role: operator, keys: [$operator_stored]}, {name: t, role: target, keys: [$stored]}]
YAML
ctl apply "$work/cell.yaml" >/dev/null || exit 1
for i in 1 2 3 4; do start_target "$i" quote,die --key="$target_token" --slots=4000 --record=; done
ready() { [ "$(ctl status | grep -c ' ready ')" = 4 ]; }
eventually 20 ready || exit 1
cpu() { # NAME: prints the processor time that the process has used, in ms
    local id=${process_of[$1]}
    awk -v hz="$(getconf CLK_TCK)" '{print int(($14 + $15) * 1000 / hz)}' "/proc/$id/stat"
}
memory() { awk '/VmRSS/ {print int($2 / 1024)}' "/proc/${process_of[$1]}/status"; }
loopback_bytes() { awk '/lo:/ {print $2}' /proc/net/dev; }
report_processes() { # SECONDS COUNT
    local name
    for name in c1 c2 c3 g1 t1; do
        local used=$(($(cpu $name) - before_$name))
        echo "  $name cpu_ms=$used core_percent=$(awk -v u=$used -v s="$1" 'BEGIN {printf "%.1f", u / s / 10}') memory_mb=$(memory $name)"
    done
}
echo "idle memory:"; for name in c1 c2 c3 g1 t1; do echo "  $name memory_mb=$(memory $name)"; done
for rate in "${rates[@]}"; do
    echo "direct rate=$rate"
    "$bin/filbert-load" --direct="127.0.0.1:${target_port[1]},127.0.0.1:${target_port[2]},127.0.0.1:${target_port[3]},127.0.0.1:${target_port[4]}" \
        --rate="$rate" --seconds="$seconds" 2>&1 | sed 's/^/  /'
    for name in c1 c2 c3 g1 t1; do declare before_$name="$(cpu $name)"; done
    echo "through the cell rate=$rate"
    before_bytes=$(loopback_bytes)
    "$bin/filbert-load" --gateways="$gateways_flag" --key="$desk_token" --rate="$rate" \
        --seconds="$seconds" --services="${SERVICES:-quote}" --body="r$rate" 2>&1 | sed 's/^/  /'
    echo "  loopback_bytes_per_request=$((($(loopback_bytes) - before_bytes) / (rate * seconds)))"
    report_processes "$seconds"
    sleep 2
done

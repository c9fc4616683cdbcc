#!/usr/bin/env bash
# Measures the time from applying a configuration until it is in force at 7 gateways, with all of them
# running and with one stopped, and the loopback traffic of an idle cell and of one whose configuration
# changes. Usage: extras/measure_configuration.sh [CHANGES]
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
source "$root/scripts/cell.sh"
begin
changes=${1:-10}
start_cell 3 7 1 || exit 1
write() { # SHARE
    {
        echo "cell: measured"
        echo "principals: [{name: ops, role: operator, keys: [$operator_stored]}]"
        echo "teams:"
        for team in $(seq 1 440); do
            echo "  - {name: team$team, share: $([ "$team" = 7 ] && echo "$1" || echo 3), upper_limit: {slots: 600}, keys: [${operator_stored/id: root/id: key$team}]}"
        done
    } >"$work/cell.yaml"
}
now_ms() { date +%s%3N; }
bytes() { awk '/lo:/ {print $2}' /proc/net/dev; }
write 1
ctl apply "$work/cell.yaml" --wait >/dev/null || exit 1
b=$(bytes); sleep 10; echo "idle: loopback bytes per second with 3 controllers and 7 gateways: $((($(bytes) - b) / 10))"
measure() {
    for i in $(seq 1 "$changes"); do
        write "$((i + 10 + RANDOM % 1000))"
        from=$(now_ms)
        ctl apply "$work/cell.yaml" --wait --wait_ms=10000 >/dev/null || echo "configuration not in force within 10 s"
        echo "$1 in_force_ms=$(($(now_ms) - from))"
    done
}
measure all_reachable
kill -STOP "${process_of[g7]}"
gateways_flag=${gateways_flag%127*}
measure one_silent
kill -CONT "${process_of[g7]}"
sleep 2
b=$(bytes)
for i in $(seq 1 5); do write $((2000 + i)); ctl apply "$work/cell.yaml" >/dev/null; sleep 1.9; done
echo "one change every 2 s: loopback bytes per second, including the operator's traffic: $((($(bytes) - b) / 10))"

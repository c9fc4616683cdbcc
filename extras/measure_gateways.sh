#!/usr/bin/env bash
# Measures the loopback traffic of an idle cell with 3 controllers for several numbers of gateways.
# Usage: extras/measure_gateways.sh [COUNT...]
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
source "$root/scripts/cell.sh"
counts=("$@")
[ ${#counts[@]} -gt 0 ] || counts=(1 4 7)
bytes() { awk '/lo:/ {print $2}' /proc/net/dev; }
for count in "${counts[@]}"; do
    begin
    start_cell 3 "$count" 1 || exit 1
    sleep 1
    from=$(bytes)
    sleep 8
    echo "gateways=$count loopback_bytes_per_second=$((($(bytes) - from) / 8))"
    stop_everything
    rm -rf "$work"
done

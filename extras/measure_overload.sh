#!/usr/bin/env bash
# Loads a cell of 24 slots with half, then twice, then half of its capacity. Prints how many requests
# are answered and refused, their latency, the memory used, and how fast the cell recovers.
# Usage: extras/measure_overload.sh [SECONDS] [WORK_MS]
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
source "$root/scripts/cell.sh"
begin
seconds=${1:-10}
work_ms=${2:-20}
start_cell 3 2 3 || exit 1
make_key desk; desk_token=$token desk_stored=$stored
make_key small; small_token=$token small_stored=$stored
make_key workshop
write_cell "$work/cell.yaml" "$desk_stored" "$stored"
sed -i "s|^queues:|  - {name: small, share: 1, keys: [$small_stored]}\nqueues:|; s|upper_limit: {slots: 22}, ||" \
    "$work/cell.yaml"
ctl apply "$work/cell.yaml" >/dev/null || exit 1
for i in 1 2 3; do start_target $i quote,die --key="$token" --work_ms="$work_ms"; done
eventually 20 all_ready || exit 1
capacity=$((24 * 1000 / work_ms))
resident() { awk '/VmRSS/ {printf "%s_kb=%s ", name, $2}' name="$1" "/proc/${process_of[$1]}/status"; }
# send RATE SECONDS: sends requests of the large team, while the small team sends 20 per second.
send() {
    "$bin/filbert-load" --gateways="$gateways_flag" --key="$small_token" --rate=20 --seconds="$2" \
        --deadline_ms=2000 >"$work/small.out" &
    local small=$!
    "$bin/filbert-load" --gateways="$gateways_flag" --key="$desk_token" --rate="$1" --seconds="$2" \
        --deadline_ms=2000 --connections=2000
    wait $small
    echo "small team: $(tr '\n' ' ' <"$work/small.out")"
    for name in c1 c2 g1; do resident $name; done
    echo
}
echo "capacity=$capacity/s, before the overload"; send $((capacity / 2)) "$seconds"
echo "at twice the capacity"; send $((capacity * 2)) "$seconds"
for second in 1 2 3 4 5; do
    echo "second $second after the overload"; "$bin/filbert-load" --gateways="$gateways_flag" --key="$desk_token" \
        --rate=$((capacity / 2)) --seconds=1 --deadline_ms=2000 | tail -n 1
done

#!/usr/bin/env bash
# Runs a complete cell on loopback, with three controllers, two gateways and three stand-in targets.
# Exits with a non-zero code if any step fails.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
if [ -z "${FILBERT_BIN:-}" ]; then
    scripts/install_packages.sh && scripts/build.sh release || exit 1
    FILBERT_BIN=$root/build-release/bin
fi
bin=$FILBERT_BIN
work=$(mktemp -d)
source scripts/cell.sh
failures=0
finish() {
    stop_everything
    rm -rf "$work"
}
trap finish EXIT

say() { printf '%-58s' "$1"; }
right() { echo "as expected${1:+: $1}"; }
wrong() {
    echo "WRONG: $1"
    failures=$((failures + 1))
}
expect() { # DESCRIPTION EXPECTED-PATTERN ACTUAL
    say "$1"
    if [[ "$3" == $2 ]]; then right "$3"; else wrong "expected $2, got $3"; fi
}

say "three controllers and two gateways start"
if start_cell 3 2 3; then right; else
    wrong "the cell did not start"
    tail -n 5 "$work"/*.log
    exit 1
fi
make_key orders-desk; orders_token=$token orders_stored=$stored
make_key studio-desk; studio_token=$token studio_stored=$stored
make_key workshop; target_token=$token
sed -e "s|ORDERS_KEY|$orders_stored|; s|STUDIO_KEY|$studio_stored|; s|TARGET_KEY|$stored|" \
    -e "s|OPERATOR_KEY|$operator_stored|" examples/co-operative.yaml >"$work/cell.yaml"
expect "the example configuration is valid" "right*" "$(ctl check "$work/cell.yaml")"
expect "the configuration is applied" "version 1*" "$(ctl apply "$work/cell.yaml" | head -n 1)"
for i in 1 2 3; do
    start_target $i quote,die-order,proof --key="$target_token" --accelerators=8 \
        --milli_cores=128000 --memory_mb=524288
done
say "three targets announce themselves"
three_ready() { [ "$(ctl status | grep -c ' ready ')" = 3 ]; }
if eventually 20 three_ready; then right; else wrong "$(ctl status)"; fi

export FILBERT_KEY=$orders_token
expect "a quote is answered" "t? did lid-80mm" "$(ctl call quote --body=lid-80mm 2>&1)"
expect "the other gateway answers a quote too" "t? did lid-90mm" \
    "$("$bin/filbertctl" --gateways="127.0.0.1:${gateway_port[2]}" call quote --body=lid-90mm 2>&1)"
expect "a wrong key is refused" "unauthorized (not_run)*" \
    "$(FILBERT_KEY=orders-desk.wrong ctl call quote --body=x 2>&1)"
expect "a request without a key is refused" "unauthorized (not_run)*" "$(FILBERT_KEY= ctl call quote --body=x 2>&1)"
first=$(ctl call die-order --body=die-7 --idempotency_key=die-7 2>&1)
second=$(ctl call die-order --body=die-7 --idempotency_key=die-7 2>&1)
expect "a die order is answered" "t? did die-7" "$first"
expect "resending the order returns the same answer" "$first" "$second"
expect "the order ran once" "1" "$(cat "$work"/t*.starts | grep -c 'die-order die-7')"

export FILBERT_KEY=$studio_token
batch=$(ctl submit --queue=proofs --service=proof --tasks=6 --accelerators=1 --payload=ms=300 --idempotent)
gang=$(ctl submit --queue=presses --service=proof --tasks=12 --accelerators=1 --payload=ms=300 --idempotent)
expect "a batch job ends" "job * succeeded: 6 tasks*" "$(ctl wait "$batch" 2>/dev/null)"
expect "a gang job ends" "job * succeeded: 12 tasks*" "$(ctl wait "$gang" 2>/dev/null)"
huge=$(ctl submit --queue=proofs --service=proof --accelerators=9)
expect "a job that can never run is explained" "*accelerators 9, the largest target has 8*" \
    "$(ctl explain "$huge" | tr '\n' ' ')"
expect "the job can be cancelled" "0" "$(ctl cancel "$huge" >/dev/null; echo $?)"
expect "another team cannot see the job" "not_found*" "$(FILBERT_KEY=$orders_token ctl show "$huge" 2>&1)"

export FILBERT_KEY=$operator_token
sed "s|$orders_stored||" "$work/cell.yaml" >"$work/next.yaml"
expect "a key is revoked on all gateways" "*in force everywhere*" \
    "$(ctl apply "$work/next.yaml" --wait 2>&1 | tr '\n' ' ')"
expect "the revoked key is refused" "unauthorized (not_run)*" \
    "$(FILBERT_KEY=$orders_token ctl call quote --body=x 2>&1)"
expect "a second change based on an old version is refused" "conflict (not_run)*" \
    "$(ctl apply "$work/cell.yaml" --base_version=1 2>&1)"
expect "the audit trail has all configuration changes" "5" "$(ctl audit | grep -c digest)"
echo
ctl status
echo
for name in t1 t2 t3 g1 g2 c1 c2 c3; do
    stop_gracefully $name
    expect "$name stops gracefully" "0" "$?"
done
echo
if [ $failures -gt 0 ]; then
    echo "$failures steps were not as expected"
    exit 1
fi
echo "every step was as expected"

#!/usr/bin/env bash
# Runs the soak test, which runs the platform's programs as processes and injects faults from outside.
# Usage: tests/soak.sh [COUNT]; runs each seed in soak_seeds.txt and COUNT random ones (default 0).
# SOAK_OPTIONS has further options of filbert-soak, separated by spaces.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${FILBERT_BIN:-$PWD/build-release/bin}
seconds=${SOAK_SECONDS:-10}
output=$(mktemp -d)
trap 'rm -rf "$output"' EXIT
mapfile -t seeds < <(grep -v '^#' tests/soak_seeds.txt | cut -d' ' -f1)
for ((i = 0; i < ${1:-0}; ++i)); do
    seeds+=($((RANDOM * 32768 + RANDOM)))
done
# Runs four seeds in parallel: each has about a dozen processes, which are mostly idle.
printf '%s\n' "${seeds[@]}" | xargs -P 4 -I{} bash -c \
    '"$1/filbert-soak" --seed={} --seconds="$2" $4 >"$3/{}" 2>&1; echo $? >"$3/{}.code"' \
    _ "$bin" "$seconds" "$output" "${SOAK_OPTIONS:-}" || true
failed=0
for seed in "${seeds[@]}"; do
    grep -h '^broken' "$output/$seed" || true
    grep -h '^seed=' "$output/$seed" || echo "seed=$seed did not finish"
    [ "$(cat "$output/$seed.code")" = 0 ] || failed=$((failed + 1))
done
echo "$((${#seeds[@]} - failed)) passed, $failed failed"
[ "$failed" = 0 ]

#!/usr/bin/env bash
# The platform's programs as processes under faults from outside: each seed that ever failed, and as
# many fresh ones as the first argument says (0 if there is none).
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
# Four at a time: a dozen processes each, most of them idle most of the time.
printf '%s\n' "${seeds[@]}" | xargs -P 4 -I{} bash -c \
    '"$1/filbert-soak" --seed={} --seconds="$2" >"$3/{}" 2>&1; echo $? >"$3/{}.code"' \
    _ "$bin" "$seconds" "$output" || true
failed=0
for seed in "${seeds[@]}"; do
    grep -h '^broken' "$output/$seed" || true
    grep -h '^seed=' "$output/$seed" || echo "seed=$seed did not end"
    [ "$(cat "$output/$seed.code")" = 0 ] || failed=$((failed + 1))
done
echo "$((${#seeds[@]} - failed)) passed, $failed failed"
[ "$failed" = 0 ]

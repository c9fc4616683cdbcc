#!/usr/bin/env bash
# Usage: run_case.sh CHECK RECORD; runs a check of stand_ins/, which writes the file RECORD.
# TROUBLE=0 leaves out the disruption. Exit code: 1 broken, 0 held, 2 could not run.
# The check ends all processes that it started; they end with it too, if it is interrupted.
set -uo pipefail
review=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$review")
work=$(mktemp -d) || exit 2
check=
finish() {
    [ -n "$check" ] && kill -KILL "$check" 2>/dev/null && wait "$check" 2>/dev/null
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
for program in "$review/bin/$1" "$root/target/bin/filbert-platform-controller" \
    "$root/target/bin/filbert-platform-gateway"; do
    [ -x "$program" ] || { echo "missing: $program" >&2; exit 2; }
done
"$review/bin/$1" "$root/target/bin" "$root/deploy" "$work" "$2" "${TROUBLE:-1}" &
check=$!
wait "$check"
status=$?
check=
[ -n "${KEEP_LOGS:-}" ] && cp -r "$work" "$KEEP_LOGS"
[ $status -le 1 ] && exit $status
exit 2

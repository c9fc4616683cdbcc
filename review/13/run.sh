#!/usr/bin/env bash
# Case 13. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# All processes end with this script, also if it is interrupted.
set -u
cd "$(dirname "$0")/../.."
program=build-review-3/bin/case_13
if [ ! -x "$program" ] || [ ! -x target/bin/filbert-platform-controller ]; then
    echo "build the programs of the deploy file and review/build-3.sh first" >&2
    exit 2
fi
work=$(mktemp -d) || exit 2
case_pid=
finish() {
    [ -n "$case_pid" ] && kill -KILL "$case_pid" 2>/dev/null && wait "$case_pid" 2>/dev/null
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
TMPDIR=$work "$program" review/13/record.txt "${TROUBLE:-1}" &
case_pid=$!
wait "$case_pid"
code=$?
case_pid=
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac

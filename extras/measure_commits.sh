#!/usr/bin/env bash
# Measures commits per second and their latency for several numbers of commits in flight, with 1, 3 and
# 5 controllers and real syncs to disk, then the longest gap between commits when the leader is killed.
# Usage: extras/measure_commits.sh [SECONDS]
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
source "$root/scripts/cell.sh"
seconds=${1:-3}
for members in 1 3 5; do
    begin
    start_cell $members 1 1 || exit 1
    for window in 1 10 100 1000; do
        echo "members=$members $("$bin/filbert-commit-bench" --controllers="$controllers_flag" --curve_site="$work/site/bench.site" --window=$window --seconds="$seconds" 2>/dev/null)"
    done
    if [ $members -gt 1 ]; then
        for trial in 1 2 3; do
            "$bin/filbert-commit-bench" --controllers="$controllers_flag" --curve_site="$work/site/bench.site" --window=1 --seconds=5 >"$work/gap" 2>/dev/null &
            bench=$!
            sleep 2
            victim=$(ctl members list | awk '/leader$/ {print $2}')
            [ -n "$victim" ] || victim=c1
            kill_hard "$victim"
            wait $bench
            echo "members=$members killed=$victim $(cat "$work/gap")"
            start_controller "${victim#c}"
            sleep 2
        done
    fi
    stop_everything
    rm -rf "$work"
done

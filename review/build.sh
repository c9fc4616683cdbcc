#!/usr/bin/env bash
# Builds the stand-ins and the checks that the scripts of the cases start, in review/bin/.
set -euo pipefail
cd "$(dirname "$0")/stand_ins"
mkdir -p ../bin
mapfile -t checks < <(grep -l '^int main' ./*.cpp)
mapfile -t shared < <(grep -L '^int main' ./*.cpp)
jobs=()
for check in "${checks[@]}"; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "../bin/$(basename "$check" .cpp)" "$check" "${shared[@]}" &
    jobs+=($!)
done
status=0
for job in "${jobs[@]}"; do
    wait "$job" || status=1
done
exit $status

#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build-review-2. The programs of the project that
# the cases start are those of the deploy file, in target/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
sources=review/stand_ins_2
for program in long_tasks renamed_route one_per_worker late_starts; do
    g++ -std=c++20 -O1 -pthread -o "build-review-2/$program" "$sources/$program.cpp" \
        "$sources/cell.cpp" "$sources/worker.cpp" "$sources/http.cpp" &
done
for job in $(jobs -p); do
    wait "$job"
done

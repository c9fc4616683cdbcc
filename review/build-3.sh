#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start, into build-review-3/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3/bin
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Ireview/stand_ins_3)
common=(review/stand_ins_3/http_message.cpp)
g++ "${flags[@]}" -o build-review-3/bin/worker review/stand_ins_3/worker.cpp "${common[@]}"
for source in review/stand_ins_3/case_*.cpp; do
    [ -e "$source" ] || continue
    g++ "${flags[@]}" -o "build-review-3/bin/$(basename "$source" .cpp)" "$source" \
        review/stand_ins_3/cell.cpp "${common[@]}"
done

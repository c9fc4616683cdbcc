#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Writes record.txt beside this file, or
# to the file in RECORD. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
for program in target/bin/filbert-platform-controller target/bin/filbert-platform-gateway \
    build-review-2/late_starts; do
    [ -x "$program" ] || { echo "not built: $program"; exit 2; }
done
exec "build-review-2/late_starts" "${RECORD:-$folder/record.txt}"

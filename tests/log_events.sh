#!/usr/bin/env bash
# Checks that docs/LOGGING.md lists exactly the events that the platform's programs can log.
set -euo pipefail
cd "$(dirname "$0")/.."
folders=(platform modules/filbert_work modules/filbert_dispatch modules/filbert_node
         modules/filbert_replication modules/filbert_core modules/filbert_transport)
written=$(grep -rhoE --include='*.cpp' --exclude-dir=tests '(log_line( line)? \{|event=)"?[a-z_]+' "${folders[@]}" \
    | grep -oE '[a-z_]+$' | grep -vE '^(event|log_line)$' | sort -u)
listed=$(sed -n '/^|---/,$p' docs/LOGGING.md | tail -n +2 | cut -d'|' -f2 | tr -d ' ' | tr ',' '\n' | sort -u | grep .)
if ! diff <(echo "$written") <(echo "$listed"); then
    echo "FAILED: < marks events that the code logs but docs/LOGGING.md does not list, > the reverse"
    exit 1
fi
echo "log events: $(echo "$written" | wc -l), all listed"

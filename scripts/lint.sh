#!/usr/bin/env bash
# Checks the format of all sources and lints them, except for generated code.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files '*.h' '*.cpp' | grep -v '\.pb\.')
clang-format --dry-run --Werror "${sources[@]}"
printf '%s\n' "${sources[@]}" | grep '\.cpp$' \
    | xargs -P "$(nproc)" -n 4 clang-tidy -p build-release --quiet 2>/dev/null
echo "format and lint: clean"

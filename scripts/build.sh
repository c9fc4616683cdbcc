#!/usr/bin/env bash
# build.sh release|sanitize: builds into build-release or build-sanitize.
set -euo pipefail
cd "$(dirname "$0")/.."
kind=${1:-release}
flags=(-DCMAKE_BUILD_TYPE=Release)
[ "$kind" = sanitize ] && flags=(-DCMAKE_BUILD_TYPE=Debug -DFILBERT_SANITIZE=ON)
cmake -S . -B "build-$kind" -G Ninja "${flags[@]}" >/dev/null
ninja -C "build-$kind" | tail -n 1

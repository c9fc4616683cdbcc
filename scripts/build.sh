#!/usr/bin/env bash
# Usage: build.sh [release|sanitize] [PROGRAM...]; builds in build-release or build-sanitize.
set -euo pipefail
cd "$(dirname "$0")/.."
kind=${1:-release}
shift || true
flags=(-DCMAKE_BUILD_TYPE=Release)
[ "$kind" = sanitize ] && flags=(-DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG=-O1\ -g1 -DFILBERT_SANITIZE=ON)
cmake -S . -B "build-$kind" -G Ninja "${flags[@]}" >/dev/null
ninja -C "build-$kind" "$@" | tail -n 1

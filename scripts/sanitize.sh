#!/usr/bin/env bash
# The modules' tests, a random run and the fault test under the address and undefined-behaviour
# sanitizers. One loop on one thread is ours; only libraries have threads, so that the thread sanitizer,
# which needs them built with it, is left out.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh sanitize
export UBSAN_OPTIONS=print_stacktrace=1
export ASAN_OPTIONS=detect_leaks=1
build-sanitize/bin/filbert-tests '~every promise holds*' '~the same seed*' >/dev/null
build-sanitize/bin/filbert-random-run --seed=9000 --runs=4 --steps=20000 >/dev/null
FILBERT_BIN=$PWD/build-sanitize/bin tests/bad_input.sh
echo "sanitizers: clean"

#!/usr/bin/env bash
# Installs the packages, builds and runs all tests, on a fresh machine too. The result is reproducible.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
scripts/build.sh release
if grep -qv '^#' KNOWN-RED.txt; then
    echo "known failures, not fixed yet:"
    grep -v '^#' KNOWN-RED.txt
fi
ctest --test-dir build-release --output-on-failure --timeout 900

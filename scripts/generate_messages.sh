#!/usr/bin/env bash
# Regenerates the committed protobuf code. Needs Debian's protobuf-compiler, which the build does not.
set -euo pipefail
cd "$(dirname "$0")/../modules/filbert_messages"
protoc --cpp_out=. filbert.proto work.proto

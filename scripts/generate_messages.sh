#!/usr/bin/env bash
# Makes the committed protobuf code anew; needs Debian's protobuf-compiler, which the build does not.
set -euo pipefail
cd "$(dirname "$0")/../modules/filbert_messages"
protoc --cpp_out=. filbert.proto work.proto

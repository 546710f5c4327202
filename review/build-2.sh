#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start: the project's own
# and those of this review. The daemon is built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/standin
cd review/tool-2
go build -o ../../bin/review2 .

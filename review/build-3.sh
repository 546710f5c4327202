#!/usr/bin/env bash
# Builds what the scripts of the third review start, beside the project's program that the
# build of the deploy file makes. It needs no modules and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
(cd review/tool-3 && GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/rig-3 .)

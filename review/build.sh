#!/bin/sh
# Builds the program of the review's scripts: the cases with their stand-ins.
set -eu
cd "$(dirname "$0")/tool"
GOFLAGS= GOWORK=off go build -buildvcs=false -o ../bin/case .

#!/bin/sh
# Runs the case; see claim.txt. Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x review/bin/case ] || [ ! -x target/chestnutlatch ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
# TROUBLE=0 runs the case without the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec review/bin/case form review/3

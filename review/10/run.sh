#!/usr/bin/env bash
# Runs case 10: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
# not run. TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and
# review/build-2.sh.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x target/chestnutlatch ] || [ ! -x bin/standin ] || [ ! -x bin/review2 ]; then
  echo "run the build line of deploy/system.toml and review/build-2.sh first" >&2
  exit 2
fi
exec timeout 120 bin/review2 10

#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 runs it without the disruption.
# Needs the build of deploy/system.toml and review/build-2.sh before.
cd "$(dirname "$0")" || exit 2
case=../../target/review-2/case-$(basename "$PWD")
[ -x "$case" ] || { echo "$case isn't built; run review/build-2.sh" >&2; exit 2; }
export MALLOWSTEP="${MALLOWSTEP:-../../target/release/mallowstep}" RECORD=record.txt
exec "$case"

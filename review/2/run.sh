#!/usr/bin/env bash
# 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
[ -x "$root/target/release/mallowstep" ] && [ -x "$root/target/review/case-2" ] || exit 2
REVIEW_ROOT=$root REVIEW_RECORD=$PWD/record.txt exec "$root/target/review/case-2"

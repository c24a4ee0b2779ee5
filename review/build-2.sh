#!/bin/sh
# Builds the programs that the cases of review/REPORT-2.md start beside the service: each from one file and the stand-ins
# in review/tools-2, with the standard library alone. The service is built as deploy/system.toml says.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[4-8]/case.rs; do
    [ -e "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O -o "target/review-2/case-$number" "$case"
done

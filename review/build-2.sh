#!/bin/bash
# Builds the stand-ins of the scripts of this review into target/review-2. Needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[4-8]/case.rs; do
    [ -e "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O -o "target/review-2/case-$number" "$case"
done

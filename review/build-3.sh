#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 into target/review-3. They need rustc and nothing else; the
# entries that they start are those of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/1[1-5]/case.rs; do
    [ -e "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O "$case" -o "target/review-3/case-$number"
done

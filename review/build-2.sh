#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10 with the compiler alone: no library, no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand-2.new review/stand-2/main.rs
mv target/review-2/stand-2.new target/review-2/stand-2

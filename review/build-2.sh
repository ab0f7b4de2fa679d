#!/bin/sh
# Builds the stand-ins of the second review. Needs the standard library only, and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/stand_in_2/main.rs

#!/bin/sh
# Builds the stand-ins of the third review, with the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc -O --edition 2024 -o target/review-3/case review/stand_in_3/main.rs

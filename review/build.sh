#!/bin/sh
# Builds the stand-ins of the cases into target/review/; they use the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand_in review/stand_in/main.rs

#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review-3/case -a -x target/release/plantainreach || exit 2
exec target/review-3/case first-worker review/13/record.txt

#!/bin/bash
# Builds the programs of the cases 6 to 10 into target/review-2, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cc; do
    number=$(basename "$(dirname "$source")")
    [ "$number" -ge 6 ] || continue
    g++ -std=c++20 -O1 -pthread -o "target/review-2/case-$number" "$source"
done

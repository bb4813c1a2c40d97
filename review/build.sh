#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/review. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
    number=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++20 -O1 -g0 -Wall -Wextra -o "target/review/case-$number" "$source" -lboost_json -lpthread &
done
status=0
for job in $(jobs -p); do
    wait "$job" || status=1
done
exit "$status"

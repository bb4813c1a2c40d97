#!/usr/bin/env bash
# Builds the stand-ins of review/11 and later into target/review-3. To be run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -DBOOST_ASIO_NO_DEPRECATED review/standin-3/Main.cc review/standin-3/Scene.cc \
    -o target/review-3/Scene -lboost_json -lcrypto -lpthread

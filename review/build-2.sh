#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10; needs only what the
# build of the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for driver in review/{6,7,8,9,10}/driver.cpp; do
    [ -e "$driver" ] || continue
    name=$(basename "$(dirname "$driver")")
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o "target/review-2/case-$name" \
        "$driver" review/stage-2/*.cpp -lboost_json
done

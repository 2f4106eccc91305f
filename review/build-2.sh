#!/usr/bin/env bash
# Builds the programs of cases 6 to 10 into target/review-2/, each with its stand-ins for the store, the backend servers and
# the clients (review/standin-2). Needs g++ and Boost.JSON, which the deploy file declares.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    [ -f "review/$number/main.cpp" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-psabi -pthread "review/$number/main.cpp" \
        -o "target/review-2/case-$number" -lboost_json
done

#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/; it needs g++ and Boost.JSON, which the deploy file declares.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.cpp; do
    number=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$case" -o "target/review/case-$number" -lboost_json
done

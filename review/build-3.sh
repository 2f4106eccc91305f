#!/bin/sh
# Builds the stand-ins of the third review into target/review-3, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standin-3/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra "$source" -o "target/review-3/$name" -lboost_json -lpthread
done

#!/bin/sh
# Builds the programs of the cases of the second review into target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/*.cpp; do
    [ -e "$source" ] || continue
    name=$(basename "$source" .cpp)
    [ "$name" = case ] && continue
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review-2/$name" "$source"
done
